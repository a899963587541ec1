//! Handles the results of attempts: ends the request or schedules another attempt.

use std::time::Duration;

use rand::RngExt;

use crate::entry::effect::Effect;
use crate::entry::event::Event;
use crate::entry::systems::ending;
use crate::entry::tables::attempts::Attempt;
use crate::entry::tables::backend_servers::FIRST_BACKOFF;
use crate::entry::tables::backend_servers::MAX_BACKOFF;
use crate::entry::world::World;
use crate::keys::AttemptKey;
use crate::keys::BackendServerKey;
use crate::keys::RequestKey;
use crate::lifecycle::request::RequestEvent;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Half of the pause before the second attempt of a refused or failed request. The pause doubles
/// with each further attempt, up to [`MAX_RETRY_PAUSE`], and is multiplied by a random factor of
/// 0.5 to 1.
pub const RETRY_PAUSE: Duration = Duration::from_millis(2);

/// Maximum pause between two attempts.
pub const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Handles the first tokens, refusals, failures and completions of attempts.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        match event {
            Event::AttemptRefused { attempt, code, retry_after } => {
                attempt_refused(world, now, *attempt, *code, *retry_after, effects);
            }
            Event::FirstToken { attempt } => record_first_token(world, now, *attempt),
            Event::AttemptCompleted { attempt, output_tokens } => {
                attempt_completed(world, *attempt, *output_tokens, effects);
            }
            Event::AttemptFailed { attempt, code, resumable } => {
                attempt_failed(world, now, *attempt, *code, *resumable, effects);
            }
            _ => {}
        }
    }
}

fn record_first_token(world: &mut World, now: Timestamp, key: AttemptKey) {
    let Some(attempt) = world.attempts.get(key) else { return };
    let Some(row) = world.requests.get_mut(attempt.request) else { return };
    if row.first_token.is_none() {
        row.first_token = Some(now);
        let cost = row.cost;
        let after = now.since(row.arrived);
        world.report.add_first_token(cost, after);
    }
}

fn attempt_completed(
    world: &mut World,
    key: AttemptKey,
    output_tokens: u64,
    effects: &mut Vec<Effect>,
) {
    let Some(attempt) = world.attempts.get(key) else { return };
    let request = attempt.request;
    if let Some(row) = world.backend_servers.rows.get_mut(attempt.backend_server) {
        row.failures = 0;
    }
    ending::finish_request(world, request, ResultCode::Ok, output_tokens, effects);
}

fn attempt_refused(
    world: &mut World,
    now: Timestamp,
    key: AttemptKey,
    code: ResultCode,
    retry_after: Option<Duration>,
    effects: &mut Vec<Effect>,
) {
    let Some(attempt) = withdraw_attempt(world, key) else { return };
    world.counters.attempts_refused += 1;
    record_refusal(world, now, attempt.backend_server, code);
    let Some(row) = world.requests.get_mut(attempt.request) else { return };
    row.last_code = Some(code);
    row.retry_after = retry_after;
    retry_request(world, now, &attempt, effects);
}

fn record_refusal(world: &mut World, now: Timestamp, key: BackendServerKey, code: ResultCode) {
    match code {
        ResultCode::Leaving => {
            let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
            row.reported_leaving = true;
            row.update_leaving();
        }
        ResultCode::BackendUnreachable => record_failure(world, now, key),
        _ => {}
    }
}

fn attempt_failed(
    world: &mut World,
    now: Timestamp,
    key: AttemptKey,
    code: ResultCode,
    resumable: bool,
    effects: &mut Vec<Effect>,
) {
    let Some(attempt) = withdraw_attempt(world, key) else { return };
    record_failure(world, now, attempt.backend_server);
    let Some(row) = world.requests.get_mut(attempt.request) else { return };
    if !row.is_repeatable {
        ending::end_with_code(world, attempt.request, ResultCode::OutcomeUnknown, effects);
        return;
    }
    row.last_code = Some(code);
    row.failed_code = Some(code);
    if !resumable {
        ending::end_with_code(world, attempt.request, code, effects);
        return;
    }
    if world.retry_budget < 1.0 {
        world.counters.retries_over_budget += 1;
        ending::end_with_code(world, attempt.request, code, effects);
        return;
    }
    world.retry_budget -= 1.0;
    retry_request(world, now, &attempt, effects);
}

/// Removes an attempt from the table and returns its request to placement.
fn withdraw_attempt(world: &mut World, key: AttemptKey) -> Option<Attempt> {
    let request = world.attempts.get(key)?.request;
    let row = world.requests.get_mut(request)?;
    row.attempt = None;
    row.lifecycle.handle(&RequestEvent::AttemptReturned);
    let attempt = world.attempts.remove(key)?;
    row.avoid(attempt.backend_server);
    let cost = row.cost;
    if let Some(row) = world.backend_servers.rows.get_mut(attempt.backend_server) {
        row.open = row.open.saturating_sub(1);
        row.remove_sent_tokens(cost, attempt.queued_tokens);
    }
    Some(attempt)
}

fn retry_request(world: &mut World, now: Timestamp, attempt: &Attempt, effects: &mut Vec<Effect>) {
    let request = attempt.request;
    if attempt.number.0 >= world.settings.max_attempts {
        fail_request(world, request, effects);
        return;
    }
    if let Some(row) = world.requests.get_mut(request) {
        row.placing_since = now;
    }
    let doubled = RETRY_PAUSE.saturating_mul(1 << attempt.number.0.min(10));
    let pause = doubled.min(MAX_RETRY_PAUSE).mul_f64(world.rng.random_range(0.5..1.0));
    world.schedule_placement(request, now.after(pause));
}

/// Ends a request for which no further attempt is allowed, with the code of the latest attempt or,
/// if there was none, with "no backend server".
pub fn fail_request(world: &mut World, request: RequestKey, effects: &mut Vec<Effect>) {
    let last_code = world.requests.get(request).and_then(|row| row.last_code);
    let code = last_code.unwrap_or(ResultCode::NoBackendServer);
    ending::end_with_code(world, request, code, effects);
}

fn record_failure(world: &mut World, now: Timestamp, key: BackendServerKey) {
    let jitter = world.rng.random_range(0.5..1.0);
    let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
    row.failures += 1;
    let doubled = FIRST_BACKOFF.saturating_mul(1 << (row.failures - 1).min(10));
    row.backoff_until = now.after(doubled.min(MAX_BACKOFF).mul_f64(jitter));
}
