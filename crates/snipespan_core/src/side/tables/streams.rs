//! Streams of work at a backend server: the ledger of its memory.

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

/// An attempt at this backend server, from its admission until its memory is free again.
pub struct Stream {
    /// Its identity at the engine.
    pub engine_stream: EngineStreamId,
    /// Its traffic task.
    pub ticket: TicketKey,
    /// The client account.
    pub account: CompactString,
    /// Its priority.
    pub priority: Priority,
    /// Predicted work.
    pub cost: Cost,
    /// Its order in the fair shares.
    pub virtual_finish: u64,
    /// When it was offered.
    pub offered_at: Timestamp,
    /// When it must have ended.
    pub deadline: Timestamp,
    /// When it was forwarded.
    pub started_at: Option<Timestamp>,
    /// When its answer began.
    pub first_token_at: Option<Timestamp>,
    /// When its memory was asked back.
    pub released_at: Option<Timestamp>,
    /// When the engine was last told to free it.
    pub cancelled_at: Option<Timestamp>,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Where it is in its life.
    pub lifecycle: StateMachine<StreamLifecycle>,
}

impl Entity for Stream {
    type Key = StreamKey;
}

impl Stream {
    /// A stream that waits to be started.
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

    /// Whether its engine is reading its prompt in.
    pub fn is_prefilling(&self) -> bool {
        self.state() == (State::Running {}) && self.first_token_at.is_none()
    }

    /// Where it is in its life.
    pub fn state(&self) -> State {
        *self.lifecycle.state()
    }
}
