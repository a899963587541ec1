//! What a caller saw of one request.

use std::time::Duration;

use compact_str::CompactString;
use snipespan_core::result_code::ResultCode;

/// How a chat completion went, as its caller saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChatOutcome {
    /// HTTP status; 0 when no response came.
    pub status: u16,
    /// The result code: of the response, or of the error event that ended it.
    pub code: Option<ResultCode>,
    /// The request's identity, if the response named it.
    pub request_id: Option<CompactString>,
    /// The text that came.
    pub text: String,
    /// Chunks with text.
    pub text_chunks: u64,
    /// Whether the answer ended as a whole one does.
    pub is_complete: bool,
    /// Time to the first text.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// What else was seen: a broken connection, an error message.
    pub detail: Option<String>,
}

/// How a call to a plain service went, as its caller saw it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallOutcome {
    /// HTTP status; 0 when no response came.
    pub status: u16,
    /// The result code of the response.
    pub code: Option<ResultCode>,
    /// Whether the answer came from the record of an earlier request.
    pub is_replayed: bool,
    /// Whether the whole body came.
    pub is_complete: bool,
    /// The body.
    pub body: String,
    /// Time to the end.
    pub total: Duration,
}
