//! Readiness, leaving state and planned stop of a side process.

use crate::lifecycle::process::ProcessEvent;
use crate::lifecycle::process::State;
use crate::side::effect::Effect;
use crate::side::event::Event;
use crate::side::world::World;

/// Applies events to the lifecycle of the process and to its leaving state.
pub fn run(world: &mut World, events: &[Event]) {
    for event in events {
        match event {
            Event::BackendReported(_) => world.process.handle(&ProcessEvent::Prepared),
            Event::LeavingSeen => world.is_leaving = true,
            Event::StopRequested => {
                world.is_leaving = true;
                world.process.handle(&ProcessEvent::StopRequested);
            }
            _ => {}
        }
    }
}

/// Stops a draining process once the memory of every stream is free. While the backend server does
/// not answer, no memory is left to free, so only queued and running streams are awaited.
pub fn stop_when_idle(world: &mut World, effects: &mut Vec<Effect>) {
    let is_idle = match world.backend.is_answering {
        true => world.streams.is_empty(),
        false => world.running == 0 && world.queue.is_empty(),
    };
    if *world.process.state() == (State::Draining {}) && is_idle {
        world.process.handle(&ProcessEvent::Idle);
        effects.push(Effect::Stop);
    }
}
