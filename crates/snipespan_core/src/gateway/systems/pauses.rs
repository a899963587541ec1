//! Notices that this process was paused, for example suspended with its machine or short of
//! processor time.
//!
//! After a pause, answers and messages that arrived meanwhile wait at the sockets, so that backend
//! servers and peers seem to have been silent for as long.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::tables::peers::PEER_TIMEOUT;
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

/// Pause after which no request is placed for [`RESUME_TIME`], where the settings name data centres.
/// An evacuation that began in it may not have arrived: the socket discards messages when its buffer
/// is full. Peers send the evacuations again to a gateway that was silent for this long. A shorter
/// pause ends before an evacuation must be in force, five seconds after its begin.
const LONG_PAUSE: Duration = PEER_TIMEOUT;

/// Time for which no request is placed after a long pause: three times the 6 ms round trip between
/// data centres in which the peers answer its first message, as the reader of datagrams rests for
/// 3 ms at each of them.
const RESUME_TIME: Duration = Duration::from_millis(20);

/// Compares the time of this tick with the planned one.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) {
    let Some(planned) = world.wake_planned else { return };
    let delay = now.since(planned);
    let is_rested = world.last_pause.is_none_or(|last| now.since(last) >= PAUSE_INTERVAL);
    if delay > MAX_TICK_DELAY && is_rested {
        world.last_pause = Some(now);
        if delay >= LONG_PAUSE && !world.settings.regions.is_empty() {
            world.placement_from = now.after(RESUME_TIME);
        }
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
    let is_watched = !world.requests.is_empty() || world.shared_rates.has_servers();
    let watch_at = is_watched.then(|| now.after(WATCH_INTERVAL));
    world.wake_planned = [wake_at, watch_at].into_iter().flatten().min();
    world.wake_planned
}
