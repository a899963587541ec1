//! Errors of the platform's services.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

/// Why a call to the platform returned no valid result.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The service refused the call and did nothing.
    #[display("the platform refused the call: {detail}")]
    Refused {
        /// The message of the service, or why the URL of the platform is invalid.
        detail: CompactString,
    },
    /// No answer arrived; a write may have been applied.
    #[display("the platform gave no answer: {detail}")]
    NoAnswer {
        /// How the call failed.
        detail: CompactString,
    },
    /// A stored value is malformed, or a value cannot be encoded.
    #[display("the value of {name} in the platform's store is invalid: {detail}")]
    Corrupt {
        /// Key of the row, or name of the object.
        name: CompactString,
        /// What is wrong with the value.
        detail: CompactString,
    },
}

impl From<tonic::Status> for PlatformError {
    fn from(status: tonic::Status) -> Self {
        let detail = CompactString::from(status.message());
        match status.code() {
            tonic::Code::ResourceExhausted | tonic::Code::InvalidArgument => {
                Self::Refused { detail }
            }
            _ => Self::NoAnswer { detail },
        }
    }
}
