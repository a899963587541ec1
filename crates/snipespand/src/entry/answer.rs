//! The answer to one caller: what was passed on so far, and how it goes on.

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

/// Parts of an answer that wait for a slow caller before its backend server has to wait.
const MAX_BUFFERED_PARTS: usize = 256;

/// A caller that takes nothing for this long is gone.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// What a part of an attempt's answer did not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CorruptAnswer;

/// The shape of the answer.
enum AnswerFormat {
    Unknown,
    Chat(ChatAnswer),
    Service(ServiceAnswer),
}

/// The way to the caller.
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
    /// An answer whose head goes to `head`.
    pub(super) fn new(id: RequestId, head: oneshot::Sender<Response<Body>>) -> Self {
        let output = CallerOutput { id, head: Some(head), body: None, is_disconnected: false };
        Self { output, format: AnswerFormat::Unknown }
    }

    /// Answers a chat completion from now on.
    pub(super) fn set_chat(&mut self, req: &ChatRequest) {
        self.format = AnswerFormat::Chat(ChatAnswer::new(self.output.id, req));
    }

    /// Answers a call to a plain service from now on; `keeps` its bytes for a durable record.
    pub(super) fn set_service(&mut self, is_recorded: bool) {
        self.format = AnswerFormat::Service(ServiceAnswer::new(is_recorded));
    }

    /// Waits until the caller is gone.
    pub(super) async fn caller_disconnected(&mut self) {
        match (&mut self.output.head, &self.output.body) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) if self.output.is_disconnected => {}
            (None, None) => std::future::pending().await,
        }
    }

    /// Tokens that the caller has; the next attempt goes on from there.
    pub(super) const fn delivered_tokens(&self) -> u64 {
        match &self.format {
            AnswerFormat::Chat(chat) => chat.tokens(),
            AnswerFormat::Unknown | AnswerFormat::Service(_) => 0,
        }
    }

    /// Whether another attempt can go on where the last one stopped.
    pub(super) const fn is_resumable(&self) -> bool {
        match &self.format {
            AnswerFormat::Chat(_) => true,
            AnswerFormat::Service(service) => !service.has_started(),
            AnswerFormat::Unknown => false,
        }
    }

    /// Passes on part of an attempt's answer.
    ///
    /// # Errors
    /// [`CorruptAnswer`] when it does not continue what was passed on.
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

    /// Ends the answer whole; returns its tokens.
    ///
    /// # Errors
    /// [`CorruptAnswer`] when its length is not what was passed on.
    pub(super) async fn finish(&mut self, end: &AnswerEnd) -> Result<u64, CorruptAnswer> {
        let output = &mut self.output;
        match &mut self.format {
            AnswerFormat::Chat(chat) => chat.finish(output, end).await,
            AnswerFormat::Service(service) => service.finish(output, end).map(|()| 0),
            AnswerFormat::Unknown => Err(CorruptAnswer),
        }
    }

    /// Ends the answer with a result code: as an error response before it began, and otherwise
    /// in a way that no caller takes for a whole answer.
    pub(super) async fn fail(
        &mut self,
        code: ResultCode,
        retry_after: Option<Duration>,
        detail: Option<&str>,
    ) {
        let output = &mut self.output;
        if let Some(head) = output.head.take() {
            let response = error_body::response(output.id, code, retry_after, detail);
            // The caller may be gone.
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

    /// Answers with what an earlier request recorded.
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

    /// The answer for the durable record, if it is whole and was kept.
    pub(super) fn stored_answer(&self) -> Option<StoredAnswer> {
        match &self.format {
            AnswerFormat::Service(service) => service.stored_answer(),
            AnswerFormat::Unknown | AnswerFormat::Chat(_) => None,
        }
    }
}

impl CallerOutput {
    /// Sends the head of a response whose body follows in parts.
    fn start_body(&mut self, build_response: impl FnOnce(Body) -> Response<Body>) {
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_PARTS);
        let body = Body::from_stream(ReceiverStream::new(rx));
        self.body = Some(tx);
        self.send_response(build_response(body));
    }

    /// Sends a whole response.
    fn send_response(&mut self, mut response: Response<Body>) {
        let headers = response.headers_mut();
        headers.insert(RESULT_CODE_HEADER, HeaderValue::from(ResultCode::Ok.number()));
        if let Ok(id) = HeaderValue::from_str(&self.id.to_string()) {
            headers.insert(REQUEST_ID_HEADER, id);
        }
        if let Some(head) = self.head.take() {
            // The caller may be gone.
            let _ = head.send(response);
        }
    }

    /// Sends part of the body; a caller that is gone, or takes nothing for too long, gets no more.
    async fn send_part(&mut self, part: Bytes) {
        let Some(body) = &self.body else { return };
        if body.send_timeout(Ok(part), CALLER_WRITE_TIMEOUT).await.is_err() {
            self.is_disconnected = true;
            self.body = None;
        }
    }
}
