//! Open work at the backend servers: this gateway's attempts and those its peers report.

use serde::Deserialize;
use serde::Serialize;

use crate::keys::BackendServerKey;
use crate::keys::PeerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::table::Entity;
use crate::time::Timestamp;

/// A piece of work as its gateway names it to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkId(pub u64);

/// How far a piece of work is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The prompt is being read or waits to be.
    Prefill,
    /// The answer is being written.
    Decode,
}

/// Which work an engine admits first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rank {
    /// It may still be answered within its latency goal.
    OnTime,
    /// It is late already, and waits for room that nothing on time needs.
    Late,
}

/// Who dispatched a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOwner {
    /// This gateway, for one of its requests.
    Own(RequestKey),
    /// Another gateway.
    Peer(PeerKey, WorkId),
}

/// What a piece of work asks of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkDemand {
    /// Prompt tokens that this backend server reads; 0 at a plain service.
    pub prompt_tokens: u64,
    /// Expected output tokens; 0 where another backend server writes the answer.
    pub output_tokens: u64,
    /// Time of its reading on an idle engine, in ms.
    pub prefill_ms: f64,
    /// Time to the first event that earns full credit, in ms.
    pub latency_goal_ms: f64,
    /// Longest pause between events that earns full credit, in ms; 0 if it has none.
    pub gap_goal_ms: f64,
    /// Its value against other work.
    pub value: f64,
    /// Whether the engine admits it before other work.
    pub rank: Rank,
}

/// A piece of work at one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Who dispatched it.
    pub owner: WorkOwner,
    /// Where.
    pub backend_server: BackendServerKey,
    /// What it asks.
    pub demand: WorkDemand,
    /// How far it is.
    pub phase: Phase,
    /// When it was dispatched.
    pub dispatched: Timestamp,
    /// When its gateway last reported it; its dispatch for own work.
    pub confirmed: Timestamp,
    /// Milliseconds from the dispatch to the first event that were expected.
    pub expected_first_event_ms: f64,
}

impl Entity for Work {
    type Key = WorkKey;
}
