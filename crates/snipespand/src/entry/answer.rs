//! The answer to one caller: the parts forwarded so far and the state needed to continue.

mod chat;
mod service;

use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderValue;
use axum::http::Response;
use bytes::Bytes;
use snipespan_core::identity::RequestId;
use snipespan_core::result_code::ResultCode;
use snipespan_platform::idempotency::StoredAnswer;
use snipespan_protocol::relay::AnswerEnd;
use snipespan_protocol::relay::Relay;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_stream::wrappers::ReceiverStream;

use crate::entry::answer::chat::ChatAnswer;
use crate::entry::answer::service::ServiceAnswer;
use crate::entry::chat::ChatRequest;
use crate::error_body;
use crate::error_body::REQUEST_ID_HEADER;
use crate::error_body::RESULT_CODE_HEADER;

/// Maximum number of answer parts buffered for a slow caller; further ones wait, which slows down
/// the backend server.
const MAX_BUFFERED_PARTS: usize = 256;

/// Maximum time for which a caller may accept no data before it counts as disconnected.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Error for a part of an attempt's answer that does not continue the parts forwarded so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CorruptAnswer;

/// The format of the answer, unknown until the request body is validated.
enum AnswerFormat {
    Unknown,
    Chat(ChatAnswer),
    Service(ServiceAnswer),
}

/// The HTTP response to the caller: its head, then the parts of its body.
struct CallerOutput {
    id: RequestId,
    head: Option<oneshot::Sender<Response<Body>>>,
    body: Option<mpsc::Sender<Result<Bytes, std::io::Error>>>,
    is_disconnected: bool,
}

/// The answer to one caller.
pub(super) struct Answer {
    output: CallerOutput,
    format: AnswerFormat,
}

impl Answer {
    /// Creates an answer that sends its response to `head`.
    pub(super) fn new(id: RequestId, head: oneshot::Sender<Response<Body>>) -> Self {
        let output = CallerOutput { id, head: Some(head), body: None, is_disconnected: false };
        Self { output, format: AnswerFormat::Unknown }
    }

    /// Sets the format to a chat completion.
    pub(super) fn set_chat(&mut self, req: &ChatRequest) {
        self.format = AnswerFormat::Chat(ChatAnswer::new(self.output.id, req));
    }

    /// Sets the format to the answer of a plain service; with `is_recorded` its body is kept
    /// for the durable record.
    pub(super) fn set_service(&mut self, is_recorded: bool) {
        self.format = AnswerFormat::Service(ServiceAnswer::new(is_recorded));
    }

    /// Waits until the caller disconnects.
    pub(super) async fn caller_disconnected(&mut self) {
        match (&mut self.output.head, &self.output.body) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) if self.output.is_disconnected => {}
            // The response has ended, so a disconnect no longer matters.
            (None, None) => std::future::pending().await,
        }
    }

    /// Returns the number of tokens that the attempts so far have delivered to this entry; the next
    /// attempt resumes after them. 0 for a plain service.
    pub(super) const fn delivered_tokens(&self) -> u64 {
        match &self.format {
            AnswerFormat::Chat(chat) => chat.tokens(),
            AnswerFormat::Unknown | AnswerFormat::Service(_) => 0,
        }
    }

    /// Returns whether another attempt can resume where the last one stopped.
    pub(super) const fn is_resumable(&self) -> bool {
        match &self.format {
            AnswerFormat::Chat(_) => true,
            AnswerFormat::Service(service) => !service.has_started(),
            AnswerFormat::Unknown => false,
        }
    }

    /// Forwards part of an attempt's answer to the caller.
    ///
    /// # Errors
    /// [`CorruptAnswer`] if the part does not continue the parts forwarded so far.
    pub(super) async fn forward(&mut self, relay: Relay) -> Result<(), CorruptAnswer> {
        let output = &mut self.output;
        match (&mut self.format, relay) {
            (AnswerFormat::Chat(chat), Relay::Tokens { offset, count, text }) => {
                chat.forward(output, offset, count, &text).await
            }
            (AnswerFormat::Service(service), Relay::Head { status, headers }) => {
                service.start(output, status, headers);
                Ok(())
            }
            (AnswerFormat::Service(service), Relay::Bytes { offset, bytes }) => {
                service.forward(output, offset, bytes).await
            }
            _ => Err(CorruptAnswer),
        }
    }

    /// Ends the complete answer and returns its number of tokens, 0 for a plain service.
    ///
    /// # Errors
    /// [`CorruptAnswer`] if the length in `end` differs from what was forwarded.
    pub(super) async fn finish(&mut self, end: &AnswerEnd) -> Result<u64, CorruptAnswer> {
        let output = &mut self.output;
        match &mut self.format {
            AnswerFormat::Chat(chat) => chat.finish(output, end).await,
            AnswerFormat::Service(service) => service.finish(output, end).map(|()| 0),
            AnswerFormat::Unknown => Err(CorruptAnswer),
        }
    }

    /// Ends the answer with a result code: as an error response if nothing was sent yet, and
    /// otherwise with an error event or a broken body, so that no caller mistakes the answer for
    /// a complete one.
    pub(super) async fn fail(
        &mut self,
        code: ResultCode,
        retry_after: Option<Duration>,
        detail: Option<&str>,
    ) {
        let output = &mut self.output;
        if let Some(head) = output.head.take() {
            let response = error_body::response(output.id, code, retry_after, detail);
            // The send fails if the caller has disconnected.
            let _ = head.send(response);
            return;
        }
        if let AnswerFormat::Chat(chat) = &self.format {
            chat.fail(output, code).await;
        } else if let Some(body) = output.body.take() {
            let broken = Err(std::io::Error::other(code));
            let _ = body.send_timeout(broken, CALLER_WRITE_TIMEOUT).await;
        }
        output.body = None;
    }

    /// Answers with the recorded answer of an earlier request.
    pub(super) fn replay(&mut self, stored: StoredAnswer) {
        let mut headers = Vec::new();
        if let Some(content_type) = stored.content_type {
            headers.push(("content-type".into(), content_type.as_bytes().to_vec()));
        }
        let replayed = ("idempotency-replayed".into(), b"true".to_vec());
        headers.push(replayed);
        let response = service::response(stored.status, headers, Body::from(stored.body));
        self.output.send_response(response);
    }

    /// Returns the answer for the durable record, `None` unless it is complete and was kept.
    pub(super) fn stored_answer(&self) -> Option<StoredAnswer> {
        match &self.format {
            AnswerFormat::Service(service) => service.stored_answer(),
            AnswerFormat::Unknown | AnswerFormat::Chat(_) => None,
        }
    }
}

impl CallerOutput {
    /// Sends the head of a response whose body is streamed in parts.
    fn start_body(&mut self, build_response: impl FnOnce(Body) -> Response<Body>) {
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_PARTS);
        let body = Body::from_stream(ReceiverStream::new(rx));
        self.body = Some(tx);
        self.send_response(build_response(body));
    }

    /// Sends a response with the headers for the request id and the result code `ok`.
    fn send_response(&mut self, mut response: Response<Body>) {
        let headers = response.headers_mut();
        headers.insert(RESULT_CODE_HEADER, HeaderValue::from(ResultCode::Ok.number()));
        if let Ok(id) = HeaderValue::from_str(&self.id.to_string()) {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        if let Some(head) = self.head.take() {
            // The send fails if the caller has disconnected.
            let _ = head.send(response);
        }
    }

    /// Sends part of the body. After a disconnect, or if the caller accepts no data for
    /// [`CALLER_WRITE_TIMEOUT`], later parts are dropped.
    async fn send_part(&mut self, part: Bytes) {
        let Some(body) = &self.body else { return };
        if body.send_timeout(Ok(part), CALLER_WRITE_TIMEOUT).await.is_err() {
            self.is_disconnected = true;
            self.body = None;
        }
    }
}
