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
use crate::gateway::tables::work::Due;
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
    let Some(plan) = plan_request(world, now, key, Due::Soon, effects) else {
        holding::hold_request(world, now, key, effects);
        return;
    };
    let Some(row) = world.requests.get(key) else { return };
    match is_on_time(now, row, &plan) {
        true => sending::send_request(world, now, key, &plan, effects),
        false => send_late(world, now, key, effects),
    }
}

/// Plans how a request is sent that is due at `due`: to one backend server, or with helpers if that loses
/// less; `None` when no backend server has capacity.
fn plan_request(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    due: Due,
    effects: &mut Vec<Effect>,
) -> Option<SendPlan> {
    world.requests.get_mut(key)?.due = due;
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

/// Returns whether a request is sent as on time: it is expected to meet its latency goal, its
/// answer is not a stream, or it resumes a stream that its client has seen a part of.
fn is_on_time(now: Timestamp, row: &Request, plan: &SendPlan) -> bool {
    if !row.kind.is_streaming() || row.first_byte.is_some() {
        return true;
    }
    let expected = Duration::from_secs_f64(plan.choice.expected_first_event_ms / 1e3);
    now.since(row.arrived) + expected <= row.latency_goal
}

/// Returns when a request is due whose latency goal is missed: when its client leaves.
fn due_past_goal(now: Timestamp, row: &Request) -> Due {
    match row.abandoned_at(now) <= now.after(row.latency_goal) {
        true => Due::Soon,
        false => Due::Later,
    }
}

/// Sends a request that misses its latency goal, behind those of its priority that are due sooner, or
/// refuses it if its client would leave before the first event.
fn send_late(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get(key) else { return };
    let due = due_past_goal(now, row);
    let Some(plan) = plan_request(world, now, key, due, effects) else {
        holding::hold_request(world, now, key, effects);
        return;
    };
    let Some(row) = world.requests.get(key) else { return };
    let demand = plan.demand.unwrap_or_else(|| {
        let engine = routing::engine_of(world, row);
        prediction::demand_of(engine, row)
    });
    let expected_ms = plan.choice.expected_first_event_ms;
    let first_event = FirstEvent { expected_ms, prefill_ms: demand.prefill_ms };
    if !holding::refuse_if_too_late(world, now, key, first_event, effects) {
        sending::send_request(world, now, key, &plan, effects);
    }
}
