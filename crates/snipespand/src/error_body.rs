//! Error responses to callers.

use std::fmt::Display;
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use serde::Serialize;
use snipespan_core::result_code::ResultCode;

/// Response header with the number of the result code.
pub(crate) const RESULT_CODE_HEADER: &str = "snipespan-result-code";

/// Response header with the request id.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// JSON body of an error response.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody {
    error: ErrorFields,
}

#[derive(Debug, Serialize)]
struct ErrorFields {
    message: String,
    r#type: String,
    code: String,
    number: u16,
    request_id: String,
}

impl ErrorBody {
    /// Creates the body for `code`; `detail`, if any, is appended to the meaning of the code.
    pub(crate) fn new(id: impl Display, code: ResultCode, detail: Option<&str>) -> Self {
        let row = code.row();
        let message = match detail {
            Some(detail) => format!("{} {detail}", row.meaning),
            None => row.meaning.to_owned(),
        };
        Self {
            error: ErrorFields {
                message,
                r#type: row.class.to_string(),
                code: row.name.to_owned(),
                number: row.number,
                request_id: id.to_string(),
            },
        }
    }

    /// Returns the body as JSON text.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Creates the response to a request that ended with `code`; rounds `retry_after` up to seconds.
pub(crate) fn response(
    id: impl Display,
    code: ResultCode,
    retry_after: Option<Duration>,
    detail: Option<&str>,
) -> Response<Body> {
    let id = id.to_string();
    let body = ErrorBody::new(&id, code, detail).to_json();
    let mut response = Response::new(Body::from(body));
    *response.status_mut() =
        StatusCode::from_u16(code.row().http_status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("application/json"));
    headers.insert(RESULT_CODE_HEADER, HeaderValue::from(code.number()));
    if let Ok(id) = HeaderValue::from_str(&id) {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    if let Some(after) = retry_after {
        headers.insert("retry-after", HeaderValue::from(after.as_millis().div_ceil(1000) as u64));
    }
    response
}
