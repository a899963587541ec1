//! One tick of an entry's decisions.

use crate::entry::effect::Effect;
use crate::entry::event::Event;
use crate::entry::systems::arrivals;
use crate::entry::systems::attempts;
use crate::entry::systems::checking;
use crate::entry::systems::configuration;
use crate::entry::systems::expiry;
use crate::entry::systems::membership;
use crate::entry::systems::placing;
use crate::entry::systems::process;
use crate::entry::systems::records;
use crate::entry::systems::reporting;
use crate::entry::world::World;
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
    configuration::run(world, events, &mut effects);
    let connect_at = membership::run(world, now, events, &mut effects);
    checking::run(world, &mut effects);
    arrivals::run(world, now, events, &mut effects);
    records::run(world, now, events, &mut effects);
    attempts::run(world, now, events, &mut effects);
    let expire_at = expiry::run(world, now, &mut effects);
    let place_at = placing::run(world, now, &mut effects);
    let report_at = reporting::run(world, now, events, &mut effects);
    let stop_at = process::run(world, now, events, &mut effects);
    let due = [connect_at, expire_at, place_at, report_at, stop_at];
    let wake_at = due.into_iter().flatten().min();
    Tick { effects, wake_at }
}
