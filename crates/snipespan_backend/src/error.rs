//! Errors of backend servers, classified by whether the request may have run.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use snipespan_core::result_code::ResultCode;

/// Reason why a backend server returned no complete answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BackendError {
    /// The request is invalid or no connection was established, so no byte of it was sent.
    #[display("the request was not sent: {detail}")]
    Unreachable {
        /// Error message of the HTTP client.
        detail: CompactString,
    },
    /// The backend server reported that it did not run the request.
    #[display("refused with HTTP status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The backend server returned an error and may have run the request.
    #[display("failed with HTTP status {status}")]
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The connection was lost after bytes of the request may have been sent.
    #[display("the connection was lost: {detail}")]
    ConnectionLost {
        /// Error message of the HTTP client or of the event stream.
        detail: CompactString,
    },
    /// The answer is malformed, out of order or belongs to another request.
    #[display("the answer is invalid: {detail}")]
    Corrupt {
        /// Description of the fault in the answer.
        detail: CompactString,
    },
}

impl BackendError {
    /// Returns the result code that is reported to the entry.
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Unreachable { .. } => ResultCode::BackendUnreachable,
            Self::Refused { .. } => ResultCode::BackendRefused,
            Self::Failed { .. } => ResultCode::BackendFailed,
            Self::ConnectionLost { .. } => ResultCode::AnswerCut,
            Self::Corrupt { .. } => ResultCode::AnswerCorrupt,
        }
    }
}
