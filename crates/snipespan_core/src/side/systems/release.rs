//! Ends streams and removes them from the ledger; all other systems end streams through here.

use crate::keys::StreamKey;
use crate::lifecycle::stream::State;
use crate::lifecycle::stream::StreamEvent;
use crate::side::effect::Effect;
use crate::side::settings::BackendKind;
use crate::side::world::World;
use crate::time::Timestamp;

/// Releases a stream that the engine may still be processing, and cancels it at the engine.
pub fn abandon_stream(
    world: &mut World,
    now: Timestamp,
    key: StreamKey,
    effects: &mut Vec<Effect>,
) {
    let is_engine = world.settings.kind == BackendKind::ModelEngine;
    let Some(row) = world.streams.get_mut(key) else { return };
    if is_engine && row.state() == (State::Running {}) {
        row.cancelled_at = Some(now);
        effects.push(Effect::CancelAtEngine(row.engine_stream));
    }
    release_stream(world, now, key);
}

/// Ends a stream for its entry. The memory of a running stream at a model engine stays reserved
/// until the engine no longer lists the stream.
pub fn release_stream(world: &mut World, now: Timestamp, key: StreamKey) {
    let Some(row) = world.streams.get_mut(key) else { return };
    let state = row.state();
    row.lifecycle.handle(&StreamEvent::Released);
    row.released_at = Some(now);
    let has_first_token = row.first_token_at.is_some();
    let cost = row.cost;
    let deadline = row.deadline;
    let order = (row.priority, row.virtual_finish, key);
    let account = row.account.clone();
    match state {
        State::Queued {} => {
            world.queue.remove(&order);
            world.shares.dequeue(&account, None);
        }
        State::Running {} => world.running = world.running.saturating_sub(1),
        State::Reclaiming {} | State::Ended {} => return,
    }
    if !has_first_token {
        world.remove_queued_prompt(cost);
    }
    world.deadlines.remove(&(deadline, key));
    let holds_no_engine_memory =
        state == State::Queued {} || world.settings.kind == BackendKind::PlainService;
    if holds_no_engine_memory {
        remove_stream(world, key, state == State::Running {});
    }
}

/// Removes a released stream from the ledger, as the engine no longer holds its memory.
pub fn confirm_release(world: &mut World, key: StreamKey) {
    let Some(row) = world.streams.get_mut(key) else { return };
    row.lifecycle.handle(&StreamEvent::Confirmed);
    if row.state() == (State::Ended {}) {
        remove_stream(world, key, true);
    }
}

fn remove_stream(world: &mut World, key: StreamKey, was_reserved: bool) {
    let Some(row) = world.streams.remove(key) else { return };
    world.by_attempt.remove(&(row.engine_stream.id, row.engine_stream.number));
    if was_reserved {
        world.reserved_tokens = world.reserved_tokens.saturating_sub(row.cost.memory_tokens());
    }
}
