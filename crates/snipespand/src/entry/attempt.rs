//! One attempt of a request at a side process.

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

use crate::entry::request_task::Prepared;
use crate::entry::request_task::RequestTask;
use crate::entry::shell::Order;
use crate::quic::GIVEN_UP;

/// Longest wait for room on a connection.
const OPEN_LIMIT: Duration = Duration::from_secs(1);

/// How an attempt ended.
enum Outcome {
    /// Nothing of it reached the backend server.
    Refused { code: ResultCode, retry_after: Option<Duration> },
    /// The answer is whole.
    Whole { output_tokens: u64 },
    /// It may have run, and the answer is not whole.
    Failed(ResultCode),
    /// The control thread wants no more of it.
    Cancelled,
}

/// The stream of an attempt; it is reset when it is dropped before its end.
struct AttemptStream {
    reader: MessageReader<RecvStream>,
    writing: JoinHandle<()>,
}

impl Drop for AttemptStream {
    fn drop(&mut self) {
        self.writing.abort();
    }
}

/// What comes next while an attempt is open.
enum Next {
    Message(Result<Option<Relay>, CodecError>),
    Order(Option<Order>),
    CallerGone,
}

impl RequestTask {
    /// Sends the request to a side process, passes its answer on and reports how it ended.
    pub(super) async fn attempt(&mut self, dispatch: Dispatch, connection: Connection) {
        let attempt = dispatch.attempt;
        let span = HopSpan::start("attempt", SpanKind::Client, &self.span.traceparent());
        span.set_attribute("attempt", i64::from(dispatch.spec.number.0));
        let (id, number) = (dispatch.spec.id, dispatch.spec.number);
        let outcome = match self.open(&dispatch, &connection, span.traceparent()).await {
            Some(stream) => self.receive(&dispatch, stream).await,
            None => Outcome::Refused { code: ResultCode::BackendUnreachable, retry_after: None },
        };
        let event = match outcome {
            Outcome::Refused { code, retry_after } => {
                log::info!("request={id} attempt={number} refused: {code}");
                Event::AttemptRefused { attempt, code, retry_after }
            }
            Outcome::Whole { output_tokens } => {
                log::info!("request={id} attempt={number} whole");
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

    /// Opens the stream; `None` when nothing was sent.
    async fn open(
        &mut self,
        dispatch: &Dispatch,
        connection: &Connection,
        traceparent: CompactString,
    ) -> Option<AttemptStream> {
        let (head, body) = self.opening(dispatch, traceparent)?;
        let opening = codec::encode_message(&Opening::Attempt(head)).ok()?;
        // A connection without room for a stream counts as unreachable.
        let (send, recv) =
            tokio::time::timeout(OPEN_LIMIT, connection.open_bi()).await.ok()?.ok()?;
        let writing = tokio::spawn(write(send, opening, body));
        Some(AttemptStream { reader: MessageReader::new(recv), writing })
    }

    fn opening(
        &self,
        dispatch: &Dispatch,
        traceparent: CompactString,
    ) -> Option<(AttemptHead, Vec<Bytes>)> {
        let (http, body) = match self.prepared.as_ref()? {
            Prepared::Chat(req) => (None, req.engine_body(dispatch.spec.cost.max_output_tokens)),
            Prepared::Service { head, body } => (Some(head.clone()), vec![body.clone()]),
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

    async fn receive(&mut self, dispatch: &Dispatch, mut stream: AttemptStream) -> Outcome {
        let mut checksum = Xxh3::new();
        let mut is_first = true;
        loop {
            let next = tokio::select! {
                biased;
                order = self.orders.recv() => Next::Order(order),
                message = stream.reader.next::<Relay>() => Next::Message(message),
                () = self.answer.caller_gone(), if !self.is_caller_gone() => Next::CallerGone,
            };
            match next {
                Next::Message(Ok(Some(message))) => {
                    if is_first && is_answer(&message) {
                        is_first = false;
                        self.report(Event::FirstToken { attempt: dispatch.attempt }).await;
                    }
                    if let Some(outcome) = self.take(message, &mut checksum).await {
                        return outcome;
                    }
                }
                Next::Message(Ok(None) | Err(_)) => return Outcome::Failed(ResultCode::AnswerCut),
                Next::Order(Some(Order::CancelAttempt(attempt))) if attempt == dispatch.attempt => {
                    return Outcome::Cancelled;
                }
                Next::Order(Some(Order::Refuse { code, retry_after })) => {
                    // The attempt goes on where only its record is still waited for.
                    self.refuse(code, retry_after).await;
                }
                Next::Order(Some(_)) => {}
                Next::Order(None) => return Outcome::Cancelled,
                Next::CallerGone => self.report_caller_gone().await,
            }
        }
    }

    /// Takes in one message; returns the outcome if it is the last one.
    async fn take(&mut self, message: Relay, checksum: &mut Xxh3) -> Option<Outcome> {
        match message {
            Relay::Refused { code, retry_after_ms } => {
                let retry_after = retry_after_ms.map(Duration::from_millis);
                Some(Outcome::Refused { code, retry_after })
            }
            Relay::Forwarded => None,
            Relay::Failed { code } => Some(Outcome::Failed(code)),
            Relay::End(end) => Some(self.end(&end, checksum).await),
            part => {
                match &part {
                    Relay::Tokens { text, .. } => checksum.update(text.as_bytes()),
                    Relay::Bytes { bytes, .. } => checksum.update(bytes),
                    _ => {}
                }
                let passed = self.answer.pass_on(part).await;
                passed.is_err().then_some(Outcome::Failed(ResultCode::AnswerCorrupt))
            }
        }
    }

    async fn end(&mut self, end: &AnswerEnd, checksum: &Xxh3) -> Outcome {
        if end.checksum != checksum.digest() {
            return Outcome::Failed(ResultCode::AnswerCorrupt);
        }
        match self.answer.end(end).await {
            Ok(output_tokens) => Outcome::Whole { output_tokens },
            Err(_) => Outcome::Failed(ResultCode::AnswerCorrupt),
        }
    }
}

/// Whether a message is part of an answer.
const fn is_answer(message: &Relay) -> bool {
    matches!(message, Relay::Tokens { .. } | Relay::Head { .. })
}

/// Writes the opening message and the body. What the side process makes of them comes back on
/// the other half of the stream.
async fn write(send: SendStream, opening: Bytes, body: Vec<Bytes>) {
    let mut send = Resetting(send);
    let mut parts = vec![opening];
    parts.extend(body);
    if send.0.write_all_chunks(&mut parts).await.is_ok() && send.0.finish().is_ok() {
        let _ = send.0.stopped().await;
    }
}

/// Half a stream that is reset when it is dropped before its end.
struct Resetting(SendStream);

impl Drop for Resetting {
    fn drop(&mut self) {
        // Fails when the stream has ended, which is as good.
        let _ = self.0.reset(GIVEN_UP);
    }
}
