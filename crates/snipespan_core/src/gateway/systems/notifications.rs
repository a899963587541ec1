//! Notifies the other gateways of this one's work, at once of each change and of all at intervals,
//! and of the changes of the listings if it follows the store's feeds for them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::effect::Effect;
use crate::gateway::message::Hop;
use crate::gateway::message::MessageRoute;
use crate::gateway::message::PeerMessage;
use crate::gateway::message::PeerUpdate;
use crate::gateway::message::WorkChange;
use crate::gateway::message::WorkReport;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::systems::evacuations;
use crate::gateway::systems::feeds;
use crate::gateway::systems::named_limits;
use crate::gateway::systems::part_reports;
use crate::gateway::systems::relays;
use crate::gateway::tables::memory_budget::MAX_SHORT_BODY;
use crate::gateway::tables::work::Work;
use crate::gateway::tables::work::WorkOwner;
use crate::gateway::world::World;
use crate::gateway::world::work_id;
use crate::keys::WorkKey;
use crate::lifecycle::process::State;
use crate::time::Timestamp;

/// Interval between full snapshots; a third of the time after which a silent peer counts as lost.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of pieces of work in one datagram, which keeps it below 1,400 bytes, so that no
/// link fragments it.
const WORK_PER_MESSAGE: usize = 18;

/// Maximum number of changed listings in one datagram, which keeps it below 1,400 bytes.
const LISTINGS_PER_MESSAGE: usize = 9;

/// Maximum number of limits of backend servers in one datagram, which keeps it below 1,400 bytes.
const LIMITS_PER_MESSAGE: usize = 50;

/// Notifies the peers of changes; returns when the next message is due without one.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Timestamp {
    let mut changes = std::mem::take(&mut world.pending_changes);
    if matches!(world.process.state(), State::Stopped {}) {
        send_update(world, now, PeerUpdate::Leaving, effects);
        return now.after(SNAPSHOT_INTERVAL);
    }
    // Before all else, as a message may make its receiver fetch a configuration and send requests.
    if let Some(set) = evacuations::take_report(world, now) {
        send_update(world, now, PeerUpdate::Evacuations(set), effects);
    }
    for update in std::mem::take(&mut world.listings.unrelayed) {
        // A peer that misses changes calls the feed itself once a report names them.
        if update.changes.len() <= LISTINGS_PER_MESSAGE {
            send_update(world, now, PeerUpdate::Listings(update), effects);
        }
    }
    for reports in part_reports::take_unreported(world, now) {
        send_update(world, now, PeerUpdate::PromptParts(reports), effects);
    }
    let with_snapshot = now >= world.snapshot_due;
    for reports in named_limits::take_reports(world, now, with_snapshot).chunks(LIMITS_PER_MESSAGE)
    {
        send_update(world, now, PeerUpdate::Limits(reports.to_vec()), effects);
    }
    let new_peers = std::mem::take(&mut world.new_peers);
    if !new_peers.is_empty() {
        if let Some(set) = evacuations::known_set(world) {
            send_to(world, now, new_peers.clone(), PeerUpdate::Evacuations(set), effects);
        }
        send_blocked_parts_to(world, now, &new_peers, effects);
    }
    let is_report_due = feeds::take_report_due(world, now);
    if now >= world.snapshot_due {
        world.snapshot_due = now.after(SNAPSHOT_INTERVAL);
        let changed = part_reports::changed_reports(world, now);
        if !changed.is_empty() {
            send_update(world, now, PeerUpdate::PromptParts(changed), effects);
        }
        let own_work_reports = own_work_reports(world, now);
        if own_work_reports.len() <= WORK_PER_MESSAGE {
            send_update(world, now, PeerUpdate::Snapshot(own_work_reports), effects);
            for bodies in own_long_bodies(world).chunks(WORK_PER_MESSAGE) {
                send_update(world, now, PeerUpdate::Changes(bodies.to_vec()), effects);
            }
            return next_due(world, now);
        }
        // A longer snapshot is sent as changes; ended work, which it no longer names, expires at
        // the peers.
        changes.extend(own_work_reports.into_iter().map(WorkChange::Started));
        changes.extend(own_long_bodies(world));
    } else if !new_peers.is_empty() {
        send_snapshot_to(world, now, new_peers, effects);
    }
    if changes.is_empty() && is_report_due {
        send_update(world, now, PeerUpdate::Changes(Vec::new()), effects);
    }
    while !changes.is_empty() {
        let rest = changes.split_off(changes.len().min(WORK_PER_MESSAGE));
        send_update(world, now, PeerUpdate::Changes(changes), effects);
        changes = rest;
    }
    next_due(world, now)
}

/// Returns when a message is due without a change.
fn next_due(world: &World, now: Timestamp) -> Timestamp {
    let due = world.snapshot_due.or_sooner(feeds::next_report(world));
    let due = due.or_sooner(evacuations::next_report(world, now));
    due.or_sooner(named_limits::next_report(world)).or_sooner(part_reports::next_report(world))
}

/// Sends the blocked parts of prompts to gateways that were just found.
fn send_blocked_parts_to(
    world: &mut World,
    now: Timestamp,
    new_peers: &[SocketAddr],
    effects: &mut Vec<Effect>,
) {
    for reports in part_reports::blocked_reports(world, now) {
        send_to(world, now, new_peers.to_vec(), PeerUpdate::PromptParts(reports), effects);
    }
}

/// Sends a snapshot to gateways that were just found; the others have the changes.
fn send_snapshot_to(
    world: &mut World,
    now: Timestamp,
    new_peers: Vec<SocketAddr>,
    effects: &mut Vec<Effect>,
) {
    let reports = own_work_reports(world, now);
    if reports.len() <= WORK_PER_MESSAGE {
        send_to(world, now, new_peers.clone(), PeerUpdate::Snapshot(reports), effects);
    } else {
        for part in reports.chunks(WORK_PER_MESSAGE) {
            let changes = part.iter().cloned().map(WorkChange::Started).collect();
            send_to(world, now, new_peers.clone(), PeerUpdate::Changes(changes), effects);
        }
    }
    for bodies in own_long_bodies(world).chunks(WORK_PER_MESSAGE) {
        send_to(world, now, new_peers.clone(), PeerUpdate::Changes(bodies.to_vec()), effects);
    }
}

fn send_update(world: &mut World, now: Timestamp, update: PeerUpdate, effects: &mut Vec<Effect>) {
    let (direct, to_relay) = relays::receivers(world);
    if to_relay.is_empty() {
        return send_to(world, now, direct, update, effects);
    }
    let message = next_message(world, now, update);
    let route = relays::direct_route(world);
    let relayed = route.clone().map(|route| MessageRoute { hop: Hop::ToRelay, ..route });
    for (to, route) in [(direct, route), (to_relay, relayed)] {
        if !to.is_empty() {
            effects.push(Effect::NotifyPeers { to, message: message.clone(), route });
        }
    }
}

fn send_to(
    world: &mut World,
    now: Timestamp,
    to: Vec<SocketAddr>,
    update: PeerUpdate,
    effects: &mut Vec<Effect>,
) {
    if to.is_empty() {
        return;
    }
    let message = next_message(world, now, update);
    effects.push(Effect::NotifyPeers { to, message, route: relays::direct_route(world) });
}

fn next_message(world: &mut World, now: Timestamp, update: PeerUpdate) -> Box<PeerMessage> {
    world.sequence += 1;
    Box::new(PeerMessage {
        node: world.settings.node.clone(),
        incarnation: world.incarnation,
        sequence: world.sequence,
        version: world.serving.as_ref().map(ServingConfiguration::version).unwrap_or_default().0,
        feed: feeds::own_report(world, now),
        update,
    })
}

fn own_work_reports(world: &World, now: Timestamp) -> Vec<WorkReport> {
    let own = world.work.iter().filter(|(_, work)| matches!(work.owner, WorkOwner::Own(_)));
    let report = |(key, work): (WorkKey, &Work)| {
        let row = world.backend_servers.rows.get(work.backend_server)?;
        let age_ms = now.since(work.dispatched).as_millis().min(u128::from(u32::MAX)) as u32;
        let id = work_id(key);
        let instance_hash = row.listing.instance_hash;
        Some(WorkReport { id, instance_hash, demand: work.demand, phase: work.phase, age_ms })
    };
    own.filter_map(report).collect()
}

/// Returns the long bodies of this gateway's work, whose bytes the reports of it do not state: few
/// bodies are long, and messages without them stay short.
fn own_long_bodies(world: &World) -> Vec<WorkChange> {
    if world.settings.memory_limit.is_none() {
        return Vec::new();
    }
    let own = world.work.iter().filter(|(_, work)| matches!(work.owner, WorkOwner::Own(_)));
    let long = own.filter(|(_, work)| work.body_bytes > MAX_SHORT_BODY);
    long.map(|(key, work)| WorkChange::BodySent(work_id(key), work.body_bytes)).collect()
}
