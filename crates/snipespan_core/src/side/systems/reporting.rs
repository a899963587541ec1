//! Reports the load of the backend server to the entries on change, at a limited rate.

use std::time::Duration;

use crate::cost::Cost;
use crate::entry::event::Load;
use crate::side::effect::Effect;
use crate::side::world::World;
use crate::time::Timestamp;

/// Minimum time between two load reports, except when leaving begins.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Reports the load if it changed; returns when a deferred report is due.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    // The default cost is that of a short prompt.
    let load = Load {
        queued_tokens: world.queued_tokens,
        queued_before_short_tokens: world.queued_tokens_before(Cost::default(), now),
        running: u32::try_from(world.running).unwrap_or(u32::MAX),
        free_memory_tokens: world.free_memory_tokens(),
        prefill_tokens_per_s: world.backend.prefill_tokens_per_s,
        is_leaving: world.is_leaving,
    };
    if world.reported_load == Some(load) {
        return None;
    }
    let has_begun_leaving =
        load.is_leaving && !world.reported_load.is_some_and(|old| old.is_leaving);
    if now < world.next_report_at && !has_begun_leaving {
        return Some(world.next_report_at);
    }
    world.reported_load = Some(load);
    world.next_report_at = now.after(MIN_REPORT_INTERVAL);
    effects.push(Effect::Report(load));
    None
}
