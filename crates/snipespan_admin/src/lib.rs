//! Schema of the operators' remote procedure calls, and the code generated from it.

#[allow(missing_docs, clippy::all, unreachable_pub, reason = "generated from proto/admin.proto")]
#[rustfmt::skip]
#[path = "generated/snipespan.admin.v1.rs"]
pub mod v1;

/// Key of the gRPC metadata that contains the number of a result code.
pub const RESULT_CODE_METADATA: &str = "snipespan-result-code";
