//! Open work at the backend servers: attempts, helpers and reservations of this gateway, and those
//! that its peers report.

use serde::Deserialize;
use serde::Serialize;

use crate::keys::BackendServerKey;
use crate::keys::PeerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::table::Entity;
use crate::time::Timestamp;

/// Id of a piece of work, unique within the gateway that dispatched it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkId(pub u64);

/// Phase of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The prompt is in prefill or waits for it.
    Prefill,
    /// The first event was received and the answer is being decoded.
    Decode,
}

/// Order in which an engine admits work, lowest first; work of one urgency in the order of its arrival.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency(u8);

impl Urgency {
    /// Number of urgencies that engines know.
    pub const COUNT: usize = 10;

    /// Returns the urgency of a priority; all below the tenth share the last one.
    pub fn of_priority(priority: u8) -> Self {
        Self(priority.min(Self::COUNT as u8 - 1))
    }

    /// Returns its number, from 0 to 9.
    pub const fn get(self) -> u8 {
        self.0
    }
}

/// Who dispatched a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkOwner {
    /// This gateway, for one of its requests.
    Own(RequestKey),
    /// Another gateway, under the id that it gave the work.
    Peer(PeerKey, WorkId),
}

/// Resources and time that a piece of work needs at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkDemand {
    /// Prompt tokens that stay in its memory; 0 at a plain service and at a helper that keeps no
    /// part of the prompt.
    pub prompt_tokens: u64,
    /// Expected output tokens; 0 where another backend server decodes the answer.
    pub output_tokens: u64,
    /// Time of its prefill on an idle engine, in ms.
    pub prefill_ms: f64,
    /// Maximum time from arrival to the first event of a stream, or to the answer of a plain
    /// service, that counts as on time, in ms.
    pub latency_goal_ms: f64,
    /// Maximum pause between events that counts as on time, in ms; 0 without a goal.
    pub gap_goal_ms: f64,
    /// Order in which the engine admits it.
    pub urgency: Urgency,
}

/// A piece of work at one backend server.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// Who dispatched it.
    pub owner: WorkOwner,
    /// The backend server that runs it.
    pub backend_server: BackendServerKey,
    /// Resources and time that it needs there.
    pub demand: WorkDemand,
    /// Length of the body that was sent with it, in bytes.
    pub body_bytes: u64,
    /// Phase of its processing.
    pub phase: Phase,
    /// When it was dispatched.
    pub dispatched: Timestamp,
    /// When its gateway last reported it; for own work, when it was dispatched.
    pub confirmed: Timestamp,
    /// Expected time from the dispatch to the first event, in ms; 0 if unknown.
    pub expected_first_event_ms: f64,
}

impl Entity for Work {
    type Key = WorkKey;
}
