//! Apportions the rates of cold backend servers to the gateways.
//!
//! Load pattern: a data centre returns, and all its backend servers are cold at the same moment,
//! while hundreds of gateways have work for them. A cold backend server crashes at a rate well above
//! the one that it takes, and its load then moves to the next cold one. A few gateways, drawn by
//! rendezvous hashing for each backend server, have all of its rate; the others wait until it is
//! warm. See docs/design/shared-rates.md.

use std::mem::discriminant;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::systems::feeds;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::backend_servers::ColdRate;
use crate::gateway::tables::peers::GatewayView;
use crate::gateway::tables::peers::Peer;
use crate::gateway::tables::shared_rates::Apportionment;
use crate::gateway::tables::shared_rates::DrawnRank;
use crate::gateway::tables::shared_rates::RateTarget;
use crate::gateway::tables::shared_rates::SharedRate;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Requests per second of each owner of the rate of a cold backend server; there are as many owners
/// as that allows. A gateway of the deployments receives three requests per second, and ten at a
/// peak: larger parts are not used up, and smaller ones are often used up when a request arrives.
const OWNER_RATE: f64 = 4.0;

/// Window of the rates of cold backend servers, which are stated per second.
pub const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Share of the bound that is used at most. The rest covers requests that were decided earlier and
/// arrive within the same second: a connection takes up to 250 ms.
const ARRIVAL_SHARE: f64 = 0.75;

/// Share of the bound that is used while a gateway does not hear all listed ones. Where two data
/// centres are cut off from each other but not from a third one, two gateways may each count as
/// the owner of the same rank.
const PARTIAL_VIEW_SHARE: f64 = 0.5;

/// Time for which the set of gateways that are heard must not change before a gateway uses a share
/// of another kind than before. Each gateway sends to all others once a second, so that those whose
/// share it takes over know by then, and what they used has left the window in part.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Rate of a cold backend server and the bound on it, per second, over all gateways.
#[derive(Clone, Copy, Debug)]
pub struct ColdLimit {
    /// Requests that it takes.
    pub rate: f64,
    /// Requests that it never gets more of.
    pub bound: f64,
}

/// A part of the rate of a cold backend server for this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// Requests of all gateways in a window.
    pub amount: f64,
    /// How they are apportioned.
    pub apportionment: Apportionment,
}

/// Apportions the rates of all backend servers that are cold; returns when the next one is warm, or
/// when this gateway may use a new share.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    update_view(world, now);
    if world.last_pause == Some(now) {
        restart_windows(world, now);
    }
    let mut next: Option<Timestamp> = None;
    let limited = limited_servers(world, now);
    for (key, limit) in limited {
        match limit {
            Some(limit) => {
                let due = apportion(world, now, key, limit, effects);
                next = due.map(|due| due.or_sooner(next)).or(next);
            }
            None => remove_rate(world, key, effects),
        }
    }
    next
}

/// Counts the gateways that are heard and those that are known, and records when the set of those
/// heard last changed.
fn update_view(world: &mut World, now: Timestamp) {
    let alive = world.peers.iter().filter(|(_, peer)| is_heard(peer, now));
    let (mut heard, mut fingerprint) = (1, 0);
    for (_, peer) in alive {
        heard += 1;
        fingerprint ^= peer.rank;
    }
    let view = &world.gateway_view;
    let changed = if view.fingerprint == fingerprint { view.changed } else { now };
    let known = world.gateway_count();
    let has_list = view.has_list;
    world.gateway_view = GatewayView { heard, known, fingerprint, changed, has_list };
}

fn is_heard(peer: &Peer, now: Timestamp) -> bool {
    peer.node.is_some() && peer.is_alive(now)
}

/// Leaves this gateway without requests to cold backend servers for a window: what it decided just
/// before a pause is sent after it, and its peers may have replaced it as an owner.
fn restart_windows(world: &mut World, now: Timestamp) {
    for (_, row) in world.shared_rates.rows.iter_mut() {
        if matches!(row.target, RateTarget::ColdServer(_)) {
            row.blocked_until = now.after(row.allowance().window.max(COLD_WINDOW));
        }
    }
}

/// Returns the backend servers that are cold and have a limit, and with `None` those that had one.
fn limited_servers(world: &World, now: Timestamp) -> Vec<(BackendServerKey, Option<ColdLimit>)> {
    let rows = world.backend_servers.rows.iter();
    let limit = |(key, row): (BackendServerKey, &BackendServer)| {
        let limit = cold_limit(world, now, row);
        (limit.is_some() || row.cold_rate != ColdRate::Unlimited).then_some((key, limit))
    };
    rows.filter_map(limit).collect()
}

/// Returns the limit of a backend server that is cold at `now`; `None` if it is warm, or if the
/// service or the settings state no limit.
fn cold_limit(world: &World, now: Timestamp, row: &BackendServer) -> Option<ColdLimit> {
    if now >= row.cold_until() {
        return None;
    }
    let (excess, slack) = world.settings.cold_excess.zip(world.settings.cold_slack)?;
    let rate = world.serving.as_ref()?.find_service(&row.listing.service)?.cold_rate?;
    Some(ColdLimit { rate, bound: rate * excess + slack })
}

/// Updates this gateway's share of the rate of a cold backend server; returns when it is warm, or
/// when this gateway may use a new share.
fn apportion(
    world: &mut World,
    now: Timestamp,
    key: BackendServerKey,
    limit: ColdLimit,
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    let server = world.backend_servers.rows.get(key)?;
    let (instance_hash, cold_until) = (server.listing.instance_hash, server.cold_until());
    let mut rate = server.cold_rate;
    if rate == ColdRate::Unlimited {
        let mut row = SharedRate::new(RateTarget::ColdServer(key), 0.0, COLD_WINDOW);
        // What this gateway sent before it was restarted is not known.
        row.blocked_until = Timestamp::ZERO.after(COLD_WINDOW);
        rate = world.shared_rates.rows.insert(row).map_or(ColdRate::Unrated, ColdRate::Limited);
        world.backend_servers.rows.get_mut(key)?.cold_rate = rate;
    }
    let ColdRate::Limited(rate) = rate else { return Some(cold_until) };
    let view = world.gateway_view;
    let own_rank = feeds::rank_of(&world.settings.node);
    let drawn = world.shared_rates.rows.get(rate)?.drawn;
    let rank = rank_in_view(world, now, instance_hash, own_rank, drawn);
    let row = world.shared_rates.rows.get_mut(rate)?;
    let fingerprint = view.fingerprint;
    row.drawn = Some(DrawnRank { fingerprint, instance_hash, rank });
    let mut share = cold_share(&view, limit, rank, rendezvous(own_rank, instance_hash));
    let is_new_kind = discriminant(&share.apportionment) != discriminant(&row.apportionment);
    let settled_at = view.changed.after(SETTLE_TIME);
    let is_settling =
        is_new_kind && share.apportionment != Apportionment::Nothing && now < settled_at;
    if is_settling {
        share.apportionment = Apportionment::Nothing;
    }
    let is_changed = row.apportionment != share.apportionment || row.amount != share.amount;
    row.amount = share.amount;
    row.apportionment = share.apportionment;
    row.share_due = is_settling.then_some(settled_at);
    let allowance = row.allowance();
    let server = world.backend_servers.rows.get(key)?;
    if is_changed {
        let decision = Decision::ColdShareChanged {
            backend_server: server.listing.id.clone(),
            service: server.listing.service.clone(),
            cold_for: cold_until.since(now),
            apportionment: share.apportionment,
            allowance,
            view,
        };
        effects.push(Effect::LogDecision(Box::new(decision)));
    }
    Some(if is_settling { settled_at.min(cold_until) } else { cold_until })
}

/// Returns a gateway's share of the rate of a cold backend server. `rank` is the number of gateways
/// heard that are drawn before this one, which is drawn with the number `draw`.
pub fn cold_share(view: &GatewayView, limit: ColdLimit, rank: usize, draw: u64) -> ColdShare {
    let whole = limit.rate.min(limit.bound * ARRIVAL_SHARE);
    let partial = limit.rate.min(limit.bound * PARTIAL_VIEW_SHARE);
    let is_alone = view.heard <= 1 && !view.has_list;
    if is_alone || limit.bound < 1.0 {
        return ColdShare { amount: partial, apportionment: Apportionment::Nothing };
    }
    if 2 * view.heard > view.known {
        let amount = if view.heard == view.known { whole } else { partial };
        // The conversion limits a value out of range to the bounds of the type.
        let owners = ((limit.rate / OWNER_RATE) as u32).min(view.heard as u32).max(1);
        let apportionment = match u32::try_from(rank) {
            Ok(rank) if rank < owners => Apportionment::Owner { rank, owners },
            _ => Apportionment::Nothing,
        };
        return ColdShare { amount, apportionment };
    }
    // The gateways that are not heard may all use the rate at the same moment.
    if view.known as f64 <= limit.bound {
        let apportionment = Apportionment::Even { gateways: view.known };
        return ColdShare { amount: partial, apportionment };
    }
    // With more gateways than the bound, so many of them are drawn that one request each is the
    // amount on average.
    let is_drawn = draw as f64 / u64::MAX as f64 * (view.known as f64) < partial;
    let apportionment = match is_drawn {
        true => Apportionment::Even { gateways: partial as usize },
        false => Apportionment::Nothing,
    };
    ColdShare { amount: partial, apportionment }
}

/// Returns the number of gateways heard that are drawn before this one for a backend server. With
/// hundreds of gateways and of cold backend servers this is too much work for each tick, so the
/// rank that was `drawn` before is used while the gateways heard are the same.
fn rank_in_view(
    world: &World,
    now: Timestamp,
    instance_hash: u64,
    own_rank: u64,
    drawn: Option<DrawnRank>,
) -> usize {
    let fingerprint = world.gateway_view.fingerprint;
    let is_current = |drawn: &DrawnRank| {
        (drawn.fingerprint, drawn.instance_hash) == (fingerprint, instance_hash)
    };
    if let Some(drawn) = drawn.filter(is_current) {
        return drawn.rank;
    }
    let own = rendezvous(own_rank, instance_hash);
    let heard = world.peers.iter().filter(|(_, peer)| is_heard(peer, now));
    heard.filter(|(_, peer)| rendezvous(peer.rank, instance_hash) < own).count()
}

/// Returns the number by which a gateway is drawn for a backend server; the smallest come first.
pub fn rendezvous(gateway_rank: u64, instance_hash: u64) -> u64 {
    xxh3_64_with_seed(&gateway_rank.to_le_bytes(), instance_hash)
}

/// Removes the rate of a backend server that is warm, or whose service has no limit any more.
fn remove_rate(world: &mut World, key: BackendServerKey, effects: &mut Vec<Effect>) {
    let Some(server) = world.backend_servers.rows.get_mut(key) else { return };
    if let ColdRate::Limited(rate) = std::mem::take(&mut server.cold_rate) {
        world.shared_rates.rows.remove(rate);
    }
    let (backend_server, service) = (server.listing.id.clone(), server.listing.service.clone());
    let decision = Decision::ColdEnded { backend_server, service };
    effects.push(Effect::LogDecision(Box::new(decision)));
}

/// Counts a send to a backend server and returns `true`, unless it is cold and this gateway's share
/// of its rate is used up.
pub fn try_use(world: &mut World, now: Timestamp, server: BackendServerKey) -> bool {
    let Some(row) = world.backend_servers.rows.get(server) else { return false };
    match row.cold_rate {
        _ if now >= row.cold_until() => true,
        ColdRate::Unlimited => true,
        ColdRate::Unrated => false,
        ColdRate::Limited(rate) => {
            let is_used =
                world.shared_rates.rows.get_mut(rate).is_some_and(|rate| rate.try_use(now));
            world.counters.cold_sends += u64::from(is_used);
            is_used
        }
    }
}

/// Returns when this gateway may next send to a backend server that is cold, if it may not at
/// `now`: when its share of the rate allows it, or when the backend server is warm.
pub fn next_use(world: &World, now: Timestamp, row: &BackendServer) -> Option<Timestamp> {
    let cold_until = row.cold_until();
    if now >= cold_until {
        return None;
    }
    match row.cold_rate {
        ColdRate::Unlimited => None,
        ColdRate::Unrated => Some(cold_until),
        ColdRate::Limited(rate) => {
            let next = world.shared_rates.rows.get(rate)?.next_use(now)?;
            Some(next.min(cold_until))
        }
    }
}
