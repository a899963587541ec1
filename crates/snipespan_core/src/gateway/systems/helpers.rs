//! Splits the prefill of a long prompt over several engines, for prompts that one engine has the
//! memory for.
//!
//! The parts are prefilled at the same time, so the first token comes sooner; the helpers keep
//! nothing of the prompt, and no memory is reserved.

use crate::gateway::effect::Helper;
use crate::gateway::systems::prediction;
use crate::gateway::systems::routing;
use crate::gateway::systems::routing::Choice;
use crate::gateway::systems::sending::SendPlan;
use crate::gateway::systems::splitting;
use crate::gateway::systems::splitting::KvPlacement;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::work::WorkDemand;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Prefill time in ms below which prompts are not split; an engine iteration takes about 50 ms.
const MIN_SPLIT_PREFILL_MS: f64 = 200.0;

/// Plans to send a request to several engines; `None` unless that loses less than `single`.
pub fn plan_helpers(
    world: &World,
    now: Timestamp,
    request: &Request,
    single: Option<Choice>,
) -> Option<SendPlan> {
    let engine = routing::engine_of(world, request)?;
    let demand = prediction::demand_of(Some(engine), request);
    if demand.prefill_ms < MIN_SPLIT_PREFILL_MS {
        return None;
    }
    let split =
        splitting::best_split(world, now, request, engine, KvPlacement::SingleEngine, None)?;
    if single.is_some_and(|single| single.loss <= split.loss) {
        return None;
    }
    let first_demand = WorkDemand { prefill_ms: split.part_prefill_ms, ..demand };
    // The part that a helper prefills takes no memory at the helper.
    let helper_demand =
        WorkDemand { prompt_tokens: 0, output_tokens: 0, gap_goal_ms: 0.0, ..first_demand };
    let helper = |server: &BackendServerKey| {
        let row = world.backend_servers.rows.get(*server)?;
        Some(Helper { address: row.listing.address, ticket: None })
    };
    let (first, helpers) = split.servers.split_first()?;
    Some(SendPlan {
        choice: Choice {
            loss: split.loss,
            backend_server: *first,
            expected_first_event_ms: split.expected_first_event_ms,
            candidates: split.servers.len(),
        },
        demand: Some(first_demand),
        helpers: helpers.iter().filter_map(helper).collect(),
        is_counted: false,
        helper_work: helpers.iter().map(|server| (*server, helper_demand)).collect(),
    })
}
