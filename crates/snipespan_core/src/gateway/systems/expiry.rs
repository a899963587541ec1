//! Ends requests at their deadline.

use crate::gateway::effect::Effect;
use crate::gateway::systems::ending;
use crate::gateway::world::World;
use crate::keys::RequestKey;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Ends expired requests; returns when the next one is due.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    while let Some((deadline, key)) = world.deadlines.first().copied() {
        if deadline > now {
            break;
        }
        world.deadlines.remove(&(deadline, key));
        expire_request(world, now, key, effects);
    }
    world.deadlines.first().map(|(deadline, _)| *deadline)
}

fn expire_request(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get(key) else { return };
    let code = match row.runs > 0 || row.work.is_some() {
        true => ResultCode::DeadlineExceeded,
        false => ResultCode::ExpiredBeforeDispatch,
    };
    ending::end_with_code(world, now, key, code, effects);
}
