//! One tick of a gateway's decisions.

use crate::gateway::effect::Effect;
use crate::gateway::event::Event;
use crate::gateway::systems::announcements;
use crate::gateway::systems::arrivals;
use crate::gateway::systems::attempts;
use crate::gateway::systems::evacuations;
use crate::gateway::systems::expiry;
use crate::gateway::systems::feeds;
use crate::gateway::systems::home_regions;
use crate::gateway::systems::leaving;
use crate::gateway::systems::membership;
use crate::gateway::systems::named_limits;
use crate::gateway::systems::notifications;
use crate::gateway::systems::part_records;
use crate::gateway::systems::part_reports;
use crate::gateway::systems::pauses;
use crate::gateway::systems::peers;
use crate::gateway::systems::placing;
use crate::gateway::systems::process;
use crate::gateway::systems::prompt_parts;
use crate::gateway::systems::relays;
use crate::gateway::systems::serving;
use crate::gateway::systems::serving_fetches;
use crate::gateway::systems::shared_rates;
use crate::gateway::systems::spans;
use crate::gateway::systems::stalls;
use crate::gateway::world::World;
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
    pauses::run(world, now, &mut effects);
    let list_at = membership::run(world, now, events, &mut effects);
    let return_at = announcements::run(world, now, events, &mut effects);
    serving::run(world, now, events, &mut effects);
    evacuations::run(world, now, events, &mut effects);
    home_regions::run(world, events, &mut effects);
    peers::run(world, now, events, &mut effects);
    relays::run(world, now, events, &mut effects);
    let fetch_at = serving_fetches::run(world, now, events, &mut effects);
    part_reports::run(world, now, events, &mut effects);
    prompt_parts::run(world, now, &mut effects);
    let follow_at = feeds::run(world, now, &mut effects);
    named_limits::run(world, now, events);
    let rate_at = shared_rates::run(world, now, &mut effects);
    let refuse_at = arrivals::run(world, now, events, &mut effects);
    leaving::run(world, events);
    attempts::run(world, now, events, &mut effects);
    let expire_at = expiry::run(world, now, &mut effects);
    let stall_at = stalls::run(world, now, &mut effects);
    let record_at = part_records::run(world, now, events, &mut effects);
    let place_at = placing::run(world, now, &mut effects);
    let span_at = spans::run(world, now, events, &mut effects);
    let stop_at = process::run(world, now, events, &mut effects);
    let notify_at = notifications::run(world, now, &mut effects);
    let due = [
        list_at,
        return_at,
        fetch_at,
        follow_at,
        rate_at,
        refuse_at,
        expire_at,
        stall_at,
        record_at,
        place_at,
        span_at,
        stop_at,
        Some(notify_at),
    ];
    let wake_at = pauses::plan_wake(world, now, due.into_iter().flatten().min());
    Tick { effects, wake_at }
}
