//! Readiness and planned stop of a gateway.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::event::Event;
use crate::gateway::systems::ending;
use crate::gateway::world::World;
use crate::lifecycle::process::ProcessEvent;
use crate::lifecycle::process::State;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// How long a stopping gateway still accepts new connections: the load balancer checks its
/// readiness once a second and removes it after two failed checks.
const BALANCER_LAG: Duration = Duration::from_millis(2500);

/// How long a stopping gateway without open requests waits for clients that are about to use an
/// open connection.
const IDLE_GRACE: Duration = Duration::from_millis(300);

/// Time before the end of a planned stop at which open requests are failed, so that their clients
/// get an answer.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// Time after the open requests are failed for clients to take the answers, before the limit of the
/// stop.
const FINAL_WRITES_TIME: Duration = Duration::from_millis(300);

/// Drives the lifecycle of the process; returns when it must run again.
pub fn run(
    world: &mut World,
    now: Timestamp,
    events: &[Event],
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    let is_prepared = world.serving.is_some() && world.store.has_listings;
    if is_prepared && *world.process.state() == (State::Starting {}) {
        world.process.handle(&ProcessEvent::Prepared);
    }
    if events.iter().any(|event| matches!(event, Event::StopRequested)) {
        begin_stop(world, now, effects);
    }
    let is_ready = *world.process.state() == State::Ready {};
    if is_ready != world.is_ready {
        world.is_ready = is_ready;
        effects.push(Effect::SetReady(is_ready));
    }
    match *world.process.state() {
        State::Draining {} => drain(world, now, effects),
        _ => None,
    }
}

fn begin_stop(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) {
    if world.stop.requested.is_some() {
        return;
    }
    world.stop.requested = Some(now);
    world.process.handle(&ProcessEvent::StopRequested);
    let open = world.requests.len();
    effects.push(Effect::LogDecision(Box::new(Decision::StopBegan { open })));
    effects.push(Effect::CloseConnections);
}

fn drain(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    let stop_accepting = accept_until(world)?;
    if now < stop_accepting {
        return Some(stop_accepting);
    }
    if !world.stop.has_stopped_accepting {
        world.stop.has_stopped_accepting = true;
        effects.push(Effect::StopAccepting);
    }
    let fail_at = cutoff(world)?;
    if !world.requests.is_empty() && now < fail_at {
        world.stop.idle_since = None;
        return Some(fail_at);
    }
    let idle_since = *world.stop.idle_since.get_or_insert(now);
    let end = idle_since.after(IDLE_GRACE);
    if now < end && now < fail_at {
        return Some(end.min(fail_at));
    }
    let open: Vec<_> = world.requests.iter().map(|(key, _)| key).collect();
    for key in open {
        ending::end_with_code(world, now, key, ResultCode::Leaving, effects);
    }
    world.process.handle(&ProcessEvent::Idle);
    effects.push(Effect::Stop { answers_until: fail_at.after(FINAL_WRITES_TIME) });
    None
}

/// Returns when a planned stop ends the requests that are still open; `None` without one.
pub fn cutoff(world: &World) -> Option<Timestamp> {
    let limit = world.settings.stop_limit.saturating_sub(FINAL_ANSWER_MARGIN);
    world.stop.requested.map(|requested_at| requested_at.after(limit))
}

/// Returns until when a stopping gateway accepts connections and requests.
fn accept_until(world: &World) -> Option<Timestamp> {
    let requested_at = world.stop.requested?;
    Some(requested_at.after(BALANCER_LAG).min(cutoff(world)?))
}

/// Returns whether requests that arrive now are still served.
pub fn accepts_requests(world: &World, now: Timestamp) -> bool {
    match *world.process.state() {
        State::Ready {} => true,
        State::Draining {} => accept_until(world).is_some_and(|until| now < until),
        State::Starting {} | State::Stopped {} => false,
    }
}
