//! Writes the operators' report to the store, one window at a time.

use std::time::Duration;

use crate::entry::effect::Effect;
use crate::entry::event::Event;
use crate::entry::world::World;
use crate::time::Timestamp;

/// Interval between writes of changed counts.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum length of a window; it is extended until the store has all its counts.
pub const REPORT_WINDOW: Duration = Duration::from_secs(60);

/// Requests a write that is due and returns the time of the next one.
pub fn run(
    world: &mut World,
    now: Timestamp,
    events: &[Event],
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    for event in events {
        match event {
            Event::ReportWritten { window, changes } => mark_written(world, now, *window, *changes),
            Event::StopRequested => world.report_progress.due = now,
            _ => {}
        }
    }
    let progress = &mut world.report_progress;
    if world.report.changes == progress.written_changes {
        return None;
    }
    if now >= progress.due {
        progress.due = now.after(REPORT_INTERVAL);
        let report = Box::new(world.report.clone());
        effects.push(Effect::WriteReport { window: progress.window, report });
    }
    Some(progress.due)
}

fn mark_written(world: &mut World, now: Timestamp, window: u64, changes: u64) {
    let progress = &mut world.report_progress;
    if window != progress.window {
        return;
    }
    progress.written_changes = progress.written_changes.max(changes);
    let is_complete = progress.written_changes == world.report.changes;
    if is_complete && now.since(progress.window_started) >= REPORT_WINDOW {
        world.report = world.report.next_window();
        progress.window += 1;
        progress.window_started = now;
        progress.written_changes = 0;
    }
}
