//! Finds parts of prompts that crash backend servers, and keeps requests with them from further
//! ones.
//!
//! A crash breaks all connections to a backend server, and only one of its requests is the cause.
//! So a crash counts against the parts of each prompt whose answer had not begun there, or had just
//! begun, and a part is cleared by any answer that began after such a crash and went on.

use std::collections::BTreeSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::decision::Decision;
use crate::gateway::decision::SuspicionStep;
use crate::gateway::effect::Effect;
use crate::gateway::event::AnswerStage;
use crate::gateway::event::FailReason;
use crate::gateway::systems::ending;
use crate::gateway::systems::feeds;
use crate::gateway::tables::prompt_parts::Crash;
use crate::gateway::tables::prompt_parts::CrashEvidence;
use crate::gateway::tables::prompt_parts::Probe;
use crate::gateway::tables::prompt_parts::PromptPart;
use crate::gateway::tables::prompt_parts::Suspect;
use crate::gateway::world::World;
use crate::keys::RequestKey;
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

/// Removes expired rows.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) {
    if now < world.suspects.sweep_due {
        return;
    }
    world.suspects.sweep_due = now.after(SWEEP_INTERVAL);
    let expired = world.suspects.iter().filter(|row| row.is_expired(now));
    let expired: Vec<_> = expired.map(|row| row.part).collect();
    for part in expired {
        if let Some(row) = world.suspects.get(part).filter(|row| row.is_blocked()) {
            log_step(row, SuspicionStep::Forgotten, effects);
            world.suspects.has_forgotten_block = true;
        }
        world.suspects.remove(part);
    }
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
    let (id, evicted_before) = (row.id.clone(), world.suspects.evicted);
    let mut evidence = CrashEvidence::NoParts;
    let mut parts = 0;
    for part in blamed {
        let counted = count_crash(world, now, part, crash, effects);
        parts += usize::from(counted == CrashEvidence::Counted);
        if evidence != CrashEvidence::Counted {
            evidence = counted;
        }
    }
    if parts > 0 {
        let evicted = world.suspects.evicted - evicted_before;
        let decision = Decision::CrashCounted { id, parts, evicted };
        effects.push(Effect::LogDecision(Box::new(decision)));
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
    let counted = world.suspects.update_or_insert(part, now, |row| {
        let was_blocked = row.is_blocked();
        row.was_sound |= was_sound;
        let is_new = row.record_crash(crash);
        if is_new {
            row.changed = now;
            log_change(row, was_blocked, effects);
        }
        (is_new, row.is_blocked())
    });
    match counted {
        None => CrashEvidence::TableFull,
        Some((false, _)) => CrashEvidence::KnownCrash,
        Some((true, is_blocked)) => {
            world.suspects.is_record_stale |= is_blocked;
            world.suspects.mark_unreported(part);
            CrashEvidence::Counted
        }
    }
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
    let Some(row) = world.requests.get_mut(request) else { return };
    let began = row.first_event.unwrap_or(now);
    if !is_complete && now.since(began) < BEGINNING {
        return;
    }
    // A prompt may have thousands of parts, and progress is reported several times a second.
    if is_complete || !std::mem::replace(&mut row.is_recorded_sound, true) {
        row.parts.iter().for_each(|part| world.suspects.sound.insert(*part, now));
    }
    if world.suspects.is_empty() {
        return;
    }
    for part in row.parts.iter().copied() {
        let is_cleared = world.suspects.update(part, |row| {
            let was_blocked = row.is_blocked();
            let is_cleared = row.clear(now, began);
            if is_cleared {
                log_change(row, was_blocked, effects);
            }
            is_cleared.then_some(was_blocked)
        });
        if let Some(was_blocked) = is_cleared.flatten() {
            world.suspects.is_record_stale |= was_blocked;
            world.suspects.mark_unreported(part);
        }
    }
}

/// Returns for how long a request may not be sent because of a blocked part; `None` if it may.
pub fn blocked_for(world: &World, now: Timestamp, request: RequestKey) -> Option<Duration> {
    // Without a blocked part, the parts of the prompt need not be looked up.
    world.suspects.blocked().next()?;
    let row = world.requests.get(request)?;
    let suspects = row.parts.iter().filter_map(|part| world.suspects.get(*part));
    let blocked: Vec<_> = suspects.filter(|suspect| suspect.is_blocked()).collect();
    if blocked.is_empty() {
        return None;
    }
    let is_explained = is_explained(world, &blocked);
    let is_single = blocked.len() == 1;
    let probe_from = |suspect: &Suspect| match is_explained {
        true => suspect.crashes.last().map(|last| last.at.max(suspect.probe_end())),
        false => suspect.probe_from(),
    };
    let is_own = |suspect: &Suspect| suspect.probe.is_some_and(|own| own.request == Some(request));
    let others: Vec<_> = blocked.into_iter().filter(|suspect| !is_own(suspect)).collect();
    let from = others.iter().filter_map(|suspect| probe_from(suspect)).max()?;
    // A probe of several parts at once shows less than one of each, so it comes last.
    let turn = match is_explained || is_single {
        // The turn is looked up only once a gateway may probe.
        true if from <= now => probe_turn(world, now, others.first()?.part),
        true => 0,
        false => MAX_PROBE_TURNS,
    };
    let from = from.after(PROBE_TURN * turn);
    (from > now).then(|| from.since(now))
}

/// Returns whether one further blocked part met all crashes of these. Then they may all be sound, and
/// a prompt with them but without that part shows it, so it is worth a probe at once.
fn is_explained(world: &World, blocked: &[&Suspect]) -> bool {
    let parts: BTreeSet<_> = blocked.iter().map(|suspect| suspect.part).collect();
    world.suspects.blocked().any(|other| {
        !parts.contains(&other.part) && blocked.iter().all(|suspect| suspect.is_explained_by(other))
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
    if world.suspects.blocked().next().is_none() {
        return;
    }
    let Some(row) = world.requests.get(request) else { return };
    for part in row.parts.iter().copied() {
        let is_probe = world.suspects.update(part, |suspect| {
            let is_own = suspect.probe.is_some_and(|probe| probe.request == Some(request));
            let is_probe = suspect.is_blocked() && !is_own;
            if is_probe {
                suspect.probe = Some(Probe { request: Some(request), began: now });
                log_step(suspect, SuspicionStep::Probe, effects);
            }
            is_probe
        });
        if is_probe == Some(true) {
            world.suspects.mark_unreported(part);
        }
    }
}

/// Logs that a part is blocked, or no longer.
pub fn log_change(row: &Suspect, was_blocked: bool, effects: &mut Vec<Effect>) {
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
