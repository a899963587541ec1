//! Readiness and planned stop of an entry.

use std::time::Duration;

use crate::entry::effect::Effect;
use crate::entry::event::Event;
use crate::entry::world::World;
use crate::lifecycle::process::ProcessEvent;
use crate::lifecycle::process::State;
use crate::time::Timestamp;

/// Maximum wait for the last report to be written once all requests have ended.
pub const LAST_REPORT_LIMIT: Duration = Duration::from_secs(10);

/// Advances the lifecycle of the process and returns the time at which a planned stop needs the
/// next tick; `None` if no time is due.
pub fn run(
    world: &mut World,
    now: Timestamp,
    events: &[Event],
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    if events.iter().any(|event| matches!(event, Event::StopRequested)) {
        let was_ready = *world.process.state() == (State::Ready {});
        world.process.handle(&ProcessEvent::StopRequested);
        let refuse_from = now.after(world.settings.stop_grace);
        world.refuse_from.get_or_insert(if was_ready { refuse_from } else { now });
    }
    let is_ready = *world.process.state() == State::Ready {};
    if is_ready != world.is_ready {
        world.is_ready = is_ready;
        effects.push(Effect::SetReady(is_ready));
    }
    match *world.process.state() {
        State::Draining {} => drain(world, now, effects),
        _ => None,
    }
}

fn drain(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    let refuse_from = world.refuse_from.unwrap_or(now);
    if now < refuse_from {
        return Some(refuse_from);
    }
    if !world.requests.is_empty() {
        return None;
    }
    let idle_since = *world.idle_since.get_or_insert(now);
    let report_deadline = idle_since.after(LAST_REPORT_LIMIT);
    let is_written = world.report.changes == world.report_progress.written_changes;
    if !is_written && now < report_deadline {
        return Some(report_deadline);
    }
    world.process.handle(&ProcessEvent::Idle);
    effects.push(Effect::Stop);
    None
}
