//! Replies to an entry that asks to fence an unrepeatable request, so that it never runs here.

use std::time::Duration;

use quinn::SendStream;
use snipespan_core::identity::RequestId;
use snipespan_protocol::codec;
use snipespan_protocol::opening::FenceReply;
use tokio::sync::mpsc;

use crate::side::SideContext;
use crate::side::shell::Input;
use crate::side::shell::Order;

/// Has the control thread fence the request `id`, and sends its reply to the entry.
pub(super) async fn reply_to_fence(
    cx: &SideContext,
    id: RequestId,
    age: Duration,
    mut send: SendStream,
) {
    let (tx, mut orders) = mpsc::channel(1);
    if cx.control.send(Input::FenceRequest { id, age, orders: tx }).await.is_err() {
        return;
    }
    let Some(Order::FenceReply { never_runs }) = orders.recv().await else { return };
    log::info!("request={id} fence requested: never_runs={never_runs}");
    let written = codec::write_message(&mut send, &FenceReply { never_runs }).await;
    if written.is_ok() && send.finish().is_ok() {
        // Waits until the entry has received the reply or its connection is lost.
        let _ = send.stopped().await;
    }
}
