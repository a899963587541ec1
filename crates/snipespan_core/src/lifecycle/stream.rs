//! Lifecycle of a stream in a side process.
#![allow(missing_docs, reason = "the state machine macro generates undocumented items")]

use statig::prelude::*;

/// Event in the lifecycle of a stream.
#[derive(Clone, Copy, Debug)]
pub enum StreamEvent {
    /// The stream was forwarded to the backend server.
    Started,
    /// The stream ended for its entry. If it was running, it is reclaiming from now on, as the
    /// engine may still hold its memory.
    Released,
    /// The engine's list of streams no longer contains the stream.
    Confirmed,
}

/// Shared storage of the state machine; empty, as only the state is used.
#[derive(Debug, Default)]
pub struct StreamLifecycle;

#[state_machine(initial = "State::queued()", state(derive(Debug, Clone, Copy, PartialEq, Eq)))]
impl StreamLifecycle {
    #[state]
    fn queued(event: &StreamEvent) -> Outcome<State> {
        match event {
            StreamEvent::Started => Transition(State::running()),
            StreamEvent::Released => Transition(State::ended()),
            StreamEvent::Confirmed => Handled,
        }
    }

    #[state]
    fn running(event: &StreamEvent) -> Outcome<State> {
        match event {
            StreamEvent::Released => Transition(State::reclaiming()),
            _ => Handled,
        }
    }

    #[state]
    fn reclaiming(event: &StreamEvent) -> Outcome<State> {
        match event {
            StreamEvent::Confirmed => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn ended() -> Outcome<State> {
        Handled
    }
}
