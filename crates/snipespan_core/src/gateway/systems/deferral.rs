//! Holds back long prompts that have time while engines are overloaded, so that requests with less
//! time go first.
//!
//! Load pattern: long prompts arrive for some seconds faster than the engines prefill them, and each
//! of them makes short prompts that arrive meanwhile wait. A prompt whose prefill alone would make a
//! request of the route with the shortest goal late waits until the backlog is small again, while it
//! has the time. Once waiting longer would make it miss what it is due for, it is sent: first its
//! latency goal, and if the load no longer allows that, the time at which its client leaves.

use std::time::Duration;

use crate::gateway::engine::EngineSpec;
use crate::gateway::systems::availability;
use crate::gateway::systems::prediction;
use crate::gateway::systems::prediction::FirstEvent;
use crate::gateway::systems::routing;
use crate::gateway::systems::splitting;
use crate::gateway::tables::requests::Request;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Engines that usually share the prefill of a prompt, as interference keeps most splits small.
const USUAL_SPLIT: usize = 4;

/// The figures that led to holding a request back.
#[derive(Clone, Copy, Debug)]
pub struct Overload {
    /// Mean prefill backlog of the usable engines, in ms.
    pub backlog_ms: f64,
    /// Backlog up to which the request is sent, in ms.
    pub limit_ms: f64,
}

/// What happens to a request that is held back under overload.
#[derive(Clone, Copy, Debug)]
pub enum HoldBack {
    /// It waits for a smaller backlog.
    Defer(Overload),
    /// It could not end in time, even on the engines with the least work.
    GiveUp(Overload),
}

/// Returns whether a request is held back at `now`, and why; `None` if it is placed.
pub fn assess(world: &World, now: Timestamp, row: &Request) -> Option<HoldBack> {
    let engine = routing::engine_of(world, row)?;
    let limit = backlog_limit(world, row);
    // A stopping gateway has no time to wait for a smaller backlog, and a client that has a part of
    // its answer waits for the next event already.
    let cannot_wait = row.first_byte.is_some() || world.stop.requested.is_some();
    if cannot_wait || split_time(engine, row, USUAL_SPLIT) <= limit {
        return None;
    }
    let servers = availability::usable_backend_servers(world, now, row);
    let backlogs = backlogs_ms(world, now, &servers);
    let engines = backlogs.len();
    let backlog_ms = backlogs.iter().sum::<f64>() / engines.max(1) as f64;
    let limit_ms = limit.as_secs_f64() * 1e3;
    if backlog_ms <= limit_ms {
        return None;
    }
    let overload = Overload { backlog_ms, limit_ms };
    let split = splitting::max_split(engines).max(1);
    let least_backlog_ms = backlogs.get(split - 1).copied().unwrap_or_default();
    let start = now.after(Duration::from_secs_f64(least_backlog_ms / 1e3));
    let last_first_event = last_first_event(now, row, engine, split);
    if row.is_untouched() && start.after(split_time(engine, row, split)) > last_first_event {
        return Some(HoldBack::GiveUp(overload));
    }
    let prefill = split_time(engine, row, split.min(USUAL_SPLIT));
    // Its engines are not chosen yet, so that its prefill may take longer than on idle ones.
    let expected_ms = backlog_ms + prefill.as_secs_f64() * 1e3;
    let first_event = FirstEvent { expected_ms, prefill_ms: 0.0 };
    // It is due at its goal while it is expected to meet that.
    let goal = row.arrived.after(row.latency_goal);
    let due = match now.after(first_event.expected()) <= goal {
        true => goal.min(last_first_event),
        false => last_first_event,
    };
    (now.after(first_event.latest()) < due).then_some(HoldBack::Defer(overload))
}

/// Returns the shortest latency goal of the routes to a request's service. Engines whose backlog is
/// longer make each new request of that route late, and so does a prompt whose prefill is longer.
fn backlog_limit(world: &World, row: &Request) -> Duration {
    let serving = world.serving.as_ref();
    let shortest = serving.and_then(|serving| serving.shortest_latency_goal(&row.service));
    shortest.unwrap_or(row.latency_goal)
}

/// Returns the time to prefill a prompt on `split` idle engines.
fn split_time(engine: &EngineSpec, row: &Request, split: usize) -> Duration {
    Duration::from_secs_f64(engine.prefill_ms_on(row.prompt_tokens, split) / 1e3)
}

/// Returns the latest time for the first event of a request on `split` engines: the rest of its answer
/// then comes before its deadline, and the client of its stream has not left.
fn last_first_event(now: Timestamp, row: &Request, engine: &EngineSpec, split: usize) -> Timestamp {
    let decode_ms = engine.decode_ms(row.output_tokens, 1, row.prompt_tokens / split as u64);
    let decode = Duration::from_secs_f64(decode_ms / 1e3);
    row.deadline.before(decode).min(row.abandoned_at(now))
}

/// Returns the prefill backlogs of engines in ms, the smallest first.
fn backlogs_ms(world: &World, now: Timestamp, servers: &[BackendServerKey]) -> Vec<f64> {
    let rows = servers.iter().filter_map(|server| world.backend_servers.rows.get(*server));
    let mut backlogs: Vec<_> =
        rows.map(|row| prediction::load_of(world, now, row).backlog_ms).collect();
    backlogs.sort_by(f64::total_cmp);
    backlogs
}
