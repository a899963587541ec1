//! Errors of the platform's services.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

/// Why a call to the platform returned no valid result.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The platform certainly did nothing.
    #[display("the platform refused the call: {detail}")]
    Refused {
        /// The message of the service, or why the URL of the platform is invalid.
        detail: CompactString,
    },
    /// It is unknown whether the call took effect: no answer arrived, or one that does not state
    /// it.
    #[display("the platform did not confirm the call: {detail}")]
    NoAnswer {
        /// How the call failed, or why its effect is unknown.
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
            // The platform returns these two statuses only before it does anything.
            tonic::Code::ResourceExhausted | tonic::Code::InvalidArgument => {
                Self::Refused { detail }
            }
            _ => Self::NoAnswer { detail },
        }
    }
}
