//! Finds parts of prompts that crash backend servers, and keeps requests with them from further
//! ones.
//!
//! A crash breaks all connections to a backend server, and only one of its requests is the cause.
//! So a crash counts against the parts of each prompt whose answer had not begun there, or had just
//! begun, and a part is cleared by any answer that began after such a crash and went on.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::decision::Decision;
use crate::gateway::decision::SuspicionStep;
use crate::gateway::effect::Effect;
use crate::gateway::event::AnswerStage;
use crate::gateway::event::Event;
use crate::gateway::event::FailReason;
use crate::gateway::message::PeerUpdate;
use crate::gateway::message::PromptPartReport;
use crate::gateway::systems::ending;
use crate::gateway::systems::feeds;
use crate::gateway::tables::prompt_parts::Crash;
use crate::gateway::tables::prompt_parts::CrashEvidence;
use crate::gateway::tables::prompt_parts::Probe;
use crate::gateway::tables::prompt_parts::PromptPart;
use crate::gateway::tables::prompt_parts::Suspect;
use crate::gateway::world::World;
use crate::keys::RequestKey;
use crate::keys::SuspectKey;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Time after its first event within which an answer counts as just begun; two iterations of an
/// engine. One that goes on after it is sound.
pub const BEGINNING: Duration = Duration::from_millis(100);

/// Time by which each gateway waits longer than the one before it in turn, before it probes a part.
/// It is longer than the interval at which rows are repeated to peers, so that a second gateway
/// knows of the probe of the first also if a datagram was lost.
const PROBE_TURN: Duration = Duration::from_millis(1200);

/// Number of turns after which all gateways may probe; a part may be asked for at few of them.
const MAX_PROBE_TURNS: u32 = 10;

/// Interval of the checks for expired rows, a small part of their lifetimes.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a changed row is repeated to the peers with each snapshot; a few snapshots, and
/// longer than the silence after which a peer is sent all blocked rows.
const REPEAT_TIME: Duration = Duration::from_secs(4);

/// Applies the rows of peers and removes expired ones.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        if let Event::PeerMessageReceived { message, .. } = event
            && let PeerUpdate::PromptParts(reports) = &message.update
        {
            reports.iter().for_each(|report| apply_report(world, now, report, effects));
        }
    }
    if now >= world.suspects.sweep_due {
        world.suspects.sweep_due = now.after(SWEEP_INTERVAL);
        let rows = world.suspects.rows.iter();
        let expired = rows.filter(|(_, row)| row.is_expired(now)).map(|(key, _)| key);
        let expired: Vec<_> = expired.collect();
        expired.into_iter().for_each(|key| remove_expired(world, key, effects));
    }
}

fn remove_expired(world: &mut World, key: SuspectKey, effects: &mut Vec<Effect>) {
    if let Some(row) = world.suspects.rows.get(key).filter(|row| row.is_blocked()) {
        log_step(row, SuspicionStep::Forgotten, effects);
    }
    world.suspects.remove(key);
}

fn apply_report(
    world: &mut World,
    now: Timestamp,
    report: &PromptPartReport,
    effects: &mut Vec<Effect>,
) {
    let reported_change = now.before(Duration::from_millis(u64::from(report.idle_ms)));
    let is_known = world.suspects.find(report.part).is_some();
    let was_sound = world.suspects.sound.contains(report.part, now);
    let Some(row) = world.suspects.get_or_insert(report.part, reported_change) else { return };
    let was_blocked = row.is_blocked();
    row.merge(now, report);
    row.was_sound |= was_sound;
    if !is_known {
        row.changed = reported_change;
    }
    if row.is_expired(now) {
        // The peer removes it as well.
        let key = world.suspects.find(report.part);
        key.into_iter().for_each(|key| world.suspects.remove(key));
        return;
    }
    log_change(row, was_blocked, effects);
}

/// Returns why an attempt that failed in this way is no sign of a crash by its prompt; `None` if it
/// may be one: the answer had not gone on for long, or its head had not arrived. A backend server that
/// begins to write may end before any byte has left it.
fn counter_evidence(reason: FailReason, stage: AnswerStage) -> Option<CrashEvidence> {
    if reason != FailReason::Broken {
        return Some(CrashEvidence::NoCrash);
    }
    match stage {
        AnswerStage::Events { since_first, .. } if since_first >= BEGINNING => {
            Some(CrashEvidence::WentOn)
        }
        AnswerStage::Awaited | AnswerStage::Begun | AnswerStage::Events { .. } => None,
    }
}

/// Records that an attempt failed, which was sent to an incarnation at a time, and returns whether it
/// counts. If it may be a crash, it counts against the parts of its prompt: only against the blocked
/// ones if there are any, as they explain it.
pub fn record_failure(
    world: &mut World,
    now: Timestamp,
    request: RequestKey,
    (instance_hash, sent): (u64, Timestamp),
    (reason, stage): (FailReason, AnswerStage),
    effects: &mut Vec<Effect>,
) -> CrashEvidence {
    if let Some(evidence) = counter_evidence(reason, stage) {
        return evidence;
    }
    let Some(row) = world.requests.get(request) else { return CrashEvidence::NoParts };
    let is_blocked = |part: &PromptPart| world.suspects.get(*part).is_some_and(Suspect::is_blocked);
    let blocked: Vec<_> = row.parts.iter().copied().filter(is_blocked).collect();
    let blamed = if blocked.is_empty() { row.parts.to_vec() } else { blocked };
    let crash = Crash { instance_hash, request_hash: row.own_part.0, sent, at: now };
    let mut evidence = CrashEvidence::NoParts;
    for part in blamed {
        let counted = count_crash(world, now, part, crash, effects);
        if evidence != CrashEvidence::Counted {
            evidence = counted;
        }
    }
    evidence
}

/// Counts a crash against a part.
fn count_crash(
    world: &mut World,
    now: Timestamp,
    part: PromptPart,
    crash: Crash,
    effects: &mut Vec<Effect>,
) -> CrashEvidence {
    let was_sound = world.suspects.sound.contains(part, now);
    let Some(row) = world.suspects.get_or_insert(part, now) else {
        return CrashEvidence::TableFull;
    };
    let was_blocked = row.is_blocked();
    row.was_sound |= was_sound;
    if !row.record_crash(crash) {
        return CrashEvidence::KnownCrash;
    }
    row.changed = now;
    log_step(row, SuspicionStep::Crash, effects);
    log_change(row, was_blocked, effects);
    world.suspects.unreported.insert(part);
    CrashEvidence::Counted
}

/// Records that an answer goes on after its beginning, or is complete: none of its parts crashes
/// backend servers.
pub fn record_progress(
    world: &mut World,
    now: Timestamp,
    request: RequestKey,
    is_complete: bool,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(request) else { return };
    let began = row.first_event.unwrap_or(now);
    if !is_complete && now.since(began) < BEGINNING {
        return;
    }
    for part in row.parts.iter().copied() {
        world.suspects.sound.insert(part, now);
        let Some(row) = world.suspects.get_mut(part) else { continue };
        let was_blocked = row.is_blocked();
        if row.clear(now, began) {
            log_change(row, was_blocked, effects);
            world.suspects.unreported.insert(part);
        }
    }
}

/// Returns for how long a request may not be sent because of a blocked part; `None` if it may.
pub fn blocked_for(world: &World, now: Timestamp, request: RequestKey) -> Option<Duration> {
    if world.suspects.rows.is_empty() {
        return None;
    }
    let row = world.requests.get(request)?;
    let suspects = row.parts.iter().filter_map(|part| world.suspects.get(*part));
    let blocked: Vec<_> = suspects.filter(|suspect| suspect.is_blocked()).collect();
    let is_explained = is_explained(world, &blocked);
    let waits = blocked.iter().filter_map(|suspect| {
        if suspect.probe.is_some_and(|probe| probe.request == Some(request)) {
            return None;
        }
        let from = match is_explained {
            true => suspect.crashes.last()?.at.max(suspect.probe_end()),
            false => suspect.probe_from()?,
        };
        // A probe of several parts at once shows less than one of each, so it comes last.
        let turn = match is_explained || blocked.len() == 1 {
            // The turn is looked up only once a gateway may probe.
            true if from <= now => probe_turn(world, now, suspect.part),
            true => 0,
            false => MAX_PROBE_TURNS,
        };
        let from = from.after(PROBE_TURN * turn);
        (from > now).then(|| from.since(now))
    });
    waits.max()
}

/// Returns whether one further blocked part met all crashes of these. Then they may all be sound, and
/// a prompt with them but without that part shows it, so it is worth a probe at once.
fn is_explained(world: &World, blocked: &[&Suspect]) -> bool {
    let is_further = |other: &Suspect| blocked.iter().all(|suspect| suspect.part != other.part);
    let mut others = world.suspects.rows.iter().map(|(_, row)| row);
    others.any(|other| {
        other.is_blocked()
            && is_further(other)
            && blocked.iter().all(|suspect| suspect.is_explained_by(other))
    })
}

/// Returns the number of gateways that may probe a part before this one.
fn probe_turn(world: &World, now: Timestamp, part: PromptPart) -> u32 {
    let order = |rank: u64| xxh3_64(&(rank ^ part.0).to_le_bytes());
    let own = order(feeds::rank_of(&world.settings.node));
    let alive = world.peers.iter().filter(|(_, peer)| peer.is_alive(now));
    let before = alive.filter(|(_, peer)| order(peer.rank) < own).count();
    (before as u32).min(MAX_PROBE_TURNS)
}

/// Ends a request with a blocked part: as not run, or as failed if it may have run.
pub fn refuse_request(
    world: &mut World,
    now: Timestamp,
    request: RequestKey,
    wait: Duration,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(request) else { return };
    world.counters.prompt_parts_blocked += 1;
    let parts = row.parts.iter().filter_map(|part| world.suspects.get(*part));
    if let Some(blocked) = parts.into_iter().find(|suspect| suspect.is_blocked()) {
        let (id, part, crashes) = (row.id.clone(), blocked.part, blocked.crashes.len());
        let decision = Decision::PartBlocked { id, part, crashes, wait };
        effects.push(Effect::LogDecision(Box::new(decision)));
    }
    match row.runs > 0 {
        true => {
            let code = row.last_code.unwrap_or(ResultCode::AnswerCut);
            ending::end_with_code(world, now, request, code, effects);
        }
        false => {
            let code = ResultCode::PromptPartBlocked;
            ending::end_with_wait(world, now, request, code, wait, effects);
        }
    }
}

/// Records that a request was sent: for its blocked parts it is the probe that the other gateways
/// wait for.
pub fn record_send(
    world: &mut World,
    now: Timestamp,
    request: RequestKey,
    effects: &mut Vec<Effect>,
) {
    if world.suspects.rows.is_empty() {
        return;
    }
    let Some(row) = world.requests.get(request) else { return };
    for part in row.parts.iter().copied() {
        let Some(suspect) = world.suspects.get_mut(part) else { continue };
        let is_own = suspect.probe.is_some_and(|probe| probe.request == Some(request));
        if suspect.is_blocked() && !is_own {
            suspect.probe = Some(Probe { request: Some(request), began: now });
            log_step(suspect, SuspicionStep::Probe, effects);
            world.suspects.unreported.insert(part);
        }
    }
}

/// Takes up to `limit` rows that the peers have not been told of.
pub fn take_unreported(world: &mut World, now: Timestamp, limit: usize) -> Vec<PromptPartReport> {
    let mut reports = Vec::new();
    while reports.len() < limit
        && let Some(part) = world.suspects.unreported.pop_first()
    {
        reports.extend(world.suspects.get(part).map(|row| row.report(now)));
    }
    reports
}

/// Returns up to `limit` rows that have just changed, blocked ones first. They are repeated, so that
/// peers that missed a message learn of them.
pub fn changed_reports(world: &World, now: Timestamp, limit: usize) -> Vec<PromptPartReport> {
    let is_new = |since: Timestamp| now.since(since) < REPEAT_TIME;
    reports_of(world, now, limit, |row| {
        is_new(row.changed) || row.probe.is_some_and(|probe| is_new(probe.began))
    })
}

/// Returns up to `limit` blocked rows, which a new peer does not know.
pub fn blocked_reports(world: &World, now: Timestamp, limit: usize) -> Vec<PromptPartReport> {
    reports_of(world, now, limit, Suspect::is_blocked)
}

fn reports_of(
    world: &World,
    now: Timestamp,
    limit: usize,
    is_reported: impl Fn(&Suspect) -> bool,
) -> Vec<PromptPartReport> {
    let rows = world.suspects.rows.iter().map(|(_, row)| row);
    let mut rows: Vec<_> = rows.filter(|row| is_reported(row)).collect();
    rows.sort_by_key(|row| (!row.is_blocked(), now.since(row.changed)));
    rows.into_iter().take(limit).map(|row| row.report(now)).collect()
}

fn log_change(row: &Suspect, was_blocked: bool, effects: &mut Vec<Effect>) {
    match (was_blocked, row.is_blocked()) {
        (false, true) => log_step(row, SuspicionStep::Blocked, effects),
        (true, false) => log_step(row, SuspicionStep::Cleared, effects),
        _ => {}
    }
}

fn log_step(row: &Suspect, step: SuspicionStep, effects: &mut Vec<Effect>) {
    let (part, crashes) = (row.part, row.crashes.len());
    let decision = Decision::SuspicionChanged { part, step, crashes };
    effects.push(Effect::LogDecision(Box::new(decision)));
}
