//! Starts queued streams as the backend server has room.

use crate::keys::StreamKey;
use crate::lifecycle::stream::StreamEvent;
use crate::side::effect::Effect;
use crate::side::settings::BackendKind;
use crate::side::tables::streams::Stream;
use crate::side::world::QueueOrder;
use crate::side::world::World;
use crate::time::Timestamp;

/// Starts what fits; returns when a stream that waits becomes too old to be overtaken.
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
            // Memory that comes free is kept for a stream that was overtaken for too long.
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

/// Short prompts go before long ones of their priority, so that they do not wait for minutes of
/// reading in; a long prompt that was overtaken for too long is no longer overtaken.
fn engine_priority(row: &Stream, may_overtake: bool) -> u16 {
    let overtakes = may_overtake && row.cost.is_short();
    u16::from(row.priority.0) * 2 + u16::from(!overtakes)
}
