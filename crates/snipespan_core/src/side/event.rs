//! Events that a side process's decisions handle.

use std::time::Duration;

use crate::attempt::AttemptSpec;
use crate::identity::AttemptNumber;
use crate::identity::RequestId;
use crate::keys::StreamKey;
use crate::keys::TicketKey;
use crate::time::Timestamp;

/// An event that the next tick of a side process handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry offered an attempt.
    Offered(Offer),
    /// An entry asked to fence an unrepeatable request, so that it is never accepted here.
    FenceRequested {
        /// The traffic task that waits for the reply.
        ticket: TicketKey,
        /// The request.
        id: RequestId,
        /// Age of the durable record of the request.
        age: Duration,
    },
    /// The attempt ended early, because the entry abandoned it, the connection to the entry broke
    /// or the answer failed; the engine may still be processing it.
    Abandoned {
        /// The stream.
        stream: StreamKey,
    },
    /// The answer began: the first tokens of a model engine or the response head of a plain service
    /// arrived.
    FirstToken {
        /// The stream.
        stream: StreamKey,
    },
    /// The transfer of the answer ended, and the engine has finished the stream.
    Ended {
        /// The stream.
        stream: StreamKey,
    },
    /// The backend server answered a probe with a report of its state.
    BackendReported(BackendReport),
    /// The backend server has answered no probe for the `silence_limit` of the process's settings.
    BackendSilent,
    /// The platform's list of VMs marks the VM of this process as leaving.
    LeavingSeen,
    /// A planned stop was requested.
    StopRequested,
}

/// Attempt that an entry offers to a side process.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The traffic task that waits for the decision.
    pub ticket: TicketKey,
    /// The attempt.
    pub spec: AttemptSpec,
}

/// State of a backend server as reported by itself.
#[derive(Clone, Debug, Default)]
pub struct BackendReport {
    /// Total engine memory in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Prefill rate measured by the engine, in prompt tokens per second; 0 if not reported.
    pub prefill_tokens_per_s: u64,
    /// Streams for which the engine holds memory.
    pub held_streams: Vec<EngineStreamId>,
    /// When the side process requested this report.
    pub requested_at: Timestamp,
}

/// Identifier of a stream at a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineStreamId {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt within its request.
    pub number: AttemptNumber,
}
