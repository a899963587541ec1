//! Ends requests: answers their clients, frees what they hold and removes them from the table,
//! which no other system does.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::systems::spans;
use crate::gateway::world::World;
use crate::keys::RequestKey;
use crate::lifecycle::request::RequestEvent;
use crate::result_code::Class;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Maximum `Retry-After` of a refusal; capacity is free again by then after a short peak.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Maximum `Retry-After` of a gateway without a configuration: outages of the store last some
/// seconds, and clients retry once.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Share of the client's remaining time that gives the maximum `Retry-After`; clients honour up to
/// a third of that time, which has passed in part when the answer arrives.
const MAX_RETRY_AFTER_SHARE: f64 = 0.32;

/// Precision with which answers state the `Retry-After`.
const RETRY_AFTER_STEP: Duration = Duration::from_millis(10);

/// Returns the `Retry-After` for a client that is refused with `code` and has `remaining` left.
pub fn retry_after(code: ResultCode, remaining: Duration) -> Duration {
    let limit = match code {
        ResultCode::NotReady => NOT_READY_RETRY_AFTER,
        _ => MAX_RETRY_AFTER,
    };
    honoured_wait(limit, remaining)
}

fn honoured_wait(wait: Duration, remaining: Duration) -> Duration {
    wait.min(remaining.mul_f64(MAX_RETRY_AFTER_SHARE))
}

/// Ends a request with a code of this gateway; one that may have run never ends as "not run".
pub fn end_with_code(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    code: ResultCode,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    let wait = retry_after(code, row.deadline.since(now));
    end_with_wait(world, now, key, code, wait, effects);
}

/// Ends a request that no backend server takes before `return_at` like [`end_with_code`]. Its client
/// should retry then, or after the longest time that clients honour, whichever is sooner.
pub fn end_until(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    code: ResultCode,
    return_at: Timestamp,
    effects: &mut Vec<Effect>,
) {
    // Answers state hundredths of a second; rounded down, clients would return too early.
    let wait = return_at.since(now).saturating_add(RETRY_AFTER_STEP);
    end_with_wait(world, now, key, code, wait, effects);
}

/// Ends a request as [`end_with_code`] does; if it has not run, its client should retry after
/// `wait`, or earlier if it would not honour that.
pub fn end_with_wait(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    code: ResultCode,
    wait: Duration,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    let wait = honoured_wait(wait, row.deadline.since(now));
    end_after(world, now, key, code, wait, effects);
}

/// Ends a request as [`end_with_code`] does; if it has not run, its client should not retry before
/// `wait` has passed, even if it would not honour that.
pub fn end_after(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    code: ResultCode,
    wait: Duration,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    let may_have_run = row.runs > 0 || row.work.is_some();
    let code = match code.class() {
        Class::NotRun if may_have_run => ResultCode::OutcomeUnknown,
        _ => code,
    };
    let retry_after = match code.class() {
        Class::NotRun => Some(wait),
        _ => None,
    };
    effects.push(Effect::Refuse { caller: row.caller, code, retry_after });
    finish_request(world, now, key, code, effects);
}

/// Removes a request from the table, with its work, its reservations and its queue entries.
pub fn finish_request(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    code: ResultCode,
    effects: &mut Vec<Effect>,
) {
    close_attempt(world, now, key);
    spans::release_reservations(world, now, key, effects);
    let Some(mut row) = world.requests.remove(key) else { return };
    row.lifecycle.handle(&RequestEvent::Finished);
    world.deadlines.remove(&(row.deadline, key));
    world.placement_queue.remove(&(row.place_at, key));
    match code {
        ResultCode::Ok => world.counters.completed += 1,
        ResultCode::CallerGone => world.counters.callers_disconnected += 1,
        _ if code.is_not_run() => world.counters.not_run += 1,
        _ => world.counters.failed += 1,
    }
    effects.push(Effect::LogDecision(Box::new(Decision::Ended {
        id: row.id,
        route: row.route,
        account: row.account.unwrap_or_default(),
        code,
        after: now.since(row.arrived),
        first_byte: row.first_byte.map(|first| first.since(row.arrived)),
        longest_gap: row.longest_gap,
        sends: row.sends,
        runs: row.runs,
    })));
    effects.push(Effect::CloseRequest { caller: row.caller });
}

/// Removes the attempt of a request and the work of its helpers from the backend servers.
pub fn close_attempt(world: &mut World, now: Timestamp, key: RequestKey) {
    let Some(row) = world.requests.get_mut(key) else { return };
    let mut works = std::mem::take(&mut row.helper_work);
    works.extend(row.work.take());
    for work in works {
        world.remove_work(work, now);
    }
}
