//! The first message of each QUIC stream that an entry opens.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use snipespan_core::attempt::AttemptSpec;
use snipespan_core::identity::RequestId;

/// The purpose of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opening {
    /// Control messages between an entry and a side process.
    Control,
    /// One attempt; the request body follows this message.
    Attempt(AttemptHead),
    /// Asks to fence an abandoned request, which must not run more than once, so that it never runs
    /// from then on; the reply is a [`FenceReply`]. A request is abandoned if its entry created its
    /// durable idempotency record but recorded no outcome before its deadline.
    Fence {
        /// Identity of the abandoned request.
        id: RequestId,
        /// Time since the durable idempotency record of the request was created.
        age: Duration,
    },
}

/// Reply of a side process to [`Opening::Fence`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceReply {
    /// Whether the request never ran at the side process's backend server and never will.
    pub never_runs: bool,
}

/// Head of an attempt, sent before the request body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptHead {
    /// The attempt, with everything that the side process needs to schedule it.
    pub spec: AttemptSpec,
    /// Number of tokens of the answer that earlier attempts delivered to the entry.
    pub resume_tokens: u64,
    /// Length of the request body that follows, in bytes.
    pub body_bytes: u64,
    /// W3C trace context of the entry's span; empty if there is none.
    pub traceparent: CompactString,
    /// Head of the HTTP request; `None` for models.
    pub http: Option<HttpHead>,
}

/// Head of an HTTP request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpHead {
    /// HTTP method.
    pub method: CompactString,
    /// Path and query of the URL.
    pub path: CompactString,
    /// Headers that are forwarded to the service.
    pub headers: Vec<(CompactString, Vec<u8>)>,
}
