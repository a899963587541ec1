//! Answers of plain services, forwarded as they arrive.

use axum::body::Body;
use axum::http::HeaderName;
use axum::http::HeaderValue;
use axum::http::Response;
use axum::http::StatusCode;
use bytes::Bytes;
use compact_str::CompactString;
use snipespan_platform::idempotency::StoredAnswer;
use snipespan_protocol::relay::AnswerEnd;

use crate::entry::answer::CallerOutput;
use crate::entry::answer::CorruptAnswer;

/// Maximum length in bytes of a body kept for the durable record; a longer answer is recorded with
/// an unknown outcome.
pub(super) const MAX_RECORDED_BYTES: usize = 8 << 20;

/// An answer of a plain service.
pub(super) struct ServiceAnswer {
    is_recorded: bool,
    status: u16,
    content_type: Option<CompactString>,
    /// Length in bytes of the body received so far.
    received: u64,
    has_started: bool,
    is_complete: bool,
    recorded_body: Vec<u8>,
}

impl ServiceAnswer {
    pub(super) const fn new(is_recorded: bool) -> Self {
        Self {
            is_recorded,
            status: 0,
            content_type: None,
            received: 0,
            has_started: false,
            is_complete: false,
            recorded_body: Vec::new(),
        }
    }

    pub(super) const fn has_started(&self) -> bool {
        self.has_started
    }

    pub(super) fn start(
        &mut self,
        output: &mut CallerOutput,
        status: u16,
        headers: Vec<(CompactString, Vec<u8>)>,
    ) {
        self.has_started = true;
        self.status = status;
        let content_type = headers.iter().find(|(name, _)| name == "content-type");
        let content_type = content_type.and_then(|(_, value)| std::str::from_utf8(value).ok());
        self.content_type = content_type.map(CompactString::from);
        output.start_body(|body| response(status, headers, body));
    }

    pub(super) async fn forward(
        &mut self,
        output: &mut CallerOutput,
        offset: u64,
        bytes: Bytes,
    ) -> Result<(), CorruptAnswer> {
        if !self.has_started || offset != self.received {
            return Err(CorruptAnswer);
        }
        self.received += bytes.len() as u64;
        if self.is_recorded && self.received <= MAX_RECORDED_BYTES as u64 {
            self.recorded_body.extend_from_slice(&bytes);
        }
        output.send_part(bytes).await;
        Ok(())
    }

    pub(super) fn finish(
        &mut self,
        output: &mut CallerOutput,
        end: &AnswerEnd,
    ) -> Result<(), CorruptAnswer> {
        if !self.has_started || end.total != self.received {
            return Err(CorruptAnswer);
        }
        self.is_complete = true;
        output.body = None;
        Ok(())
    }

    pub(super) fn stored_answer(&self) -> Option<StoredAnswer> {
        let is_storable = self.is_recorded
            && self.is_complete
            && self.received == self.recorded_body.len() as u64;
        is_storable.then(|| StoredAnswer {
            status: self.status,
            content_type: self.content_type.clone(),
            body: self.recorded_body.clone(),
            is_body_object: false,
        })
    }
}

/// Builds a response with the status and headers of a plain service; invalid headers are skipped.
pub(super) fn response(
    status: u16,
    headers: Vec<(CompactString, Vec<u8>)>,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(&value);
        if let (Ok(name), Ok(value)) = (name, value) {
            response.headers_mut().append(name, value);
        }
    }
    response
}
