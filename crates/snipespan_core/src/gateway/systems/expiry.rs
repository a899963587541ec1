//! Ends requests at their deadline and withdraws attempts without progress.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::decision::RetryObstacle;
use crate::gateway::effect::Effect;
use crate::gateway::systems::attempts;
use crate::gateway::systems::ending;
use crate::gateway::systems::health;
use crate::gateway::systems::routing;
use crate::gateway::systems::splitting;
use crate::gateway::systems::splitting::KvPlacement;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::Rank;
use crate::gateway::tables::work::Work;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
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

/// Pause before a silent attempt is checked again when no other backend server is expected to do
/// better.
const STALL_RECHECK: Duration = Duration::from_millis(100);

/// Ends expired requests and withdraws stalled attempts; returns when the next may be due.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    while let Some((deadline, key)) = world.deadlines.first().copied() {
        if deadline > now {
            break;
        }
        world.deadlines.remove(&(deadline, key));
        expire_request(world, now, key, effects);
    }
    let stall_at = withdraw_stalled(world, now, effects);
    let deadline = world.deadlines.first().map(|(deadline, _)| *deadline);
    [stall_at, deadline].into_iter().flatten().min()
}

fn expire_request(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get(key) else { return };
    let code = match row.runs > 0 || row.work.is_some() {
        true => ResultCode::DeadlineExceeded,
        false => ResultCode::ExpiredBeforeDispatch,
    };
    ending::end_with_code(world, now, key, code, effects);
}

/// Moves attempts without progress that may be repeated, as far as their retries are allowed;
/// returns when the next one is due.
fn withdraw_stalled(
    world: &mut World,
    now: Timestamp,
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    let mut next: Option<Timestamp> = None;
    let mut stalled = Vec::new();
    for (_, row) in world.requests.iter() {
        let Some((key, work)) = repeatable_work(world, row) else { continue };
        let limit = silence_limit(row, work);
        let due = row.last_event.after(limit).max(world.caught_up_at());
        match due <= now {
            true => stalled.push((key, limit)),
            false => next = Some(due.or_sooner(next)),
        }
    }
    for (key, limit) in stalled {
        match claim_move(world, now, key) {
            Ok(()) => withdraw_stalled_attempt(world, now, key, limit, effects),
            Err(obstacle) => {
                log_kept(world, now, key, limit, obstacle, effects);
                next = Some(now.after(STALL_RECHECK).or_sooner(next));
            }
        }
    }
    next
}

/// Takes a retry for a silent attempt. The attempt is given up only once its successor is allowed:
/// its backend server may go on, and a request without an attempt cannot be answered.
fn claim_move(world: &mut World, now: Timestamp, key: WorkKey) -> Result<(), RetryObstacle> {
    // While all engines are full, moving a request would only add its load a second time.
    if !is_better_elsewhere(world, now, key) {
        return Err(RetryObstacle::NoneBetter);
    }
    let request = attempts::request_of(world, key).ok_or(RetryObstacle::NoneBetter)?;
    attempts::claim_retry(world, now, request, true)
}

/// Logs that a silent attempt stays where it is, at the first of the checks of its silence.
fn log_kept(
    world: &World,
    now: Timestamp,
    key: WorkKey,
    limit: Duration,
    obstacle: RetryObstacle,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = attempts::request_of(world, key) else { return };
    let Some(row) = world.requests.get(request) else { return };
    let Some(work) = world.work.get(key) else { return };
    let Some(server) = world.backend_servers.rows.get(work.backend_server) else { return };
    let silence = now.since(row.last_event);
    if silence >= limit + STALL_RECHECK {
        return;
    }
    let (id, backend_server) = (row.id.clone(), server.listing.id.clone());
    let decision = Decision::KeptSilent { id, backend_server, silence, obstacle };
    effects.push(Effect::LogDecision(Box::new(decision)));
}

/// Returns whether a silent attempt is expected to do better at other backend servers.
fn is_better_elsewhere(world: &World, now: Timestamp, key: WorkKey) -> bool {
    let Some(work) = world.work.get(key) else { return false };
    let Some(request) = attempts::request_of(world, key) else { return false };
    let Some(row) = world.requests.get(request) else { return false };
    match row.span.is_some() {
        true => can_span_elsewhere(world, now, row, work.backend_server),
        false => is_on_time_elsewhere(world, now, row, work.backend_server),
    }
}

/// Returns whether a backend server other than `current` is expected to send the first event within
/// the latency goal.
fn is_on_time_elsewhere(
    world: &World,
    now: Timestamp,
    row: &Request,
    current: BackendServerKey,
) -> bool {
    let mut others = routing::usable_backend_servers(world, now, row);
    others.retain(|server| *server != current);
    let engine = routing::engine_of(world, row);
    let limit_ms = row.latency_goal.as_secs_f64() * 1e3;
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
    splitting::best_split(world, now, row, engine, KvPlacement::Partitioned, Some(first)).is_some()
}

/// Returns the open attempt of a request, if another backend server may repeat it.
fn repeatable_work<'a>(world: &'a World, row: &Request) -> Option<(WorkKey, &'a Work)> {
    // A withdrawn attempt counts as a run.
    let key = row.work.filter(|_| row.may_repeat_after(row.runs + 1))?;
    Some((key, world.work.get(key)?))
}

/// Returns the silence after which an attempt counts as stalled: the stall limit of the stream, or
/// before the first event a limit by the expected time, which for a stream lies between half of its
/// stall limit and all of it.
fn silence_limit(row: &Request, work: &Work) -> Duration {
    let stall_limit = row.stall_limit();
    match work.phase {
        // An engine serves late work after all other work.
        Phase::Prefill if work.demand.rank == Rank::Late => stall_limit,
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

fn withdraw_stalled_attempt(
    world: &mut World,
    now: Timestamp,
    key: WorkKey,
    limit: Duration,
    effects: &mut Vec<Effect>,
) {
    let Some((request, work)) = attempts::withdraw_attempt(world, now, key, effects) else {
        return;
    };
    world.counters.stalled += 1;
    let Some(row) = world.requests.get(request) else { return };
    effects.push(Effect::DropAttempt { caller: row.caller });
    let id = row.id.clone();
    let silence = now.since(row.last_event);
    let (remaining, has_begun) = (row.deadline.since(now), row.first_byte.is_some());
    health::record_failure(world, now, work.backend_server, false, effects);
    if let Some(row) = world.backend_servers.rows.get(work.backend_server) {
        let backend_server = row.listing.id.clone();
        let decision =
            Decision::Stalled { id, backend_server, silence, limit, remaining, has_begun };
        effects.push(Effect::LogDecision(Box::new(decision)));
    }
    if let Some(row) = world.requests.get_mut(request) {
        row.record_run(ResultCode::AnswerCut);
    }
    world.schedule_placement(request, now);
}
