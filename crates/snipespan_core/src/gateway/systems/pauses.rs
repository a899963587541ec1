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

/// Maximum time between ticks while requests are open or backend servers are held to a rate, so that a pause that is half as long as the
/// shortest limit of silence is noticed.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Time after a pause in which silence is not acted on; the traffic threads read within it what has
/// arrived.
pub const CATCH_UP_TIME: Duration = Duration::from_millis(250);

/// Minimum time from one pause that is noticed to the next. Where all ticks are late, silence still
/// counts for most of the time.
const PAUSE_INTERVAL: Duration = Duration::from_secs(1);

/// Compares the time of this tick with the planned one.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) {
    let Some(planned) = world.wake_planned else { return };
    let delay = now.since(planned);
    let is_rested = world.last_pause.is_none_or(|last| now.since(last) >= PAUSE_INTERVAL);
    if delay > MAX_TICK_DELAY && is_rested {
        world.last_pause = Some(now);
        effects.push(Effect::LogDecision(Box::new(Decision::PauseNoticed { delay })));
    }
}

/// Records when the next tick is due, and returns it: `wake_at`, or sooner while requests are open
/// or backend servers are held to a rate.
pub fn plan_wake(
    world: &mut World,
    now: Timestamp,
    wake_at: Option<Timestamp>,
) -> Option<Timestamp> {
    let is_watched = !world.requests.is_empty() || world.shared_rates.has_cold_servers();
    let watch_at = is_watched.then(|| now.after(WATCH_INTERVAL));
    world.wake_planned = [wake_at, watch_at].into_iter().flatten().min();
    world.wake_planned
}
