//! Holds back long prompts while engines are overloaded, so that requests with more value for each
//! second of prefill go first.
//!
//! Load pattern: long prompts arrive for some seconds faster than the engines prefill them. The
//! prefill time of a prompt grows with the square of its length and its value does not, so a few of
//! the longest ones would make most others late. A prompt that is sent late takes the same engine
//! time for a part of its value. What is held back is sent once the backlog is small enough, and
//! refused as soon as it could no longer end in time on idle engines.

use std::time::Duration;

use crate::gateway::engine::EngineSpec;
use crate::gateway::systems::availability;
use crate::gateway::systems::prediction;
use crate::gateway::systems::prediction::LATE_LOSS;
use crate::gateway::systems::routing;
use crate::gateway::systems::splitting;
use crate::gateway::tables::requests::Request;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Value that a request has to earn for each second of its prefill, for each second of mean prefill
/// backlog of the engines, while it can wait and still be on time.
const MIN_VALUE_PER_BACKLOG: f64 = 8.0;

/// Prefill time in ms below which prompts are never held back: they wait for a slot rather than for
/// their prefill.
const MIN_HELD_PREFILL_MS: f64 = 200.0;

/// Mean prefill backlog of the engines, as a share of the latency goal, above which a prompt of its
/// route's mean length is held back when it cannot wait any longer. The other half of the goal is
/// left for its own prefill.
const MAX_BACKLOG_GOAL_SHARE: f64 = 0.5;

/// Engines that usually share the prefill of a prompt, as interference keeps most splits small.
const USUAL_SPLIT: usize = 4;

/// Multiple of the prefill time over `USUAL_SPLIT` engines that is left of the latency goal when a
/// request stops waiting, as the engines that it gets are not idle.
const ON_TIME_MARGIN: f64 = 1.5;

/// Multiple of the prefill time over the largest split that is left of the time limit when a request
/// is given up; only engines without other work would be faster.
const LAST_START_MARGIN: f64 = 1.25;

/// Share of a request's value that does not depend on its length, by the platform's rules.
const FIXED_VALUE_SHARE: f64 = 0.3;

/// Maximum value of a request relative to one of its route's mean length, by the platform's rules.
const MAX_RELATIVE_VALUE: f64 = 4.0;

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
    /// It could no longer end in time if it waited.
    GiveUp(Overload),
}

/// Returns whether a request is held back at `now`, and why; `None` if it is sent. `is_on_time` is
/// whether it could still be answered within its latency goal.
pub fn assess(world: &World, now: Timestamp, row: &Request, is_on_time: bool) -> Option<HoldBack> {
    let engine = routing::engine_of(world, row)?;
    let prefill_ms = engine.prefill_ms(row.prompt_tokens);
    // A stopping gateway has no time to wait for a smaller backlog.
    let cannot_wait = row.runs > 0 || world.stop.requested.is_some();
    if prefill_ms < MIN_HELD_PREFILL_MS || cannot_wait {
        return None;
    }
    let servers = availability::usable_backend_servers(world, now, row);
    let backlog_ms = mean_backlog_ms(world, now, &servers);
    let limit_ms = backlog_limit_ms(now, row, engine, is_on_time, servers.len());
    if backlog_ms <= limit_ms {
        return None;
    }
    let overload = Overload { backlog_ms, limit_ms };
    Some(match now < last_start(row, engine, servers.len()) {
        true => HoldBack::Defer(overload),
        false => HoldBack::GiveUp(overload),
    })
}

/// Returns the mean prefill backlog in ms up to which a request is sent at `now`. It is small while
/// the request can wait without being late, and grows when it has to be sent to be on time; from
/// then on requests of one route differ by their value for each second of prefill.
fn backlog_limit_ms(
    now: Timestamp,
    row: &Request,
    engine: &EngineSpec,
    is_on_time: bool,
    engines: usize,
) -> f64 {
    let prefill_ms = engine.prefill_ms(row.prompt_tokens);
    let waited = now.since(row.arrived);
    let usual = split_time(engine, row, engines, USUAL_SPLIT).mul_f64(ON_TIME_MARGIN);
    if is_on_time && waited + usual < row.latency_goal {
        let value = prediction::demand_of(Some(engine), row).value;
        return value / (prefill_ms / 1e3) / MIN_VALUE_PER_BACKLOG * 1e3;
    }
    let fastest = split_time(engine, row, engines, splitting::MAX_ENGINES);
    let share = match is_on_time && waited + fastest <= row.latency_goal {
        true => 1.0,
        false => 1.0 - LATE_LOSS,
    };
    let goal_ms = row.latency_goal.as_secs_f64() * 1e3;
    MAX_BACKLOG_GOAL_SHARE * goal_ms * relative_value_density(row, engine) * share
}

/// Returns the value of a request for each second of its prefill, relative to one of its route's
/// mean length.
fn relative_value_density(row: &Request, engine: &EngineSpec) -> f64 {
    let mean_tokens = row.mean_prompt_tokens.max(1);
    let length = row.prompt_tokens as f64 / mean_tokens as f64;
    let value = FIXED_VALUE_SHARE + (1.0 - FIXED_VALUE_SHARE) * length;
    let prefill_ms = engine.prefill_ms(row.prompt_tokens).max(1.0);
    value.min(MAX_RELATIVE_VALUE) * engine.prefill_ms(mean_tokens) / prefill_ms
}

/// Returns the time to prefill a prompt on up to `split` idle engines of `engines`.
fn split_time(engine: &EngineSpec, row: &Request, engines: usize, split: usize) -> Duration {
    let split = splitting::max_split(engines).min(split);
    Duration::from_secs_f64(engine.prefill_ms_on(row.prompt_tokens, split) / 1e3)
}

/// Returns the latest time at which a request may be sent and end in time, or before the client of
/// its stream leaves, if it gets idle engines.
fn last_start(row: &Request, engine: &EngineSpec, engines: usize) -> Timestamp {
    let prefill = split_time(engine, row, engines, splitting::MAX_ENGINES);
    let prefill = prefill.mul_f64(LAST_START_MARGIN);
    let split = splitting::max_split(engines).max(1) as u64;
    let decode_ms = engine.decode_ms(row.output_tokens, 1, row.prompt_tokens / split);
    let decode = Duration::from_secs_f64(decode_ms / 1e3);
    let abandoned = row.arrived.after(row.abandon_timeout());
    row.deadline.before(prefill + decode).min(abandoned.before(prefill))
}

fn mean_backlog_ms(world: &World, now: Timestamp, servers: &[BackendServerKey]) -> f64 {
    let rows = servers.iter().filter_map(|server| world.backend_servers.rows.get(*server));
    let backlog: f64 = rows.map(|row| prediction::load_of(world, now, row).backlog_ms).sum();
    backlog / servers.len().max(1) as f64
}
