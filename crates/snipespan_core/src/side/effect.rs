//! Effects of a side process's decisions, executed by the rest of the process.

use std::time::Duration;

use crate::entry::event::Load;
use crate::keys::StreamKey;
use crate::keys::TicketKey;
use crate::result_code::ResultCode;
use crate::side::event::EngineStreamId;

/// An effect of one tick.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Refuses an offer, nothing of which was forwarded to the backend server.
    Refuse {
        /// The traffic task that waits for the decision.
        ticket: TicketKey,
        /// Reason; a code of the class "not run".
        code: ResultCode,
        /// Predicted time until capacity is free, if known.
        retry_after: Option<Duration>,
    },
    /// Replies to an entry that asked to fence a request.
    ReplyToFence {
        /// The traffic task that waits for the reply.
        ticket: TicketKey,
        /// Whether the request never ran here and never will.
        never_runs: bool,
    },
    /// Confirms that an offer is queued; its traffic task continues to wait.
    Queue {
        /// The traffic task that waits for the decision.
        ticket: TicketKey,
        /// Key of the new stream.
        stream: StreamKey,
    },
    /// Forwards a stream to the backend server.
    Start {
        /// The traffic task that waits for the decision.
        ticket: TicketKey,
        /// Priority at the engine, from 0 to 19; a lower number is served first.
        engine_priority: u16,
    },
    /// Stops a forwarded stream and reports the reason to its entry.
    Abort {
        /// The traffic task of the stream.
        ticket: TicketKey,
        /// Reason.
        code: ResultCode,
    },
    /// Cancels a stream at the engine; repeated until the engine no longer lists the stream.
    CancelAtEngine(EngineStreamId),
    /// Reports the load of the backend server to the entries.
    Report(Load),
    /// Ends the process, as all work is done after a planned stop was requested.
    Stop,
}
