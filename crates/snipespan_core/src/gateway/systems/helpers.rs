//! Lets other engines read parts of a long prompt that one engine has the memory for.
//!
//! The parts are read at the same time, so the first token comes sooner; the helpers keep
//! nothing of the prompt, and no memory is reserved.

use crate::gateway::effect::Helper;
use crate::gateway::engine::EngineSpec;
use crate::gateway::systems::placing::Sending;
use crate::gateway::systems::routing;
use crate::gateway::systems::routing::Choice;
use crate::gateway::systems::routing::EngineLoad;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::WorkSize;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Prompts that are read sooner than this, in ms, are not split; a pass takes about 50 ms.
const LEAST_SPLIT_MS: f64 = 200.0;

/// Numbers of engines that are weighed.
const ENGINES: [usize; 6] = [2, 3, 4, 6, 8, 12];

/// Share of a service's engines that one prompt may take, so that short ones still find some.
const MOST_SHARE: f64 = 0.5;

/// Loss for each helper, in shares of the worth: one more engine whose failure fails the request.
const HELPER_LOSS: f64 = 0.004;

/// An engine that may take a part.
struct Part {
    server: BackendServerKey,
    load: EngineLoad,
    /// Loss of the work that is there already.
    harm: f64,
    has_memory: bool,
}

/// How to send a request to several engines, if that loses less than `alone`.
pub fn plan(
    world: &World,
    now: Timestamp,
    request: &Request,
    alone: Option<Choice>,
) -> Option<Sending> {
    let engine = routing::engine_of(world, request)?;
    let size = routing::size_of(Some(engine), request);
    if size.read_ms < LEAST_SPLIT_MS {
        return None;
    }
    let servers = routing::usable(world, now, request);
    let candidates = servers.len();
    let mut best: Option<Sending> = None;
    let most = (candidates as f64 * MOST_SHARE) as usize;
    for count in ENGINES.into_iter().filter(|count| *count <= most) {
        let parts = choose(world, now, engine, &servers, &size, count);
        let least = best.as_ref().map(|best| best.choice.loss);
        let least = least.or(alone.map(|alone| alone.loss)).unwrap_or(f64::INFINITY);
        let sending = parts.and_then(|parts| sending(world, now, request, engine, &size, &parts));
        best = sending.filter(|sending| sending.choice.loss < least).or(best);
    }
    best
}

/// The engines that lose least by a part, the one that gets the request first.
fn choose(
    world: &World,
    now: Timestamp,
    engine: &EngineSpec,
    servers: &[BackendServerKey],
    size: &WorkSize,
    count: usize,
) -> Option<Vec<Part>> {
    let part_ms = size.read_ms / count as f64;
    let part = |server: &BackendServerKey| {
        let row = world.backend_servers.rows.get(*server)?;
        let load = routing::load_of(world, now, row);
        let need = size.prompt_tokens + size.output_tokens;
        let is_full = load.open >= engine.slots as usize;
        (!is_full).then(|| Part {
            server: *server,
            harm: routing::harm(world, row, engine, &load, part_ms)
                + readers_harm(world, row, &load, part_ms),
            has_memory: load.memory_tokens + need <= engine.memory_tokens,
            load,
        })
    };
    let mut parts: Vec<_> = servers.iter().filter_map(part).collect();
    let rank = |part: &Part| part.harm + part.load.pace * part.load.backlog_ms / part_ms;
    parts.sort_by(|a, b| rank(a).total_cmp(&rank(b)));
    let first = parts.iter().position(|part| part.has_memory)?;
    let first = parts.remove(first);
    parts.truncate(count - 1);
    parts.insert(0, first);
    (parts.len() == count).then_some(parts)
}

/// Loss of requests that wait to be read at an engine, which reads a helper's part before them.
fn readers_harm(world: &World, row: &BackendServer, load: &EngineLoad, part_ms: f64) -> f64 {
    let works = row.work.iter().filter_map(|key| world.work.get(*key));
    let reading = works.filter(|work| work.phase == Phase::Reading);
    let delayed = reading.map(|work| {
        let share = load.pace * part_ms / work.size.first_goal_ms.max(1.0);
        work.size.value * share.min(1.0)
    });
    delayed.sum()
}

fn sending(
    world: &World,
    now: Timestamp,
    request: &Request,
    engine: &EngineSpec,
    size: &WorkSize,
    parts: &[Part],
) -> Option<Sending> {
    let first = parts.first()?;
    let part_ms = size.read_ms / parts.len() as f64;
    let wait_ms = routing::wait_ms(engine, &first.load, size);
    let own_ms = wait_ms + first.load.backlog_ms + part_ms;
    let own_ms = routing::first_ms(engine, &first.load, own_ms);
    let helped = parts.iter().skip(1);
    let helped_ms = helped.map(|part| routing::first_ms(engine, &part.load, part_ms));
    let expected_first_ms = helped_ms.fold(own_ms, f64::max);
    if expected_first_ms > request.deadline.since(now).as_secs_f64() * 1e3 {
        return None;
    }
    let harm: f64 = parts.iter().map(|part| part.harm).sum();
    let helpers = (parts.len() - 1) as f64 * HELPER_LOSS;
    let loss = (routing::late_loss(expected_first_ms, request) + helpers) * size.value + harm;
    let candidates = parts.len();
    let choice = Choice { loss, backend_server: first.server, expected_first_ms, candidates };
    let own = WorkSize { read_ms: part_ms, ..*size };
    // What a helper reads takes no memory there.
    let helper_size = WorkSize { prompt_tokens: 0, output_tokens: 0, gap_goal_ms: 0.0, ..own };
    let helpers = parts.iter().skip(1).filter_map(|part| {
        let row = world.backend_servers.rows.get(part.server)?;
        Some(Helper { address: row.listing.address, ticket: None })
    });
    Some(Sending {
        choice,
        size: Some(own),
        helpers: helpers.collect(),
        helper_work: parts.iter().skip(1).map(|part| (part.server, helper_size)).collect(),
    })
}
