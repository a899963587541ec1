//! Admits clients' requests: finds the route, authenticates the client account and sets the
//! deadline.

use std::time::Duration;

use compact_str::format_compact;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::event::Arrival;
use crate::gateway::event::Event;
use crate::gateway::serving::AccountIndex;
use crate::gateway::serving::Route;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::systems::ending;
use crate::gateway::systems::home_regions;
use crate::gateway::systems::process;
use crate::gateway::systems::routing;
use crate::gateway::tables::requests::Request;
use crate::gateway::world::World;
use crate::keys::RequestKey;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Age of the store's last answer above which an unknown route or API key may exist without this
/// gateway having received it; longer than the store takes to answer a call of a feed without a
/// change.
const STALE_AFTER: Duration = Duration::from_secs(14);

/// Divisor of a client's time limit that gives the maximum wait for a configuration; the client
/// needs the rest for its retry.
const NOT_READY_WAIT_DIVISOR: u32 = 4;

/// Time for which a request waits for the configuration that its route or key is looked up in; three
/// quarters of the shortest time after which a client leaves a stream without an event.
const NOT_READY_WAIT: Duration = Duration::from_millis(1500);

/// Handles arrivals and client disconnects; returns when a request that waits for a configuration
/// is refused.
///
/// Load pattern: all gateways start while the store is down. None knows a configuration, and all
/// clients whose only retry is refused as well are lost.
pub fn run(
    world: &mut World,
    now: Timestamp,
    events: &[Event],
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    let mut is_for_all = world.stop.requested.is_some();
    for event in events {
        match event {
            Event::Arrival(arrival) => {
                world.counters.arrivals += 1;
                handle_arrival(world, now, arrival, effects);
            }
            Event::CallerDisconnected { request } => {
                ending::finish_request(world, now, *request, ResultCode::CallerGone, effects);
            }
            Event::BodyRefused { id, refusal, bytes, waited } => {
                world.counters.bodies_refused += 1;
                world.counters.not_run += 1;
                effects.push(Effect::LogDecision(Box::new(Decision::BodyRefused {
                    id: id.clone(),
                    refusal: *refusal,
                    bytes: *bytes,
                    waited: *waited,
                })));
            }
            Event::AnswerUnread { request, waited } => {
                end_unread(world, now, *request, *waited, effects);
            }
            Event::ServingReceived { .. } => is_for_all = true,
            _ => {}
        }
    }
    retry_unrouted(world, now, is_for_all, effects)
}

fn end_unread(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    waited: Duration,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    world.counters.answers_unread += 1;
    let id = row.id.clone();
    effects.push(Effect::LogDecision(Box::new(Decision::AnswerUnread { id, waited })));
    ending::finish_request(world, now, key, ResultCode::CallerGone, effects);
}

/// Handles the requests that wait for a configuration again, those whose wait is over or all;
/// returns when the next wait ends.
fn retry_unrouted(
    world: &mut World,
    now: Timestamp,
    is_for_all: bool,
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    let rows = world.unrouted.iter();
    let due = rows.filter(|(_, row)| is_for_all || wait_end(row) <= now);
    let due: Vec<_> = due.map(|(key, _)| key).collect();
    for key in due {
        if let Some(arrival) = world.unrouted.remove(key) {
            handle_arrival(world, now, &arrival, effects);
        }
    }
    world.unrouted.iter().map(|(_, row)| wait_end(row)).min()
}

/// Returns until when a request waits for a configuration.
fn wait_end(arrival: &Arrival) -> Timestamp {
    let limit = arrival.time_limit.unwrap_or(Duration::MAX);
    arrival.received.after(NOT_READY_WAIT.min(limit / NOT_READY_WAIT_DIVISOR))
}

fn handle_arrival(world: &mut World, now: Timestamp, arrival: &Arrival, effects: &mut Vec<Effect>) {
    match admit_request(world, now, arrival) {
        Ok(request) => {
            let row = world.requests.get(request);
            let is_streaming = row.is_some_and(|row| row.kind.is_streaming());
            effects.push(Effect::Admitted { caller: arrival.caller, request, is_streaming });
            world.schedule_placement(request, now);
        }
        Err(ResultCode::NotReady) if may_wait_for_configuration(world, now, arrival) => {
            wait_for_configuration(world, now, arrival, effects);
        }
        Err(code) => reject_arrival(world, now, arrival, code, effects),
    }
}

fn may_wait_for_configuration(world: &World, now: Timestamp, arrival: &Arrival) -> bool {
    world.serving.is_none()
        && world.stop.requested.is_none()
        && !world.unrouted.is_full()
        && now < wait_end(arrival)
}

fn wait_for_configuration(
    world: &mut World,
    now: Timestamp,
    arrival: &Arrival,
    effects: &mut Vec<Effect>,
) {
    // The table has room, as its caller has checked.
    if world.unrouted.insert(arrival.clone()).is_ok() {
        let id = arrival.id.clone();
        let (code, pause) = (ResultCode::NotReady, wait_end(arrival).since(now));
        effects.push(Effect::LogDecision(Box::new(Decision::Held { id, code, pause })));
    }
}

fn reject_arrival(
    world: &mut World,
    now: Timestamp,
    arrival: &Arrival,
    code: ResultCode,
    effects: &mut Vec<Effect>,
) {
    world.counters.not_run += 1;
    let version = world.serving.as_ref().map(ServingConfiguration::version).unwrap_or_default();
    effects.push(Effect::LogDecision(Box::new(Decision::Rejected {
        id: arrival.id.clone(),
        target: format_compact!("{}{}", arrival.host, arrival.path),
        code,
        version,
        store_age: world.store.last_answer.map(|answered| now.since(answered)),
    })));
    let waited = now.since(arrival.received);
    let remaining = arrival.time_limit.unwrap_or(Duration::MAX).saturating_sub(waited);
    let retry_after = match code {
        ResultCode::NotReady => Some(ending::retry_after(code, remaining)),
        _ => code.row().retry.delay(),
    };
    effects.push(Effect::Refuse { caller: arrival.caller, code, retry_after });
    effects.push(Effect::CloseRequest { caller: arrival.caller });
}

fn admit_request(
    world: &mut World,
    now: Timestamp,
    arrival: &Arrival,
) -> Result<RequestKey, ResultCode> {
    if world.stop.requested.is_some() && !process::accepts_requests(world, now) {
        return Err(ResultCode::Leaving);
    }
    let is_stale = world.store.last_answer.is_none_or(|answered| now.since(answered) > STALE_AFTER);
    // An unknown route or key may be newer than this data, so the returned code advises a retry.
    let not_ready_if_stale = |code| if is_stale { ResultCode::NotReady } else { code };
    let serving = world.serving.as_ref().ok_or(ResultCode::NotReady)?;
    let route = serving.find_route(&arrival.host, &arrival.path);
    let route = route.and_then(|index| serving.route(index));
    let route = route.ok_or(not_ready_if_stale(ResultCode::UnknownService))?;
    let account = authenticate(serving, route, arrival);
    let account = account.map_err(not_ready_if_stale)?;
    let request = build_request(serving, route, account, arrival, now);
    let service = routing::draw_service(serving, route, &mut world.rng);
    let service = service.ok_or(ResultCode::NoBackendServer)?;
    let window = world.settings.retry_window;
    world.shared_rates.record_request(&service, now, window);
    let deadline = request.deadline;
    let request = Request { service, ..request };
    let key = world.requests.insert(request).map_err(|_| ResultCode::Overloaded)?;
    world.deadlines.insert((deadline, key));
    Ok(key)
}

fn authenticate(
    serving: &ServingConfiguration,
    route: &Route,
    arrival: &Arrival,
) -> Result<Option<AccountIndex>, ResultCode> {
    let account = arrival.api_key.as_deref().and_then(|key| serving.find_account(key));
    match account {
        Some(account) => Ok(Some(account)),
        None if route.is_public || !serving.needs_api_keys() => Ok(None),
        None => Err(ResultCode::Unauthenticated),
    }
}

fn build_request(
    serving: &ServingConfiguration,
    route: &Route,
    account: Option<AccountIndex>,
    arrival: &Arrival,
    now: Timestamp,
) -> Request {
    let account = account.and_then(|index| serving.account(index));
    let limit = arrival.time_limit.map_or(route.timeout, |limit| limit.min(route.timeout));
    let request = Request::new(arrival, route.kind, now, arrival.received.after(limit));
    Request {
        route: route.name.clone(),
        account: account.map(|account| account.name.clone()),
        home_regions: home_regions::regions_of(route, account),
        latency_goal: route.latency_goal,
        gap_goal: route.gap_goal.unwrap_or_default(),
        priority: account.and_then(|account| account.priority).unwrap_or(route.priority),
        max_attempts: route.max_attempts.max(1),
        output_tokens: arrival.output_hint.unwrap_or(arrival.max_output_tokens),
        ..request
    }
}
