//! Decides how messages reach the gateways of other data centres, and relays those of others.
//!
//! Where traffic between data centres has a cost, a message to another data centre goes to two
//! gateways there. They pass it on, unchanged, to the others of their data centre; each gateway drops
//! what it already has. Two relays make up for one that dies, freezes or loses a datagram, and the
//! snapshot each second for the rest.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::event::Event;
use crate::gateway::message::Hop;
use crate::gateway::message::MessageRoute;
use crate::gateway::message::PeerMessage;
use crate::gateway::tables::peers::Peer;
use crate::gateway::tables::relays::RelayChoice;
use crate::gateway::world::World;
use crate::keys::DataCentreKey;
use crate::keys::PeerKey;
use crate::time::Timestamp;

/// Minimum number of gateways of a data centre for relaying; with two, both would be relays.
const MIN_GATEWAYS: usize = 3;

/// Silence after which a gateway is no relay; gateways send a snapshot each second at least.
const RELAY_SILENCE: Duration = Duration::from_secs(1);

/// Time for which messages go directly after both relays fell silent; a snapshot is among them,
/// which makes up for what was lost.
const DIRECT_TIME: Duration = Duration::from_secs(1);

/// Records the data centres that peers state, passes on what this gateway is asked to relay, and
/// chooses the relays of the other data centres.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        if let Event::PeerRouteReceived { from, route, to_relay } = event {
            record_data_centre(world, *from, route);
            if let Some(message) = to_relay {
                pass_on(world, *from, route, message, effects);
            }
        }
    }
    if world.settings.remote_mb_cost.is_none() {
        world.relays.clear();
        return;
    }
    let others = other_data_centres(world);
    for data_centre in others {
        update_choice(world, now, data_centre, effects);
    }
}

fn record_data_centre(world: &mut World, from: SocketAddr, route: &MessageRoute) {
    // While the table of data centres is full, a peer in a new one gets messages directly.
    let Ok(data_centre) = world.data_centres.find_or_insert(&route.data_centre) else { return };
    let found = world.peers.iter_mut().find(|(_, peer)| peer.address == from);
    if let Some((_, peer)) = found {
        peer.data_centre = Some(data_centre);
    }
}

/// Passes a message of another data centre on to the gateways of this one.
fn pass_on(
    world: &World,
    from: SocketAddr,
    route: &MessageRoute,
    message: &PeerMessage,
    effects: &mut Vec<Effect>,
) {
    if route.data_centre == world.settings.data_centre {
        return;
    }
    let own = world.data_centres.find(&world.settings.data_centre);
    let here = world.peers.iter().filter(|(_, peer)| own.is_some() && peer.data_centre == own);
    let to: Vec<_> = here.map(|(_, peer)| peer.address).collect();
    if to.is_empty() {
        return;
    }
    let route = Some(MessageRoute { hop: Hop::Relayed { from }, ..route.clone() });
    effects.push(Effect::NotifyPeers { to, message: Box::new(message.clone()), route });
}

/// Returns the data centres of the peers, without that of this gateway.
fn other_data_centres(world: &World) -> Vec<DataCentreKey> {
    let own = world.data_centres.find(&world.settings.data_centre);
    let stated = world.peers.iter().filter_map(|(_, peer)| peer.data_centre);
    let mut others: Vec<_> = stated.filter(|data_centre| Some(*data_centre) != own).collect();
    others.sort_unstable();
    others.dedup();
    others
}

fn update_choice(
    world: &mut World,
    now: Timestamp,
    data_centre: DataCentreKey,
    effects: &mut Vec<Effect>,
) {
    let before = world.relays.get(data_centre).copied().unwrap_or_default();
    let is_silent = |key: PeerKey| world.peers.get(key).is_none_or(|peer| !is_heard(peer, now));
    let are_lost = before.relays.is_some_and(|relays| relays.into_iter().all(is_silent));
    let direct_until = match are_lost {
        true => now.after(DIRECT_TIME),
        false => before.direct_until,
    };
    let relays = choose_relays(world, now, data_centre).filter(|_| now >= direct_until);
    world.relays.insert(data_centre, RelayChoice { relays, direct_until });
    if relays.is_some() != before.relays.is_some() {
        let name = world.data_centres.rows.get(data_centre).map(|row| row.name.clone());
        let decision = Decision::RelayingChanged {
            data_centre: name.unwrap_or_default(),
            is_relayed: relays.is_some(),
            are_lost,
        };
        effects.push(Effect::LogDecision(Box::new(decision)));
    }
}

/// Chooses two gateways of a data centre by rendezvous hashing among those that were heard lately;
/// each sender has its own, so that the load of relaying is spread. `None` if there are too few.
fn choose_relays(
    world: &World,
    now: Timestamp,
    data_centre: DataCentreKey,
) -> Option<[PeerKey; 2]> {
    let there = || world.peers.iter().filter(|(_, peer)| peer.data_centre == Some(data_centre));
    if there().filter(|(_, peer)| peer.is_alive(now)).count() < MIN_GATEWAYS {
        return None;
    }
    let heard = there().filter(|(_, peer)| is_heard(peer, now));
    let mut ranked: Vec<_> = heard.map(|(key, peer)| (relay_rank(world, peer), key)).collect();
    ranked.sort_unstable();
    match ranked.as_slice() {
        [(_, first), (_, second), ..] => Some([*first, *second]),
        _ => None,
    }
}

fn relay_rank(world: &World, peer: &Peer) -> u64 {
    // The ranks of the peers are hashes of their names.
    let own = xxh3_64(world.settings.node.as_bytes());
    xxh3_64(&[own.to_le_bytes(), peer.rank.to_le_bytes()].concat())
}

fn is_heard(peer: &Peer, now: Timestamp) -> bool {
    peer.last_message.is_some_and(|last_message| now.since(last_message) < RELAY_SILENCE)
}

/// Returns the route of a message that goes to its receivers alone; `None` where no cost is set.
pub fn direct_route(world: &World) -> Option<MessageRoute> {
    world.settings.remote_mb_cost?;
    Some(MessageRoute { data_centre: world.settings.data_centre.clone(), hop: Hop::Direct })
}

/// Returns to whom a message to all gateways is sent directly, and to whom to be relayed.
pub fn receivers(world: &World) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
    let (mut direct, mut relays) = (Vec::new(), Vec::new());
    for (key, peer) in world.peers.iter() {
        let choice = peer.data_centre.and_then(|data_centre| world.relays.get(data_centre));
        match choice.and_then(|choice| choice.relays) {
            Some(chosen) if chosen.contains(&key) => relays.push(peer.address),
            // A peer that was silent for longer may be unknown to the relays.
            Some(_) if peer.last_message.is_some() => {}
            _ => direct.push(peer.address),
        }
    }
    (direct, relays)
}
