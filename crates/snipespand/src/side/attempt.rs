//! Traffic task of one attempt at a side process.

mod relay;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use opentelemetry::trace::SpanKind;
use quinn::RecvStream;
use quinn::SendStream;
use snipespan_backend::http::BodyError;
use snipespan_backend::http::RequestBody;
use snipespan_backend::http::body_of_stream;
use snipespan_core::keys::StreamKey;
use snipespan_core::keys::TicketKey;
use snipespan_core::result_code::ResultCode;
use snipespan_core::side::event::Event;
use snipespan_core::side::event::Offer;
use snipespan_protocol::codec;
use snipespan_protocol::codec::MessageReader;
use snipespan_protocol::opening::AttemptHead;
use snipespan_protocol::relay::Relay;
use snipespan_telemetry::traces::HopSpan;
use tokio::sync::mpsc;
use tokio_util::io::ReaderStream;

use crate::side::SideContext;
use crate::side::attempt::relay::AttemptRelay;
use crate::side::shell::Input;
use crate::side::shell::MAX_QUEUED_ORDERS;
use crate::side::shell::Order;

/// Size of the buffer for reading the request body from an entry, in bytes.
const BODY_CHUNK_BYTES: usize = 64 << 10;

/// Decision of the control thread on an offer; `Abandoned` if the entry abandoned the attempt
/// before it was started.
enum Decision {
    Refused { code: ResultCode, retry_after: Option<Duration> },
    Start { ticket: TicketKey, stream: StreamKey, engine_priority: u16 },
    Abandoned,
}

/// Offers an attempt to the control thread; once started, forwards it and relays its answer.
pub(super) async fn run_attempt(
    cx: Arc<SideContext>,
    head: AttemptHead,
    mut send: SendStream,
    reader: MessageReader<RecvStream>,
) {
    let (id, number) = (head.spec.id, head.spec.number);
    let span = HopSpan::start("side", SpanKind::Server, &head.traceparent);
    span.set_attribute("request", id.to_string());
    span.set_attribute("attempt", i64::from(number.0));
    span.set_attribute("vm", cx.vm.to_string());
    let (tx, mut orders) = mpsc::channel(MAX_QUEUED_ORDERS);
    // The shell on the control thread replaces this ticket by the actual one.
    let offer = Offer { ticket: TicketKey::default(), spec: head.spec.clone() };
    if cx.control.send(Input::Offer(offer, tx)).await.is_err() {
        return;
    }
    match await_decision(&cx, &mut orders, &mut send).await {
        Decision::Refused { code, retry_after } => {
            span.set_attribute("result", i64::from(code.number()));
            log::info!("request={} attempt={} refused: {code}", id, number);
            send_refusal(&mut send, code, retry_after).await;
        }
        Decision::Start { ticket, stream, engine_priority } => {
            let body = request_body(reader, head.body_bytes);
            let relay = AttemptRelay { cx: &cx, head: &head, stream, engine_priority, span: &span };
            let event = match relay.run(body, &mut orders, &mut send).await {
                ResultCode::Ok => Event::Ended { stream },
                // The engine may still be processing the stream.
                _ => Event::Abandoned { stream },
            };
            let _ = cx.control.send(Input::Event(event)).await;
            let _ = cx.control.send(Input::TaskEnded(ticket)).await;
        }
        Decision::Abandoned => log::info!("request={} attempt={} abandoned", id, number),
    }
}

/// Waits for the decision, or until the entry abandons the attempt.
async fn await_decision(
    cx: &SideContext,
    orders: &mut mpsc::Receiver<Order>,
    send: &mut SendStream,
) -> Decision {
    let mut queued = None;
    loop {
        let order = tokio::select! {
            order = orders.recv() => order,
            _ = send.stopped() => {
                return abandon_attempt(cx, orders, queued).await;
            }
        };
        match (order, queued) {
            (Some(Order::Queue { ticket, stream }), _) => queued = Some((ticket, stream)),
            (Some(Order::Start { engine_priority }), Some((ticket, stream))) => {
                return Decision::Start { ticket, stream, engine_priority };
            }
            (Some(Order::Refuse { code, retry_after }), _) => {
                return Decision::Refused { code, retry_after };
            }
            (Some(Order::Abort(code)), _) => return Decision::Refused { code, retry_after: None },
            // A start before the attempt is queued, a reply to a fence request, or a channel that
            // the control thread has dropped.
            (Some(Order::Start { .. } | Order::FenceReply { .. }) | None, _) => {
                return Decision::Refused { code: ResultCode::Overloaded, retry_after: None };
            }
        }
    }
}

/// Withdraws an attempt that its entry abandoned, once it is queued; a refused attempt has no
/// stream to withdraw.
async fn abandon_attempt(
    cx: &SideContext,
    orders: &mut mpsc::Receiver<Order>,
    mut queued: Option<(TicketKey, StreamKey)>,
) -> Decision {
    while queued.is_none() {
        match orders.recv().await {
            Some(Order::Queue { ticket, stream }) => queued = Some((ticket, stream)),
            _ => return Decision::Abandoned,
        }
    }
    if let Some((ticket, stream)) = queued {
        let _ = cx.control.send(Input::Event(Event::Abandoned { stream })).await;
        let _ = cx.control.send(Input::TaskEnded(ticket)).await;
    }
    Decision::Abandoned
}

/// Sends the refusal of an attempt that was not run, and ends the stream.
async fn send_refusal(send: &mut SendStream, code: ResultCode, retry_after: Option<Duration>) {
    let retry_after_ms = retry_after.map(|after| after.as_millis() as u64);
    let refused = Relay::Refused { code, retry_after_ms };
    if codec::write_message(send, &refused).await.is_ok() {
        finish_stream(send).await;
    }
}

/// Finishes a stream and waits until the entry has received all of it or the stream is broken.
async fn finish_stream(send: &mut SendStream) {
    if send.finish().is_ok() {
        let _ = send.stopped().await;
    }
}

/// Returns the request body as the entry sends it. A body that ends early or exceeds `expected`
/// bytes breaks the call to the backend server.
fn request_body(reader: MessageReader<RecvStream>, expected: u64) -> RequestBody {
    let (recv, buffered) = reader.into_parts();
    let buffered = futures_util::stream::iter([buffered]).filter(|bytes| {
        let is_empty = bytes.is_empty();
        async move { !is_empty }
    });
    let buffered = buffered.map(Ok::<Bytes, BodyError>);
    let rest = ReaderStream::with_capacity(recv, BODY_CHUNK_BYTES);
    let all = buffered.chain(rest.map(|chunk| chunk.map_err(BodyError::from)));
    let limited = all.scan(0, move |received: &mut u64, chunk| {
        if let Ok(bytes) = &chunk {
            *received += bytes.len() as u64;
        }
        let is_too_long = *received > expected;
        let chunk = match is_too_long {
            true => Err(BodyError::from(format!(
                "received {received} bytes of a request body announced as {expected} bytes"
            ))),
            false => chunk,
        };
        async move { Some(chunk) }
    });
    body_of_stream(limited)
}
