//! An attempt of a request at a side process.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use opentelemetry::trace::SpanKind;
use quinn::Connection;
use quinn::RecvStream;
use quinn::SendStream;
use snipespan_core::entry::effect::Dispatch;
use snipespan_core::entry::event::Event;
use snipespan_core::result_code::ResultCode;
use snipespan_protocol::codec;
use snipespan_protocol::codec::CodecError;
use snipespan_protocol::codec::MessageReader;
use snipespan_protocol::opening::AttemptHead;
use snipespan_protocol::opening::Opening;
use snipespan_protocol::relay::AnswerEnd;
use snipespan_protocol::relay::Relay;
use snipespan_telemetry::traces::HopSpan;
use tokio::task::JoinHandle;
use xxhash_rust::xxh3::Xxh3;

use crate::entry::request_task::PreparedRequest;
use crate::entry::request_task::RequestTask;
use crate::entry::shell::Order;
use crate::quic::ABANDONED_CODE;

/// Maximum wait for a free stream on a connection.
const OPEN_STREAM_TIMEOUT: Duration = Duration::from_secs(1);

/// The outcome of an attempt.
enum Outcome {
    /// The backend server did not run the request.
    Refused { code: ResultCode, retry_after: Option<Duration> },
    /// The answer is complete.
    Completed { output_tokens: u64 },
    /// The request may have run, and the answer is incomplete.
    Failed(ResultCode),
    /// The control thread cancelled the attempt or closed the request.
    Cancelled,
}

/// The stream of an attempt; dropping it before its end resets the stream.
struct AttemptStream {
    reader: MessageReader<RecvStream>,
    writer: JoinHandle<()>,
}

impl Drop for AttemptStream {
    fn drop(&mut self) {
        self.writer.abort();
    }
}

/// The next event while an attempt is open.
enum StreamEvent {
    Message(Result<Option<Relay>, CodecError>),
    Order(Option<Order>),
    CallerDisconnected,
}

impl RequestTask {
    /// Sends the request to a side process, forwards its answer and reports the outcome.
    pub(super) async fn run_attempt(&mut self, dispatch: Dispatch, connection: Connection) {
        let attempt = dispatch.attempt;
        let span = HopSpan::start("attempt", SpanKind::Client, &self.span.traceparent());
        span.set_attribute("attempt", i64::from(dispatch.spec.number.0));
        let (id, number) = (dispatch.spec.id, dispatch.spec.number);
        let outcome = match self.open_stream(&dispatch, &connection, span.traceparent()).await {
            Some(stream) => self.relay_answer(&dispatch, stream).await,
            None => Outcome::Refused { code: ResultCode::BackendUnreachable, retry_after: None },
        };
        let event = match outcome {
            Outcome::Refused { code, retry_after } => {
                log::info!("request={id} attempt={number} refused: {code}");
                Event::AttemptRefused { attempt, code, retry_after }
            }
            Outcome::Completed { output_tokens } => {
                log::info!("request={id} attempt={number} completed");
                self.span.set_attribute("result", i64::from(ResultCode::Ok.number()));
                Event::AttemptCompleted { attempt, output_tokens }
            }
            Outcome::Failed(code) => {
                log::info!("request={id} attempt={number} failed: {code}");
                let resumable = self.answer.is_resumable();
                Event::AttemptFailed { attempt, code, resumable }
            }
            Outcome::Cancelled => return,
        };
        self.report(event).await;
    }

    /// Opens the stream and starts to send the request; `None` if nothing was sent.
    async fn open_stream(
        &mut self,
        dispatch: &Dispatch,
        connection: &Connection,
        traceparent: CompactString,
    ) -> Option<AttemptStream> {
        let (head, body) = self.build_opening(dispatch, traceparent)?;
        let opening = codec::encode_message(&Opening::Attempt(head)).ok()?;
        // A connection without a free stream counts as unreachable.
        let (send, recv) =
            tokio::time::timeout(OPEN_STREAM_TIMEOUT, connection.open_bi()).await.ok()?.ok()?;
        let writer = tokio::spawn(write_request(send, opening, body));
        Some(AttemptStream { reader: MessageReader::new(recv), writer })
    }

    fn build_opening(
        &self,
        dispatch: &Dispatch,
        traceparent: CompactString,
    ) -> Option<(AttemptHead, Vec<Bytes>)> {
        let (http, body) = match self.prepared.as_ref()? {
            PreparedRequest::Chat(req) => {
                (None, req.engine_body(dispatch.spec.cost.max_output_tokens))
            }
            PreparedRequest::Service { head, body } => (Some(head.clone()), vec![body.clone()]),
        };
        let head = AttemptHead {
            spec: dispatch.spec.clone(),
            resume_tokens: self.answer.delivered_tokens(),
            body_bytes: body.iter().map(|part| part.len() as u64).sum(),
            traceparent,
            http,
        };
        Some((head, body))
    }

    async fn relay_answer(&mut self, dispatch: &Dispatch, mut stream: AttemptStream) -> Outcome {
        let mut checksum = Xxh3::new();
        let mut is_first = true;
        loop {
            let next = tokio::select! {
                biased;
                order = self.orders.recv() => StreamEvent::Order(order),
                message = stream.reader.next::<Relay>() => StreamEvent::Message(message),
                () = self.answer.caller_disconnected(), if !self.is_caller_disconnected() => {
                    StreamEvent::CallerDisconnected
                }
            };
            match next {
                StreamEvent::Message(Ok(Some(message))) => {
                    if is_first && is_answer_start(&message) {
                        is_first = false;
                        self.report(Event::FirstToken { attempt: dispatch.attempt }).await;
                    }
                    if let Some(outcome) = self.handle_message(message, &mut checksum).await {
                        return outcome;
                    }
                }
                StreamEvent::Message(Ok(None) | Err(_)) => {
                    return Outcome::Failed(ResultCode::AnswerCut);
                }
                StreamEvent::Order(Some(Order::CancelAttempt(attempt)))
                    if attempt == dispatch.attempt =>
                {
                    return Outcome::Cancelled;
                }
                StreamEvent::Order(Some(Order::Refuse { code, retry_after })) => {
                    // Ends only the answer to the caller. The attempt may continue, so that its
                    // outcome can be written into the durable record.
                    self.end_with_code(code, retry_after).await;
                }
                StreamEvent::Order(Some(_)) => {}
                StreamEvent::Order(None) => return Outcome::Cancelled,
                StreamEvent::CallerDisconnected => self.report_caller_disconnected().await,
            }
        }
    }

    /// Handles a message; returns the outcome if the message is the last one.
    async fn handle_message(&mut self, message: Relay, checksum: &mut Xxh3) -> Option<Outcome> {
        match message {
            Relay::Refused { code, retry_after_ms } => {
                let retry_after = retry_after_ms.map(Duration::from_millis);
                Some(Outcome::Refused { code, retry_after })
            }
            Relay::Forwarded => None,
            Relay::Failed { code } => Some(Outcome::Failed(code)),
            Relay::End(end) => Some(self.finish_answer(&end, checksum).await),
            part => {
                match &part {
                    Relay::Tokens { text, .. } => checksum.update(text.as_bytes()),
                    Relay::Bytes { bytes, .. } => checksum.update(bytes),
                    _ => {}
                }
                let forwarded = self.answer.forward(part).await;
                forwarded.is_err().then_some(Outcome::Failed(ResultCode::AnswerCorrupt))
            }
        }
    }

    async fn finish_answer(&mut self, end: &AnswerEnd, checksum: &Xxh3) -> Outcome {
        if end.checksum != checksum.digest() {
            return Outcome::Failed(ResultCode::AnswerCorrupt);
        }
        match self.answer.finish(end).await {
            Ok(output_tokens) => Outcome::Completed { output_tokens },
            Err(_) => Outcome::Failed(ResultCode::AnswerCorrupt),
        }
    }
}

/// Returns whether a message is the start of an answer.
const fn is_answer_start(message: &Relay) -> bool {
    matches!(message, Relay::Tokens { .. } | Relay::Head { .. })
}

/// Writes the opening message and the body, then waits until the side process has received all of
/// it or has stopped reading. The answer arrives on the receiving half.
async fn write_request(send: SendStream, opening: Bytes, body: Vec<Bytes>) {
    let mut send = ResetOnDrop(send);
    let mut parts = vec![opening];
    parts.extend(body);
    if send.0.write_all_chunks(&mut parts).await.is_ok() && send.0.finish().is_ok() {
        let _ = send.0.stopped().await;
    }
}

/// The sending half of a stream; dropping it before its end resets it.
struct ResetOnDrop(SendStream);

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        // The reset fails if the stream has already ended, and is not needed then.
        let _ = self.0.reset(ABANDONED_CODE);
    }
}
