//! Decides when a request leaves its data centre, and for which one.
//!
//! Traffic between data centres is slower and paid by the byte. A request stays unless leaving
//! gains its caller more than it costs: the gain is the caller's expected loss here less that
//! there, the cost is the bytes both ways. How many leave is bounded by what the other data centre
//! offers, which the gateways outside it share evenly. Without a cost in the settings nothing is
//! decided here, and a constant loss keeps requests in their data centre.

use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::event::Event;
use crate::gateway::systems::availability;
use crate::gateway::systems::prediction;
use crate::gateway::systems::prediction::FirstEvent;
use crate::gateway::systems::routing;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::WorkOwner;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::keys::DataCentreKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::time::Timestamp;

/// Loss of sending to another data centre, in shares of the latency goal, as traffic there is paid by
/// the byte; used where no cost is set, and the minimum where one is, so that data centres with equal
/// load do not exchange requests.
const REMOTE_LOSS: f64 = 0.003;

/// Factor on the cost from which a gain lets requests leave; they leave until the gain is below the
/// cost. Predicted times change by about a tenth between two requests.
const BEGIN_FACTOR: f64 = 1.2;

/// Time without a request that gains more than its cost after which requests no longer leave. The
/// loss here falls with each request that leaves and rises with the next that stays, so a single
/// gain below the cost shows no end of a peak.
const END_AFTER: Duration = Duration::from_millis(500);

/// Share of the slots of another data centre up to which it takes requests from outside; the rest
/// is left for its own clients.
const OFFERED_SHARE: f64 = 0.8;

/// Loss of a request that its data centre has no capacity for: it is held, and refused in the end.
const NO_CAPACITY_LOSS: f64 = 1.3;

/// Why a request left its data centre.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum LeaveReason {
    /// No backend server here has a free slot.
    #[display("full")]
    Full,
    /// It is expected to be answered sooner there.
    #[display("faster")]
    Faster,
    /// No backend server here may get it.
    #[display("none here")]
    NoneHere,
    /// No decision was made: no cost is set, or several engines serve it together.
    #[display("undecided")]
    Undecided,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Destination {
    /// To any data centre; no decision was made.
    #[default]
    Any,
    /// To this data centre, which is the gateway's own.
    Home(DataCentreKey),
    /// To another data centre.
    Other(DataCentreKey, LeaveReason),
}

/// What one data centre offers to a request.
#[derive(Clone, Copy, Debug)]
struct Offer {
    data_centre: DataCentreKey,
    /// Least expected loss of the caller; `None` if no backend server there has capacity.
    loss: Option<f64>,
    /// Slots below [`OFFERED_SHARE`] of all that its own clients do not use, at least 0.
    offered: f64,
    /// Whether no backend server there has a free slot.
    is_full: bool,
    /// Mean time of a request there.
    mean_time: Duration,
}

impl Offer {
    fn loss(&self) -> f64 {
        self.loss.unwrap_or(NO_CAPACITY_LOSS)
    }
}

/// Records the bytes of complete answers, from which the cost of leaving is predicted.
pub fn run(world: &mut World, events: &[Event]) {
    for event in events {
        let Event::AttemptBytes { work, bytes } = event else { continue };
        let Some(work) = world.work.get(*work) else { continue };
        let Some(row) = world.backend_servers.rows.get(work.backend_server) else { continue };
        world.remote_shares.record_bytes(&row.listing.service, *bytes);
    }
}

/// Decides to which data centre a request goes that is placed at `now`.
pub fn decide(world: &mut World, now: Timestamp, key: RequestKey, effects: &mut Vec<Effect>) {
    let destination = match world.settings.remote_mb_cost {
        Some(mb_cost) => choose_destination(world, now, key, mb_cost, effects),
        None => Destination::Any,
    };
    if let Some(row) = world.requests.get_mut(key) {
        row.destination = destination;
    }
}

fn choose_destination(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    mb_cost: f64,
    effects: &mut Vec<Effect>,
) -> Destination {
    let Some(request) = world.requests.get(key) else { return Destination::Any };
    let service = request.service.clone();
    let cost = leaving_cost(world, &service, mb_cost);
    let servers = availability::usable_backend_servers(world, now, request);
    let home_key = world.data_centres.find(&world.settings.data_centre);
    let home = home_key.and_then(|home| assess_offer(world, now, request, &servers, home));
    let home_loss = home.as_ref().map(Offer::loss);
    // No gain can exceed the loss here, so the other data centres need not be assessed.
    let others = match home_loss.is_some_and(|loss| loss <= cost) {
        true => Vec::new(),
        false => other_offers(world, now, request, &servers, home_key),
    };
    let losses: Vec<_> = others.iter().map(Offer::loss).collect();
    apportion(world, now, &service, &others);
    let Some((home, home_loss)) = home.zip(home_loss) else {
        return leave_without_choice(world, now, &service, &others, &losses);
    };
    if others.is_empty() {
        end_leaving(world, now, &service, home_loss, cost, effects);
        return Destination::Home(home.data_centre);
    }
    let reason = if home.is_full { LeaveReason::Full } else { LeaveReason::Faster };
    let mut best: Option<(f64, DataCentreKey)> = None;
    for (offer, loss) in others.iter().zip(&losses) {
        let gain = home_loss - loss;
        let change = LeavingChange { data_centre: offer.data_centre, gain, cost };
        let may_leave = update_leaving(world, now, &service, change, effects);
        let has_room = has_room(world, now, &service, offer.data_centre);
        if may_leave && has_room && best.is_none_or(|(best_gain, _)| gain > best_gain) {
            best = Some((gain, offer.data_centre));
        }
    }
    match best {
        Some((_, data_centre)) => Destination::Other(data_centre, reason),
        None => Destination::Home(home.data_centre),
    }
}

/// Chooses a data centre for a request that no backend server here may get: the one with the least
/// loss among those whose share has room, or any if none has, as a refusal would lose all.
fn leave_without_choice(
    world: &World,
    now: Timestamp,
    service: &str,
    others: &[Offer],
    losses: &[f64],
) -> Destination {
    let with_loss = others.iter().zip(losses);
    let with_room = with_loss.filter(|(offer, _)| has_room(world, now, service, offer.data_centre));
    let least = with_room.min_by(|a, b| a.1.total_cmp(b.1));
    least.map_or(Destination::Any, |(offer, _)| {
        Destination::Other(offer.data_centre, LeaveReason::NoneHere)
    })
}

/// Returns the cost of leaving for a request of a service.
fn leaving_cost(world: &World, service: &str, mb_cost: f64) -> f64 {
    let mb_per_request = world.remote_shares.bytes_per_request(service) / 1e6;
    (mb_per_request * mb_cost).max(REMOTE_LOSS)
}

fn other_offers(
    world: &World,
    now: Timestamp,
    request: &Request,
    servers: &[BackendServerKey],
    home: Option<DataCentreKey>,
) -> Vec<Offer> {
    let all = world.data_centres.rows.iter().map(|(key, _)| key);
    let others = all.filter(|key| Some(*key) != home);
    others.filter_map(|key| assess_offer(world, now, request, servers, key)).collect()
}

/// Returns what a data centre offers to a request; `None` if it has none of the backend servers in
/// `servers`.
fn assess_offer(
    world: &World,
    now: Timestamp,
    request: &Request,
    servers: &[BackendServerKey],
    data_centre: DataCentreKey,
) -> Option<Offer> {
    let engine = routing::engine_of(world, request);
    let mut offer: Option<Offer> = None;
    let (mut slots_sum, mut own_sum) = (0.0, 0.0);
    for key in servers {
        let row = world.backend_servers.rows.get(*key);
        let Some(row) = row.filter(|row| row.data_centre == data_centre) else { continue };
        let offer = offer.get_or_insert(Offer {
            data_centre,
            loss: None,
            offered: 0.0,
            is_full: true,
            mean_time: Duration::ZERO,
        });
        let slots = engine.map_or(row.listing.slots, |engine| engine.slots).max(1) as usize;
        let open = row.work.len();
        offer.is_full &= open >= slots;
        // A data centre that is cut off looks suspended, and offers nothing.
        if availability::obstacle(world, now, *key, request).is_none() {
            slots_sum += slots as f64;
            own_sum += open.saturating_sub(visitors(world, row)).min(slots) as f64;
        }
        let estimated = routing::estimate(world, now, row, engine, request);
        let Some((loss, first_event_ms)) = estimated else { continue };
        let mean_ms = engine
            .map_or(first_event_ms, |engine| engine.decode_ms(engine.mean_output_tokens, slots, 0));
        offer.mean_time = Duration::from_secs_f64(mean_ms.max(1.0) / 1e3);
        // The loss of others and the gathering of short prompts are no loss of the caller.
        let caller_loss = match engine {
            Some(engine) => {
                let prefill_ms = engine.prefill_ms(request.prompt_tokens);
                let first_event = FirstEvent { expected_ms: first_event_ms, prefill_ms };
                prediction::late_loss(now, first_event, request)
            }
            None => plain_caller_loss(world, row, request, loss),
        };
        offer.loss = Some(offer.loss.map_or(caller_loss, |least| least.min(caller_loss)));
    }
    let mut offer = offer?;
    offer.offered = (OFFERED_SHARE * slots_sum - own_sum).max(0.0);
    Some(offer)
}

/// Returns how many pieces of work at a backend server are known to come from outside its data
/// centre. They are part of what it offers: only its own load lessens the offer, or else half of it
/// would stay unused.
fn visitors(world: &World, row: &BackendServer) -> usize {
    let is_outside = |key: &WorkKey| match world.work.get(*key).map(|work| work.owner) {
        Some(WorkOwner::Own(_)) => row.listing.data_centre != world.settings.data_centre,
        Some(WorkOwner::Peer(peer, _)) => {
            let data_centre = world.peers.get(peer).and_then(|peer| peer.data_centre);
            data_centre.is_some_and(|data_centre| data_centre != row.data_centre)
        }
        None => false,
    };
    row.work.iter().filter(|key| is_outside(key)).count()
}

/// Returns the loss of the caller at a plain service whose estimated loss is `loss`: without the cost
/// of leaving, and without the part that only spreads requests over free slots, as a call there takes
/// the same time.
fn plain_caller_loss(world: &World, row: &BackendServer, request: &Request, loss: f64) -> f64 {
    let slots = f64::from(row.listing.slots.max(1));
    let spreading = prediction::LINEAR_LOSS * row.work.len() as f64 / slots;
    let goal_ms = (request.latency_goal.as_secs_f64() * 1e3).max(1.0);
    let delay = prediction::LINEAR_LOSS * round_trip_ms(world, row) / goal_ms;
    (loss - remote_loss(world, row) - spreading).max(0.0) + delay
}

/// Apportions what other data centres offer to requests of a service among the gateways outside
/// each of them.
fn apportion(world: &mut World, now: Timestamp, service: &str, others: &[Offer]) {
    for offer in others {
        let gateways = gateways_outside(world, now, offer.data_centre);
        let key = world.remote_shares.find_or_insert(now, offer.data_centre, service);
        if let Some(row) = key.and_then(|key| world.remote_shares.rows.get_mut(key)) {
            row.set_offer(now, offer.offered, offer.mean_time, gateways);
        }
    }
}

/// Returns the number of gateways outside a data centre, this one included; peers whose data centre
/// is not known count as outside, so that the sum of the shares stays within the offer.
fn gateways_outside(world: &World, now: Timestamp, data_centre: DataCentreKey) -> usize {
    let alive = world.peers.iter().filter(|(_, peer)| peer.is_alive(now));
    1 + alive.filter(|(_, peer)| peer.data_centre != Some(data_centre)).count()
}

fn has_room(world: &World, now: Timestamp, service: &str, data_centre: DataCentreKey) -> bool {
    let key = world.remote_shares.find(data_centre, service);
    let row = key.and_then(|key| world.remote_shares.rows.get(key));
    row.is_some_and(|row| row.has_room(now))
}

/// What one request shows of leaving for a data centre.
#[derive(Clone, Copy, Debug)]
struct LeavingChange {
    data_centre: DataCentreKey,
    /// What it gains, and what its bytes cost, in requests that miss their goal.
    gain: f64,
    cost: f64,
}

/// Updates whether requests of a service leave for a data centre; returns whether this one may.
fn update_leaving(
    world: &mut World,
    now: Timestamp,
    service: &str,
    change: LeavingChange,
    effects: &mut Vec<Effect>,
) -> bool {
    let LeavingChange { data_centre, gain, cost } = change;
    let key = world.remote_shares.find(data_centre, service);
    let Some(row) = key.and_then(|key| world.remote_shares.rows.get_mut(key)) else { return false };
    let is_gain = gain >= cost;
    let is_leaving = match row.leaving {
        Some(last_gain) => is_gain || now.since(last_gain) < END_AFTER,
        None => gain > cost * BEGIN_FACTOR,
    };
    let was_leaving = row.leaving.is_some();
    if !is_leaving {
        row.leaving = None;
    } else if is_gain {
        row.leaving = Some(now);
    }
    if is_leaving != was_leaving {
        let name = world.data_centres.rows.get(data_centre).map(|row| row.name.clone());
        let decision = Decision::LeavingChanged {
            data_centre: name.unwrap_or_default(),
            service: CompactString::from(service),
            is_leaving,
            gain,
            cost,
            rate_per_s: row.own_amount() / row.window.as_secs_f64().max(1e-3),
        };
        effects.push(Effect::LogDecision(Box::new(decision)));
    }
    is_leaving && is_gain
}

/// Ends the leaving of requests of a service, whose loss here is at most the cost.
fn end_leaving(
    world: &mut World,
    now: Timestamp,
    service: &str,
    home_loss: f64,
    cost: f64,
    effects: &mut Vec<Effect>,
) {
    if home_loss > cost {
        return;
    }
    let rows = world.remote_shares.rows.iter();
    let leaving = rows.filter(|(_, row)| row.leaving.is_some() && row.service == service);
    let data_centres: Vec<_> = leaving.map(|(_, row)| row.data_centre).collect();
    for data_centre in data_centres {
        let change = LeavingChange { data_centre, gain: 0.0, cost };
        update_leaving(world, now, service, change, effects);
    }
}

/// Keeps the backend servers of the data centre that was decided for a request, unless none of them
/// is left.
pub fn retain_destination(world: &World, request: &Request, servers: &mut Vec<BackendServerKey>) {
    let data_centre = match request.destination {
        Destination::Any => return,
        Destination::Home(data_centre) | Destination::Other(data_centre, _) => data_centre,
    };
    let is_there = |key: &BackendServerKey| {
        let row = world.backend_servers.rows.get(*key);
        row.is_some_and(|row| row.data_centre == data_centre)
    };
    if servers.iter().any(is_there) {
        servers.retain(is_there);
    }
}

/// Returns the loss of sending to the data centre of a backend server.
pub fn remote_loss(world: &World, row: &BackendServer) -> f64 {
    if row.listing.data_centre == world.settings.data_centre {
        return 0.0;
    }
    let mb_cost = world.settings.remote_mb_cost;
    mb_cost.map_or(REMOTE_LOSS, |mb_cost| leaving_cost(world, &row.listing.service, mb_cost))
}

/// Returns the time in ms for which a message goes to the data centre of a backend server and back;
/// 0 where no cost is set.
pub fn round_trip_ms(world: &World, row: &BackendServer) -> f64 {
    let (here, there) = (&world.settings.data_centre, &row.listing.data_centre);
    let serving = world.serving.as_ref().filter(|_| world.settings.remote_mb_cost.is_some());
    let one_way = serving.map(|serving| serving.delay_between(here, there)).unwrap_or_default();
    one_way.as_secs_f64() * 2e3
}

/// Counts a request that is sent to a backend server; returns why it leaves its data centre, or
/// `None` if it stays.
pub fn record_send(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    server: BackendServerKey,
) -> Option<LeaveReason> {
    let row = world.backend_servers.rows.get(server)?;
    if row.listing.data_centre == world.settings.data_centre {
        return None;
    }
    let data_centre = row.data_centre;
    let request = world.requests.get(key)?;
    let has_cost = world.settings.remote_mb_cost.is_some();
    let share = world.remote_shares.find(data_centre, &request.service);
    let reason = match request.destination {
        Destination::Other(decided, reason) if decided == data_centre => reason,
        Destination::Any if has_cost && is_none_here(world, now, request) => LeaveReason::NoneHere,
        _ => LeaveReason::Undecided,
    };
    if let Some(share) = share.and_then(|share| world.remote_shares.rows.get_mut(share)) {
        share.record_use(now);
    }
    let counters = &mut world.counters;
    match reason {
        LeaveReason::Full => counters.left_full += 1,
        LeaveReason::Faster => counters.left_faster += 1,
        LeaveReason::NoneHere => counters.left_none_here += 1,
        LeaveReason::Undecided => counters.left_undecided += 1,
    }
    Some(reason)
}

/// Returns whether no backend server of this data centre may get a request.
fn is_none_here(world: &World, now: Timestamp, request: &Request) -> bool {
    let mut servers = availability::usable_backend_servers(world, now, request).into_iter();
    let is_here = |row: &BackendServer| row.listing.data_centre == world.settings.data_centre;
    !servers.any(|key| world.backend_servers.rows.get(key).is_some_and(is_here))
}
