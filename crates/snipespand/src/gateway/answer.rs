//! Answers to clients.

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

/// The answer cannot be finished; the connection is closed so that it does not look whole.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the answer was cut short")]
pub(super) struct TruncatedAnswer;

/// A part of a streamed answer.
#[derive(Debug)]
pub(super) enum BodyPart {
    /// Some bytes.
    Bytes(Bytes),
    /// The answer is whole.
    End,
}

/// The body of a streamed answer; whole only if its end was sent.
#[derive(Debug)]
pub(super) struct StreamedBody {
    parts: mpsc::Receiver<BodyPart>,
    is_ended: bool,
}

impl StreamedBody {
    /// A body of the parts that are sent.
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

/// The body of an answer: whole from the start, or streamed.
pub(super) type AnswerBody = Either<Full<Bytes>, StreamedBody>;

/// A backend server's answer that is whole.
pub(super) fn complete_response(
    status: u16,
    headers: &HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    set_head(&mut response, status, headers);
    // The length is stated anew, as the backend server may have stated none.
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// A backend server's answer that is passed on as it comes.
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

/// An answer of this gateway itself.
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
        // The platform takes fractions of a second.
        let text = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&text) {
            fields.insert(header::RETRY_AFTER, value);
        }
    }
    response
}
