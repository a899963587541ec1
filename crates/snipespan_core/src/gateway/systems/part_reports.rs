//! Exchanges with the other gateways what is known of suspected parts of prompts.
//!
//! Load pattern: a crash counts against all parts of a prompt, which may be thousands, at hundreds of
//! gateways. Parts with the same history share one report, and the reports of a crash go out over several
//! ticks, those of parts with most crashes first.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::effect::Effect;
use crate::gateway::event::Event;
use crate::gateway::message::PartHistory;
use crate::gateway::message::PeerUpdate;
use crate::gateway::message::PromptPartsReport;
use crate::gateway::systems::prompt_parts;
use crate::gateway::tables::prompt_parts::PromptPart;
use crate::gateway::tables::prompt_parts::Suspect;
use crate::gateway::world::World;
use crate::time::Timestamp;

/// Maximum length of the reports in one datagram in bytes, which keeps it below 1,400 bytes, so that no
/// link fragments it.
pub const REPORT_BYTES: usize = 1_200;

/// Maximum length of an encoded part of a prompt in bytes.
const PART_BYTES: usize = 10;

/// Maximum length of an encoded crash in bytes.
const CRASH_BYTES: usize = 30;

/// Maximum length of an encoded history without its crashes, and of the numbers of parts and crashes.
const HISTORY_BYTES: usize = 30;

/// Maximum length in bytes of the reports that the store keeps, as encoded for a datagram. The text of the
/// row takes up to four times as much, and the platform's rows hold 64 KiB.
const RECORD_BYTES: usize = 12_000;

/// Maximum number of datagrams with unreported parts at a time; the rest follows after
/// [`REPORT_PAUSE`].
const MAX_DATAGRAMS: usize = 4;

/// Pause after datagrams with unreported parts while there are more.
const REPORT_PAUSE: Duration = Duration::from_millis(20);

/// Time for which a changed row is repeated to the peers with each snapshot; a few snapshots, and
/// longer than the silence after which a peer is sent all blocked rows.
const REPEAT_TIME: Duration = Duration::from_secs(4);

/// Applies the reports of peers.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        if let Event::PeerMessageReceived { message, .. } = event
            && let PeerUpdate::PromptParts(reports) = &message.update
        {
            for report in reports {
                apply_report(world, now, report, effects);
            }
        }
    }
}

/// Applies what a peer or the store knows of parts with the same history.
pub fn apply_report(
    world: &mut World,
    now: Timestamp,
    report: &PromptPartsReport,
    effects: &mut Vec<Effect>,
) {
    let history = &report.history;
    let changed = now.before(Duration::from_millis(u64::from(history.idle_ms)));
    for part in report.parts.iter().copied() {
        let is_known = world.suspects.get(part).is_some();
        let was_sound = world.suspects.sound.contains(part, now);
        let is_expired = world.suspects.update_or_insert(part, changed, |row| {
            let was_blocked = row.is_blocked();
            row.merge(now, history);
            row.was_sound |= was_sound;
            if !is_known {
                row.changed = changed;
            }
            let is_expired = row.is_expired(now);
            if !is_expired {
                prompt_parts::log_change(row, was_blocked, effects);
            }
            is_expired
        });
        if is_expired == Some(true) {
            // The peer removes it as well.
            world.suspects.remove(part);
        }
    }
}

/// Takes rows that the peers have not been told of; each element fits a datagram.
pub fn take_unreported(world: &mut World, now: Timestamp) -> Vec<Vec<PromptPartsReport>> {
    if now < world.suspects.report_due || !world.suspects.has_unreported() {
        return Vec::new();
    }
    let mut groups = Groups::default();
    while groups.bytes < MAX_DATAGRAMS * REPORT_BYTES
        && let Some(part) = world.suspects.pop_unreported()
    {
        if let Some(row) = world.suspects.get(part) {
            groups.add(row, now);
        }
    }
    world.suspects.report_due = now.after(REPORT_PAUSE);
    groups.into_datagrams()
}

/// Returns when rows that the peers have not been told of are reported; `None` if there are none.
pub fn next_report(world: &World) -> Option<Timestamp> {
    world.suspects.has_unreported().then_some(world.suspects.report_due)
}

/// Returns rows that have just changed and fit a datagram, blocked ones first, and then those with most
/// crashes. They are repeated, so that peers that missed a message learn of them.
pub fn changed_reports(world: &World, now: Timestamp) -> Vec<PromptPartsReport> {
    let is_new = |since: Timestamp| now.since(since) < REPEAT_TIME;
    let changed = world
        .suspects
        .iter()
        .filter(|row| is_new(row.changed) || row.probe.is_some_and(|probe| is_new(probe.began)));
    datagrams_of(changed, now, 1).into_iter().next().unwrap_or_default()
}

/// Returns blocked rows, which a new peer does not know; each element fits a datagram.
pub fn blocked_reports(world: &World, now: Timestamp) -> Vec<Vec<PromptPartsReport>> {
    datagrams_of(world.suspects.blocked(), now, MAX_DATAGRAMS)
}

/// Returns the blocked rows that the store keeps, with most crashes first if there are too many.
pub fn record(world: &World, now: Timestamp) -> Vec<PromptPartsReport> {
    heaviest(world.suspects.blocked(), now, RECORD_BYTES).into_reports()
}

fn datagrams_of<'a>(
    rows: impl Iterator<Item = &'a Suspect>,
    now: Timestamp,
    limit: usize,
) -> Vec<Vec<PromptPartsReport>> {
    let mut datagrams = heaviest(rows, now, limit * REPORT_BYTES).into_datagrams();
    datagrams.truncate(limit);
    datagrams
}

/// Returns rows that together take `bytes` or a little more, blocked ones and those with most crashes first.
fn heaviest<'a>(rows: impl Iterator<Item = &'a Suspect>, now: Timestamp, bytes: usize) -> Groups {
    let mut rows: Vec<_> = rows.collect();
    rows.sort_by_key(|row| {
        (!row.is_blocked(), usize::MAX - row.crashes.len(), now.since(row.changed))
    });
    let mut groups = Groups::default();
    for row in rows {
        if groups.bytes >= bytes {
            break;
        }
        groups.add(row, now);
    }
    groups
}

/// Parts by their history.
#[derive(Default)]
struct Groups {
    parts: BTreeMap<PartHistory, Vec<PromptPart>>,
    /// Maximum length of the reports in bytes.
    bytes: usize,
}

impl Groups {
    fn add(&mut self, row: &Suspect, now: Timestamp) {
        let history = row.history(now);
        if !self.parts.contains_key(&history) {
            self.bytes += history_bytes(&history);
        }
        self.bytes += PART_BYTES;
        self.parts.entry(history).or_default().push(row.part);
    }

    fn into_reports(self) -> Vec<PromptPartsReport> {
        let groups = self.parts.into_iter();
        groups.map(|(history, parts)| PromptPartsReport { parts, history }).collect()
    }

    /// Returns the reports; each element fits a datagram.
    fn into_datagrams(self) -> Vec<Vec<PromptPartsReport>> {
        let mut datagrams = Vec::new();
        let mut reports = Vec::new();
        let mut room = REPORT_BYTES;
        for (history, mut parts) in self.parts {
            let bytes = history_bytes(&history);
            while !parts.is_empty() {
                if room < bytes + PART_BYTES {
                    datagrams.push(std::mem::take(&mut reports));
                    room = REPORT_BYTES;
                }
                let count = ((room - bytes) / PART_BYTES).min(parts.len());
                let rest = parts.split_off(count);
                let parts_taken = std::mem::replace(&mut parts, rest);
                room -= bytes + count * PART_BYTES;
                reports.push(PromptPartsReport { parts: parts_taken, history: history.clone() });
            }
        }
        if !reports.is_empty() {
            datagrams.push(reports);
        }
        datagrams
    }
}

/// Returns the maximum length of an encoded history in bytes.
fn history_bytes(history: &PartHistory) -> usize {
    HISTORY_BYTES + CRASH_BYTES * history.crashes.len()
}
