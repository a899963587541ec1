//! Chooses the backend server with the least loss for a request.

use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::gateway::engine::EngineSpec;
use crate::gateway::serving::Route;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::systems::availability;
use crate::gateway::systems::leaving;
use crate::gateway::systems::prediction;
use crate::gateway::systems::prediction::FirstEvent;
use crate::gateway::systems::prediction::LINEAR_LOSS;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::requests::Request;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Loss of sending a short prompt to an engine without other work, in shares of its latency goal; falls
/// to zero at `PACKED_SHARE` of the slots in use. It gathers streams at few engines and leaves the
/// others to long prompts, whose prefill would make the streams pause.
const IDLE_ENGINE_LOSS: f64 = 0.2;

/// Share of an engine's slots up to which short prompts are gathered there. The rest is left for
/// requests that other gateways send to the same engine at the same time.
const PACKED_SHARE: f64 = 0.8;

/// Loss of sending a short prompt to an engine with `PACKED_SHARE` of its slots in use, in shares of its
/// latency goal; twice that with all in use. As much as the loss at an idle engine, so that the next
/// engine is used before slots run out.
const CROWDED_ENGINE_LOSS: f64 = 0.2;

/// Maximum number of backend servers among which one request chooses, drawn at random. Hundreds of
/// gateways that all see the same best engine would otherwise send to it at the same time.
const MAX_CANDIDATES: usize = 24;

/// Prefill time in ms below which a prompt is short; most gap goals allow for two such prefills.
const SHORT_PREFILL_MS: f64 = 100.0;

/// Maximum number of requests that wait at an engine, per slot.
const QUEUE_PER_SLOT: f64 = 1.5;

/// Maximum number of requests that wait at a backend server of a plain service, per slot.
const PLAIN_QUEUE_PER_SLOT: f64 = 3.0;

/// Share of the latency goal that a call of a plain service usually takes.
const PLAIN_SHARE: f64 = 0.3;

/// A backend server chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// Expected loss, for comparison with other choices for the same request.
    pub loss: f64,
    /// The backend server.
    pub backend_server: BackendServerKey,
    /// Expected time from the dispatch to the first event, in ms.
    pub expected_first_event_ms: f64,
    /// Number of backend servers that could have been chosen.
    pub candidates: usize,
}

impl Choice {
    /// Returns the expected time from the dispatch to the first event.
    pub fn first_event(&self) -> Duration {
        Duration::from_secs_f64(self.expected_first_event_ms.max(0.0) / 1e3)
    }
}

/// Draws one of a route's services by weight.
pub fn draw_service(
    serving: &ServingConfiguration,
    route: &Route,
    rng: &mut SmallRng,
) -> Option<CompactString> {
    let total: u32 = route.traffic_split.iter().map(|share| share.weight).sum();
    let mut drawn = match total {
        0 => 0,
        _ => rng.random_range(0..total),
    };
    for share in &route.traffic_split {
        if drawn < share.weight {
            return serving.service(share.service).map(|service| service.name.clone());
        }
        drawn -= share.weight;
    }
    let first = route.traffic_split.first()?;
    serving.service(first.service).map(|service| service.name.clone())
}

/// Chooses the backend server with the least loss for a request that it serves alone; `None` when
/// none has capacity. Those that are not drawn at first are considered as well if no drawn one is
/// expected to meet the latency goal.
pub fn choose_backend_server(
    world: &World,
    now: Timestamp,
    request: &Request,
    rng: &mut SmallRng,
) -> Option<Choice> {
    let mut candidates = availability::usable_backend_servers(world, now, request);
    leaving::retain_destination(world, request, &mut candidates);
    let count = candidates.len();
    let (drawn, others) = candidates.partial_shuffle(rng, MAX_CANDIDATES);
    let best = choose_among(world, now, request, drawn, rng);
    let goal_ms = request.latency_goal.as_secs_f64() * 1e3;
    let chosen = match best {
        Some(best) if best.expected_first_event_ms <= goal_ms => Some(best),
        best => {
            let other = choose_among(world, now, request, others, rng);
            best.into_iter().chain(other).min_by(|a, b| a.loss.total_cmp(&b.loss))
        }
    };
    chosen.map(|choice| Choice { candidates: count, ..choice })
}

fn choose_among(
    world: &World,
    now: Timestamp,
    request: &Request,
    candidates: &[BackendServerKey],
    rng: &mut SmallRng,
) -> Option<Choice> {
    let engine = engine_of(world, request).copied();
    let mut best: Option<Choice> = None;
    for key in candidates {
        let Some(row) = world.backend_servers.rows.get(*key) else { continue };
        let estimated = estimate(world, now, row, engine.as_ref(), request);
        let Some((loss, expected_first_event_ms)) = estimated else { continue };
        // A small random factor spreads requests over equal choices.
        let loss = loss * rng.random_range(0.999..1.001);
        if best.is_none_or(|best| loss < best.loss) {
            let candidates = candidates.len();
            best = Some(Choice { loss, backend_server: *key, expected_first_event_ms, candidates });
        }
    }
    best
}

/// Returns the loss and expected time to the first event, in ms, of a request that a backend server
/// serves alone; `None` when it has no capacity.
pub fn estimate(
    world: &World,
    now: Timestamp,
    row: &BackendServer,
    engine: Option<&EngineSpec>,
    request: &Request,
) -> Option<(f64, f64)> {
    match engine {
        Some(engine) => estimate_engine(world, now, row, engine, request),
        None => estimate_plain(world, now, row, request),
    }
}

/// Returns the engine figures of a request's service; `None` for a plain service.
pub fn engine_of<'a>(world: &'a World, request: &Request) -> Option<&'a EngineSpec> {
    let serving = world.serving.as_ref()?;
    serving.find_service(&request.service)?.engine.as_ref()
}

/// Returns the loss and expected time to the first event, in ms, at an engine; `None` when it has
/// no capacity.
fn estimate_engine(
    world: &World,
    now: Timestamp,
    row: &BackendServer,
    engine: &EngineSpec,
    request: &Request,
) -> Option<(f64, f64)> {
    let load = prediction::load_of(world, now, row);
    let slots = engine.slots.max(1) as usize;
    let load = load.ahead_of(request.urgency(), slots);
    if load.open as f64 >= slots as f64 * (1.0 + QUEUE_PER_SLOT) {
        return None;
    }
    let demand = prediction::demand_of(Some(engine), request);
    let wait_ms = prediction::admission_wait_ms(engine, &load, &demand);
    let first_event_ms =
        prediction::first_event_ms(engine, &load, wait_ms + load.backlog_ms + demand.prefill_ms)
            + leaving::round_trip_ms(world, row);
    let first_event = FirstEvent { expected_ms: first_event_ms, prefill_ms: demand.prefill_ms };
    let own = prediction::late_loss(now, first_event, request) * demand.latency_goal_ms;
    let interference = prediction::interference_loss(world, row, engine, &load, demand.prefill_ms);
    let packing = match demand.prefill_ms < SHORT_PREFILL_MS {
        true => packing_loss(load.open as f64 / slots as f64) * demand.latency_goal_ms,
        false => 0.0,
    };
    let remote = remote_loss(world, row) * demand.latency_goal_ms;
    Some((own + interference + packing + remote, first_event_ms))
}

/// Returns the loss of sending a short prompt to an engine by the share of its slots in use.
fn packing_loss(used: f64) -> f64 {
    match used < PACKED_SHARE {
        true => IDLE_ENGINE_LOSS * (1.0 - used / PACKED_SHARE),
        false => CROWDED_ENGINE_LOSS * (1.0 + (used - PACKED_SHARE) / (1.0 - PACKED_SHARE)),
    }
}

/// Returns the loss of sending to the data centre of a backend server.
fn remote_loss(world: &World, row: &BackendServer) -> f64 {
    leaving::remote_loss(world, row)
}

/// Returns the loss and expected time to the first event, in ms, at a plain service, whose time per
/// call is not known; `None` when it has no capacity.
fn estimate_plain(
    world: &World,
    now: Timestamp,
    row: &BackendServer,
    request: &Request,
) -> Option<(f64, f64)> {
    let slots = f64::from(row.listing.slots.max(1));
    let open = row.work.len() as f64;
    if open >= slots * (1.0 + PLAIN_QUEUE_PER_SLOT) {
        return None;
    }
    let goal_ms = request.latency_goal.as_secs_f64() * 1e3;
    let first_event_ms = goal_ms * PLAIN_SHARE * row.slowdown(now);
    let queueing = ((open + 1.0) / slots - 1.0).max(0.0) + LINEAR_LOSS * open / slots;
    Some((queueing + remote_loss(world, row), first_event_ms))
}
