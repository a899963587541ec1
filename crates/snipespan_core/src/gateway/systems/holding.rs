//! Holds requests that cannot be placed for now, and refuses those that no backend server will take in
//! time.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::systems::availability;
use crate::gateway::systems::availability::SendObstacle;
use crate::gateway::systems::ending;
use crate::gateway::systems::prediction::FirstEvent;
use crate::gateway::systems::routing;
use crate::gateway::systems::shared_rates::RateWait;
use crate::gateway::systems::splitting;
use crate::gateway::tables::backend_servers::RateReason;
use crate::gateway::tables::requests::Request;
use crate::gateway::world::World;
use crate::keys::RequestKey;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Pause before a request without a backend server is placed again; half of an engine iteration.
const PLACEMENT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum pause before a request that has only backend servers with a rate left is placed again;
/// another one may take it before the share of the rate allows the next request.
const RATE_RECHECK: Duration = Duration::from_millis(100);

/// Share of a request's time limit for which it may wait for this gateway's next use of a rate. Another
/// gateway may have one sooner, and the client needs the rest of its time to go there.
const RATE_WAIT_SHARE: f64 = 0.25;

/// Minimum time that is left of a time limit when a call of a plain service is sent.
const MIN_CALL_TIME: Duration = Duration::from_millis(50);

/// Time after which a client should retry that no data centre may serve for now; nobody knows when
/// the operator changes that.
const NO_DATA_CENTRE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns when a request that has only backend servers with a rate left may be sent to one of them,
/// if that is soon enough for it to wait.
fn rate_wait(world: &World, now: Timestamp, row: &Request) -> Option<RateWait> {
    let wait = availability::only_rated(world, now, row)?;
    let time_limit = row.deadline.since(row.arrived);
    let is_soon = wait.until <= row.arrived.after(time_limit.mul_f64(RATE_WAIT_SHARE));
    (wait.has_share && is_soon).then_some(wait)
}

/// Returns the latest time at which a request may be sent so that an idle backend server answers it
/// before its client leaves.
fn last_send(world: &World, now: Timestamp, row: &Request) -> Timestamp {
    let least = routing::engine_of(world, row).map_or(MIN_CALL_TIME, |engine| {
        let prefill_ms = engine.prefill_ms_on(row.prompt_tokens, splitting::MAX_ENGINES);
        Duration::from_secs_f64((prefill_ms + engine.iteration_ms(1, 0)) / 1e3)
    });
    row.abandoned_at(now).before(least)
}

/// Returns until when a request waits for a backend server. While there are some, they are full for
/// all gateways alike, and it waits as long as an answer can come in time. While none is known,
/// another gateway may know one, and half of that time is left to the client for going there.
fn wait_end(world: &World, now: Timestamp, row: &Request) -> Timestamp {
    let last_send = last_send(world, now, row);
    let mut servers = world.backend_servers.rows.iter().map(|(_, server)| server);
    match servers.any(|server| server.listing.service == row.service && server.accepts_work()) {
        true => last_send,
        false => row.arrived.after(last_send.since(row.arrived) / 2),
    }
}

/// Logs that only backend servers with a rate are left for a request, when it begins to wait and when
/// it is refused.
fn log_rated_only(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    (reason, until): (RateReason, Timestamp),
    is_refused: bool,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    let counters = &mut world.counters;
    let count = match (reason, is_refused) {
        (_, false) if !row.is_first_placement() => return,
        (RateReason::Cold, true) => &mut counters.cold_refusals,
        (RateReason::Cold, false) => &mut counters.cold_waits,
        (RateReason::Named, true) => &mut counters.limited_refusals,
        (RateReason::Named, false) => &mut counters.limited_waits,
    };
    *count += 1;
    let (id, wait) = (row.id.clone(), until.since(now));
    effects.push(Effect::LogDecision(Box::new(Decision::RatedOnly {
        id,
        reason,
        wait,
        is_refused,
    })));
}

/// Refuses a request at once if no backend server of its service takes it, until the first of them
/// takes some again; returns whether it was refused. A stream that its client has seen a part of
/// waits for that if its client does, and a request waits for `RATE_WAIT_SHARE` of its time limit for a
/// backend server with a rate of which this gateway has a share.
pub fn refuse_if_unavailable(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    effects: &mut Vec<Effect>,
) -> bool {
    let Some(row) = world.requests.get(key) else { return false };
    let Some(obstacle) = availability::common_obstacle(world, now, row) else { return false };
    if rate_wait(world, now, row).is_some() {
        return false;
    }
    let return_at = obstacle.until().unwrap_or(row.deadline);
    if row.first_byte.is_some() && return_at < row.abandoned_at(now) {
        return false;
    }
    let code = match row.runs {
        0 => refusal_code(obstacle),
        _ => row.last_code.unwrap_or(ResultCode::BackendRefused),
    };
    effects.push(Effect::LogDecision(Box::new(Decision::Unservable {
        id: row.id.clone(),
        service: row.service.clone(),
        obstacle,
        counts: availability::count_obstacles(world, now, row),
        change_in: obstacle.until().map(|until| until.since(now)),
    })));
    let rated = match obstacle {
        SendObstacle::Cold { until } => Some((RateReason::Cold, until)),
        SendObstacle::Limited { until, .. } => Some((RateReason::Named, until)),
        _ => None,
    };
    if let Some(rated) = rated {
        log_rated_only(world, now, key, rated, true, effects);
    }
    match obstacle {
        SendObstacle::Evacuated => world.counters.refused_evacuated += 1,
        SendObstacle::OutsideHome => world.counters.refused_outside_home += 1,
        SendObstacle::Leaving
        | SendObstacle::Unwanted { .. }
        | SendObstacle::Suspended { .. }
        | SendObstacle::Cold { .. }
        | SendObstacle::Limited { .. }
        | SendObstacle::Bodies
        | SendObstacle::Avoided => {
            ending::end_until(world, now, key, code, return_at, effects);
            return true;
        }
    }
    ending::end_after(world, now, key, code, NO_DATA_CENTRE_RETRY_AFTER, effects);
    true
}

/// Refuses a request if its client would leave before its first event, until the work ahead of it is
/// done; returns whether it was refused. What may have run is refused only if its deadline would pass
/// before: its client could not send it again, and may wait for longer than it has to.
pub fn refuse_if_too_late(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    first_event: FirstEvent,
    effects: &mut Vec<Effect>,
) -> bool {
    let Some(row) = world.requests.get(key) else { return false };
    let is_too_late = match row.is_untouched() {
        true => now.after(first_event.latest()) > row.abandoned_at(now),
        false => now.after(first_event.expected()) > row.deadline,
    };
    if !is_too_late {
        return false;
    }
    let wait = first_event.wait();
    ending::end_with_wait(world, now, key, ResultCode::CannotEndInTime, wait, effects);
    true
}

const fn refusal_code(obstacle: SendObstacle) -> ResultCode {
    match obstacle {
        SendObstacle::Evacuated | SendObstacle::OutsideHome => ResultCode::NoBackendServer,
        SendObstacle::Leaving
        | SendObstacle::Unwanted { .. }
        | SendObstacle::Suspended { .. }
        | SendObstacle::Cold { .. }
        | SendObstacle::Limited { .. }
        | SendObstacle::Bodies
        | SendObstacle::Avoided => ResultCode::BackendRefused,
    }
}

/// Holds a request for which no backend server can be chosen, logged as `Held`, or refuses it: at once
/// if no backend server wants requests, otherwise when it has waited as long as it may.
pub fn hold_request(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    if refuse_if_unavailable(world, now, key, effects) {
        return;
    }
    let Some(row) = world.requests.get(key) else { return };
    if let Some(RateWait { reason, until, .. }) = availability::only_rated(world, now, row) {
        log_rated_only(world, now, key, (reason, until), false, effects);
        world.schedule_placement(key, until.min(now.after(RATE_RECHECK)));
        return;
    }
    let is_overdue = now >= wait_end(world, now, row);
    let Some(row) = world.requests.get_mut(key) else { return };
    let code = row.last_code.unwrap_or(ResultCode::NoBackendServer);
    if is_overdue && row.first_byte.is_none() {
        ending::end_with_code(world, now, key, code, effects);
        return;
    }
    // Backend servers that refused the request may have capacity by then.
    row.avoided.clear();
    if row.is_first_placement() {
        let id = row.id.clone();
        effects.push(Effect::LogDecision(Box::new(Decision::Held {
            id,
            code,
            pause: PLACEMENT_PAUSE,
        })));
    }
    world.schedule_placement(key, now.after(PLACEMENT_PAUSE));
}
