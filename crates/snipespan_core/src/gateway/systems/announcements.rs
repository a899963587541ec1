//! Applies what backend servers announce in their answers, which holds whatever their listings say.
//!
//! Load pattern: a backend server leaves while the store is down or its listing is old. It serves
//! for some seconds more, and each request that is placed there after that fails.

use crate::gateway::effect::Effect;
use crate::gateway::event::Announcement;
use crate::gateway::event::Event;
use crate::gateway::systems::attempts;
use crate::gateway::systems::membership;
use crate::gateway::tables::backend_servers::Announced;
use crate::gateway::tables::work::Phase;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;

/// Applies announcements. Work that was sent runs on; work that was not sent is withdrawn.
pub fn run(world: &mut World, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        if let Event::BackendServerAnnounced { instance_hash, announcement } = event {
            apply_announcement(world, *instance_hash, *announcement, effects);
        }
    }
}

fn apply_announcement(
    world: &mut World,
    instance_hash: u64,
    announcement: Announcement,
    effects: &mut Vec<Effect>,
) {
    let known = world.backend_servers.announced(instance_hash);
    if !announcement.is_leaving || known.is_leaving {
        return;
    }
    let key = world.backend_servers.set_announced(instance_hash, Announced { is_leaving: true });
    if let Some(key) = key {
        membership::log_standing(world, key, "announced in an answer", effects);
        withdraw_unsent(world, key, effects);
    }
}

/// Withdraws the attempts at a backend server that are not sent yet. The control state does not
/// know which these are, but those with a first event were sent.
fn withdraw_unsent(world: &World, key: BackendServerKey, effects: &mut Vec<Effect>) {
    let Some(row) = world.backend_servers.rows.get(key) else { return };
    let works = row
        .work
        .iter()
        .filter(|work| world.work.get(**work).is_some_and(|work| work.phase == Phase::Prefill));
    for work in works {
        let request = attempts::request_of(world, *work);
        let Some(row) = request.and_then(|request| world.requests.get(request)) else { continue };
        // A helper or a reservation of the request is no attempt.
        if row.work == Some(*work) {
            effects.push(Effect::DropUnsentAttempt { caller: row.caller });
        }
    }
}
