//! Lifecycle of a backend server in the view of one entry.
#![allow(missing_docs, reason = "the state machine macro generates undocumented items")]

use statig::prelude::*;

/// Event in the lifecycle of a backend server.
#[derive(Clone, Copy, Debug)]
pub enum BackendServerEvent {
    /// The side process of the backend server sent its hello message.
    Connected,
    /// The connection to the side process was lost.
    Lost,
    /// The side process, the VM list or an operator reported that the backend server is leaving.
    LeavingSeen,
    /// The side process, the VM list and the operators no longer report that the backend server is
    /// leaving.
    LeavingCleared,
}

/// Shared storage of the state machine; empty, as only the state is used.
#[derive(Debug, Default)]
pub struct BackendServerLifecycle;

#[state_machine(initial = "State::connecting()", state(derive(Debug, Clone, Copy, PartialEq, Eq)))]
impl BackendServerLifecycle {
    #[state]
    fn connecting(event: &BackendServerEvent) -> Outcome<State> {
        match event {
            BackendServerEvent::Connected => Transition(State::ready()),
            BackendServerEvent::LeavingSeen => Transition(State::leaving_unconnected()),
            _ => Handled,
        }
    }

    #[state]
    fn ready(event: &BackendServerEvent) -> Outcome<State> {
        match event {
            BackendServerEvent::Lost => Transition(State::connecting()),
            BackendServerEvent::LeavingSeen => Transition(State::leaving()),
            _ => Handled,
        }
    }

    #[state]
    fn leaving(event: &BackendServerEvent) -> Outcome<State> {
        match event {
            BackendServerEvent::Lost => Transition(State::leaving_unconnected()),
            BackendServerEvent::LeavingCleared => Transition(State::ready()),
            _ => Handled,
        }
    }

    #[state]
    fn leaving_unconnected(event: &BackendServerEvent) -> Outcome<State> {
        match event {
            BackendServerEvent::Connected => Transition(State::leaving()),
            BackendServerEvent::LeavingCleared => Transition(State::connecting()),
            _ => Handled,
        }
    }
}
