//! Settings of a side process's decisions.

use std::time::Duration;

use crate::identity::Incarnation;
use crate::identity::Target;

/// Kind of backend server that a side process serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// Model engine, which holds memory for each stream.
    ModelEngine,
    /// Plain service.
    PlainService,
}

/// Settings of a side process's decisions.
#[derive(Clone, Debug)]
pub struct SideSettings {
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Kind of the backend server.
    pub kind: BackendKind,
    /// Models or services that the backend server serves.
    pub targets: Vec<Target>,
    /// Maximum number of streams in the table, including queued and reclaiming streams.
    pub max_streams: usize,
    /// Maximum number of queued streams.
    pub max_queued: usize,
    /// Maximum number of running streams.
    pub max_running: usize,
    /// Maximum age of the engine state in a report of the backend server, counted back from the
    /// request for the report.
    pub report_lag: Duration,
    /// Time after which a stream is no longer overtaken. It counts from the offer for a queued
    /// stream, and from the start for a long prompt in prefill.
    pub ageing_limit: Duration,
}
