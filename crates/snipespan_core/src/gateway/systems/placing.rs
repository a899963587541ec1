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
use crate::gateway::systems::prompt_parts;
use crate::gateway::systems::routing;
use crate::gateway::systems::routing::Choice;
use crate::gateway::systems::sending;
use crate::gateway::systems::sending::SendPlan;
use crate::gateway::systems::spans;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::Rank;
use crate::gateway::world::World;
use crate::keys::RequestKey;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Share of the latency goal up to which a predicted time to the first event counts as on time.
const ON_TIME_GOAL_SHARE: f64 = 1.1;

/// Share of a client's abandon timeout up to which a late request may be expected to wait at an
/// engine; beyond it the client would disconnect before the first event and does better to retry
/// after the peak.
const MAX_LATE_WAIT_SHARE: f64 = 0.5;

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
    if spans::needs_span(world, row) {
        // The engines of a span are chosen only once it may start, so its expected time is not
        // known yet.
        let is_on_time = now.since(row.arrived) < row.latency_goal;
        match deferral::assess(world, now, row, is_on_time) {
            Some(held_back) => hold_back(world, now, key, held_back, effects),
            None => spans::begin_span(world, now, key, effects),
        }
        return;
    }
    leaving::decide(world, now, key, effects);
    let choice = choose_backend_server(world, now, key);
    let Some(row) = world.requests.get(key) else { return };
    let single = choice.map(SendPlan::single);
    let Some(plan) = helpers::plan_helpers(world, now, row, choice).or(single) else {
        holding::hold_request(world, now, key, effects);
        return;
    };
    let is_on_time = is_on_time(now, row, &plan);
    if let Some(held_back) = deferral::assess(world, now, row, is_on_time) {
        hold_back(world, now, key, held_back, effects);
    } else if is_on_time {
        sending::send_request(world, now, key, &plan, effects);
    } else {
        send_late(world, now, key, effects);
    }
}

/// Chooses the backend server with the least loss for a request that it serves alone.
fn choose_backend_server(world: &mut World, now: Timestamp, key: RequestKey) -> Option<Choice> {
    let mut rng = world.rng.clone();
    let choice = routing::choose_backend_server(world, now, world.requests.get(key)?, &mut rng);
    world.rng = rng;
    choice
}

/// Defers a request under overload until the engines have a smaller prefill backlog, logged as
/// `Deferred`, or refuses it, logged as `GivenUp`.
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
            ending::end_with_code(world, now, key, ResultCode::CannotEndInTime, effects);
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
    let goal = row.latency_goal.mul_f64(ON_TIME_GOAL_SHARE);
    row.rank == Rank::OnTime && now.since(row.arrived) + expected <= goal
}

/// Sends a late request behind those that are on time, or refuses it at its first try if the
/// expected wait is so long that its client does better to retry after the peak.
fn send_late(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get_mut(key) else { return };
    let is_first_try = row.rank == Rank::OnTime && row.runs == 0;
    row.rank = Rank::Late;
    leaving::decide(world, now, key, effects);
    let choice = choose_backend_server(world, now, key);
    let (Some(row), Some(choice)) = (world.requests.get(key), choice) else {
        holding::hold_request(world, now, key, effects);
        return;
    };
    // The prefill of the prompt itself does not get shorter after a peak, so it is not part of the
    // wait.
    let prefill_ms = prediction::demand_of(routing::engine_of(world, row), row).prefill_ms;
    let wait =
        Duration::from_secs_f64((choice.expected_first_event_ms - prefill_ms).max(0.0) / 1e3);
    if is_first_try && wait > row.abandon_timeout().mul_f64(MAX_LATE_WAIT_SHARE) {
        ending::end_with_code(world, now, key, ResultCode::CannotEndInTime, effects);
        return;
    }
    let plan = helpers::plan_helpers(world, now, row, Some(choice));
    let plan = plan.unwrap_or_else(|| SendPlan::single(choice));
    sending::send_request(world, now, key, &plan, effects);
}
