//! Ends every request whose time has run out.

use std::time::Duration;

use crate::entry::effect::Effect;
use crate::entry::systems::ending;
use crate::entry::world::World;
use crate::keys::RequestKey;
use crate::lifecycle::request::State;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Time after its deadline in which a request that may not be repeated can still settle its
/// record, though its caller has been told that the outcome is unknown.
pub const SETTLE_LIMIT: Duration = Duration::from_secs(30);

/// Ends the requests that are due; returns when the next one is.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    while let Some((deadline, key)) = world.deadlines.first().copied() {
        if deadline > now {
            return Some(deadline);
        }
        world.deadlines.pop_first();
        expire(world, now, key, effects);
    }
    None
}

fn expire(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get_mut(key) else { return };
    let is_running = *row.lifecycle.state() == State::Running {};
    if !is_running {
        let code = match row.failed_code {
            Some(_) => ResultCode::DeadlineExceeded,
            None => ResultCode::ExpiredBeforeDispatch,
        };
        ending::refuse(world, key, code, effects);
        return;
    }
    if row.is_repeatable {
        ending::refuse(world, key, ResultCode::DeadlineExceeded, effects);
        return;
    }
    if row.is_settling {
        ending::finish(world, key, ResultCode::OutcomeUnknown, 0, effects);
        return;
    }
    settle(world, now, key, effects);
}

/// Tells the caller that the outcome is unknown and waits on for the record's sake.
fn settle(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get_mut(key) else { return };
    row.is_settling = true;
    row.is_caller_gone = true;
    row.deadline = now.after(SETTLE_LIMIT);
    world.deadlines.insert((row.deadline, key));
    let code = ResultCode::OutcomeUnknown;
    effects.push(Effect::Refuse {
        caller: row.caller,
        code,
        retry_after: code.row().retry.delay(),
    });
}
