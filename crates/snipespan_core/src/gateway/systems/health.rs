//! Records what traffic shows of backend servers, and logs when one is suspended or usable again.

use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Records a failure of a backend server; `is_certain` is whether it could not have served any
/// request.
pub fn record_failure(
    world: &mut World,
    now: Timestamp,
    key: BackendServerKey,
    is_certain: bool,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
    let before = row.suspended_until;
    row.record_failure(now, is_certain);
    let until = row.suspended_until;
    if until > before.max(now) {
        log_suspension(world, key, Some(until.since(now)), effects);
    }
}

/// Records that a backend server served a request.
pub fn record_success(world: &mut World, key: BackendServerKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.backend_servers.rows.get_mut(key) else { return };
    let was_suspended = row.suspended_until > Timestamp::ZERO;
    row.record_success();
    if was_suspended {
        log_suspension(world, key, None, effects);
    }
}

fn log_suspension(
    world: &World,
    key: BackendServerKey,
    suspended_for: Option<Duration>,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.backend_servers.rows.get(key) else { return };
    let (backend_server, failures) = (row.listing.id.clone(), row.failures);
    let decision = Decision::SuspensionChanged { backend_server, suspended_for, failures };
    effects.push(Effect::LogDecision(Box::new(decision)));
}
