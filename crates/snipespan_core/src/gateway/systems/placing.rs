//! Places waiting requests: sends, defers, holds or refuses each. A request is deferred while the
//! engines are overloaded, and held while no backend server can take it.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::systems::attempts;
use crate::gateway::systems::deferral;
use crate::gateway::systems::deferral::HoldBack;
use crate::gateway::systems::ending;
use crate::gateway::systems::helpers;
use crate::gateway::systems::holding;
use crate::gateway::systems::leaving;
use crate::gateway::systems::prediction;
use crate::gateway::systems::prediction::FirstEvent;
use crate::gateway::systems::prompt_parts;
use crate::gateway::systems::routing;
use crate::gateway::systems::routing::Choice;
use crate::gateway::systems::sending;
use crate::gateway::systems::sending::SendPlan;
use crate::gateway::systems::spans;
use crate::gateway::tables::requests::Request;
use crate::gateway::world::World;
use crate::keys::RequestKey;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Pause before a deferred request is placed again; a small part of a long prefill.
const DEFERRAL_PAUSE: Duration = Duration::from_millis(50);

/// Places all requests that are due; returns when the next one is due.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    while let Some((due, key)) = world.placement_queue.first().copied() {
        let due_from = due.max(world.placement_from);
        if due_from > now {
            return Some(due_from);
        }
        world.placement_queue.remove(&(due, key));
        place_request(world, now, key, effects);
    }
    None
}

/// Places a request that has no attempt.
pub fn place_request(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get_mut(key) else { return };
    if std::mem::take(&mut row.awaits_retry) {
        attempts::retry_request(world, now, key, true, effects);
        return;
    }
    if let Some(wait) = prompt_parts::blocked_for(world, now, key) {
        prompt_parts::refuse_request(world, now, key, wait, effects);
        return;
    }
    let Some(row) = world.requests.get(key) else { return };
    if let Some(held_back) = deferral::assess(world, now, row) {
        hold_back(world, now, key, held_back, effects);
        return;
    }
    if spans::needs_span(world, row) {
        spans::begin_span(world, now, key, effects);
        return;
    }
    let Some(plan) = plan_request(world, now, key, effects) else {
        holding::hold_request(world, now, key, effects);
        return;
    };
    let Some(row) = world.requests.get(key) else { return };
    let first_event = first_event_of(world, row, &plan);
    let is_refused = first_event.is_some_and(|first_event| {
        holding::refuse_if_too_late(world, now, key, first_event, effects)
    });
    if !is_refused {
        sending::send_request(world, now, key, &plan, effects);
    }
}

/// Plans how a request is sent: to one backend server, or with helpers if that loses less; `None` when
/// no backend server has capacity.
fn plan_request(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    effects: &mut Vec<Effect>,
) -> Option<SendPlan> {
    leaving::decide(world, now, key, effects);
    let choice = choose_backend_server(world, now, key);
    let row = world.requests.get(key)?;
    helpers::plan_helpers(world, now, row, choice).or(choice.map(SendPlan::single))
}

/// Chooses the backend server with the least loss for a request that it serves alone.
fn choose_backend_server(world: &mut World, now: Timestamp, key: RequestKey) -> Option<Choice> {
    let mut rng = world.rng.clone();
    let choice = routing::choose_backend_server(world, now, world.requests.get(key)?, &mut rng);
    world.rng = rng;
    choice
}

/// Defers a request under overload until the engines have a smaller prefill backlog, logged as
/// `Deferred`, or refuses it until they are done with the current one, logged as `GivenUp`.
fn hold_back(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    held_back: HoldBack,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    let id = row.id.clone();
    match held_back {
        HoldBack::Defer(overload) => {
            if row.is_first_placement() {
                let decision = Decision::Deferred { id, overload, pause: DEFERRAL_PAUSE };
                effects.push(Effect::LogDecision(Box::new(decision)));
            }
            world.schedule_placement(key, now.after(DEFERRAL_PAUSE));
        }
        HoldBack::GiveUp(overload) => {
            let waited = now.since(row.arrived);
            let decision = Decision::GivenUp { id, overload, waited };
            effects.push(Effect::LogDecision(Box::new(decision)));
            let wait = Duration::from_secs_f64(overload.backlog_ms / 1e3);
            ending::end_with_wait(world, now, key, ResultCode::CannotEndInTime, wait, effects);
        }
    }
}

/// Returns the predicted time to the first event of a planned request; `None` for a plain service, whose
/// time is not known.
fn first_event_of(world: &World, row: &Request, plan: &SendPlan) -> Option<FirstEvent> {
    let engine = routing::engine_of(world, row)?;
    let demand = plan.demand.unwrap_or_else(|| prediction::demand_of(Some(engine), row));
    let expected_ms = plan.choice.expected_first_event_ms;
    Some(FirstEvent { expected_ms, prefill_ms: demand.prefill_ms })
}
