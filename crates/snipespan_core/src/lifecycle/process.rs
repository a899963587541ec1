//! Lifecycle of a process.
#![allow(missing_docs, reason = "the state machine macro generates undocumented items")]

use statig::prelude::*;

/// Event in the lifecycle of a process.
#[derive(Clone, Copy, Debug)]
pub enum ProcessEvent {
    /// The process has everything that it needs to accept work.
    Prepared,
    /// A planned stop was requested.
    StopRequested,
    /// No work is in progress any longer.
    Idle,
}

/// Shared storage of the state machine; empty, as only the state is used.
#[derive(Debug, Default)]
pub struct ProcessLifecycle;

#[state_machine(initial = "State::starting()", state(derive(Debug, Clone, Copy, PartialEq, Eq)))]
impl ProcessLifecycle {
    #[state]
    fn starting(event: &ProcessEvent) -> Outcome<State> {
        match event {
            ProcessEvent::Prepared => Transition(State::ready()),
            ProcessEvent::StopRequested => Transition(State::draining()),
            ProcessEvent::Idle => Handled,
        }
    }

    #[state]
    fn ready(event: &ProcessEvent) -> Outcome<State> {
        match event {
            ProcessEvent::StopRequested => Transition(State::draining()),
            _ => Handled,
        }
    }

    #[state]
    fn draining(event: &ProcessEvent) -> Outcome<State> {
        match event {
            ProcessEvent::Idle => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn stopped() -> Outcome<State> {
        Handled
    }
}
