//! Applies what backend servers announce in their answers, which holds whatever their listings say.
//!
//! Load pattern: a backend server leaves while the store is down or its listing is old. It serves
//! for some seconds more, and each request that is placed there after that fails. Or it is so full
//! that it turns requests away; all gateways that send on keep it full, and all that return at the
//! same moment fill it again.

use std::time::Duration;

use rand::RngExt;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::event::Announcement;
use crate::gateway::event::Event;
use crate::gateway::systems::attempts;
use crate::gateway::systems::membership;
use crate::gateway::tables::backend_servers::Announced;
use crate::gateway::tables::work::Phase;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Share of the time for which a backend server wants no requests that is added to it at most, at
/// random, so that the gateways do not all return at the same moment.
const RETURN_SPREAD_SHARE: f64 = 0.25;

/// Maximum time that is added; a backend server that is free again is not left unused for longer.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Applies announcements; returns when a backend server next takes requests again. Work that was
/// sent runs on; work that was not sent is withdrawn.
pub fn run(
    world: &mut World,
    now: Timestamp,
    events: &[Event],
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    while let Some(key) = world.backend_servers.take_returned(now) {
        log_unwanted(world, key, None, effects);
    }
    for event in events {
        if let Event::BackendServerAnnounced { instance_hash, announcement } = event {
            apply_announcement(world, now, *instance_hash, *announcement, effects);
        }
    }
    world.backend_servers.next_return()
}

fn apply_announcement(
    world: &mut World,
    now: Timestamp,
    instance_hash: u64,
    announcement: Announcement,
    effects: &mut Vec<Effect>,
) {
    let known = world.backend_servers.announced(instance_hash);
    let period = announcement.unwanted_for.filter(|period| !period.is_zero());
    let until = period.map(|period| return_time(world, now, period)).unwrap_or_default();
    let cold_for = announcement.cold_for.filter(|cold_for| !cold_for.is_zero());
    let cold_until = cold_for.map(|cold_for| now.after(cold_for)).unwrap_or_default();
    let announced = Announced {
        is_leaving: known.is_leaving || announcement.is_leaving,
        // A later answer to an earlier request does not shorten the time.
        unwanted_until: known.unwanted_until.max(until),
        cold_until: known.cold_until.max(cold_until),
        ..known
    };
    if announced == known {
        return;
    }
    let Some(key) = world.backend_servers.set_announced(instance_hash, announced) else { return };
    let begins_leaving = announced.is_leaving && !known.is_leaving;
    let begins_unwanted = announced.unwanted_until > now && known.unwanted_until <= now;
    if begins_leaving {
        membership::log_standing(world, key, "announced in an answer", effects);
    }
    if begins_unwanted {
        log_unwanted(world, key, Some(announced.unwanted_until.since(now)), effects);
    }
    if begins_leaving || begins_unwanted {
        withdraw_unsent(world, key, effects);
    }
}

/// Returns when a backend server that wants no requests for `period` gets some again: not before
/// the end of the period.
fn return_time(world: &mut World, now: Timestamp, period: Duration) -> Timestamp {
    let max_spread_s = MAX_RETURN_SPREAD.as_secs_f64();
    let spread_s = (period.as_secs_f64() * RETURN_SPREAD_SHARE).min(max_spread_s);
    let spread = Duration::from_secs_f64(spread_s * world.rng.random_range(0.0..1.0));
    now.after(period.saturating_add(spread))
}

fn log_unwanted(
    world: &World,
    key: BackendServerKey,
    unwanted_for: Option<Duration>,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.backend_servers.rows.get(key) else { return };
    let (backend_server, service) = (row.listing.id.clone(), row.listing.service.clone());
    let decision = Decision::RequestsUnwanted { backend_server, service, unwanted_for };
    effects.push(Effect::LogDecision(Box::new(decision)));
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
