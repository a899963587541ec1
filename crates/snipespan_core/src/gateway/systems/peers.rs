//! The shared view of open work: gateways notify each other of dispatches and ends.
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
use crate::gateway::event::PeerMessage;
use crate::gateway::event::PeerUpdate;
use crate::gateway::event::WorkChange;
use crate::gateway::event::WorkReport;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::serving::ServingVersion;
use crate::gateway::systems::feeds;
use crate::gateway::tables::peers::Peer;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::Work;
use crate::gateway::tables::work::WorkId;
use crate::gateway::tables::work::WorkOwner;
use crate::gateway::world::World;
use crate::gateway::world::work_id;
use crate::keys::PeerKey;
use crate::keys::WorkKey;
use crate::lifecycle::process::State;
use crate::time::Timestamp;

/// Interval between full snapshots; a third of the time after which a silent peer counts as lost.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval of the checks for silent peers and unconfirmed work; a small part of the limits on
/// both.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a report after which work of a peer counts as ended; if it were open, two full
/// snapshots would have been lost.
const WORK_CONFIRM_TIMEOUT: Duration = Duration::from_millis(2200);

/// Time that the store's own feed has to deliver a newer configuration before a peer is asked for
/// it, and the interval between such requests.
const SERVING_FETCH_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of pieces of work in one datagram, which keeps it below 1,400 bytes, so that no
/// link fragments it.
const WORK_PER_MESSAGE: usize = 18;

/// Maximum number of changed listings in one datagram, which keeps it below 1,400 bytes.
const LISTINGS_PER_MESSAGE: usize = 9;

/// Applies messages of peers, and expires peers and work that are no longer reported.
pub fn receive(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        match event {
            Event::PeersRead(addresses) => apply_peer_list(world, addresses),
            Event::PeerMessageReceived { from, message } => {
                apply_message(world, now, *from, message, effects)
            }
            _ => {}
        }
    }
    if now >= world.peers_sweep_due {
        world.peers_sweep_due = now.after(SWEEP_INTERVAL);
        expire_peers(world, now, effects);
        expire_unconfirmed_work(world, now);
    }
    fetch_newer_serving(world, now, effects);
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
                let _ = insert_peer(world, *address, true);
                world.new_peers.push(*address);
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
    let Some(peer) = world.peers.get_mut(key) else { return };
    let is_older = message.incarnation < peer.incarnation
        || (message.incarnation == peer.incarnation && message.sequence <= peer.sequence);
    if is_older {
        return;
    }
    let is_new = !peer.is_alive(now) || message.incarnation > peer.incarnation;
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
        // Applied by the system that keeps the backend servers.
        PeerUpdate::Listings(_) => {}
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

/// Fetches the serving configuration from a peer that has a newer one than the store has delivered.
fn fetch_newer_serving(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) {
    let current = world.serving.as_ref().map(ServingConfiguration::version).unwrap_or_default();
    let alive = world.peers.iter().filter(|(_, peer)| peer.is_alive(now));
    let newest = alive.map(|(_, peer)| (peer.version, peer.address)).max_by_key(|peer| peer.0);
    let Some((version, from)) = newest.filter(|(version, _)| *version > current) else { return };
    match world.last_serving_fetch {
        Some(last_fetch) if now.since(last_fetch) < SERVING_FETCH_INTERVAL => return,
        // While the store answers, the first sight of a newer version only starts the wait for the
        // feed.
        None if world.store.is_reachable => {
            world.last_serving_fetch = Some(now);
            return;
        }
        _ => {}
    }
    world.last_serving_fetch = Some(now);
    effects.push(Effect::FetchServing { from, version });
}

/// Notifies the peers of changes; returns when the next message is due without one.
pub fn notify(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Timestamp {
    let mut changes = std::mem::take(&mut world.pending_changes);
    if matches!(world.process.state(), State::Stopped {}) {
        send_update(world, now, PeerUpdate::Leaving, effects);
        return now.after(SNAPSHOT_INTERVAL);
    }
    for update in std::mem::take(&mut world.listings.unrelayed) {
        // A peer that misses changes calls the feed itself once a report names them.
        if update.changes.len() <= LISTINGS_PER_MESSAGE {
            send_update(world, now, PeerUpdate::Listings(update), effects);
        }
    }
    let new_peers = std::mem::take(&mut world.new_peers);
    let is_report_due = feeds::take_report_due(world, now);
    if now >= world.snapshot_due {
        world.snapshot_due = now.after(SNAPSHOT_INTERVAL);
        let own_work_reports = own_work_reports(world, now);
        if own_work_reports.len() <= WORK_PER_MESSAGE {
            send_update(world, now, PeerUpdate::Snapshot(own_work_reports), effects);
            return world.snapshot_due.or_sooner(feeds::next_report(world));
        }
        // A longer snapshot is sent as changes; ended work, which it no longer names, expires at
        // the peers.
        changes.extend(own_work_reports.into_iter().map(WorkChange::Started));
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
    world.snapshot_due.or_sooner(feeds::next_report(world))
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
        send_to(world, now, new_peers, PeerUpdate::Snapshot(reports), effects);
        return;
    }
    for part in reports.chunks(WORK_PER_MESSAGE) {
        let changes = part.iter().cloned().map(WorkChange::Started).collect();
        send_to(world, now, new_peers.clone(), PeerUpdate::Changes(changes), effects);
    }
}

fn send_update(world: &mut World, now: Timestamp, update: PeerUpdate, effects: &mut Vec<Effect>) {
    let to = world.peers.iter().map(|(_, peer)| peer.address).collect();
    send_to(world, now, to, update, effects);
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
    world.sequence += 1;
    let message = PeerMessage {
        node: world.settings.node.clone(),
        incarnation: world.incarnation,
        sequence: world.sequence,
        version: world.serving.as_ref().map(ServingConfiguration::version).unwrap_or_default().0,
        feed: feeds::own_report(world, now),
        update,
    };
    effects.push(Effect::NotifyPeers { to, message: Box::new(message) });
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
