//! Spans: several engines that serve one prompt together, because none has the memory for it.
//!
//! Memory is reserved at all of them or at none. A reservation never waits at an engine for memory,
//! so competing spans cannot block each other. Reservations are short and renewed, so that memory
//! left behind by a lost release or a failed gateway becomes free by itself.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use slotmap::Key;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::effect::Helper;
use crate::gateway::effect::ReservationRequest;
use crate::gateway::event::Event;
use crate::gateway::event::ReservationAnswer;
use crate::gateway::systems::availability;
use crate::gateway::systems::ending;
use crate::gateway::systems::feeds;
use crate::gateway::systems::holding;
use crate::gateway::systems::prediction;
use crate::gateway::systems::prediction::FirstEvent;
use crate::gateway::systems::routing;
use crate::gateway::systems::routing::Choice;
use crate::gateway::systems::sending;
use crate::gateway::systems::sending::SendPlan;
use crate::gateway::systems::shared_rates;
use crate::gateway::systems::splitting;
use crate::gateway::systems::splitting::KvPlacement;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::requests::Reservation;
use crate::gateway::tables::requests::Span;
use crate::gateway::tables::work::WorkDemand;
use crate::gateway::tables::work::WorkOwner;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::keys::RequestKey;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Lifetime of a reservation without renewal; shorter than the 2 s after which unused memory counts
/// as lost by the platform's rules.
const RESERVATION_TTL: Duration = Duration::from_millis(1900);

/// Interval of renewals; a reservation outlasts the loss of one.
const RENEW_INTERVAL: Duration = Duration::from_millis(800);

/// Pause before engines are chosen again when some had no free memory.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Returns whether a request needs more memory than one engine of its service has.
pub fn needs_span(world: &World, row: &Request) -> bool {
    let engine = routing::engine_of(world, row);
    engine.is_some_and(|engine| row.prompt_tokens + row.output_tokens > engine.memory_tokens)
}

/// Chooses engines for a request and asks them to reserve memory.
pub fn begin_span(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get(key) else { return };
    let Some(engine) = routing::engine_of(world, row).copied() else { return };
    let split = splitting::best_split(world, now, row, &engine, KvPlacement::Partitioned, None);
    let Some(split) = split else {
        holding::hold_request(world, now, key, effects);
        return;
    };
    let first_event = FirstEvent {
        expected_ms: split.expected_first_event_ms,
        prefill_ms: split.part_prefill_ms,
    };
    if holding::refuse_if_too_late(world, now, key, first_event, effects) {
        return;
    }
    let Some(row) = world.requests.get(key) else { return };
    let demand = WorkDemand {
        prompt_tokens: split.part_tokens,
        output_tokens: 0,
        prefill_ms: split.part_prefill_ms,
        gap_goal_ms: 0.0,
        ..prediction::demand_of(Some(&engine), row)
    };
    // The peers are notified in the same tick, so that competing spans choose other engines.
    let start = |server: &BackendServerKey| {
        sending::start_work(world, now, WorkOwner::Own(key), *server, demand, 0.0)
    };
    let works = split.servers.iter().filter_map(start).collect();
    let tokens = split.part_tokens;
    // The engines of a split take one more request each.
    let counted = split.servers.iter().map(|server| count_if_rated(world, now, *server));
    let counted: Vec<_> = counted.collect();
    let reservation = |(server, is_counted): (&BackendServerKey, bool)| Reservation {
        backend_server: *server,
        tokens,
        is_confirmed: false,
        is_counted,
    };
    let reservations = split.servers.iter().zip(counted).map(reservation).collect();
    let Some(row) = world.requests.get_mut(key) else { return };
    row.helper_work = works;
    row.span_count += 1;
    let renew_at = now.after(RENEW_INTERVAL);
    row.span = Some(Span {
        reservations,
        renew_at,
        expected_first_event_ms: split.expected_first_event_ms,
    });
    let id = row.id.clone();
    let engines = split.servers.len();
    effects.push(Effect::LogDecision(Box::new(Decision::SpanChanged {
        id,
        step: "reserve",
        engines,
    })));
    for server in split.servers {
        request_reservation(world, key, server, effects);
    }
}

/// Counts a send to an engine against its rates if it has any; returns whether it was counted.
fn count_if_rated(world: &mut World, now: Timestamp, server: BackendServerKey) -> bool {
    let row = world.backend_servers.rows.get(server);
    let has_rate = row.is_some_and(|row| shared_rates::has_rate(now, row));
    has_rate && shared_rates::try_use(world, now, server)
}

/// Returns the name of the reservations of a request's span, the same at all engines and at no other
/// span of any gateway. Gateways that start at the same microsecond have equal incarnations and, soon
/// after, equal request keys.
fn ticket(world: &World, key: RequestKey, row: &Request) -> CompactString {
    let gateway = feeds::rank_of(&world.settings.node);
    let request = key.data().as_ffi();
    format_compact!("{gateway:x}-{:x}-{request:x}-{}", world.incarnation, row.span_count)
}

fn request_reservation(
    world: &World,
    key: RequestKey,
    backend_server: BackendServerKey,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    let Some(target) = world.backend_servers.rows.get(backend_server) else { return };
    let span = row.span.iter().flat_map(|span| &span.reservations);
    let Some(engine_reservation) = span.into_iter().find(|r| r.backend_server == backend_server)
    else {
        return;
    };
    let reservation = ReservationRequest {
        address: target.listing.address,
        instance: target.listing.id.clone(),
        instance_hash: target.listing.instance_hash,
        ticket: ticket(world, key, row),
        tokens: engine_reservation.tokens,
        ttl: RESERVATION_TTL.min(world.settings.max_reservation_ttl),
    };
    effects.push(Effect::Reserve { request: key, backend_server, reservation });
}

/// Applies answers to reservation requests and renews reservations; returns when the next renewal,
/// or the placement of a request whose span was given up, is due.
pub fn run(
    world: &mut World,
    now: Timestamp,
    events: &[Event],
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    for event in events {
        if let Event::ReservationAnswered { request, backend_server, answer } = event {
            apply_answer(world, now, *request, *backend_server, *answer, effects);
        }
    }
    let renew_at = renew_reservations(world, now, effects);
    // Requests are placed before this in a tick, so that its result does not include these.
    let place_at = world.placement_queue.first().map(|(due, _)| *due.max(&world.placement_from));
    [renew_at, place_at].into_iter().flatten().min()
}

fn apply_answer(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    backend_server: BackendServerKey,
    answer: ReservationAnswer,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get_mut(key) else { return };
    let is_running = row.work.is_some();
    let Some(span) = row.span.as_mut() else { return };
    let mut reservations = span.reservations.iter_mut();
    let Some(engine_reservation) = reservations.find(|r| r.backend_server == backend_server) else {
        return;
    };
    match answer {
        ReservationAnswer::Reserved => engine_reservation.is_confirmed = true,
        // A failed renewal shows up as a failure of the attempt itself.
        ReservationAnswer::InsufficientMemory | ReservationAnswer::Unknown if is_running => return,
        ReservationAnswer::InsufficientMemory | ReservationAnswer::Unknown => {
            row.avoid(backend_server);
            row.last_code = Some(ResultCode::QueueFull);
            abandon_span(world, now, key, "no memory", effects);
            return;
        }
    }
    let is_complete = span.reservations.iter().all(|reservation| reservation.is_confirmed);
    if is_complete && !is_running {
        dispatch_span(world, now, key, effects);
    }
}

/// Releases the memory of a span that was not sent, and schedules its request again.
fn abandon_span(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    step: &'static str,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    let id = row.id.clone();
    let engines = span_engines(row);
    effects.push(Effect::LogDecision(Box::new(Decision::SpanChanged { id, step, engines })));
    release_reservations(world, now, key, effects);
    ending::close_attempt(world, now, key);
    world.schedule_placement(key, now.after(RETRY_PAUSE));
}

fn span_engines(row: &Request) -> usize {
    row.span.as_ref().map_or(0, |span| span.reservations.len())
}

fn dispatch_span(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.requests.get(key) else { return };
    let Some(span) = row.span.as_ref() else { return };
    let still_takes =
        |r: &Reservation| availability::still_takes(world, now, r.backend_server, row);
    if !span.reservations.iter().all(still_takes) {
        abandon_span(world, now, key, "engine gone", effects);
        return;
    }
    let uncounted: Vec<_> = span.reservations.iter().filter(|r| !r.is_counted).collect();
    let uncounted: Vec<_> = uncounted.into_iter().map(|r| r.backend_server).collect();
    // An engine may have become cold, or have named a limit, since it was chosen.
    if !uncounted.into_iter().all(|server| shared_rates::try_use(world, now, server)) {
        abandon_span(world, now, key, "engine limited", effects);
        return;
    }
    let Some(row) = world.requests.get(key) else { return };
    let Some(span) = row.span.as_ref() else { return };
    let servers: Vec<_> = span.reservations.iter().map(|r| r.backend_server).collect();
    let Some(first) = servers.first().copied() else { return };
    let expected_first_event_ms = span.expected_first_event_ms;
    let Some(row) = world.requests.get_mut(key) else { return };
    // The attempt replaces the reserved work at the first engine.
    if row.helper_work.is_empty() {
        return;
    }
    let reserved = row.helper_work.remove(0);
    let Some(reserved) = world.remove_work(reserved, now) else { return };
    let Some(row) = world.requests.get(key) else { return };
    let gap_goal_ms = row.gap_goal.as_secs_f64() * 1e3;
    let demand = WorkDemand { output_tokens: row.output_tokens, gap_goal_ms, ..reserved.demand };
    let ticket = ticket(world, key, row);
    let helper = |server: &BackendServerKey| {
        let address = world.backend_servers.rows.get(*server)?.listing.address;
        Some(Helper { address, ticket: Some(ticket.clone()) })
    };
    let helpers: Vec<_> = servers.iter().filter_map(helper).collect();
    let candidates = servers.len();
    let choice = Choice { loss: 0.0, backend_server: first, expected_first_event_ms, candidates };
    let plan = SendPlan {
        choice,
        demand: Some(demand),
        helpers,
        helper_work: Vec::new(),
        is_counted: true,
    };
    world.counters.spans += 1;
    sending::send_request(world, now, key, &plan, effects);
}

/// Frees all memory that is reserved for a request. A reservation that an engine did not confirm
/// and that wants no requests since expires by itself.
pub fn release_reservations(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    let Some(span) = &row.span else { return };
    let ticket = ticket(world, key, row);
    for reservation in &span.reservations {
        let Some(target) = world.backend_servers.rows.get(reservation.backend_server) else {
            continue;
        };
        if target.is_unwanted(now) && !reservation.is_confirmed {
            continue;
        }
        let address = target.listing.address;
        let instance = target.listing.id.clone();
        let instance_hash = target.listing.instance_hash;
        effects.push(Effect::Release { address, instance, instance_hash, ticket: ticket.clone() });
    }
    if let Some(row) = world.requests.get_mut(key) {
        row.span = None;
    }
}

fn renew_reservations(
    world: &mut World,
    now: Timestamp,
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    let mut next: Option<Timestamp> = None;
    let mut due = Vec::new();
    for (key, row) in world.requests.iter_mut() {
        let Some(span) = row.span.as_mut() else { continue };
        if span.renew_at <= now {
            span.renew_at = now.after(RENEW_INTERVAL);
            due.extend(span.reservations.iter().map(|r| (key, r.backend_server)));
        }
        next = Some(span.renew_at.or_sooner(next));
    }
    for (key, server) in due {
        let Some(row) = world.requests.get(key) else { continue };
        // A span that is not sent is given up once the other engines have answered.
        if row.work.is_some() || availability::still_takes(world, now, server, row) {
            request_reservation(world, key, server, effects);
        }
    }
    next
}
