//! Keeps long prompts back while engines are overloaded, so that what earns more for its reading
//! goes first.
//!
//! The time to read a prompt grows with the square of its length and its worth does not, so under
//! overload a few of the longest prompts would make most of the others late.

use std::time::Duration;

use crate::gateway::systems::prediction;
use crate::gateway::systems::prediction::LATE_LOSS;
use crate::gateway::systems::routing;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::WorkSize;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Worth that a second of reading has to earn for each second of mean reading backlog of the
/// engines. With the deployments' sheets, a backlog of a quarter of a second keeps prompts of
/// 500,000 tokens back, and one of 0.7 s those of 180,000.
const PRICE_PER_BACKLOG: f64 = 8.0;

/// Prompts that are read within this time, in ms, are never kept back: what holds them up is a
/// slot, not reading.
const LEAST_DEFERRED_MS: f64 = 200.0;

/// Share of the time until its client would leave for which a request is kept back at most; the
/// rest is for its reading.
const KEEP_BACK_SHARE: f64 = 0.4;

/// Pause before a request that is kept back is looked at again; a small part of a long read.
const RECHECK_PAUSE: Duration = Duration::from_millis(50);

/// A request that is kept back.
#[derive(Clone, Copy, Debug)]
pub struct Deferral {
    /// Mean time to read what waits at an engine, in ms.
    pub backlog_ms: f64,
    /// Worth that the request earns for a second of reading.
    pub worth_per_s: f64,
    /// When it is looked at again.
    pub pause: Duration,
}

/// Whether a request is kept back for now; `is_on_time` if it could still be answered within its
/// latency goal.
pub fn assess(world: &World, now: Timestamp, row: &Request, is_on_time: bool) -> Option<Deferral> {
    let engine = routing::engine_of(world, row)?;
    let size = prediction::size_of(Some(engine), row);
    // A gateway that stops has no time to wait for a better moment.
    let cannot_wait = row.runs > 0 || now >= latest(row) || world.stop.asked.is_some();
    if size.read_ms < LEAST_DEFERRED_MS || cannot_wait {
        return None;
    }
    let servers = routing::usable(world, now, row);
    let backlog_ms = mean_backlog_ms(world, now, &servers);
    let worth_per_s = worth_per_s(&size, is_on_time);
    let is_deferred = worth_per_s < PRICE_PER_BACKLOG * backlog_ms / 1e3;
    is_deferred.then_some(Deferral { backlog_ms, worth_per_s, pause: RECHECK_PAUSE })
}

/// Until when a request may be kept back.
fn latest(row: &Request) -> Timestamp {
    let most = row.abandon_timeout().min(row.deadline.since(row.arrived));
    row.arrived.after(most.mul_f64(KEEP_BACK_SHARE))
}

fn worth_per_s(size: &WorkSize, is_on_time: bool) -> f64 {
    let share = if is_on_time { 1.0 } else { 1.0 - LATE_LOSS };
    share * size.value / (size.read_ms / 1e3)
}

fn mean_backlog_ms(world: &World, now: Timestamp, servers: &[BackendServerKey]) -> f64 {
    let rows = servers.iter().filter_map(|server| world.backend_servers.rows.get(*server));
    let backlog: f64 = rows.map(|row| prediction::load_of(world, now, row).backlog_ms).sum();
    backlog / servers.len().max(1) as f64
}
