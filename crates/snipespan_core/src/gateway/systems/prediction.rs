//! Predicts how long an engine takes for a request, and the loss that the request causes.
//!
//! A loss is in ms of goals that requests are expected to miss, or, where stated, in shares of the
//! latency goal of one request: a missed goal costs a client the more time, the longer the goal is. The
//! length of a prompt counts only as far as its route's goals allow for it.

use std::time::Duration;

use crate::gateway::engine::EngineSpec;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::requests::stall_limit;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::Urgency;
use crate::gateway::tables::work::Work;
use crate::gateway::tables::work::WorkDemand;
use crate::gateway::world::World;
use crate::time::Timestamp;

/// Shares of the latency goal between which a predicted time turns from on time to late: the observed
/// times are longer by a tenth in the mean, and differ by a third from that.
const LATE_GOAL_SHARES: (f64, f64) = (0.6, 1.2);

/// Share of a gap goal that an engine iteration may take; the rest is left for delivery to the
/// client.
const GAP_MARGIN: f64 = 0.85;

/// Loss of a stream that pauses for so long that it is moved to another engine: it misses its gap
/// goal, and waits for its prefill again.
const MOVED_STREAM_LOSS: f64 = 2.0;

/// Loss of a request whose client leaves before its first event. It is more than what one choice can cost
/// other requests: whether a request is served at all is decided before.
const UNSERVED_LOSS: f64 = 1_000.0;

/// Loss, in shares of the latency goal, that grows in proportion to the predicted time, here for a
/// time of one latency goal; for a plain service, in proportion to the slots in use, here for all.
/// With it the faster of two safe choices wins, and requests that are late already do not pile up
/// at one engine.
pub const LINEAR_LOSS: f64 = 0.07;

/// Error of the predicted wait at an engine, as a share of it: other gateways send there at the same
/// time, and answers are longer or shorter than estimated.
const WAIT_ERROR: f64 = 1.0 / 3.0;

/// Minimum share of a prompt's prefill time that is expected to remain, also when it is overdue.
const MIN_REMAINING_PREFILL_SHARE: f64 = 0.1;

/// The load of one engine, from its open work.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineLoad {
    /// Number of pieces of open work at the engine.
    pub open: usize,
    /// Number of pieces of work in the decode phase.
    pub decoding: usize,
    /// Context tokens of the work in the decode phase.
    pub context_tokens: u64,
    /// Remaining prefill time of all prompts, in ms at slowdown 1.
    pub backlog_ms: f64,
    /// The work in the prefill phase, by its urgency.
    pub prefilling: [PrefillLoad; Urgency::COUNT],
    /// Tokens of memory that all its work needs in the end.
    pub memory_tokens: u64,
    /// Factor by which the engine is slower than its figures.
    pub slowdown: f64,
}

/// Work in the prefill phase.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillLoad {
    /// Number of pieces.
    pub count: usize,
    /// Their remaining prefill time, in ms at slowdown 1.
    pub backlog_ms: f64,
}

impl EngineLoad {
    /// Returns the load that is served before a request of `urgency`: less urgent work that waits for
    /// a slot is admitted after it.
    pub fn ahead_of(self, urgency: Urgency, slots: usize) -> Self {
        let behind = &self.prefilling[usize::from(urgency.get()) + 1..];
        let count: usize = behind.iter().map(|load| load.count).sum();
        let waiting = count.min(self.open.saturating_sub(slots));
        if waiting == 0 {
            return self;
        }
        let behind_ms: f64 = behind.iter().map(|load| load.backlog_ms).sum();
        let share = waiting as f64 / count as f64;
        let backlog_ms = (self.backlog_ms - behind_ms * share).max(0.0);
        Self { open: self.open - waiting, backlog_ms, ..self }
    }
}

/// Returns the demand of a request at a backend server that serves it alone.
pub fn demand_of(engine: Option<&EngineSpec>, request: &Request) -> WorkDemand {
    let prefill_ms = engine.map_or(0.0, |engine| engine.prefill_ms(request.prompt_tokens));
    WorkDemand {
        prompt_tokens: request.prompt_tokens,
        output_tokens: request.output_tokens,
        prefill_ms,
        latency_goal_ms: request.latency_goal.as_secs_f64() * 1e3,
        gap_goal_ms: request.gap_goal.as_secs_f64() * 1e3,
        urgency: request.urgency(),
    }
}

/// Returns the current load of an engine.
pub fn load_of(world: &World, now: Timestamp, row: &BackendServer) -> EngineLoad {
    let mut load = EngineLoad { slowdown: row.slowdown(now), ..EngineLoad::default() };
    for key in &row.work {
        let Some(work) = world.work.get(*key) else { continue };
        add_to_load(&mut load, work, row, now);
    }
    load
}

fn add_to_load(load: &mut EngineLoad, work: &Work, row: &BackendServer, now: Timestamp) {
    load.open += 1;
    load.memory_tokens += work.demand.prompt_tokens + work.demand.output_tokens;
    match work.phase {
        Phase::Decode => {
            load.decoding += 1;
            load.context_tokens += work.demand.prompt_tokens;
        }
        Phase::Prefill => {
            // Prompts are prefilled in order, so only the first one has made progress.
            let is_first = load.backlog_ms == 0.0;
            let since = work.dispatched.max(row.last_prefill_end);
            let done_ms = match is_first {
                true => now.since(since).as_secs_f64() * 1e3 / load.slowdown,
                false => 0.0,
            };
            let min_ms = work.demand.prefill_ms * MIN_REMAINING_PREFILL_SHARE;
            let remaining_ms = (work.demand.prefill_ms - done_ms).max(min_ms);
            load.backlog_ms += remaining_ms;
            // A peer of another version may report an urgency that engines do not know.
            let urgency = usize::from(work.demand.urgency.get()).min(Urgency::COUNT - 1);
            let of_urgency = &mut load.prefilling[urgency];
            of_urgency.count += 1;
            of_urgency.backlog_ms += remaining_ms;
        }
    }
}

/// The predicted time to the first event of a request.
#[derive(Clone, Copy, Debug)]
pub struct FirstEvent {
    /// Expected time, in ms.
    pub expected_ms: f64,
    /// The part of it that is the prefill of the request's own prompt, in ms.
    pub prefill_ms: f64,
}

impl FirstEvent {
    /// Returns the part of the time that the request waits for other work.
    pub fn wait(self) -> Duration {
        Duration::from_secs_f64((self.expected_ms - self.prefill_ms).max(0.0) / 1e3)
    }

    /// Returns the expected time.
    pub fn expected(self) -> Duration {
        Duration::from_secs_f64(self.expected_ms.max(0.0) / 1e3)
    }

    /// Returns the time if the predicted wait is too short by [`WAIT_ERROR`]. The time of the prefill
    /// follows from the engine's figures.
    pub fn latest(self) -> Duration {
        self.expected() + self.wait().mul_f64(WAIT_ERROR)
    }
}

/// Returns the expected time to the first event, in ms, of a request whose wait and prefill
/// together take `prefill_end_ms` at slowdown 1; the event comes at the end of an engine iteration.
pub fn first_event_ms(engine: &EngineSpec, load: &EngineLoad, prefill_end_ms: f64) -> f64 {
    load.slowdown * (prefill_end_ms + engine.iteration_ms(load.decoding + 1, load.context_tokens))
}

/// Returns the time in ms until an engine can start the prefill of a prompt, without its prefill
/// backlog.
pub fn admission_wait_ms(engine: &EngineSpec, load: &EngineLoad, demand: &WorkDemand) -> f64 {
    let slots = engine.slots.max(1) as usize;
    let iteration_ms = engine.iteration_ms(load.decoding, load.context_tokens);
    let mean_decode_ms = engine.decode_ms(engine.mean_output_tokens, slots, load.context_tokens);
    // A slot becomes free at the end of an iteration, so the rest of the iteration is part of the
    // wait.
    let mut wait = match load.open >= slots {
        true => mean_decode_ms * (load.open + 1 - slots) as f64 / slots as f64,
        false if load.decoding > 0 => iteration_ms / 2.0,
        false => 0.0,
    };
    let memory = load.memory_tokens + demand.prompt_tokens + demand.output_tokens;
    if memory > engine.memory_tokens {
        wait += mean_decode_ms;
    }
    wait
}

/// Returns the loss, in ms of gap goals, of the streams that an engine decodes when `prefill_ms` of prefill are added to
/// its iterations.
pub fn interference_loss(
    world: &World,
    row: &BackendServer,
    engine: &EngineSpec,
    load: &EngineLoad,
    prefill_ms: f64,
) -> f64 {
    if load.decoding == 0 {
        return 0.0;
    }
    let iteration_ms = load.slowdown * engine.iteration_ms(load.decoding, load.context_tokens);
    let before_ms = iteration_ms + load.slowdown * load.backlog_ms;
    let after_ms = before_ms + load.slowdown * prefill_ms;
    let works = row.work.iter().filter_map(|key| world.work.get(*key));
    let decoding = works.filter(|work| work.phase == Phase::Decode);
    let lost = decoding.map(|work| {
        let goal_ms = work.demand.gap_goal_ms;
        let limit_ms = stall_limit_ms(&work.demand);
        let lost = |gap_ms| gap_loss(gap_ms, goal_ms, limit_ms);
        goal_ms * (lost(after_ms) - lost(before_ms))
    });
    lost.sum()
}

/// Returns the silence after which a stream is moved to another engine, in ms.
fn stall_limit_ms(demand: &WorkDemand) -> f64 {
    let goal = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1e3);
    stall_limit(goal(demand.latency_goal_ms), goal(demand.gap_goal_ms)).as_secs_f64() * 1e3
}

/// Returns the loss of a stream that pauses for `gap_ms` and is moved after `limit_ms`, in shares of its
/// gap goal.
fn gap_loss(gap_ms: f64, goal_ms: f64, limit_ms: f64) -> f64 {
    if goal_ms <= 0.0 || gap_ms <= goal_ms * GAP_MARGIN {
        return 0.0;
    }
    match gap_ms <= limit_ms {
        true => 1.0,
        false => MOVED_STREAM_LOSS,
    }
}

/// Returns the loss due to the predicted time to the first event of a request that is sent at `now`, in
/// shares of its latency goal.
pub fn late_loss(now: Timestamp, first_event: FirstEvent, request: &Request) -> f64 {
    let is_unserved = now.after(first_event.latest()) > request.abandoned_at(now);
    let unserved = if is_unserved { UNSERVED_LOSS } else { 0.0 };
    let goal_ms = (request.latency_goal.as_secs_f64() * 1e3).max(1.0);
    let share = first_event.expected_ms / goal_ms;
    let late = (share - LATE_GOAL_SHARES.0) / (LATE_GOAL_SHARES.1 - LATE_GOAL_SHARES.0);
    late.clamp(0.0, 1.0) + LINEAR_LOSS * share + unserved
}
