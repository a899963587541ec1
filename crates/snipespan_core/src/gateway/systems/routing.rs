//! Predicts what a backend server makes of a request, and chooses the one that loses least.

use compact_str::CompactString;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::gateway::engine::EngineSpec;
use crate::gateway::serving::Route;
use crate::gateway::serving::Serving;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::Rank;
use crate::gateway::tables::work::Work;
use crate::gateway::tables::work::WorkSize;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Prompt tokens that are worth as much as a request itself; the deployments' sheets pay a
/// prompt of 133,000 tokens about eleven times one of 5,000.
const VALUE_TOKENS: f64 = 12_000.0;

/// Share of a request's worth that is lost when it is late, by the deployments' sheets.
const LATE_LOSS: f64 = 0.75;

/// Shares of the latency goal between which a predicted time turns from safe to late; the
/// prediction errs by about a third.
const LATE_RANGE: (f64, f64) = (0.6, 1.2);

/// Share of a gap goal that a pass may take; the rest is for the way to the client.
const GAP_MARGIN: f64 = 0.85;

/// Gap goals after which a stream is given up and read anew elsewhere; clients leave after eight.
const PATIENCE_GAPS: f64 = 6.0;

/// Share of the worth that is lost with such a stream: all of it, and the work to read it anew.
const LOST_LOSS: f64 = 1.5;

/// Loss for each latency goal of predicted time, in shares of the worth, so that the sooner of
/// two safe choices wins, and what is late already does not pile up at one engine.
const LINEAR_LOSS: f64 = 0.05;

/// Loss of sending to another data centre, in shares of the worth: its price a byte.
const REMOTE_LOSS: f64 = 0.002;

/// Loss of breaking into an idle engine with a short prompt, in shares of the worth; idle engines
/// are kept for prompts that would hold up others.
const IDLE_LOSS: f64 = 0.05;

/// Prompts that are read within this time, in ms, are short; most gap goals bear two of them.
const SHORT_READ_MS: f64 = 100.0;

/// Requests waiting at an engine for each of its slots beyond which no more are sent.
const QUEUE_PER_SLOT: f64 = 1.5;

/// Requests waiting at a plain service for each of its slots beyond which no more are sent.
const PLAIN_QUEUE_PER_SLOT: f64 = 3.0;

/// Share of a prompt's reading time that is still expected when it is overdue.
const LEAST_READ_SHARE: f64 = 0.1;

/// Share of the latency goal that a call of a plain service usually takes.
const PLAIN_SHARE: f64 = 0.3;

/// A backend server chosen for a request.
#[derive(Clone, Copy, Debug)]
pub struct Choice {
    /// What is lost by it, against other choices for the same request.
    pub loss: f64,
    /// The backend server.
    pub backend_server: BackendServerKey,
    /// Expected time to the first byte, in ms.
    pub expected_first_ms: f64,
    /// How many could have been chosen.
    pub candidates: usize,
}

/// Engine work as it stands at one backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineLoad {
    /// Requests there.
    pub open: usize,
    /// Requests that it writes.
    pub writers: usize,
    /// Tokens of context of those.
    pub context_tokens: u64,
    /// Time to read what waits to be read, in ms at pace 1.
    pub backlog_ms: f64,
    /// Requests that are late and wait to be read.
    pub late: usize,
    /// Time to read those, in ms at pace 1.
    pub late_ms: f64,
    /// Tokens of memory that its work comes to need.
    pub memory_tokens: u64,
    /// How much slower than its figures it works.
    pub pace: f64,
}

impl EngineLoad {
    /// The load that goes before a request of a rank: work that is late and waits for a slot is
    /// admitted after all that is on time.
    pub fn ahead_of(self, rank: Rank, slots: usize) -> Self {
        let waiting_late = match rank {
            Rank::OnTime => self.late.min(self.open.saturating_sub(slots)),
            Rank::Late => 0,
        };
        if waiting_late == 0 {
            return self;
        }
        let share = waiting_late as f64 / self.late as f64;
        let backlog_ms = (self.backlog_ms - self.late_ms * share).max(0.0);
        Self { open: self.open - waiting_late, backlog_ms, ..self }
    }
}

/// Draws one of a route's services by weight.
pub fn draw_service(serving: &Serving, route: &Route, rng: &mut SmallRng) -> Option<CompactString> {
    let total: u32 = route.split.iter().map(|share| share.weight).sum();
    let mut drawn = match total {
        0 => 0,
        _ => rng.random_range(0..total),
    };
    for share in &route.split {
        if drawn < share.weight {
            return serving.service(share.service).map(|service| service.name.clone());
        }
        drawn -= share.weight;
    }
    let first = route.split.first()?;
    serving.service(first.service).map(|service| service.name.clone())
}

/// What a request asks of one backend server that takes it alone.
pub fn size_of(engine: Option<&EngineSpec>, request: &Request) -> WorkSize {
    let read_ms = engine.map_or(0.0, |engine| engine.read_ms(request.prompt_tokens));
    WorkSize {
        prompt_tokens: request.prompt_tokens,
        output_tokens: request.output_tokens,
        read_ms,
        first_goal_ms: request.latency_goal.as_secs_f64() * 1e3,
        gap_goal_ms: request.gap_goal.as_secs_f64() * 1e3,
        value: 1.0 + request.prompt_tokens as f64 / VALUE_TOKENS,
        rank: request.rank,
    }
}

/// The backend server that loses least by taking a request alone; `None` when none has room.
pub fn choose(
    world: &World,
    now: Timestamp,
    request: &Request,
    rng: &mut SmallRng,
) -> Option<Choice> {
    let engine = engine_of(world, request).copied();
    let candidates = usable(world, now, request);
    let mut best: Option<Choice> = None;
    for key in &candidates {
        let Some(row) = world.backend_servers.rows.get(*key) else { continue };
        let assessed = assess(world, now, row, engine.as_ref(), request);
        let Some((loss, expected_first_ms)) = assessed else { continue };
        // A small random part spreads choices that are equal.
        let loss = loss * rng.random_range(0.999..1.001);
        if best.is_none_or(|best| loss < best.loss) {
            let candidates = candidates.len();
            best = Some(Choice { loss, backend_server: *key, expected_first_ms, candidates });
        }
    }
    best
}

/// Loss and expected time to the first byte, in ms, of a request that a backend server takes
/// alone; `None` when it has no room.
pub fn assess(
    world: &World,
    now: Timestamp,
    row: &BackendServer,
    engine: Option<&EngineSpec>,
    request: &Request,
) -> Option<(f64, f64)> {
    match engine {
        Some(engine) => assess_engine(world, now, row, engine, request),
        None => assess_plain(world, now, row, request),
    }
}

/// The engine figures of a request's service, if it is a model engine.
pub fn engine_of<'a>(world: &'a World, request: &Request) -> Option<&'a EngineSpec> {
    let serving = world.serving.as_ref()?;
    serving.service_named(&request.service)?.engine.as_ref()
}

/// Backend servers of a request's service that take work, without those that failures speak
/// against unless there are no others.
pub fn usable(world: &World, now: Timestamp, request: &Request) -> Vec<BackendServerKey> {
    let rows = world.backend_servers.rows.iter();
    let of_service = rows.filter(|(_, row)| row.listing.service == request.service);
    let open = of_service.filter(|(_, row)| row.takes_work());
    let fresh = open.filter(|(key, _)| !request.avoided.contains(key));
    let (sound, suspended): (Vec<_>, Vec<_>) = fresh.partition(|(_, row)| !row.is_suspended(now));
    let kept = if sound.is_empty() { suspended } else { sound };
    kept.into_iter().map(|(key, _)| key).collect()
}

/// The work at an engine.
pub fn load_of(world: &World, now: Timestamp, row: &BackendServer) -> EngineLoad {
    let mut load = EngineLoad { pace: row.pace(now), ..EngineLoad::default() };
    for key in &row.work {
        let Some(work) = world.work.get(*key) else { continue };
        add_work(&mut load, work, row, now);
    }
    load
}

fn add_work(load: &mut EngineLoad, work: &Work, row: &BackendServer, now: Timestamp) {
    load.open += 1;
    load.memory_tokens += work.size.prompt_tokens + work.size.output_tokens;
    match work.phase {
        Phase::Writing => {
            load.writers += 1;
            load.context_tokens += work.size.prompt_tokens;
        }
        Phase::Reading => {
            // Prompts are read in order, so only the first one has made progress.
            let is_first = load.backlog_ms == 0.0;
            let since = work.dispatched.max(row.progressed);
            let done_ms = match is_first {
                true => now.since(since).as_secs_f64() * 1e3 / load.pace,
                false => 0.0,
            };
            let least_ms = work.size.read_ms * LEAST_READ_SHARE;
            let rest_ms = (work.size.read_ms - done_ms).max(least_ms);
            load.backlog_ms += rest_ms;
            if work.size.rank == Rank::Late {
                load.late += 1;
                load.late_ms += rest_ms;
            }
        }
    }
}

/// Loss and expected time to the first byte at an engine; `None` when it has no room.
fn assess_engine(
    world: &World,
    now: Timestamp,
    row: &BackendServer,
    engine: &EngineSpec,
    request: &Request,
) -> Option<(f64, f64)> {
    let load = load_of(world, now, row);
    let slots = engine.slots.max(1) as usize;
    let load = load.ahead_of(request.rank, slots);
    if load.open as f64 >= slots as f64 * (1.0 + QUEUE_PER_SLOT) {
        return None;
    }
    let size = size_of(Some(engine), request);
    let wait_ms = wait_ms(engine, &load, &size);
    let first_ms = first_ms(engine, &load, wait_ms + load.backlog_ms + size.read_ms);
    if first_ms > request.deadline.since(now).as_secs_f64() * 1e3 {
        return None;
    }
    let own = late_loss(first_ms, request) * size.value;
    let harm = harm(world, row, engine, &load, size.read_ms);
    let is_breaking_in = load.open == 0 && size.read_ms < SHORT_READ_MS;
    let idle = if is_breaking_in { IDLE_LOSS * size.value } else { 0.0 };
    let remote = remote_loss(world, row) * size.value;
    Some((own + harm + idle + remote, first_ms))
}

/// Expected time to the first event of a request that waits and is read for `read_ms`: the event
/// comes with the end of a pass.
pub fn first_ms(engine: &EngineSpec, load: &EngineLoad, read_ms: f64) -> f64 {
    load.pace * (read_ms + engine.pass_ms(load.writers + 1, load.context_tokens))
}

/// Time until an engine begins to read a prompt, beside its backlog.
pub fn wait_ms(engine: &EngineSpec, load: &EngineLoad, size: &WorkSize) -> f64 {
    let slots = engine.slots.max(1) as usize;
    let pass_ms = engine.pass_ms(load.writers, load.context_tokens);
    let usual_ms = engine.write_ms(engine.usual_output_tokens, slots, load.context_tokens);
    // A slot comes free at the end of a pass, so the rest of the pass is part of the wait for it.
    let mut wait = match load.open >= slots {
        true => usual_ms * (load.open + 1 - slots) as f64 / slots as f64,
        false if load.writers > 0 => pass_ms / 2.0,
        false => 0.0,
    };
    let memory = load.memory_tokens + size.prompt_tokens + size.output_tokens;
    if memory > engine.memory_tokens {
        wait += usual_ms;
    }
    wait
}

/// Loss of the streams that an engine writes when `read_ms` of reading are added to its passes.
pub fn harm(
    world: &World,
    row: &BackendServer,
    engine: &EngineSpec,
    load: &EngineLoad,
    read_ms: f64,
) -> f64 {
    if load.writers == 0 {
        return 0.0;
    }
    let pass_ms = load.pace * engine.pass_ms(load.writers, load.context_tokens);
    let before_ms = pass_ms + load.pace * load.backlog_ms;
    let after_ms = before_ms + load.pace * read_ms;
    let works = row.work.iter().filter_map(|key| world.work.get(*key));
    let writing = works.filter(|work| work.phase == Phase::Writing);
    let lost = writing.map(|work| {
        let goal_ms = work.size.gap_goal_ms;
        work.size.value * (gap_loss(after_ms, goal_ms) - gap_loss(before_ms, goal_ms))
    });
    lost.sum()
}

/// Loss of a stream that pauses for `gap_ms`, in shares of its worth.
fn gap_loss(gap_ms: f64, goal_ms: f64) -> f64 {
    if goal_ms <= 0.0 || gap_ms <= goal_ms * GAP_MARGIN {
        return 0.0;
    }
    match gap_ms <= goal_ms * PATIENCE_GAPS {
        true => LATE_LOSS,
        false => LOST_LOSS,
    }
}

/// Loss by the expected time to the first byte, in shares of the worth.
pub fn late_loss(first_ms: f64, request: &Request) -> f64 {
    let goal_ms = (request.latency_goal.as_secs_f64() * 1e3).max(1.0);
    let share = first_ms / goal_ms;
    let late = (share - LATE_RANGE.0) / (LATE_RANGE.1 - LATE_RANGE.0);
    LATE_LOSS * late.clamp(0.0, 1.0) + LINEAR_LOSS * share
}

/// Loss by the way to another data centre, in shares of the worth.
fn remote_loss(world: &World, row: &BackendServer) -> f64 {
    match row.listing.data_centre == world.settings.data_centre {
        true => 0.0,
        false => REMOTE_LOSS,
    }
}

/// Loss and expected time at a plain service, whose time a call is not known.
fn assess_plain(
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
    let first_ms = goal_ms * PLAIN_SHARE * row.pace(now);
    let crowding = ((open + 1.0) / slots - 1.0).max(0.0) + LINEAR_LOSS * open / slots;
    Some((crowding + remote_loss(world, row), first_ms))
}
