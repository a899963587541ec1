//! Dispatches waiting requests to backend servers, or refuses those that cannot end in time.

use std::time::Duration;

use rand::RngExt;

use crate::attempt::AttemptSpec;
use crate::entry::decision::Decision;
use crate::entry::effect::Dispatch;
use crate::entry::effect::Effect;
use crate::entry::systems::attempts;
use crate::entry::systems::availability;
use crate::entry::systems::availability::ObstacleCounts;
use crate::entry::systems::availability::SendObstacle;
use crate::entry::systems::ending;
use crate::entry::systems::records;
use crate::entry::systems::routing;
use crate::entry::systems::routing::Choice;
use crate::entry::tables::attempts::Attempt;
use crate::entry::world::World;
use crate::identity::AttemptNumber;
use crate::keys::RequestKey;
use crate::lifecycle::request::RequestEvent;
use crate::lifecycle::request::State;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Maximum pause before placement is retried if no backend server can take the request; the minimum
/// is half of it.
pub const PLACING_PAUSE: Duration = Duration::from_millis(50);

/// Places the requests that are due and returns the time of the next one.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    while let Some((due, key)) = world.placement_queue.first().copied() {
        if due > now {
            return Some(due);
        }
        world.placement_queue.pop_first();
        place_request(world, now, key, effects);
    }
    None
}

fn place_request(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get(key) else { return };
    if *row.lifecycle.state() == (State::Recording {}) {
        records::create_record(world, now, key, effects);
        return;
    }
    let Some(choice) = routing::choose_backend_server(world, now, key) else {
        defer_placement(world, now, key, effects);
        return;
    };
    let Some(row) = world.requests.get(key) else { return };
    if choice.estimated_first_token > row.deadline.since(now) {
        ending::end_with_code(world, key, ResultCode::CannotEndInTime, effects);
        return;
    }
    match dispatch(world, now, key, choice) {
        Some(effect) => effects.push(effect),
        None => ending::end_with_code(world, key, ResultCode::Overloaded, effects),
    }
}

/// Schedules another placement of a request, or ends it once it has waited for the placing limit or
/// if no backend server is left for it.
pub fn defer_placement(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    if let Some((reason, counts)) = availability::lasting_obstacle(world, now, row) {
        refuse(world, key, reason, counts, effects);
        return;
    }
    if now.since(row.placing_since) >= world.settings.placing_limit {
        attempts::fail_request(world, key, effects);
        return;
    }
    let pause = PLACING_PAUSE.mul_f64(world.rng.random_range(0.5..1.0));
    world.schedule_placement(key, now.after(pause));
}

/// Refuses a request for which no backend server is left until operators change the configuration.
fn refuse(
    world: &mut World,
    key: RequestKey,
    reason: SendObstacle,
    counts: ObstacleCounts,
    effects: &mut Vec<Effect>,
) {
    let revision = world.configuration.as_ref().map(|c| c.revision).unwrap_or_default();
    let Some(row) = world.requests.get_mut(key) else { return };
    // When operators act is unknown, and what a backend server said of its load no longer counts.
    row.retry_after = None;
    let target = row.target.clone();
    let id = row.id;
    let decision = target.map(|target| Decision::Refused { id, target, reason, counts, revision });
    effects.extend(decision.map(|decision| Effect::LogDecision(Box::new(decision))));
    match reason {
        SendObstacle::Evacuated => world.counters.refused_evacuated += 1,
        _ => world.counters.refused_outside_home_regions += 1,
    }
    ending::end_with_code(world, key, ResultCode::NoBackendServer, effects);
}

fn dispatch(world: &mut World, now: Timestamp, key: RequestKey, choice: Choice) -> Option<Effect> {
    let request = world.requests.get_mut(key)?;
    let backend_server = world.backend_servers.rows.get_mut(choice.backend_server)?;
    let incarnation = backend_server.hello.as_ref()?.incarnation;
    let number = AttemptNumber(request.attempts + 1);
    let queued_tokens = request.cost.prompt_tokens.saturating_sub(choice.cached_tokens);
    let attempt =
        Attempt { request: key, backend_server: choice.backend_server, number, queued_tokens };
    let attempt = world.attempts.insert(attempt).ok()?;
    request.attempts = number.0;
    request.attempt = Some(attempt);
    request.lifecycle.handle(&RequestEvent::Dispatched);
    backend_server.open += 1;
    backend_server.add_sent_tokens(request.cost, queued_tokens, now);
    backend_server.record_prefix_digests(&request.prefix_digests);
    world.counters.attempts += 1;
    let spec = AttemptSpec {
        id: request.id,
        number,
        incarnation,
        target: request.target.clone()?,
        account: request.account_name.clone(),
        weight: request.weight,
        priority: request.priority,
        cost: request.cost,
        remaining: request.deadline.since(now),
        is_repeatable: request.is_repeatable,
    };
    let dispatch = Dispatch { attempt, backend_server: choice.backend_server, spec };
    Some(Effect::Dispatch { caller: request.caller, dispatch })
}
