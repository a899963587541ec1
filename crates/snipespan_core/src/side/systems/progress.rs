//! Applies the progress of streams.

use crate::keys::StreamKey;
use crate::lifecycle::stream::State;
use crate::result_code::ResultCode;
use crate::side::effect::Effect;
use crate::side::event::Event;
use crate::side::systems::release;
use crate::side::world::World;
use crate::time::Timestamp;

/// Handles first tokens, ended and abandoned streams, and an unresponsive backend server.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        match event {
            Event::FirstToken { stream } => record_first_token(world, now, *stream),
            Event::Abandoned { stream } => release::abandon_stream(world, now, *stream, effects),
            Event::Ended { stream } => release::release_stream(world, now, *stream),
            Event::BackendSilent => fail_open_streams(world, now, effects),
            _ => {}
        }
    }
}

fn record_first_token(world: &mut World, now: Timestamp, key: StreamKey) {
    let Some(row) = world.streams.get_mut(key) else { return };
    if row.state() == (State::Running {}) && row.first_token_at.is_none() {
        row.first_token_at = Some(now);
        let cost = row.cost;
        world.remove_queued_prompt(cost);
    }
}

/// Ends every queued and running stream, as the backend server does not answer.
fn fail_open_streams(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) {
    world.backend.is_answering = false;
    let is_open = |state: State| matches!(state, State::Queued {} | State::Running {});
    let open: Vec<_> = world.streams.iter().filter(|(_, row)| is_open(row.state())).collect();
    let open: Vec<_> = open.into_iter().map(|(key, row)| (key, row.ticket, row.state())).collect();
    for (key, ticket, state) in open {
        effects.push(match state {
            State::Queued {} => {
                Effect::Refuse { ticket, code: ResultCode::BackendUnreachable, retry_after: None }
            }
            _ => Effect::Abort { ticket, code: ResultCode::BackendFailed },
        });
        release::release_stream(world, now, key);
    }
}
