//! Compares the engine's list of streams with the ledger, so that no engine memory leaks.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::identity::AttemptNumber;
use crate::identity::RequestId;
use crate::keys::StreamKey;
use crate::lifecycle::stream::State;
use crate::side::effect::Effect;
use crate::side::event::BackendReport;
use crate::side::event::EngineStreamId;
use crate::side::event::Event;
use crate::side::systems::release;
use crate::side::world::World;
use crate::time::Timestamp;

/// Time after which a stream at the engine without a row in the table is cancelled.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(3);

/// Minimum time before a cancel that had no effect is repeated.
pub const CANCEL_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Applies the reports of the backend server and sends the cancels that are due.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        if let Event::BackendReported(report) = event {
            apply_report(world, now, report, effects);
        }
    }
}

fn apply_report(
    world: &mut World,
    now: Timestamp,
    report: &BackendReport,
    effects: &mut Vec<Effect>,
) {
    world.backend.is_answering = true;
    world.backend.memory_tokens = report.memory_tokens;
    world.backend.prefill_tokens_per_s = report.prefill_tokens_per_s;
    let held = report.held_streams.iter().map(|stream| (stream.id, stream.number)).collect();
    release_freed(world, report.requested_at, &held);
    cancel_still_held(world, now, &held, effects);
    cancel_orphans(world, now, &held, effects);
}

/// Removes released streams that the engine no longer lists from the ledger, provided that they
/// were released before the engine state shown by the report.
fn release_freed(
    world: &mut World,
    requested_at: Timestamp,
    held: &BTreeSet<(RequestId, AttemptNumber)>,
) {
    let lag = world.settings.report_lag;
    let is_freed = |released_at: Option<Timestamp>, stream: EngineStreamId| {
        // An older state of the engine may not list the stream yet.
        let is_release_covered = released_at.is_some_and(|at| at.after(lag) < requested_at);
        is_release_covered && !held.contains(&(stream.id, stream.number))
    };
    let rows = world.streams.iter();
    let freed = rows.filter(|(_, row)| row.state() == (State::Reclaiming {}));
    let freed = freed.filter(|(_, row)| is_freed(row.released_at, row.engine_stream));
    let freed: Vec<StreamKey> = freed.map(|(key, _)| key).collect();
    for key in freed {
        release::confirm_release(world, key);
    }
}

/// Cancels released streams that the engine still holds, repeated until it frees them.
fn cancel_still_held(
    world: &mut World,
    now: Timestamp,
    held: &BTreeSet<(RequestId, AttemptNumber)>,
    effects: &mut Vec<Effect>,
) {
    let is_held = |stream: EngineStreamId| held.contains(&(stream.id, stream.number));
    for (_, row) in world.streams.iter_mut() {
        let is_due = row.cancelled_at.is_none_or(|at| now.since(at) >= CANCEL_RETRY_INTERVAL);
        if row.state() != (State::Reclaiming {}) || !is_due || !is_held(row.engine_stream) {
            continue;
        }
        world.counters.cancels_repeated += u64::from(row.cancelled_at.is_some());
        row.cancelled_at = Some(now);
        effects.push(Effect::CancelAtEngine(row.engine_stream));
    }
}

/// Cancels streams without a row in the table that the engine has held for at least
/// [`ORPHAN_GRACE`], again with each report that lists them.
fn cancel_orphans(
    world: &mut World,
    now: Timestamp,
    held: &BTreeSet<(RequestId, AttemptNumber)>,
    effects: &mut Vec<Effect>,
) {
    world.orphans.retain(|attempt, _| held.contains(attempt));
    for attempt in held.iter().filter(|attempt| !world.by_attempt.contains_key(attempt)) {
        let since = *world.orphans.entry(*attempt).or_insert(now);
        world.counters.orphans += u64::from(since == now);
        if now.since(since) >= ORPHAN_GRACE {
            let (id, number) = *attempt;
            effects.push(Effect::CancelAtEngine(EngineStreamId { id, number }));
        }
    }
}
