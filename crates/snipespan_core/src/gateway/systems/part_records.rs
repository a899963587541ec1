//! Keeps the blocked parts of prompts in the store, for gateways that all start again.
//!
//! The peers of a gateway that starts again tell it of blocked parts. If all of them were killed, nobody
//! knows any more, and the part would end as many backend servers as before it was blocked. So one row of the
//! store lists the blocked parts with their crashes and failed probes, which give the time of the next
//! probe. A gateway reads it before its first request is sent.
//!
//! The gateway whose own request blocks a part, fails as a probe or clears a part brings the row in line: it reads
//! the row, takes over what it did not know, and writes what differs if the row has not changed since.
//! Mere suspicions are not written. A row that was lost, because its writer ended or the store came back from
//! an older copy, is noticed by the others: while a part is blocked, each reads the row at random times, so
//! that all of them together read it twice a minute or so, and soon after the store was away. Nothing waits
//! for the store.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use crate::gateway::effect::Effect;
use crate::gateway::event::BlockedPartsRecord;
use crate::gateway::event::Event;
use crate::gateway::message::PartHistory;
use crate::gateway::message::PromptPartsReport;
use crate::gateway::systems::feeds;
use crate::gateway::systems::part_reports;
use crate::gateway::tables::prompt_parts::PromptPart;
use crate::gateway::world::World;
use crate::time::Timestamp;

/// Mean time between two reads of the record by any gateway while a part is blocked.
const READ_INTERVAL: Duration = Duration::from_secs(30);

/// Mean time between two reads of the record by any gateway after the store was away, or a part was
/// forgotten.
const SOON_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum pause after a call that failed; each is random between half of it and all of it.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Difference between the last crash of a part here and in the record from which the record is written;
/// a small part of the time for which a part is blocked.
const MAX_CRASH_LAG_MS: u32 = 1_000;

/// Keeps the record in line; returns when it is read next.
pub fn run(
    world: &mut World,
    now: Timestamp,
    events: &[Event],
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    for event in events {
        match event {
            Event::BlockedPartsRead(record) => apply_record(world, now, record, effects),
            Event::BlockedPartsWritten => world.part_record.is_calling = false,
            Event::BlockedPartsCallFailed => {
                world.part_record.is_calling = false;
                let pause = RETRY_PAUSE.mul_f64(world.rng.random_range(0.5..1.0));
                world.part_record.plan_read(now.after(pause));
            }
            Event::StoreLost => world.part_record.is_store_lost = true,
            Event::StoreAnswered if std::mem::take(&mut world.part_record.is_store_lost) => {
                plan_shared_read(world, now, SOON_INTERVAL);
            }
            _ => {}
        }
    }
    if std::mem::take(&mut world.suspects.is_record_stale) {
        world.part_record.plan_read(now);
    }
    if std::mem::take(&mut world.suspects.has_forgotten_block) {
        plan_shared_read(world, now, SOON_INTERVAL);
    }
    if world.part_record.is_calling {
        return None;
    }
    if world.part_record.due.is_none() {
        plan_shared_read(world, now, READ_INTERVAL);
    }
    if world.part_record.due.is_some_and(|due| due <= now) {
        world.part_record.due = None;
        world.part_record.is_calling = true;
        effects.push(Effect::ReadBlockedParts);
    }
    world.part_record.due
}

/// Takes over what is new in the record, and writes it if it is not what is blocked here.
fn apply_record(
    world: &mut World,
    now: Timestamp,
    record: &BlockedPartsRecord,
    effects: &mut Vec<Effect>,
) {
    for report in &record.reports {
        let parts = report.parts.iter().copied();
        let parts = parts.filter(|part| !is_known(world, *part, &report.history)).collect();
        let unknown = PromptPartsReport { parts, history: report.history.clone() };
        part_reports::apply_report(world, now, &unknown, effects);
    }
    let reports = part_reports::record(world, now);
    world.part_record.has_parts = !reports.is_empty();
    world.part_record.is_calling = !is_current(&record.reports, &reports);
    if !world.part_record.is_calling {
        return;
    }
    let (version, clock) = (record.version, record.clock);
    effects.push(Effect::WriteBlockedParts(BlockedPartsRecord { version, clock, reports }));
}

/// Returns whether a part is known here as blocked, or as cleared since.
fn is_known(world: &World, part: PromptPart, history: &PartHistory) -> bool {
    world.suspects.get(part).is_some_and(|row| {
        let is_of_same = row.generation == history.generation
            && row.is_blocked()
            && row.failed_probes >= history.failed_probes;
        is_of_same || row.generation > history.generation
    })
}

/// Returns whether the record says what this gateway knows.
fn is_current(recorded: &[PromptPartsReport], known: &[PromptPartsReport]) -> bool {
    let (recorded, known) = (by_part(recorded), by_part(known));
    let is_same = |recorded: &PartHistory, known: &PartHistory| {
        recorded.generation == known.generation
            && recorded.failed_probes == known.failed_probes
            && last_crash_ms(recorded) <= last_crash_ms(known).saturating_add(MAX_CRASH_LAG_MS)
    };
    recorded.len() == known.len()
        && known.iter().all(|(part, known)| {
            recorded.get(part).is_some_and(|recorded| is_same(recorded, known))
        })
}

fn by_part(reports: &[PromptPartsReport]) -> BTreeMap<PromptPart, &PartHistory> {
    let parts =
        reports.iter().flat_map(|report| report.parts.iter().map(|part| (*part, &report.history)));
    parts.collect()
}

/// Returns the time since the last crash in ms.
fn last_crash_ms(history: &PartHistory) -> u32 {
    history.crashes.last().map_or(u32::MAX, |crash| crash.age_ms)
}

/// Lets all gateways together read the record once in an interval or so.
fn plan_shared_read(world: &mut World, now: Timestamp, interval: Duration) {
    let has_blocked = world.suspects.blocked().next().is_some();
    if has_blocked || world.part_record.has_parts {
        let share = interval * feeds::count_gateways(world, now) as u32;
        let pause = share.mul_f64(world.rng.random_range(0.0..2.0));
        world.part_record.plan_read(now.after(pause));
    }
}
