//! Handles arriving requests: authentication, admission and validation against the configuration.

use std::time::Duration;

use compact_str::CompactString;

use crate::configuration::Configuration;
use crate::configuration::ModelSpec;
use crate::configuration::ServiceSpec;
use crate::cost::LONG_JOB_TOKENS;
use crate::entry::effect::Effect;
use crate::entry::event::Arrival;
use crate::entry::event::BodySummary;
use crate::entry::event::Event;
use crate::entry::systems::ending;
use crate::entry::systems::records;
use crate::entry::tables::report::LongJob;
use crate::entry::tables::requests::Request;
use crate::entry::world::MAX_RETRY_BUDGET;
use crate::entry::world::RETRY_BUDGET_PER_ARRIVAL;
use crate::entry::world::World;
use crate::identity::Target;
use crate::keys::AccountKey;
use crate::keys::RequestKey;
use crate::lifecycle::process::State;
use crate::lifecycle::request;
use crate::lifecycle::request::RequestEvent;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Maximum time for a caller to send its body; the request's own time limit is known only after
/// that.
pub const BODY_TIME_LIMIT: Duration = Duration::from_secs(60);

/// Handles arrivals, request bodies and callers that disconnect.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        match event {
            Event::Arrival(arrival) => handle_arrival(world, now, arrival, effects),
            Event::BodyRead { request, body } => accept_body(world, now, *request, body, effects),
            Event::BodyRejected { request, code } => {
                ending::end_with_code(world, *request, *code, effects);
            }
            Event::CallerDisconnected { request } => handle_disconnect(world, *request, effects),
            _ => {}
        }
    }
}

fn handle_arrival(world: &mut World, now: Timestamp, arrival: &Arrival, effects: &mut Vec<Effect>) {
    world.counters.arrivals += 1;
    world.retry_budget = (world.retry_budget + RETRY_BUDGET_PER_ARRIVAL).min(MAX_RETRY_BUDGET);
    match admit_request(world, now, arrival) {
        Ok(request) => {
            let max_bytes = world.settings.max_request_bytes;
            effects.push(Effect::ReadBody { caller: arrival.caller, request, max_bytes });
        }
        Err(code) => {
            world.counters.not_run += 1;
            let retry_after = code.row().retry.delay();
            let caller = arrival.caller;
            effects.push(Effect::AnswerWithCode { caller, code, retry_after });
            effects.push(Effect::CloseRequest { caller });
        }
    }
}

fn admit_request(
    world: &mut World,
    now: Timestamp,
    arrival: &Arrival,
) -> Result<RequestKey, ResultCode> {
    check_process(world, now)?;
    let account = authenticate(world, arrival)?;
    let body_bytes = arrival.body_bytes.unwrap_or(world.settings.max_request_bytes);
    check_body(world, body_bytes)?;
    let deadline = now.after(BODY_TIME_LIMIT);
    let mut request = Request::new(arrival, account, deadline, now);
    request.body_bytes = body_bytes;
    apply_account(world, account, &mut request)?;
    let key = world.requests.insert(request).map_err(|_| ResultCode::Overloaded)?;
    if let Some(row) = world.accounts.rows.get_mut(account) {
        row.open += 1;
    }
    world.body_bytes += body_bytes;
    world.deadlines.insert((deadline, key));
    Ok(key)
}

fn check_process(world: &World, now: Timestamp) -> Result<(), ResultCode> {
    match *world.process.state() {
        State::Starting {} => Err(ResultCode::NotReady),
        State::Ready {} => Ok(()),
        // Callers still arrive until the load balancer notices that the entry is not ready.
        State::Draining {} if world.refuse_from.is_some_and(|from| now < from) => Ok(()),
        State::Draining {} | State::Stopped {} => Err(ResultCode::Leaving),
    }
}

fn authenticate(world: &World, arrival: &Arrival) -> Result<AccountKey, ResultCode> {
    let credential = arrival.credential.ok_or(ResultCode::Unauthenticated)?;
    world.accounts.find_by_credential(credential).ok_or(ResultCode::Unauthenticated)
}

fn check_body(world: &World, body_bytes: u64) -> Result<(), ResultCode> {
    if body_bytes > world.settings.max_request_bytes {
        return Err(ResultCode::RequestTooLarge);
    }
    if world.body_bytes + body_bytes > world.settings.max_body_bytes {
        return Err(ResultCode::Overloaded);
    }
    Ok(())
}

fn apply_account(
    world: &World,
    account: AccountKey,
    request: &mut Request,
) -> Result<(), ResultCode> {
    let row = world.accounts.rows.get(account).ok_or(ResultCode::Unauthenticated)?;
    if row.spec.disabled {
        return Err(ResultCode::AccountDisabled);
    }
    if row.open >= row.spec.max_open {
        return Err(ResultCode::AccountLimit);
    }
    request.account_name = row.name.clone();
    request.weight = row.spec.weight;
    request.priority = row.spec.priority;
    request.homes = world.data_centres.regions.homes(&row.spec.home_regions);
    Ok(())
}

fn accept_body(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    body: &BodySummary,
    effects: &mut Vec<Effect>,
) {
    match validate_body(world, now, key, body) {
        Ok(()) => start_request(world, now, key, effects),
        Err(code) => ending::end_with_code(world, key, code, effects),
    }
}

/// Validates the body against the configuration and fills in the request's row.
fn validate_body(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    body: &BodySummary,
) -> Result<(), ResultCode> {
    let configuration = world.configuration.as_ref().ok_or(ResultCode::NotReady)?;
    let limits = RequestLimits::for_target(configuration, body)?;
    if !limits.is_repeatable && body.idempotency.is_none() {
        return Err(ResultCode::IdempotencyKeyMissing);
    }
    let homes = world.data_centres.regions.homes(home_regions(configuration, &body.target));
    let row = world.requests.get_mut(key).ok_or(ResultCode::CallerGone)?;
    row.homes = row.homes.intersection(homes);
    row.target = Some(body.target.clone());
    row.cost = body.cost;
    row.cost.max_output_tokens = limits.output_tokens;
    row.prefix_digests = body.prefix_digests;
    row.is_repeatable = limits.is_repeatable;
    row.idempotency.clone_from(&body.idempotency);
    let deadline = row.arrived.after(limits.time_limit);
    world.deadlines.remove(&(row.deadline, key));
    world.deadlines.insert((deadline, key));
    row.deadline = deadline;
    row.placing_since = now;
    Ok(())
}

/// Returns the names of the home regions of a target; plain services have none.
fn home_regions<'a>(configuration: &'a Configuration, target: &Target) -> &'a [CompactString] {
    match target {
        Target::Model(name) => configuration.models.get(name).map_or(&[], |m| &m.home_regions),
        Target::Service(_) => &[],
    }
}

fn start_request(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get_mut(key) else { return };
    if row.cost.prompt_tokens > LONG_JOB_TOKENS {
        let job = LongJob {
            account: row.account_name.clone(),
            prompt_tokens: row.cost.prompt_tokens,
            output_tokens: 0,
            outcome: None,
        };
        world.report.set_long_job(row.id, job);
    }
    if row.is_repeatable {
        row.lifecycle.handle(&RequestEvent::BodyRead);
        world.schedule_placement(key, now);
        return;
    }
    row.lifecycle.handle(&RequestEvent::BodyReadUnrepeatable);
    records::create_record(world, now, key, effects);
}

fn handle_disconnect(world: &mut World, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get_mut(key) else { return };
    let is_running = *row.lifecycle.state() == request::State::Running {};
    if is_running && !row.is_repeatable {
        // The request continues to run, so that its record gets the outcome.
        row.is_caller_disconnected = true;
        return;
    }
    let code = match is_running {
        true => ResultCode::Cancelled,
        false => ResultCode::CallerGone,
    };
    ending::end_with_code(world, key, code, effects);
}

/// Limits that apply to a request for its target.
struct RequestLimits {
    time_limit: Duration,
    output_tokens: u64,
    is_repeatable: bool,
}

impl RequestLimits {
    fn for_target(configuration: &Configuration, body: &BodySummary) -> Result<Self, ResultCode> {
        match &body.target {
            Target::Model(name) => {
                let spec = configuration.models.get(name).ok_or(ResultCode::UnknownModel)?;
                Self::for_model(spec, body)
            }
            Target::Service(name) => {
                let spec = configuration.services.get(name).ok_or(ResultCode::UnknownService)?;
                Ok(Self::for_service(spec, body))
            }
        }
    }

    fn for_model(spec: &ModelSpec, body: &BodySummary) -> Result<Self, ResultCode> {
        if body.cost.prompt_tokens > spec.max_prompt_tokens {
            return Err(ResultCode::RequestTooLarge);
        }
        let requested = body.requested_output_tokens.unwrap_or(spec.max_output_tokens);
        Ok(Self {
            time_limit: effective_time_limit(spec.time_limit_ms, body.time_limit),
            output_tokens: requested.min(spec.max_output_tokens),
            is_repeatable: true,
        })
    }

    fn for_service(spec: &ServiceSpec, body: &BodySummary) -> Self {
        let prefixes = &spec.repeatable_prefixes;
        let is_listed = prefixes.iter().any(|prefix| body.path.starts_with(prefix.as_str()));
        Self {
            time_limit: effective_time_limit(spec.time_limit_ms, body.time_limit),
            output_tokens: 0,
            is_repeatable: body.is_safe_method || is_listed,
        }
    }
}

fn effective_time_limit(limit_ms: u64, requested: Option<Duration>) -> Duration {
    let limit = Duration::from_millis(limit_ms);
    requested.map_or(limit, |requested| requested.min(limit))
}
