//! Handles the results of attempts: ends the request or schedules another attempt.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::decision::RetryObstacle;
use crate::gateway::effect::Effect;
use crate::gateway::event::AnswerStage;
use crate::gateway::event::Event;
use crate::gateway::event::FailReason;
use crate::gateway::event::NotRunReason;
use crate::gateway::systems::availability;
use crate::gateway::systems::ending;
use crate::gateway::systems::health;
use crate::gateway::systems::holding;
use crate::gateway::systems::named_limits;
use crate::gateway::systems::prompt_parts;
use crate::gateway::systems::spans;
use crate::gateway::tables::retry_budgets::RetryUse;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::Work;
use crate::gateway::tables::work::WorkOwner;
use crate::gateway::world::World;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::lifecycle::request::RequestEvent;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Minimum time to the deadline with which a request is retried.
const MIN_RETRY_TIME: Duration = Duration::from_millis(50);

/// Pause before the retry budget is asked again for a stream that waits for it.
const BUDGET_RECHECK: Duration = Duration::from_millis(100);

/// Handles the events of attempts.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        match event {
            Event::AttemptNotRun { work, reason } => {
                attempt_not_run(world, now, *work, *reason, effects)
            }
            Event::AttemptProgress { work } => record_progress(world, now, *work, effects),
            Event::AttemptCompleted { work, longest_gap } => {
                attempt_completed(world, now, *work, *longest_gap, effects);
            }
            Event::AttemptFailed { work, reason, stage } => {
                attempt_failed(world, now, *work, (*reason, *stage), effects);
            }
            _ => {}
        }
    }
}

/// Returns the request that a piece of work was dispatched for; `None` for the work of a peer.
pub fn request_of(world: &World, key: WorkKey) -> Option<RequestKey> {
    match world.work.get(key)?.owner {
        WorkOwner::Own(request) => Some(request),
        WorkOwner::Peer(..) => None,
    }
}

fn record_progress(world: &mut World, now: Timestamp, key: WorkKey, effects: &mut Vec<Effect>) {
    let Some(request) = request_of(world, key) else { return };
    let Some(row) = world.requests.get_mut(request) else { return };
    row.first_byte.get_or_insert(now);
    row.first_event.get_or_insert(now);
    row.last_event = now;
    row.waits_since = now;
    row.stall_recheck_at = None;
    let has_no_helpers = row.helper_work.is_empty();
    let helpers = row.helper_work.clone();
    prompt_parts::record_progress(world, now, request, false, effects);
    let Some(work) = world.work.get(key).copied() else { return };
    if work.phase == Phase::Prefill {
        named_limits::record_answer(world, now, &work);
    }
    if work.phase == Phase::Prefill && has_no_helpers {
        health::record_success(world, work.backend_server, effects);
        record_slowdown(world, now, &work);
    }
    world.start_decode(key, now);
    for helper in helpers {
        let holds_memory = world.work.get(helper).is_some_and(|work| work.demand.prompt_tokens > 0);
        match holds_memory {
            true => world.start_decode(helper, now),
            // The helper has prefilled its part and keeps none of it.
            false => drop(world.remove_work(helper, now)),
        }
    }
}

/// Records the slowdown of a backend server by comparing the time to the first event with the
/// prediction, if there is one.
fn record_slowdown(world: &mut World, now: Timestamp, work: &Work) {
    // The time of a pause of this process is not that of the backend server.
    if world.last_pause.is_some_and(|last| work.dispatched < last) {
        return;
    }
    let Some(row) = world.backend_servers.rows.get_mut(work.backend_server) else { return };
    if work.expected_first_event_ms > 0.0 && work.demand.prefill_ms > 0.0 {
        let elapsed_ms = now.since(work.dispatched).as_secs_f64() * 1e3;
        // The prediction includes the slowdown as of the dispatch; the product is the ratio to the
        // nominal speed.
        let ratio = elapsed_ms / work.expected_first_event_ms * row.slowdown(now);
        row.record_slowdown(now, ratio);
    }
}

fn attempt_completed(
    world: &mut World,
    now: Timestamp,
    key: WorkKey,
    longest_gap: Duration,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = request_of(world, key) else { return };
    if let Some(row) = world.requests.get_mut(request) {
        row.first_byte.get_or_insert(now);
        row.longest_gap = longest_gap;
    }
    prompt_parts::record_progress(world, now, request, true, effects);
    if let Some(work) = world.work.get(key).copied() {
        if work.phase == Phase::Prefill {
            named_limits::record_answer(world, now, &work);
        }
        health::record_success(world, work.backend_server, effects);
    }
    ending::finish_request(world, now, request, ResultCode::Ok, effects);
}

fn attempt_not_run(
    world: &mut World,
    now: Timestamp,
    key: WorkKey,
    reason: NotRunReason,
    effects: &mut Vec<Effect>,
) {
    let Some((request, work)) = withdraw_attempt(world, now, key, effects) else { return };
    world.counters.sends_not_run += 1;
    match reason {
        NotRunReason::Refused | NotRunReason::Expired | NotRunReason::Withdrawn => {}
        NotRunReason::OtherInstance | NotRunReason::Unreachable => {
            health::record_failure(world, now, work.backend_server, true, effects);
        }
    }
    if let Some(server) = world.backend_servers.rows.get(work.backend_server)
        && let Some(row) = world.requests.get(request)
    {
        effects.push(Effect::LogDecision(Box::new(Decision::NotRun {
            id: row.id.clone(),
            backend_server: server.listing.id.clone(),
            reason,
            after: now.since(work.dispatched),
        })));
    }
    let Some(row) = world.requests.get_mut(request) else { return };
    row.last_code = Some(reason.code());
    // An attempt that reached no backend server added no load there and takes no retry budget.
    let is_counted = matches!(reason, NotRunReason::Refused | NotRunReason::OtherInstance);
    retry_request(world, now, request, is_counted, effects);
}

fn attempt_failed(
    world: &mut World,
    now: Timestamp,
    key: WorkKey,
    (reason, stage): (FailReason, AnswerStage),
    effects: &mut Vec<Effect>,
) {
    let Some((request, work)) = withdraw_attempt(world, now, key, effects) else { return };
    // One that turns requests away is not failing.
    let server = world.backend_servers.rows.get(work.backend_server);
    let is_turned_away = server.is_some_and(|server| server.is_unwanted(now));
    if reason != FailReason::ServerError || !is_turned_away {
        health::record_failure(world, now, work.backend_server, false, effects);
    }
    if let Some(server) = world.backend_servers.rows.get(work.backend_server)
        && let Some(row) = world.requests.get(request)
    {
        let (id, backend_server) = (row.id.clone(), server.listing.id.clone());
        let (instance_hash, failures) = (server.listing.instance_hash, server.failures);
        let (sent, failure) = ((instance_hash, work.dispatched), (reason, stage));
        let evidence = prompt_parts::record_failure(world, now, request, sent, failure, effects);
        effects.push(Effect::LogDecision(Box::new(Decision::Failed {
            id,
            backend_server,
            reason,
            stage,
            instance_hash,
            evidence,
            after: now.since(work.dispatched),
            failures,
        })));
    }
    retry_if_repeatable(world, now, request, reason.code(), effects);
}

/// Sends a request again after an attempt that may have run, or ends it with `code` if it may not
/// be repeated.
fn retry_if_repeatable(
    world: &mut World,
    now: Timestamp,
    request: RequestKey,
    code: ResultCode,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get_mut(request) else { return };
    row.record_run(code);
    match row.may_repeat_after(row.runs) {
        true => retry_request(world, now, request, true, effects),
        false => end_without_retry(world, now, request, RetryObstacle::Attempts, effects),
    }
}

/// Ends a request whose last attempt was refused or failed, and logs why no other follows.
fn end_without_retry(
    world: &mut World,
    now: Timestamp,
    request: RequestKey,
    obstacle: RetryObstacle,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(request) else { return };
    let code = row.last_code.unwrap_or(ResultCode::NoBackendServer);
    effects.push(Effect::LogDecision(Box::new(Decision::NotRetried {
        id: row.id.clone(),
        obstacle,
        remaining: row.deadline.since(now),
        has_begun: row.first_byte.is_some(),
    })));
    ending::end_with_code(world, now, request, code, effects);
}

/// Removes an attempt from its backend server, which the request avoids from then on; returns the
/// request and the removed work.
pub fn withdraw_attempt(
    world: &mut World,
    now: Timestamp,
    key: WorkKey,
    effects: &mut Vec<Effect>,
) -> Option<(RequestKey, Work)> {
    let request = request_of(world, key)?;
    let work = world.work.get(key).copied()?;
    ending::close_attempt(world, now, request);
    spans::release_reservations(world, now, request, effects);
    let row = world.requests.get_mut(request)?;
    row.lifecycle.handle(&RequestEvent::AttemptReturned);
    row.avoid(work.backend_server);
    Some((request, work))
}

/// Withdraws the attempts that are not sent yet and whose backend server, or that of a helper, may
/// no longer be used by reason of its data centre. The control state does not know which are sent,
/// but those with a first event were.
pub fn withdraw_barred(world: &World, effects: &mut Vec<Effect>) {
    for (_, row) in world.requests.iter() {
        let Some(work) = row.work.and_then(|work| world.work.get(work)) else { continue };
        if work.phase != Phase::Prefill {
            continue;
        }
        let helpers = row.helper_work.iter().filter_map(|helper| world.work.get(*helper));
        let is_barred = |work: &Work| availability::is_barred(world, work.backend_server, row);
        if std::iter::once(work).chain(helpers).any(is_barred) {
            effects.push(Effect::DropUnsentAttempt { caller: row.caller });
        }
    }
}

/// Schedules a request for placement at once, or ends it if its deadline is too near or its retry
/// budget is used up; `is_counted` is whether the retry takes from the budget. A stream that its
/// client has seen a part of, and that the last backend server refused, waits for the budget.
pub fn retry_request(
    world: &mut World,
    now: Timestamp,
    request: RequestKey,
    is_counted: bool,
    effects: &mut Vec<Effect>,
) {
    if holding::refuse_if_unavailable(world, now, request, effects) {
        return;
    }
    let Err(obstacle) = claim_retry(world, now, request, is_counted) else {
        world.schedule_placement(request, now);
        return;
    };
    let Some(row) = world.requests.get_mut(request) else { return };
    let is_refused = row.last_code.is_some_and(ResultCode::is_not_run);
    if obstacle == RetryObstacle::Budget && is_refused && row.first_byte.is_some() {
        row.awaits_retry = true;
        world.schedule_placement(request, now.after(BUDGET_RECHECK));
        return;
    }
    if obstacle == RetryObstacle::Budget {
        world.counters.retries_over_budget += 1;
    }
    end_without_retry(world, now, request, obstacle, effects);
}

/// Takes a retry of a request from the budget of its service, unless `is_counted` is false.
///
/// # Errors
/// [`RetryObstacle::Deadline`] if too little time is left, and [`RetryObstacle::Budget`] if the
/// budget is used up; nothing is taken then.
pub fn claim_retry(
    world: &mut World,
    now: Timestamp,
    request: RequestKey,
    is_counted: bool,
) -> Result<(), RetryObstacle> {
    let Some(row) = world.requests.get(request) else { return Ok(()) };
    if row.deadline.since(now) < MIN_RETRY_TIME {
        return Err(RetryObstacle::Deadline);
    }
    let retry_use = match row.first_byte {
        Some(_) => RetryUse::Continuation,
        None => RetryUse::Fresh,
    };
    let service = row.service.clone();
    let allowance = world.retry_allowance();
    let is_allowed =
        !is_counted || world.shared_rates.try_consume_retry(&service, now, allowance, retry_use);
    if is_allowed { Ok(()) } else { Err(RetryObstacle::Budget) }
}
