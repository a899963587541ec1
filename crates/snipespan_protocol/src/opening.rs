//! The first message of each QUIC stream that an entry opens.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use snipespan_core::attempt::AttemptSpec;
use snipespan_core::identity::RequestId;

/// What a stream is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opening {
    /// Control messages between an entry and a side process.
    Control,
    /// One attempt; the request body follows.
    Attempt(AttemptHead),
    /// A question whether a request that may not be repeated can be ruled out; a
    /// [`FenceReply`] answers it.
    Fence {
        /// The request.
        id: RequestId,
        /// How long ago its record was created.
        age: Duration,
    },
}

/// Whether a request never ran behind a side process and never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// Whether it never runs.
    pub never_runs: bool,
}

/// An attempt, before the request body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptHead {
    /// What the side process decides by.
    pub spec: AttemptSpec,
    /// Tokens of the answer that the caller has already.
    pub resume_tokens: u64,
    /// Bytes of body that follow.
    pub body_bytes: u64,
    /// W3C trace context of the entry's span, empty without one.
    pub traceparent: CompactString,
    /// Method, path and headers for a plain service.
    pub http: Option<HttpHead>,
}

/// The head of a call to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpHead {
    /// The method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Headers that are passed on.
    pub headers: Vec<(CompactString, Vec<u8>)>,
}
