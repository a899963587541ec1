//! Ends requests; only this module removes them from the table.

use std::time::Duration;

use crate::cost::LONG_JOB_TOKENS;
use crate::entry::effect::Effect;
use crate::entry::tables::report::LongJob;
use crate::entry::tables::requests::Request;
use crate::entry::world::World;
use crate::keys::RequestKey;
use crate::lifecycle::request::RequestEvent;
use crate::lifecycle::request::State;
use crate::result_code::Class;
use crate::result_code::ResultCode;

/// Ends a request and returns a result code to its caller.
///
/// The code is replaced by that of the failed attempt where "not run" would be false.
pub fn end_with_code(
    world: &mut World,
    key: RequestKey,
    code: ResultCode,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    let caller = row.caller;
    let code = reported_code(row, code);
    let retry_after = retry_advice(row, code);
    effects.push(Effect::AnswerWithCode { caller, code, retry_after });
    finish_request(world, key, code, 0, effects);
}

/// Ends a request whose caller has its answer or is answered by another effect.
pub fn finish_request(
    world: &mut World,
    key: RequestKey,
    code: ResultCode,
    output_tokens: u64,
    effects: &mut Vec<Effect>,
) {
    if let Some(attempt) = world.close_attempt(key) {
        let caller = world.requests.get(key).map(|row| row.caller);
        let cancelled = caller.filter(|_| code != ResultCode::Ok);
        effects.extend(cancelled.map(|caller| Effect::CancelAttempt { caller, attempt }));
    }
    let Some(mut row) = world.requests.remove(key) else { return };
    let may_have_record = !row.is_repeatable && *row.lifecycle.state() != State::Reading {};
    if may_have_record && !row.is_record_foreign {
        effects.push(Effect::FinishRecord { caller: row.caller, code });
    }
    effects.push(Effect::CloseRequest { caller: row.caller });
    row.lifecycle.handle(&RequestEvent::Finished);
    world.deadlines.remove(&(row.deadline, key));
    world.placement_queue.remove(&(row.place_at, key));
    world.body_bytes = world.body_bytes.saturating_sub(row.body_bytes);
    if let Some(account) = world.accounts.rows.get_mut(row.account) {
        account.open = account.open.saturating_sub(1);
    }
    count_outcome(world, &row, code, output_tokens);
}

/// Returns the code to report: after an attempt that may have run, a request must not be reported
/// as not run.
fn reported_code(row: &Request, code: ResultCode) -> ResultCode {
    match row.failed_code {
        Some(failed) if code.is_not_run() => failed,
        _ => code,
    }
}

fn count_outcome(world: &mut World, row: &Request, code: ResultCode, output_tokens: u64) {
    match code.class() {
        Class::Ok => world.counters.completed += 1,
        Class::NotRun => world.counters.not_run += 1,
        Class::Failed | Class::Unknown => world.counters.failed += 1,
    }
    if row.target.is_none() {
        return;
    }
    world.report.add_outcome(row.cost, code);
    if row.cost.prompt_tokens > LONG_JOB_TOKENS {
        let job = LongJob {
            account: row.account_name.clone(),
            prompt_tokens: row.cost.prompt_tokens,
            output_tokens,
            outcome: Some(code),
        };
        world.report.set_long_job(row.id, job);
    }
}

fn retry_advice(row: &Request, code: ResultCode) -> Option<Duration> {
    let usual = code.row().retry.delay()?;
    Some(row.retry_after.map_or(usual, |known| known.max(usual)))
}
