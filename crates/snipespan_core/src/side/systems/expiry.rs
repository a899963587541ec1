//! Ends streams whose deadline has passed.

use crate::keys::StreamKey;
use crate::lifecycle::stream::State;
use crate::result_code::ResultCode;
use crate::side::effect::Effect;
use crate::side::systems::release;
use crate::side::world::World;
use crate::time::Timestamp;

/// Ends the streams whose deadline has passed; returns the next deadline.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    while let Some((deadline, key)) = world.deadlines.first().copied() {
        if deadline > now {
            return Some(deadline);
        }
        world.deadlines.pop_first();
        expire_stream(world, now, key, effects);
    }
    None
}

fn expire_stream(world: &mut World, now: Timestamp, key: StreamKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.streams.get(key) else { return };
    let ticket = row.ticket;
    match row.state() {
        State::Queued {} => {
            let code = ResultCode::ExpiredBeforeDispatch;
            effects.push(Effect::Refuse { ticket, code, retry_after: None });
        }
        // An unrepeatable call continues at its service, as its answer completes the record.
        State::Running {} if !row.is_repeatable => return,
        State::Running {} => {
            effects.push(Effect::Abort { ticket, code: ResultCode::DeadlineExceeded });
        }
        State::Reclaiming {} | State::Ended {} => return,
    }
    release::abandon_stream(world, now, key, effects);
}
