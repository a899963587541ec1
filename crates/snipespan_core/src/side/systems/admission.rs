//! Starts queued streams when the backend server has capacity.

use crate::keys::StreamKey;
use crate::lifecycle::stream::StreamEvent;
use crate::side::effect::Effect;
use crate::side::settings::BackendKind;
use crate::side::tables::streams::Stream;
use crate::side::world::QueueOrder;
use crate::side::world::World;
use crate::time::Timestamp;

/// Starts the queued streams that fit into the engine's memory; returns the earliest time at which
/// a stream that does not fit reaches the ageing limit and can no longer be overtaken.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    let mut next_aged_at = None;
    let waiting: Vec<QueueOrder> = world.queue.iter().copied().collect();
    for order in waiting {
        if world.running >= world.settings.max_running || !world.backend.is_answering {
            break;
        }
        let (_, _, key) = order;
        if fits_in_memory(world, key) {
            effects.extend(start_stream(world, now, order));
            continue;
        }
        let Some(row) = world.streams.get(key) else { continue };
        let aged_at = row.offered_at.after(world.settings.ageing_limit);
        if now >= aged_at {
            // Freed memory is kept for this stream, as it was overtaken for too long.
            break;
        }
        next_aged_at = next_aged_at.into_iter().chain([aged_at]).min();
    }
    next_aged_at
}

fn fits_in_memory(world: &World, key: StreamKey) -> bool {
    let Some(row) = world.streams.get(key) else { return false };
    match world.settings.kind {
        BackendKind::PlainService => true,
        BackendKind::ModelEngine => row.cost.memory_tokens() <= world.free_memory_tokens(),
    }
}

fn start_stream(world: &mut World, now: Timestamp, order: QueueOrder) -> Option<Effect> {
    let (_, virtual_finish, key) = order;
    world.queue.remove(&order);
    let may_overtake = !world.has_aged_long_prompt(now);
    let row = world.streams.get_mut(key)?;
    let engine_priority = engine_priority(row, may_overtake);
    row.lifecycle.handle(&StreamEvent::Started);
    row.started_at = Some(now);
    let ticket = row.ticket;
    let account = row.account.clone();
    world.reserved_tokens += row.cost.memory_tokens();
    world.running += 1;
    world.counters.started += 1;
    world.shares.dequeue(&account, Some(virtual_finish));
    Some(Effect::Start { ticket, engine_priority })
}

/// Returns the priority of a stream at the engine.
///
/// Short prompts precede long ones of the same priority, so that they do not wait for minutes of
/// prefill; once a long prompt has been overtaken for too long, short prompts stop preceding it.
fn engine_priority(row: &Stream, may_overtake: bool) -> u16 {
    let overtakes = may_overtake && row.cost.is_short();
    u16::from(row.priority.0) * 2 + u16::from(!overtakes)
}
