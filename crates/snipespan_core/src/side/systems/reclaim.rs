//! Compares the engine's own list with the ledger, so that no memory is lost for good.

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

/// How long a stream at the engine that the table does not have is left alone.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(3);

/// Pause before a cancel that has had no effect is sent again.
pub const CANCEL_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Takes in the engine's reports and asks for the cancels that are due.
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
    let held = report.held_streams.iter().map(|held| (held.id, held.number)).collect();
    release_freed(world, report.requested_at, &held);
    retry_cancels(world, now, &held, effects);
    cancel_orphans(world, now, &held, effects);
}

/// Frees the ledger of streams that are not on the list, if they were released before the state
/// that the list shows.
fn release_freed(
    world: &mut World,
    requested_at: Timestamp,
    held: &BTreeSet<(RequestId, AttemptNumber)>,
) {
    let lag = world.settings.report_lag;
    let is_freed = |released: Option<Timestamp>, stream: EngineStreamId| {
        // An older state of the engine may not know the stream yet.
        let is_release_covered = released.is_some_and(|at| at.after(lag) < requested_at);
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

/// Repeats the cancels of streams that the engine still holds.
fn retry_cancels(
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
