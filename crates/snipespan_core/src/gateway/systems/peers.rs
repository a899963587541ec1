//! The shared view of open work, from what the other gateways report; `notifications.rs` sends what
//! this one has.
//!
//! Each change goes to all peers at once, and a full snapshot follows at intervals, which makes up
//! for a lost datagram, a restart or a partition. Each gateway keeps the state of its own work and
//! sends it again, so a restarted peer needs no stored copy (after a paper on reconstituting call
//! state).

use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::event::Event;
use crate::gateway::message::PeerMessage;
use crate::gateway::message::PeerUpdate;
use crate::gateway::message::WorkChange;
use crate::gateway::message::WorkReport;
use crate::gateway::serving::ServingVersion;
use crate::gateway::systems::feeds;
use crate::gateway::tables::peers::Peer;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::Work;
use crate::gateway::tables::work::WorkId;
use crate::gateway::tables::work::WorkOwner;
use crate::gateway::world::World;
use crate::keys::PeerKey;
use crate::keys::WorkKey;
use crate::time::Timestamp;

/// Interval of the checks for silent peers and unconfirmed work; a small part of the limits on
/// both.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a report after which work of a peer counts as ended; if it were open, two full
/// snapshots would have been lost.
const WORK_CONFIRM_TIMEOUT: Duration = Duration::from_millis(2200);

/// Applies messages of peers, and expires peers and work that are no longer reported.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        match event {
            Event::PeersRead(addresses) => {
                world.gateway_view.has_list = true;
                apply_peer_list(world, addresses);
            }
            Event::SeedsNamed(addresses) => apply_peer_list(world, addresses),
            Event::PeerMessageReceived { from, message } => {
                apply_message(world, now, *from, message, effects)
            }
            _ => {}
        }
    }
    if now >= world.peers_sweep_due.max(world.caught_up_at()) {
        world.peers_sweep_due = now.after(SWEEP_INTERVAL);
        expire_peers(world, now, effects);
        expire_unconfirmed_work(world, now);
    }
}

fn apply_peer_list(world: &mut World, addresses: &[SocketAddr]) {
    for (_, peer) in world.peers.iter_mut() {
        peer.is_listed = addresses.contains(&peer.address);
    }
    for address in addresses {
        match find_peer(world, *address) {
            Some(_) => {}
            None => {
                // While the table is full, a new peer is skipped; this gateway then does not count
                // its work, like that of a client that sends to backend servers directly.
                if insert_peer(world, *address, true).is_some() {
                    world.new_peers.push(*address);
                }
            }
        }
    }
}

fn find_peer(world: &World, address: SocketAddr) -> Option<PeerKey> {
    world.peers.iter().find(|(_, peer)| peer.address == address).map(|(key, _)| key)
}

fn insert_peer(world: &mut World, address: SocketAddr, is_listed: bool) -> Option<PeerKey> {
    let peer = Peer {
        address,
        node: None,
        data_centre: None,
        rank: u64::MAX,
        incarnation: 0,
        sequence: 0,
        last_message: None,
        version: ServingVersion::default(),
        feed: None,
        is_listed,
    };
    world.peers.insert(peer).ok()
}

fn apply_message(
    world: &mut World,
    now: Timestamp,
    from: SocketAddr,
    message: &PeerMessage,
    effects: &mut Vec<Effect>,
) {
    if message.node == world.settings.node {
        return;
    }
    let Some(key) = find_peer(world, from).or_else(|| insert_peer(world, from, false)) else {
        return;
    };
    let is_catching_up = now < world.caught_up_at();
    let Some(peer) = world.peers.get_mut(key) else { return };
    let is_older = message.incarnation < peer.incarnation
        || (message.incarnation == peer.incarnation && message.sequence <= peer.sequence);
    if is_older {
        return;
    }
    let is_silent = !peer.is_alive(now) && !is_catching_up;
    let is_new = peer.last_message.is_none() || is_silent || message.incarnation > peer.incarnation;
    if peer.node.as_ref() != Some(&message.node) {
        peer.node = Some(message.node.clone());
        peer.rank = feeds::rank_of(&message.node);
    }
    peer.incarnation = message.incarnation;
    peer.sequence = message.sequence;
    peer.version = message.serving_version();
    peer.feed = message.feed.map(|report| (report, now));
    peer.last_message = Some(now);
    if is_new {
        remove_peer_work(world, now, key);
        world.new_peers.push(from);
        log_peer_change(world, key, true, 0, effects);
    }
    match &message.update {
        PeerUpdate::Changes(changes) => {
            changes.iter().for_each(|change| apply_change(world, now, key, change));
        }
        PeerUpdate::Snapshot(reports) => apply_snapshot(world, now, key, reports),
        // Applied by the systems that keep the backend servers, suspected parts, evacuations and
        // limits.
        PeerUpdate::Listings(_)
        | PeerUpdate::PromptParts(_)
        | PeerUpdate::Evacuations(_)
        | PeerUpdate::Limits(_) => {}
        PeerUpdate::Leaving => {
            let work = remove_peer_work(world, now, key);
            log_peer_change(world, key, false, work, effects);
            if let Some(peer) = world.peers.get_mut(key) {
                peer.last_message = None;
                peer.feed = None;
            }
        }
    }
}

fn log_peer_change(
    world: &World,
    key: PeerKey,
    is_alive: bool,
    work: usize,
    effects: &mut Vec<Effect>,
) {
    let Some(peer) = world.peers.get(key) else { return };
    let peer = peer.node.clone().unwrap_or_default();
    effects.push(Effect::LogDecision(Box::new(Decision::PeerChanged { peer, is_alive, work })));
}

fn apply_change(world: &mut World, now: Timestamp, peer: PeerKey, change: &WorkChange) {
    match change {
        WorkChange::Started(report) => apply_report(world, now, peer, report),
        WorkChange::DecodeStarted(id) => {
            if let Some(key) = world.peer_work.get(&(peer, *id)).copied() {
                world.start_decode(key, now);
            }
        }
        WorkChange::Ended(id) => {
            if let Some(key) = world.peer_work.get(&(peer, *id)).copied() {
                world.remove_work(key, now);
            }
        }
        WorkChange::BodySent(id, bytes) => {
            if let Some(key) = world.peer_work.get(&(peer, *id)).copied() {
                world.set_body(key, *bytes);
            }
        }
    }
}

fn add_reported_work(world: &mut World, now: Timestamp, peer: PeerKey, report: &WorkReport) {
    if let Some(key) = world.peer_work.get(&(peer, report.id)).copied() {
        if let Some(work) = world.work.get_mut(key) {
            work.confirmed = now;
        }
        return;
    }
    // Work at a backend server that is not listed here yet is reported again with the next
    // snapshot.
    let Some(backend_server) = world.backend_servers.find_by_instance_hash(report.instance_hash)
    else {
        return;
    };
    let age = Duration::from_millis(u64::from(report.age_ms));
    let work = Work {
        owner: WorkOwner::Peer(peer, report.id),
        backend_server,
        demand: report.demand,
        body_bytes: 0,
        phase: report.phase,
        // `now` less the age, at least zero.
        dispatched: Timestamp::ZERO.after(now.since(Timestamp::ZERO.after(age))),
        confirmed: now,
        expected_first_event_ms: 0.0,
    };
    if let Some(key) = world.add_work(work) {
        world.peer_work.insert((peer, report.id), key);
    }
}

/// Brings the known work of a peer in line with its full snapshot.
fn apply_snapshot(world: &mut World, now: Timestamp, peer: PeerKey, reports: &[WorkReport]) {
    let known: Vec<_> = work_of_peer(world, peer);
    for (id, key) in known {
        if !reports.iter().any(|report| report.id == id) {
            world.remove_work(key, now);
        }
    }
    for report in reports {
        apply_report(world, now, peer, report);
    }
}

fn apply_report(world: &mut World, now: Timestamp, peer: PeerKey, report: &WorkReport) {
    add_reported_work(world, now, peer, report);
    if report.phase == Phase::Decode {
        apply_change(world, now, peer, &WorkChange::DecodeStarted(report.id));
    }
}

/// Removes work that its gateway no longer reports: the message of its end was lost.
fn expire_unconfirmed_work(world: &mut World, now: Timestamp) {
    let is_expired = |work: &Work| now.since(work.confirmed) >= WORK_CONFIRM_TIMEOUT;
    let of_peers = world.peer_work.values().copied();
    let expired: Vec<_> =
        of_peers.filter(|key| world.work.get(*key).is_none_or(is_expired)).collect();
    for key in expired {
        world.remove_work(key, now);
    }
}

fn work_of_peer(world: &World, peer: PeerKey) -> Vec<(WorkId, WorkKey)> {
    let all = world.peer_work.range((peer, WorkId(0))..=(peer, WorkId(u64::MAX)));
    all.map(|((_, id), key)| (*id, *key)).collect()
}

fn remove_peer_work(world: &mut World, now: Timestamp, peer: PeerKey) -> usize {
    let works = work_of_peer(world, peer);
    for (_, key) in &works {
        world.remove_work(*key, now);
    }
    works.len()
}

fn expire_peers(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) {
    let known = world.peers.iter().filter(|(_, peer)| peer.last_message.is_some());
    let silent = known.filter(|(_, peer)| !peer.is_alive(now));
    let silent: Vec<_> = silent.map(|(key, _)| key).collect();
    for key in silent {
        let work = remove_peer_work(world, now, key);
        log_peer_change(world, key, false, work, effects);
        let Some(peer) = world.peers.get_mut(key) else { continue };
        peer.last_message = None;
        peer.feed = None;
        if !peer.is_listed {
            world.peers.remove(key);
        }
    }
}
