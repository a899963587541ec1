//! Errors of backend servers, sorted by what they say about the request having run.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use snipespan_core::result_code::ResultCode;

/// Why a backend server gave no whole answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum BackendError {
    /// No connection could be made, so no byte of the request was sent.
    #[display("cannot connect: {detail}")]
    Unreachable {
        /// What was seen.
        detail: CompactString,
    },
    /// The backend server said that it did not run the request.
    #[display("refused with HTTP status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The backend server answered with an error after it may have run the request.
    #[display("failed with HTTP status {status}")]
    Failed {
        /// HTTP status.
        status: u16,
    },
    /// The connection broke after bytes of the request may have been sent.
    #[display("the connection broke: {detail}")]
    ConnectionLost {
        /// What was seen.
        detail: CompactString,
    },
    /// The answer is not one to this request, or not in order.
    #[display("the answer is wrong: {detail}")]
    Corrupt {
        /// What is wrong.
        detail: CompactString,
    },
}

impl BackendError {
    /// The result code that says this to an entry.
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
