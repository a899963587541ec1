//! Messages that a side process sends on the stream of an attempt.

use bytes::Bytes;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use snipespan_core::result_code::ResultCode;

/// A message of the answer to an attempt.
///
/// The side process sends only `Refused`, or it sends `Forwarded`, followed by `Tokens` for a model
/// or `Head` and `Bytes` for a plain service, and finally `End` or `Failed`. `Refused` may also
/// follow `Forwarded`, if the backend server could not be reached or refused the attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Relay {
    /// The attempt was refused; the backend server did not run it.
    Refused {
        /// Reason for the refusal, a code of the class "not run".
        code: ResultCode,
        /// Time until capacity is expected to be free, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The side process is about to forward the attempt, which may have run from now on.
    Forwarded,
    /// Tokens of a model's answer.
    Tokens {
        /// Number of tokens of the complete answer before these.
        offset: u64,
        /// Number of tokens in this message.
        count: u32,
        /// Text of the tokens.
        text: CompactString,
    },
    /// Head of a plain service's answer.
    Head {
        /// HTTP status of the answer.
        status: u16,
        /// Headers that are forwarded to the caller.
        headers: Vec<(CompactString, Vec<u8>)>,
    },
    /// Part of the body of a plain service's answer.
    Bytes {
        /// Number of bytes of the body before this part.
        offset: u64,
        /// Bytes of this part.
        #[serde(with = "bytes_field")]
        bytes: Bytes,
    },
    /// The answer is complete.
    End(AnswerEnd),
    /// The answer ends before it is complete.
    Failed {
        /// Reason for the failure, a code of the class "failed" or "unknown".
        code: ResultCode,
    },
}

/// Totals of a complete answer, by which the entry verifies it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEnd {
    /// Length of the complete answer, in tokens for a model and in bytes for a plain service.
    pub total: u64,
    /// XXH3 (64 bit) of the text or bytes that this attempt relayed.
    pub checksum: u64,
    /// Reason that a model gave for the end of its answer; empty for plain services.
    pub finish_reason: CompactString,
}

/// Encoding of [`Bytes`] as a byte string instead of a sequence of numbers.
mod bytes_field {
    use bytes::Bytes;
    use serde::Deserializer;
    use serde::Serializer;
    use serde::de::Error;
    use serde::de::Visitor;

    pub(super) fn serialize<S: Serializer>(
        bytes: &Bytes,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Bytes, D::Error> {
        deserializer.deserialize_bytes(BytesVisitor)
    }

    struct BytesVisitor;

    impl Visitor<'_> for BytesVisitor {
        type Value = Bytes;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("a byte string")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Bytes, E> {
            Ok(Bytes::copy_from_slice(bytes))
        }
    }
}
