//! What a side process's decisions ask the rest of the process to do.

use std::time::Duration;

use crate::entry::event::Load;
use crate::keys::StreamKey;
use crate::keys::TicketKey;
use crate::result_code::ResultCode;
use crate::side::event::EngineStreamId;

/// An effect of one tick.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Refuse an offer; nothing of it has reached the backend server.
    Refuse {
        /// The waiting traffic task.
        ticket: TicketKey,
        /// Why; a code of the class "not run".
        code: ResultCode,
        /// When room is expected, if that is known.
        retry_after: Option<Duration>,
    },
    /// Tell an entry whether a request never ran here and never will.
    ReplyToFence {
        /// The waiting traffic task.
        ticket: TicketKey,
        /// Whether it never runs.
        never_runs: bool,
    },
    /// Take an offer into the queue; its traffic task waits on.
    Queue {
        /// The waiting traffic task.
        ticket: TicketKey,
        /// The key of the stream from now on.
        stream: StreamKey,
    },
    /// Forward a stream to the backend server.
    Start {
        /// The waiting traffic task.
        ticket: TicketKey,
        /// Priority at the engine; a lower number goes first.
        engine_priority: u16,
    },
    /// Stop a stream that was forwarded, and say why to its entry.
    Abort {
        /// The traffic task.
        ticket: TicketKey,
        /// Why.
        code: ResultCode,
    },
    /// Tell the engine to free a stream; repeated until its list no longer has it.
    CancelAtEngine(EngineStreamId),
    /// Tell the entries how loaded the backend server is.
    Report(Load),
    /// All work is done after a planned stop.
    Stop,
}
