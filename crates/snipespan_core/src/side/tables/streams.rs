//! Streams at a backend server; the rows are the ledger of its engine memory.

use compact_str::CompactString;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::configuration::Priority;
use crate::cost::Cost;
use crate::keys::StreamKey;
use crate::keys::TicketKey;
use crate::lifecycle::stream::State;
use crate::lifecycle::stream::StreamLifecycle;
use crate::side::event::EngineStreamId;
use crate::side::event::Offer;
use crate::table::Entity;
use crate::time::Timestamp;

/// Attempt at this backend server, from the acceptance of its offer until its memory is free.
pub struct Stream {
    /// Identifier of the stream at the engine.
    pub engine_stream: EngineStreamId,
    /// Traffic task that forwards the stream.
    pub ticket: TicketKey,
    /// Name of the client account.
    pub account: CompactString,
    /// Priority of the request; a lower number is served first.
    pub priority: Priority,
    /// Estimated cost in tokens.
    pub cost: Cost,
    /// Virtual finish in the fair shares, which orders streams of the same priority.
    pub virtual_finish: u64,
    /// When the stream was offered.
    pub offered_at: Timestamp,
    /// When the time limit of the stream expires.
    pub deadline: Timestamp,
    /// When the stream was forwarded to the backend server.
    pub started_at: Option<Timestamp>,
    /// When the answer began.
    pub first_token_at: Option<Timestamp>,
    /// When the stream ended for its entry, so that the engine should free its memory.
    pub released_at: Option<Timestamp>,
    /// When a cancel of the stream was last sent to the engine.
    pub cancelled_at: Option<Timestamp>,
    /// Whether it is safe to run the request more than once.
    pub is_repeatable: bool,
    /// Lifecycle of the stream.
    pub lifecycle: StateMachine<StreamLifecycle>,
}

impl Entity for Stream {
    type Key = StreamKey;
}

impl Stream {
    /// Creates a queued stream from an offer received at `now`.
    pub fn new(offer: &Offer, virtual_finish: u64, now: Timestamp) -> Self {
        let spec = &offer.spec;
        Self {
            engine_stream: EngineStreamId { id: spec.id, number: spec.number },
            ticket: offer.ticket,
            account: spec.account.clone(),
            priority: spec.priority,
            cost: spec.cost,
            virtual_finish,
            offered_at: now,
            deadline: now.after(spec.remaining),
            started_at: None,
            first_token_at: None,
            released_at: None,
            cancelled_at: None,
            is_repeatable: spec.is_repeatable,
            lifecycle: StreamLifecycle.state_machine(),
        }
    }

    /// Returns whether the stream is running and its answer has not begun.
    pub fn is_prefilling(&self) -> bool {
        self.state() == (State::Running {}) && self.first_token_at.is_none()
    }

    /// Returns the lifecycle state of the stream.
    pub fn state(&self) -> State {
        *self.lifecycle.state()
    }
}
