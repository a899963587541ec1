//! Sends requests to chosen backend servers, and starts the work that the gateways count there.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Dispatch;
use crate::gateway::effect::Effect;
use crate::gateway::effect::Helper;
use crate::gateway::message::WorkChange;
use crate::gateway::message::WorkReport;
use crate::gateway::serving::ServingVersion;
use crate::gateway::systems::ending;
use crate::gateway::systems::holding;
use crate::gateway::systems::leaving;
use crate::gateway::systems::leaving::LeaveReason;
use crate::gateway::systems::prediction;
use crate::gateway::systems::process;
use crate::gateway::systems::prompt_parts;
use crate::gateway::systems::routing;
use crate::gateway::systems::routing::Choice;
use crate::gateway::systems::shared_rates;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::memory_budget::MAX_SHORT_BODY;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::Work;
use crate::gateway::tables::work::WorkDemand;
use crate::gateway::tables::work::WorkOwner;
use crate::gateway::world::World;
use crate::gateway::world::work_id;
use crate::keys::BackendServerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::lifecycle::request::RequestEvent;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// How a request is sent, with the work of its helpers.
#[derive(Clone, Debug)]
pub struct SendPlan {
    /// The backend server that gets the request.
    pub choice: Choice,
    /// Demand of the request there, if it is not the demand of the whole request.
    pub demand: Option<WorkDemand>,
    /// Engines that share the prefill, as in [`Dispatch::helpers`].
    pub helpers: Vec<Helper>,
    /// The work of helpers that is not in the table yet, with the engine of each.
    pub helper_work: Vec<(BackendServerKey, WorkDemand)>,
    /// Whether the sends were counted against the rates of backend servers when their engines were
    /// chosen.
    pub is_counted: bool,
}

impl SendPlan {
    /// Creates a plan for one backend server without helpers.
    pub const fn single(choice: Choice) -> Self {
        Self {
            choice,
            demand: None,
            helpers: Vec::new(),
            helper_work: Vec::new(),
            is_counted: false,
        }
    }

    /// Returns the backend servers whose rates it takes from, if they have any.
    fn counted_servers(&self) -> impl Iterator<Item = BackendServerKey> {
        let helpers = self.helper_work.iter().map(|(server, _)| *server);
        std::iter::once(self.choice.backend_server).chain(helpers)
    }
}

/// Returns whether a planned stop is expected to cut a request off that is sent now, of which
/// nothing has run yet.
fn is_cut_by_stop(world: &World, now: Timestamp, row: &Request, plan: &SendPlan) -> bool {
    let Some(cutoff) = process::cutoff(world) else { return false };
    if !row.is_untouched() {
        return false;
    }
    let target = world.backend_servers.rows.get(plan.choice.backend_server);
    let decode_ms = routing::engine_of(world, row).zip(target).map_or(0.0, |(engine, target)| {
        let load = prediction::load_of(world, now, target);
        let decoding = load.decoding + 1;
        load.slowdown * engine.decode_ms(row.output_tokens, decoding, load.context_tokens)
    });
    let expected_ms = plan.choice.expected_first_event_ms + decode_ms;
    let end = now.after(Duration::from_secs_f64(expected_ms.max(0.0) / 1e3));
    end.min(row.deadline) > cutoff
}

/// Sends a request, or refuses it when the table of work is full, a part of its prompt has been
/// blocked meanwhile, or this gateway stops before it could end.
pub fn send_request(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    plan: &SendPlan,
    effects: &mut Vec<Effect>,
) {
    if let Some(wait) = prompt_parts::blocked_for(world, now, key) {
        prompt_parts::refuse_request(world, now, key, wait, effects);
        return;
    }
    let Some(row) = world.requests.get(key) else { return };
    if is_cut_by_stop(world, now, row, plan) {
        ending::end_with_code(world, now, key, ResultCode::Leaving, effects);
        return;
    }
    // The plan was made in this tick, with backend servers that take one more request each.
    if !plan.is_counted && !plan.counted_servers().all(|s| shared_rates::try_use(world, now, s)) {
        holding::hold_request(world, now, key, effects);
        return;
    }
    let Some(row) = world.requests.get(key) else { return };
    let engine = routing::engine_of(world, row).copied();
    let demand = plan.demand.unwrap_or_else(|| prediction::demand_of(engine.as_ref(), row));
    let body_bytes = row.body_bytes;
    let server = plan.choice.backend_server;
    let expected_first_event_ms = plan.choice.expected_first_event_ms;
    let Some(work) =
        start_work(world, now, WorkOwner::Own(key), server, demand, expected_first_event_ms)
    else {
        ending::end_with_code(world, now, key, ResultCode::Overloaded, effects);
        return;
    };
    world.set_body(work, body_bytes);
    if world.settings.memory_limit.is_some() && body_bytes > MAX_SHORT_BODY {
        world.pending_changes.push(WorkChange::BodySent(work_id(work), body_bytes));
    }
    if let Some(target) = world.backend_servers.rows.get_mut(server) {
        target.record_send(now);
    }
    let version = world.serving.as_ref().map(|serving| serving.version()).unwrap_or_default();
    let left = leaving::record_send(world, now, key, server);
    let Some(target) = world.backend_servers.rows.get(server) else { return };
    let Some(row) = world.requests.get_mut(key) else { return };
    row.work = Some(work);
    row.sends += 1;
    row.first_event = None;
    row.last_event = now;
    row.stall_recheck_at = None;
    row.lifecycle.handle(&RequestEvent::Dispatched);
    let dispatch = Dispatch {
        work,
        address: target.listing.address,
        instance: target.listing.id.clone(),
        instance_hash: target.listing.instance_hash,
        deadline: row.deadline,
        account: row.account.clone(),
        urgency: engine.map(|_| row.urgency().get()),
        helpers: plan.helpers.clone(),
    };
    let placed_decision = placed_decision(now, row, target, &plan.choice, left, version);
    effects.push(Effect::LogDecision(Box::new(placed_decision)));
    world.counters.sends += 1;
    effects.push(Effect::Send { caller: row.caller, dispatch: Box::new(dispatch) });
    prompt_parts::record_send(world, now, key, effects);
    let mut works = Vec::new();
    for (server, demand) in &plan.helper_work {
        let owner = WorkOwner::Own(key);
        works.extend(start_work(world, now, owner, *server, *demand, expected_first_event_ms));
    }
    if let Some(row) = world.requests.get_mut(key) {
        row.helper_work.extend(works);
    }
}

fn placed_decision(
    now: Timestamp,
    row: &Request,
    target: &BackendServer,
    choice: &Choice,
    left_data_centre: Option<LeaveReason>,
    version: ServingVersion,
) -> Decision {
    Decision::Placed {
        id: row.id.clone(),
        route: row.route.clone(),
        backend_server: target.listing.id.clone(),
        send: row.sends,
        prompt_tokens: row.prompt_tokens,
        remaining: row.deadline.since(now),
        is_late: now.since(row.arrived) + choice.first_event() > row.latency_goal,
        expected_first_event_ms: choice.expected_first_event_ms,
        open_work: target.work.len(),
        slowdown: target.slowdown(now),
        left_data_centre,
        candidates: choice.candidates,
        version,
    }
}

/// Adds work at a backend server and queues a notification to the peers; `None` when the table of
/// work is full or the backend server is unknown.
pub fn start_work(
    world: &mut World,
    now: Timestamp,
    owner: WorkOwner,
    backend_server: BackendServerKey,
    demand: WorkDemand,
    expected_first_event_ms: f64,
) -> Option<WorkKey> {
    let phase = Phase::Prefill;
    let work = Work {
        owner,
        backend_server,
        demand,
        body_bytes: 0,
        phase,
        dispatched: now,
        confirmed: now,
        expected_first_event_ms,
    };
    let key = world.add_work(work)?;
    let instance_hash = world.backend_servers.rows.get(backend_server)?.listing.instance_hash;
    let report = WorkReport { id: work_id(key), instance_hash, demand, phase, age_ms: 0 };
    world.pending_changes.push(WorkChange::Started(report));
    Some(key)
}
