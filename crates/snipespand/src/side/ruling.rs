//! Answers an entry's question whether a request that may not be repeated can be ruled out.

use std::time::Duration;

use quinn::SendStream;
use snipespan_core::identity::RequestId;
use snipespan_protocol::codec;
use snipespan_protocol::opening::RuledOut;
use tokio::sync::mpsc;

use crate::side::SideContext;
use crate::side::shell::Input;
use crate::side::shell::Order;

/// Asks the control thread and passes its answer on.
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
    log::info!("request={id} asked to be ruled out: never_runs={never_runs}");
    let written = codec::write(&mut send, &RuledOut { never_runs }).await;
    if written.is_ok() && send.finish().is_ok() {
        // Until the entry has it, or its connection is gone.
        let _ = send.stopped().await;
    }
}
