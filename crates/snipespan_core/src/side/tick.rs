//! One tick of a side process's decisions.

use crate::side::effect::Effect;
use crate::side::event::Event;
use crate::side::systems::admission;
use crate::side::systems::expiry;
use crate::side::systems::offers;
use crate::side::systems::process;
use crate::side::systems::progress;
use crate::side::systems::reclaim;
use crate::side::systems::reporting;
use crate::side::world::World;
use crate::time::Timestamp;

/// Result of a tick.
#[derive(Debug, Default)]
pub struct Tick {
    /// Effects in the order in which they must be executed.
    pub effects: Vec<Effect>,
    /// Time of the next tick if no event arrives earlier; `None` if nothing is due without one.
    pub wake_at: Option<Timestamp>,
}

/// Handles `events` and runs every system once, in a fixed order.
pub fn tick(world: &mut World, now: Timestamp, events: &[Event]) -> Tick {
    let mut effects = Vec::new();
    process::run(world, events);
    offers::run(world, now, events, &mut effects);
    progress::run(world, now, events, &mut effects);
    reclaim::run(world, now, events, &mut effects);
    let expires_at = expiry::run(world, now, &mut effects);
    let aged_at = admission::run(world, now, &mut effects);
    let report_at = reporting::run(world, now, &mut effects);
    process::stop_when_idle(world, &mut effects);
    let wake_at = [expires_at, aged_at, report_at].into_iter().flatten().min();
    Tick { effects, wake_at }
}
