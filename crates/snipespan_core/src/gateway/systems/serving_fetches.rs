//! Fetches serving configurations from peers that have a newer one.
//!
//! Load pattern: hundreds of gateways that learn at the same moment of a configuration of a megabyte,
//! over links that also carry their clients' answers. Each gateway has one fetch in progress at most,
//! from a peer drawn among those that have the newest version, so that the load spreads as more of
//! them have it. A gateway whose fetches do not succeed in time reads the store itself.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use crate::gateway::effect::Effect;
use crate::gateway::effect::FeedMode;
use crate::gateway::event::Event;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::serving::ServingVersion;
use crate::gateway::tables::peers::Peer;
use crate::gateway::world::World;
use crate::time::Timestamp;

/// Time that the store's feed has to deliver a newer configuration to a gateway that calls it, before
/// a peer is asked.
const FEED_TIME: Duration = Duration::from_millis(300);

/// Time for each gateway over which the first fetches of a new version are spread at random.
const SPREAD_PER_GATEWAY: Duration = Duration::from_millis(1);

/// Minimum pause after a fetch; later versions of a series are fetched together.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Maximum pause after a fetch; shorter ones are followed by as long a pause, so that fetches take
/// half of a link at most.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// First pause after a fetch that failed; doubles with each further failure in a row. Each pause is
/// random between half of it and all of it.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Maximum pause after a fetch that failed.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1600);

/// Time after which a fetch without a result counts as failed; more than connecting, the head and
/// the body of an answer may take.
const MAX_FETCH_TIME: Duration = Duration::from_secs(15);

/// Time that a gateway without the newest configuration relies on its peers for it. A read of the
/// store that follows ends within the two seconds in which a change must be in force.
const RELAY_TIME: Duration = Duration::from_millis(700);

/// Begins a fetch if one is due; returns when the next one may begin.
pub fn run(
    world: &mut World,
    now: Timestamp,
    events: &[Event],
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    for event in events {
        match event {
            Event::ServingFetchFailed { from } => record_failure(world, now, *from),
            Event::ServingReceived { is_from_store: false, .. } => record_answer(world, now),
            _ => {}
        }
    }
    let current = world.serving.as_ref().map(ServingConfiguration::version).unwrap_or_default();
    let Some(newest) = newest_version(world, now).filter(|newest| *newest > current) else {
        world.serving_fetch.newer_since = None;
        return None;
    };
    if world.serving_fetch.newer_since.is_none() {
        world.serving_fetch.newer_since = Some(now);
        let first = now.after(first_delay(world, now));
        world.serving_fetch.not_before = world.serving_fetch.not_before.max(first);
    }
    let fetch = &mut world.serving_fetch;
    if let Some((_, began)) = fetch.in_progress {
        let lost_at = began.after(MAX_FETCH_TIME);
        if now < lost_at {
            return Some(lost_at);
        }
        fetch.in_progress = None;
    }
    if now < fetch.not_before {
        return Some(fetch.not_before);
    }
    let from = choose_peer(world, now, newest)?;
    world.serving_fetch.in_progress = Some((from, now));
    effects.push(Effect::FetchServing { from, version: newest });
    Some(now.after(MAX_FETCH_TIME))
}

/// Records that a configuration came into force, from the store or from a peer.
pub fn record_change(world: &mut World) {
    world.serving_fetch.newer_since = None;
    world.serving_fetch.failures = 0;
}

/// Returns until when this gateway relies on its peers for a configuration that some of them have;
/// `None` if it has the newest.
pub fn relayed_until(world: &World) -> Option<Timestamp> {
    world.serving_fetch.newer_since.map(|since| since.after(RELAY_TIME))
}

fn record_failure(world: &mut World, now: Timestamp, from: SocketAddr) {
    let fetch = &mut world.serving_fetch;
    if fetch.in_progress.is_none_or(|(peer, _)| peer != from) {
        return;
    }
    fetch.in_progress = None;
    let doubled = FIRST_RETRY_PAUSE.saturating_mul(1 << fetch.failures.min(8));
    fetch.failures += 1;
    let pause = doubled.min(MAX_RETRY_PAUSE).mul_f64(world.rng.random_range(0.5..1.0));
    fetch.not_before = now.after(pause);
}

fn record_answer(world: &mut World, now: Timestamp) {
    let fetch = &mut world.serving_fetch;
    if let Some((_, began)) = fetch.in_progress.take() {
        fetch.not_before = now.after(now.since(began).clamp(MIN_PAUSE, MAX_PAUSE));
    }
}

/// Returns the time from the first sight of a newer version to the first fetch.
fn first_delay(world: &mut World, now: Timestamp) -> Duration {
    let is_relayed = world.listings.plan.operator == FeedMode::Relayed;
    if world.store.is_reachable && !is_relayed {
        return FEED_TIME;
    }
    // One of them has the newer version.
    let others =
        world.peers.iter().filter(|(_, peer)| peer.is_alive(now)).count().saturating_sub(1);
    let spread = SPREAD_PER_GATEWAY.saturating_mul(u32::try_from(others).unwrap_or(u32::MAX));
    spread.mul_f64(world.rng.random_range(0.0..1.0))
}

fn newest_version(world: &World, now: Timestamp) -> Option<ServingVersion> {
    let alive = world.peers.iter().filter(|(_, peer)| peer.is_alive(now));
    alive.map(|(_, peer)| peer.version).max()
}

/// Draws a peer that has the newest version: one of this gateway's data centre if there is any and no
/// fetch has failed.
fn choose_peer(world: &mut World, now: Timestamp, newest: ServingVersion) -> Option<SocketAddr> {
    let own = world.data_centres.find(&world.settings.data_centre);
    let has_newest = |peer: &Peer| peer.is_alive(now) && peer.version == newest;
    let holders = || world.peers.iter().filter(|(_, peer)| has_newest(peer));
    let is_near = |peer: &Peer| own.is_some() && peer.data_centre == own;
    let near = holders().filter(|(_, peer)| is_near(peer));
    let near: Vec<_> = near.map(|(_, peer)| peer.address).collect();
    let candidates = match near.is_empty() || world.serving_fetch.failures > 0 {
        true => holders().map(|(_, peer)| peer.address).collect(),
        false => near,
    };
    if candidates.is_empty() {
        return None;
    }
    Some(candidates[world.rng.random_range(0..candidates.len())])
}
