//! Lifecycle of a request in an entry or a gateway.
#![allow(missing_docs, reason = "the state machine macro generates undocumented items")]

use statig::prelude::*;

/// Event in the lifecycle of a request.
#[derive(Clone, Copy, Debug)]
pub enum RequestEvent {
    /// The body was read, and the request needs a durable record before it may run.
    BodyReadUnrepeatable,
    /// The body was read, and the request may be placed immediately.
    BodyRead,
    /// This entry created the durable record of the request.
    Recorded,
    /// The request was dispatched to a backend server.
    Dispatched,
    /// The attempt ended without a complete answer, and another attempt may follow.
    AttemptReturned,
    /// The outcome of the request is final.
    Finished,
}

/// Shared storage of the state machine; empty, as only the state is used.
#[derive(Debug, Default)]
pub struct RequestLifecycle;

#[state_machine(initial = "State::reading()", state(derive(Debug, Clone, Copy, PartialEq, Eq)))]
impl RequestLifecycle {
    #[state(superstate = "open")]
    fn reading(event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::BodyReadUnrepeatable => Transition(State::recording()),
            RequestEvent::BodyRead => Transition(State::placing()),
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn recording(event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::Recorded => Transition(State::placing()),
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn placing(event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::Dispatched => Transition(State::running()),
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn running(event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::AttemptReturned => Transition(State::placing()),
            _ => Super,
        }
    }

    #[superstate]
    fn open(event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::Finished => Transition(State::ended()),
            _ => Handled,
        }
    }

    #[state]
    fn ended() -> Outcome<State> {
        Handled
    }
}
