//! Notices that this process was paused, for example suspended with its machine or short of
//! processor time.
//!
//! After a pause, answers and messages that arrived meanwhile wait at the sockets, so that backend
//! servers and peers seem to have been silent for as long.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::world::World;
use crate::time::Timestamp;

/// Delay of a tick from which the process counts as paused; a thread that is ready waits some tens
/// of milliseconds for a busy processor.
const MAX_TICK_DELAY: Duration = Duration::from_millis(200);

/// Time after a pause in which silence is not acted on; the traffic threads read within it what has
/// arrived.
const CATCH_UP_TIME: Duration = Duration::from_millis(250);

/// Compares the time of this tick with the planned one.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) {
    let Some(planned) = world.wake_planned else { return };
    let delay = now.since(planned);
    if delay > MAX_TICK_DELAY {
        world.caught_up_at = now.after(CATCH_UP_TIME);
        effects.push(Effect::LogDecision(Box::new(Decision::PauseNoticed { delay })));
    }
}
