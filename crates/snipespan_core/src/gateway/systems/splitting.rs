//! Chooses the engines that prefill parts of one prompt at the same time.
//!
//! Either one engine holds the prompt and the others only prefill for it, or each holds its part.

use crate::gateway::engine::EngineSpec;
use crate::gateway::systems::availability;
use crate::gateway::systems::leaving;
use crate::gateway::systems::prediction;
use crate::gateway::systems::prediction::EngineLoad;
use crate::gateway::systems::prediction::FirstEvent;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::WorkDemand;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Maximum number of engines for one prompt; a request names at most sixteen helpers.
pub const MAX_ENGINES: usize = 16;

/// Share of a service's engines that one prompt may use, so that short prompts still find some.
const MAX_ENGINE_SHARE: f64 = 0.5;

/// Loss for each engine of a split, in shares of the latency goal: the failure of any engine
/// fails the request.
const ENGINE_LOSS: f64 = 0.005;

/// Share of an engine's memory that is left free beside a reserved part, for work that has not been
/// reported to this gateway yet.
const SPARE_SHARE: f64 = 0.1;

/// Tokens added to each reserved part, for rounding to whole blocks.
const SPARE_TOKENS: u64 = 64;

/// Where the KV cache of a split prompt is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KvPlacement {
    /// The first engine holds all of it.
    SingleEngine,
    /// Each engine holds its part.
    Partitioned,
}

/// The engines chosen for one prompt.
#[derive(Clone, Debug)]
pub struct EngineSplit {
    /// The engines; the first one gets the request.
    pub servers: Vec<BackendServerKey>,
    /// Prefill time of each part, in ms at slowdown 1.
    pub part_prefill_ms: f64,
    /// Tokens of memory for each part where the placement is partitioned.
    pub part_tokens: u64,
    /// Expected time to the first event, in ms.
    pub expected_first_event_ms: f64,
    /// Expected loss, for comparison with other choices for the same request.
    pub loss: f64,
}

/// An engine that may prefill one part of the prompt.
struct Part {
    server: BackendServerKey,
    load: EngineLoad,
    /// Loss that the part causes to the work that the engine already has.
    interference: f64,
    /// Whether its free memory holds the whole prompt and the answer.
    fits_prompt: bool,
}

/// Returns the maximum number of engines for one prompt, of `engines` that it may be sent to.
pub fn max_split(engines: usize) -> usize {
    ((engines as f64 * MAX_ENGINE_SHARE) as usize).min(MAX_ENGINES)
}

/// Returns the split with the least loss among engines other than `excluded`; `None` when too few
/// have capacity.
pub fn best_split(
    world: &World,
    now: Timestamp,
    request: &Request,
    engine: &EngineSpec,
    placement: KvPlacement,
    excluded: Option<BackendServerKey>,
) -> Option<EngineSplit> {
    let demand = prediction::demand_of(Some(engine), request);
    let mut servers = availability::usable_backend_servers(world, now, request);
    servers.retain(|server| Some(*server) != excluded);
    if placement == KvPlacement::SingleEngine {
        leaving::retain_destination(world, request, &mut servers);
    }
    let loads: Vec<_> = servers
        .iter()
        .filter_map(|server| {
            let row = world.backend_servers.rows.get(*server)?;
            Some((*server, row, prediction::load_of(world, now, row)))
        })
        .collect();
    let mut best: Option<EngineSplit> = None;
    for count in 2..=max_split(servers.len()) {
        let part_prefill_ms = engine.prefill_ms_on(request.prompt_tokens, count);
        let needed_tokens = demand.prompt_tokens + demand.output_tokens;
        let part_tokens = needed_tokens.div_ceil(count as u64) + SPARE_TOKENS;
        let spare = (engine.memory_tokens as f64 * SPARE_SHARE) as u64;
        let fits = |load: &EngineLoad| match placement {
            KvPlacement::SingleEngine => true,
            KvPlacement::Partitioned => {
                load.memory_tokens + part_tokens + spare <= engine.memory_tokens
            }
        };
        let with_capacity =
            loads.iter().filter(|(_, _, load)| load.open < engine.slots as usize && fits(load));
        let parts = with_capacity.map(|(server, row, load)| Part {
            server: *server,
            load: *load,
            interference: prediction::interference_loss(world, row, engine, load, part_prefill_ms)
                + prefill_interference(world, row, load, part_prefill_ms),
            fits_prompt: load.memory_tokens + needed_tokens <= engine.memory_tokens,
        });
        let Some(parts) = least_interference(parts.collect(), count, part_prefill_ms, placement)
        else {
            continue;
        };
        let split = evaluate_split(now, request, engine, &demand, &parts, part_tokens);
        let Some(split) = split else { continue };
        if best.as_ref().is_none_or(|best| split.loss < best.loss) {
            best = Some(split);
        }
    }
    best
}

/// Returns the `count` parts with the least interference and prefill backlog; the engine of the one
/// in front gets the request, and has the memory for the whole prompt if it holds that alone.
/// `None` when there are too few parts or none is suitable for the front.
fn least_interference(
    mut parts: Vec<Part>,
    count: usize,
    part_prefill_ms: f64,
    placement: KvPlacement,
) -> Option<Vec<Part>> {
    let rank = |part: &Part| {
        part.interference + part.load.slowdown * part.load.backlog_ms / part_prefill_ms.max(1.0)
    };
    parts.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
    let first = match placement {
        KvPlacement::SingleEngine => parts.iter().position(|part| part.fits_prompt)?,
        KvPlacement::Partitioned => 0,
    };
    if parts.len() < count {
        return None;
    }
    let first = parts.remove(first);
    parts.truncate(count - 1);
    parts.insert(0, first);
    Some(parts)
}

/// Returns the loss of requests that wait at an engine for their prefill, as it prefills the part
/// before them.
fn prefill_interference(
    world: &World,
    row: &BackendServer,
    load: &EngineLoad,
    part_prefill_ms: f64,
) -> f64 {
    let works = row.work.iter().filter_map(|key| world.work.get(*key));
    let prefilling = works.filter(|work| work.phase == Phase::Prefill);
    let delayed = prefilling.map(|work| {
        let share = load.slowdown * part_prefill_ms / work.demand.latency_goal_ms.max(1.0);
        work.demand.latency_goal_ms * share.min(1.0)
    });
    delayed.sum()
}

/// Returns the loss and expected time of a split into `parts`; `None` if there are none.
fn evaluate_split(
    now: Timestamp,
    request: &Request,
    engine: &EngineSpec,
    demand: &WorkDemand,
    parts: &[Part],
    part_tokens: u64,
) -> Option<EngineSplit> {
    let first = parts.first()?;
    let part_prefill_ms = demand.prefill_ms / parts.len() as f64;
    let wait_ms = prediction::admission_wait_ms(
        engine,
        &first.load,
        &WorkDemand { prompt_tokens: 0, ..*demand },
    );
    let first_engine_ms = wait_ms + first.load.backlog_ms + part_prefill_ms;
    let first_engine_ms = prediction::first_event_ms(engine, &first.load, first_engine_ms);
    let helpers = parts.iter().skip(1);
    let helper_ms =
        helpers.map(|part| prediction::first_event_ms(engine, &part.load, part_prefill_ms));
    let expected_first_event_ms = helper_ms.fold(first_engine_ms, f64::max);
    let interference: f64 = parts.iter().map(|part| part.interference).sum();
    let engines = parts.len() as f64 * ENGINE_LOSS;
    let first_event =
        FirstEvent { expected_ms: expected_first_event_ms, prefill_ms: part_prefill_ms };
    let late = prediction::late_loss(now, first_event, request);
    let loss = (late + engines) * demand.latency_goal_ms + interference;
    let servers = parts.iter().map(|part| part.server).collect();
    Some(EngineSplit { servers, part_prefill_ms, part_tokens, expected_first_event_ms, loss })
}
