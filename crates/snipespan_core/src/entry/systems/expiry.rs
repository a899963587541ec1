//! Ends requests at their deadline.

use std::time::Duration;

use crate::entry::effect::Effect;
use crate::entry::systems::ending;
use crate::entry::world::World;
use crate::keys::RequestKey;
use crate::lifecycle::request::State;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Time after its deadline in which the outcome of a request that may not be repeated can still be
/// recorded; its caller was already answered that the outcome is unknown.
pub const RECORD_WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Ends the requests whose deadline has passed and returns the next deadline.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    while let Some((deadline, key)) = world.deadlines.first().copied() {
        if deadline > now {
            return Some(deadline);
        }
        world.deadlines.pop_first();
        expire_request(world, now, key, effects);
    }
    None
}

fn expire_request(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get_mut(key) else { return };
    let is_running = *row.lifecycle.state() == State::Running {};
    if !is_running {
        let code = match row.failed_code {
            Some(_) => ResultCode::DeadlineExceeded,
            None => ResultCode::ExpiredBeforeDispatch,
        };
        ending::end_with_code(world, key, code, effects);
        return;
    }
    if row.is_repeatable {
        ending::end_with_code(world, key, ResultCode::DeadlineExceeded, effects);
        return;
    }
    if row.is_awaiting_record {
        ending::finish_request(world, key, ResultCode::OutcomeUnknown, 0, effects);
        return;
    }
    await_record(world, now, key, effects);
}

/// Answers the caller that the outcome is unknown and waits further for the outcome to record.
fn await_record(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get_mut(key) else { return };
    row.is_awaiting_record = true;
    row.is_caller_disconnected = true;
    row.deadline = now.after(RECORD_WAIT_LIMIT);
    world.deadlines.insert((row.deadline, key));
    let code = ResultCode::OutcomeUnknown;
    effects.push(Effect::AnswerWithCode {
        caller: row.caller,
        code,
        retry_after: code.row().retry.delay(),
    });
}
