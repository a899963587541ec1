//! Defers long prompts while engines are overloaded, so that requests with more value for each
//! second of prefill go first.
//!
//! The prefill time of a prompt grows with the square of its length and its value does not, so
//! under overload a few of the longest prompts would make most other requests late.

use crate::gateway::systems::availability;
use crate::gateway::systems::prediction;
use crate::gateway::systems::prediction::LATE_LOSS;
use crate::gateway::systems::routing;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::WorkDemand;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Value that a request has to earn for each second of its prefill, for each second of mean prefill
/// backlog of the engines. With the deployments' figures, a backlog of 0.3 s defers prompts of
/// 500,000 tokens, and one of 0.65 s those of 180,000.
const MIN_VALUE_PER_BACKLOG: f64 = 8.0;

/// Prefill time in ms below which prompts are never deferred: they wait for a slot rather than for
/// their prefill.
const MIN_DEFERRED_PREFILL_MS: f64 = 200.0;

/// Maximum time for which a request is deferred, as a share of the time until its client would
/// disconnect or its deadline passes, whichever is sooner; the rest is left for its prefill.
const MAX_DEFERRAL_SHARE: f64 = 0.4;

/// The figures that led to the deferral of a request.
#[derive(Clone, Copy, Debug)]
pub struct Deferral {
    /// Mean prefill backlog of the usable engines, in ms.
    pub backlog_ms: f64,
    /// Value that the request earns for each second of its prefill.
    pub value_per_s: f64,
}

/// Returns why a request is deferred for now, or `None` if it is not; `is_on_time` is whether it
/// could still be answered within its latency goal.
pub fn assess_deferral(
    world: &World,
    now: Timestamp,
    row: &Request,
    is_on_time: bool,
) -> Option<Deferral> {
    let engine = routing::engine_of(world, row)?;
    let demand = prediction::demand_of(Some(engine), row);
    // A stopping gateway has no time to wait for a smaller backlog.
    let cannot_wait = row.runs > 0 || now >= latest_deferral(row) || world.stop.requested.is_some();
    if demand.prefill_ms < MIN_DEFERRED_PREFILL_MS || cannot_wait {
        return None;
    }
    let servers = availability::usable_backend_servers(world, now, row);
    let backlog_ms = mean_backlog_ms(world, now, &servers);
    let value_per_s = value_per_s(&demand, is_on_time);
    let is_deferred = value_per_s < MIN_VALUE_PER_BACKLOG * backlog_ms / 1e3;
    is_deferred.then_some(Deferral { backlog_ms, value_per_s })
}

/// Returns the time until which a request may be deferred.
fn latest_deferral(row: &Request) -> Timestamp {
    let limit = row.abandon_timeout().min(row.deadline.since(row.arrived));
    row.arrived.after(limit.mul_f64(MAX_DEFERRAL_SHARE))
}

fn value_per_s(demand: &WorkDemand, is_on_time: bool) -> f64 {
    let share = if is_on_time { 1.0 } else { 1.0 - LATE_LOSS };
    share * demand.value / (demand.prefill_ms / 1e3)
}

fn mean_backlog_ms(world: &World, now: Timestamp, servers: &[BackendServerKey]) -> f64 {
    let rows = servers.iter().filter_map(|server| world.backend_servers.rows.get(*server));
    let backlog: f64 = rows.map(|row| prediction::load_of(world, now, row).backlog_ms).sum();
    backlog / servers.len().max(1) as f64
}
