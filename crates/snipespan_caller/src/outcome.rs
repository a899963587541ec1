//! Outcome of one request, as observed by its caller.

use std::time::Duration;

use compact_str::CompactString;
use snipespan_core::result_code::ResultCode;

/// Outcome of a chat completion, as observed by its caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChatOutcome {
    /// HTTP status; 0 if no response was received.
    pub status: u16,
    /// Result code of the response, or of the error event that ended the stream.
    pub code: Option<ResultCode>,
    /// Request id, if the response has one.
    pub request_id: Option<CompactString>,
    /// Received text of the answer.
    pub text: String,
    /// Number of chunks with text; 1 for an answer that is not streamed.
    pub text_chunks: u64,
    /// Whether the answer is complete: a stream has ended with `[DONE]`, any other answer has a
    /// text.
    pub is_complete: bool,
    /// Time from the start of the request to the first text.
    pub first_token: Option<Duration>,
    /// Time from the start of the request to its end.
    pub total: Duration,
    /// Message of a lost connection, an error answer or an invalid event.
    pub detail: Option<String>,
}

/// Outcome of a call to a plain service, as observed by its caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallOutcome {
    /// HTTP status; 0 if no response was received.
    pub status: u16,
    /// Result code of the response.
    pub code: Option<ResultCode>,
    /// Whether the answer was replayed from the record of an earlier request.
    pub is_replayed: bool,
    /// Whether the body was received completely.
    pub is_complete: bool,
    /// Received body as text.
    pub body: String,
    /// Time from the start of the request to its end.
    pub total: Duration,
}
