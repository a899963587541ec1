//! Builds answers to clients.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Either;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use hyper::header;
use hyper::header::HeaderValue;
use snipespan_core::result_code::ResultCode;
use snipespan_platform_adapter::headers;
use tokio::sync::mpsc;

use crate::error_body::ErrorBody;
use crate::error_body::RESULT_CODE_HEADER;

/// Error of a streamed answer that cannot be completed.
///
/// It makes the HTTP server close the connection, so that the client does not mistake the answer
/// for a complete one.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer ended before it was complete")]
pub(super) struct TruncatedAnswer;

/// A part of the body of a streamed answer.
#[derive(Debug)]
pub(super) enum BodyPart {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The end of a complete body.
    End,
}

/// The body of a streamed answer, which fails with [`TruncatedAnswer`] if [`BodyPart::End`] is not
/// sent.
#[derive(Debug)]
pub(super) struct StreamedBody {
    parts: mpsc::Receiver<BodyPart>,
    is_ended: bool,
}

impl StreamedBody {
    /// Creates a body of the parts that arrive on `parts`.
    pub(super) const fn new(parts: mpsc::Receiver<BodyPart>) -> Self {
        Self { parts, is_ended: false }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        self.parts.poll_recv(cx).map(|part| match part {
            Some(BodyPart::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(BodyPart::End) => {
                self.is_ended = true;
                None
            }
            None => Some(Err(TruncatedAnswer)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// The body of an answer, either complete from the start or streamed.
pub(super) type AnswerBody = Either<Full<Bytes>, StreamedBody>;

/// Returns a complete answer of a backend server as a response to the client.
pub(super) fn complete_response(
    status: u16,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    set_head(&mut response, status, headers);
    // The HTTP library sets the length of the body; the backend server may have given none.
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// Returns a response whose body is forwarded while the backend server sends it.
pub(super) fn streamed_response(
    status: u16,
    headers: &HeaderMap,
    parts: mpsc::Receiver<BodyPart>,
) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Right(StreamedBody::new(parts)));
    set_head(&mut response, status, headers);
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

fn set_head(response: &mut Response<AnswerBody>, status: u16, headers: &HeaderMap) {
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers::end_to_end_headers(headers);
}

/// Returns the answer to a request of a gateway that takes this one for a backend server, because a
/// listing has its address.
pub(super) fn misdirected_response(id: &str) -> Response<AnswerBody> {
    let mut response = error_response(id, ResultCode::IncarnationMismatch, None);
    *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    response
}

/// Returns an answer of this gateway itself, which carries a result code, with a `Retry-After`
/// field if `retry_after` is given.
pub(super) fn error_response(
    id: &str,
    code: ResultCode,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let body = ErrorBody::new(id, code, None).to_json();
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(body))));
    let status = code.row().http_status;
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let fields = response.headers_mut();
    fields.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    fields.insert(RESULT_CODE_HEADER, HeaderValue::from(code.number()));
    headers::insert_request_id(fields, id);
    if let Some(after) = retry_after {
        // The platform accepts fractions of a second in this field.
        let text = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            fields.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
