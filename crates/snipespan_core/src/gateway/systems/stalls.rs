//! Moves attempts without progress to other backend servers.
//!
//! Load pattern: an engine pauses, and all its streams fall silent at the same moment at many
//! gateways. Most go on soon, and moving all of them would fill the other engines.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::decision::RetryObstacle;
use crate::gateway::effect::Effect;
use crate::gateway::systems::attempts;
use crate::gateway::systems::availability;
use crate::gateway::systems::health;
use crate::gateway::systems::placing;
use crate::gateway::systems::prompt_parts;
use crate::gateway::systems::routing;
use crate::gateway::systems::splitting;
use crate::gateway::systems::splitting::KvPlacement;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::Work;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::keys::RequestKey;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Factor on the expected time to the first event; an attempt counts as stalled after the product
/// and a slack.
const FIRST_EVENT_FACTOR: f64 = 2.0;

/// Minimum slack after `FIRST_EVENT_FACTOR` times the expected time. Work that depends on another
/// engine may pause for longer, 1.5 s at the longest, but mostly pauses for less.
const MIN_FIRST_EVENT_SLACK: Duration = Duration::from_millis(400);

/// Slack as a share of the latency goal, where that is more than `MIN_FIRST_EVENT_SLACK`.
const SLACK_GOAL_SHARE: f64 = 0.5;

/// Pause before a silent attempt that stays where it is is checked again.
const STALL_RECHECK: Duration = Duration::from_millis(100);

/// Moves silent attempts that may be repeated, as far as their retries are allowed and other backend
/// servers have capacity; returns when the next one is due.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    let mut next: Option<Timestamp> = None;
    let mut stalled = Vec::new();
    for (request, row) in world.requests.iter() {
        let Some(work) = repeatable_work(world, row) else { continue };
        let limit = silence_limit(row, work);
        let due = row.last_event.after(limit).max(world.caught_up_at());
        let due = due.max(row.stall_recheck_at.unwrap_or_default());
        match due <= now {
            true => stalled.push((row.first_byte.is_none(), request, limit)),
            false => next = Some(due.or_sooner(next)),
        }
    }
    // Clients that have a part of their answer come first.
    stalled.sort_by_key(|(has_nothing, ..)| *has_nothing);
    let mut charged = Vec::new();
    for (_, request, limit) in stalled {
        match claim_move(world, now, request) {
            Ok(()) => move_request(world, now, request, limit, &mut charged, effects),
            Err(obstacle) => {
                keep_attempt(world, now, request, obstacle, effects);
                next = Some(now.after(STALL_RECHECK).or_sooner(next));
            }
        }
    }
    next
}

/// Takes a retry for a silent attempt. The attempt is given up only once its successor is allowed:
/// its backend server may go on, and a request without an attempt cannot be answered.
fn claim_move(world: &mut World, now: Timestamp, request: RequestKey) -> Result<(), RetryObstacle> {
    if prompt_parts::blocked_for(world, now, request).is_some() {
        return Err(RetryObstacle::PromptPart);
    }
    // While all engines are full, moving a request would only add its load a second time.
    if !is_better_elsewhere(world, now, request) {
        return Err(RetryObstacle::NoneBetter);
    }
    attempts::claim_retry(world, now, request, true)
}

/// Leaves a silent attempt where it is until the next check, and logs this once for each silence.
fn keep_attempt(
    world: &mut World,
    now: Timestamp,
    request: RequestKey,
    obstacle: RetryObstacle,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get_mut(request) else { return };
    let is_first_check = row.stall_recheck_at.is_none();
    row.stall_recheck_at = Some(now.after(STALL_RECHECK));
    let Some(work) = row.work.and_then(|work| world.work.get(work)) else { return };
    let Some(server) = world.backend_servers.rows.get(work.backend_server) else { return };
    if is_first_check {
        let silence = now.since(row.last_event);
        let (id, backend_server) = (row.id.clone(), server.listing.id.clone());
        let decision = Decision::KeptSilent { id, backend_server, silence, obstacle };
        effects.push(Effect::LogDecision(Box::new(decision)));
    }
}

/// Returns whether a silent attempt is expected to do better at other backend servers.
fn is_better_elsewhere(world: &World, now: Timestamp, request: RequestKey) -> bool {
    let Some(row) = world.requests.get(request) else { return false };
    let Some(work) = row.work.and_then(|work| world.work.get(work)) else { return false };
    match row.span.is_some() {
        true => can_span_elsewhere(world, now, row, work.backend_server),
        false => is_on_time_elsewhere(world, now, row, work.backend_server),
    }
}

/// Returns whether a backend server other than `current` is expected to send the first event within
/// the latency goal, and before the client of a stream leaves.
fn is_on_time_elsewhere(
    world: &World,
    now: Timestamp,
    row: &Request,
    current: BackendServerKey,
) -> bool {
    let mut others = availability::usable_backend_servers(world, now, row);
    others.retain(|server| *server != current);
    let engine = routing::engine_of(world, row);
    // A client that is still there after its abandon timeout waits for longer.
    let patience = row.abandon_timeout().checked_sub(now.since(row.last_event));
    let patience = patience.filter(|_| row.kind.is_streaming()).unwrap_or(Duration::MAX);
    let limit_ms = row.latency_goal.min(patience).as_secs_f64() * 1e3;
    others.into_iter().any(|server| {
        let Some(target) = world.backend_servers.rows.get(server) else { return false };
        let expected = routing::estimate(world, now, target, engine, row);
        expected.is_some_and(|(_, first_event_ms)| first_event_ms <= limit_ms)
    })
}

/// Returns whether engines other than `first` have the memory for a prompt that no single engine
/// can hold.
fn can_span_elsewhere(
    world: &World,
    now: Timestamp,
    row: &Request,
    first: BackendServerKey,
) -> bool {
    let Some(engine) = routing::engine_of(world, row) else { return false };
    let split =
        splitting::best_split(world, now, row, engine, KvPlacement::Partitioned, Some(first));
    let remaining_ms = row.deadline.since(now).as_secs_f64() * 1e3;
    split.is_some_and(|split| split.expected_first_event_ms <= remaining_ms)
}

/// Returns the open attempt of a request, if another backend server may repeat it.
fn repeatable_work<'a>(world: &'a World, row: &Request) -> Option<&'a Work> {
    // A withdrawn attempt counts as a run.
    let key = row.work.filter(|_| row.may_repeat_after(row.runs + 1))?;
    world.work.get(key)
}

/// Returns the silence after which an attempt counts as stalled: the stall limit of the stream, or
/// before the first event a limit by the expected time, which for a stream lies between half of its
/// stall limit and all of it.
fn silence_limit(row: &Request, work: &Work) -> Duration {
    let stall_limit = row.stall_limit();
    match work.phase {
        Phase::Prefill => {
            let expected = Duration::from_secs_f64(work.expected_first_event_ms / 1e3);
            let slack = MIN_FIRST_EVENT_SLACK.max(row.latency_goal.mul_f64(SLACK_GOAL_SHARE));
            let limit = expected.mul_f64(FIRST_EVENT_FACTOR) + slack;
            match row.kind.is_streaming() {
                true => limit.max(stall_limit / 2).min(stall_limit),
                false => limit,
            }
        }
        Phase::Decode => stall_limit,
    }
}

/// Withdraws a silent attempt and places its request at once, so that the next one to be moved sees
/// the load of this one. One silence counts as one failure of a backend server, however many
/// requests it holds; `charged` are those that it was counted for.
fn move_request(
    world: &mut World,
    now: Timestamp,
    request: RequestKey,
    limit: Duration,
    charged: &mut Vec<BackendServerKey>,
    effects: &mut Vec<Effect>,
) {
    let Some(key) = world.requests.get(request).and_then(|row| row.work) else { return };
    let Some((_, work)) = attempts::withdraw_attempt(world, now, key, effects) else { return };
    world.counters.stalled += 1;
    let Some(row) = world.requests.get_mut(request) else { return };
    row.record_run(ResultCode::AnswerCut);
    effects.push(Effect::DropAttempt { caller: row.caller });
    let id = row.id.clone();
    let silence = now.since(row.last_event);
    let (remaining, has_begun) = (row.deadline.since(now), row.first_byte.is_some());
    if !charged.contains(&work.backend_server) {
        charged.push(work.backend_server);
        health::record_failure(world, now, work.backend_server, false, effects);
    }
    if let Some(row) = world.backend_servers.rows.get(work.backend_server) {
        let backend_server = row.listing.id.clone();
        let decision =
            Decision::Stalled { id, backend_server, silence, limit, remaining, has_begun };
        effects.push(Effect::LogDecision(Box::new(decision)));
    }
    placing::place_request(world, now, request, effects);
}
