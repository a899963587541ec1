//! What happens to a side process.

use std::time::Duration;

use crate::attempt::AttemptSpec;
use crate::identity::AttemptNumber;
use crate::identity::RequestId;
use crate::keys::StreamKey;
use crate::keys::TicketKey;
use crate::time::Timestamp;

/// An event that the next tick of a side process takes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// An entry offers an attempt.
    Offered(Offer),
    /// An entry asks that a request that may not be repeated is never taken here.
    FenceRequested {
        /// The traffic task that waits for the answer.
        ticket: TicketKey,
        /// The request.
        id: RequestId,
        /// How long ago its record was created.
        age: Duration,
    },
    /// The entry gave an attempt up, or the connection to it broke.
    Abandoned {
        /// The stream.
        stream: StreamKey,
    },
    /// The backend server began its answer.
    FirstToken {
        /// The stream.
        stream: StreamKey,
    },
    /// The traffic of a stream is over, whole or not.
    Ended {
        /// The stream.
        stream: StreamKey,
    },
    /// The backend server reported its state.
    BackendReported(BackendReport),
    /// The backend server does not answer.
    BackendSilent,
    /// The platform or a signal says that the VM is leaving.
    LeavingSeen,
    /// A planned stop was asked for.
    StopRequested,
}

/// An attempt that an entry offers.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The traffic task that waits for the decision.
    pub ticket: TicketKey,
    /// The attempt.
    pub spec: AttemptSpec,
}

/// What a backend server says of itself.
#[derive(Clone, Debug, Default)]
pub struct BackendReport {
    /// Tokens of memory that the engine has; 0 for plain services.
    pub memory_tokens: u64,
    /// Prompt tokens read in per second, as the engine measures it; 0 when it does not say.
    pub prefill_tokens_per_s: u64,
    /// Streams that the engine holds memory for.
    pub held_streams: Vec<EngineStreamId>,
    /// When this report was asked for.
    pub requested_at: Timestamp,
}

/// A stream that an engine holds memory for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineStreamId {
    /// The request.
    pub id: RequestId,
    /// Which try.
    pub number: AttemptNumber,
}
