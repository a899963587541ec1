//! Apportions the rates of backend servers that are cold or name a limit to the gateways.
//!
//! Load pattern: a data centre returns, and all its backend servers are cold at the same moment,
//! while hundreds of gateways have work for them. A cold backend server crashes at a rate well above
//! the one that it takes, and its load then moves to the next cold one. A few gateways, drawn by
//! rendezvous hashing for each backend server, have all of its rate; the others wait until it is
//! warm. What a backend server names as its limit (`named_limits.rs`) is apportioned in the same way,
//! to as many gateways as get a whole request in a window. See docs/design/shared-rates.md.

use std::mem::discriminant;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::systems::feeds;
use crate::gateway::systems::named_limits;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::backend_servers::RateReason;
use crate::gateway::tables::backend_servers::ServerRate;
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
const COLD_PART: f64 = 4.0;

/// Window of the rates of cold backend servers, which are stated per second.
pub const COLD_WINDOW: Duration = Duration::from_secs(1);

/// Window of the limits that backend servers name. One of a request a second or less, with as many
/// uses at once as it allows in a window, still is one for several gateways.
pub const LIMIT_WINDOW: Duration = Duration::from_secs(4);

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

/// Rate of a backend server and the bound on it, in a window, over all gateways.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Requests that it takes.
    pub rate: f64,
    /// Requests that it never gets more of.
    pub bound: f64,
    /// Requests of each owner of the rate; there are as many owners as that allows.
    pub part: f64,
}

/// A part of the rate of a backend server for this gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Requests of all gateways in a window.
    pub amount: f64,
    /// How they are apportioned.
    pub apportionment: Apportionment,
}

/// Why this gateway may not send to a backend server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateWait {
    /// Why the requests to it are limited.
    pub reason: RateReason,
    /// When this gateway may send to it; if it has no share, when another one probably may.
    pub until: Timestamp,
    /// Whether this gateway has a share, or gets one then.
    pub has_share: bool,
}

const fn window_of(reason: RateReason) -> Duration {
    match reason {
        RateReason::Cold => COLD_WINDOW,
        RateReason::Named => LIMIT_WINDOW,
    }
}

/// Apportions the rates of all backend servers that have one; returns when the next one ends, or when
/// this gateway may use a new share.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    update_view(world, now);
    if world.last_pause == Some(now) {
        restart_windows(world, now);
    }
    let mut next: Option<Timestamp> = None;
    for (key, reason, limit) in limited_servers(world, now) {
        match limit {
            Some(limit) => {
                let due = apportion(world, now, key, reason, limit, effects);
                next = due.map(|due| due.or_sooner(next)).or(next);
            }
            None => remove_rate(world, key, reason, effects),
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

/// Leaves this gateway without requests to backend servers with a rate for a window: what it decided
/// just before a pause is sent after it, and its peers may have replaced it as an owner.
fn restart_windows(world: &mut World, now: Timestamp) {
    for (_, row) in world.shared_rates.rows.iter_mut() {
        if let RateTarget::Server(_, reason) = row.target {
            row.blocked_until = now.after(row.allowance().window.max(window_of(reason)));
        }
    }
}

/// Returns the backend servers that have a limit, by reason, and with `None` those that had one.
fn limited_servers(
    world: &World,
    now: Timestamp,
) -> Vec<(BackendServerKey, RateReason, Option<RateLimit>)> {
    let mut found = Vec::new();
    for (key, row) in world.backend_servers.rows.iter() {
        let limits = [
            (RateReason::Cold, cold_limit(world, now, row)),
            (RateReason::Named, named_limits::limit_of(row)),
        ];
        for (reason, limit) in limits {
            if limit.is_some() || row.rate(reason) != ServerRate::Unlimited {
                found.push((key, reason, limit));
            }
        }
    }
    found
}

/// Returns the limit of a backend server that is cold at `now`; `None` if it is warm, or if the
/// service or the settings state no limit.
fn cold_limit(world: &World, now: Timestamp, row: &BackendServer) -> Option<RateLimit> {
    if now >= row.cold_until() {
        return None;
    }
    let (excess, slack) = world.settings.cold_excess.zip(world.settings.cold_slack)?;
    let rate = world.serving.as_ref()?.find_service(&row.listing.service)?.cold_rate?;
    Some(RateLimit { rate, bound: rate * excess + slack, part: COLD_PART })
}

/// Updates this gateway's share of the rate of a backend server; returns when the rate ends, or when
/// this gateway may use a new share.
fn apportion(
    world: &mut World,
    now: Timestamp,
    key: BackendServerKey,
    reason: RateReason,
    limit: RateLimit,
    effects: &mut Vec<Effect>,
) -> Option<Timestamp> {
    let server = world.backend_servers.rows.get(key)?;
    let instance_hash = server.listing.instance_hash;
    let ends_at = match reason {
        RateReason::Cold => server.cold_until(),
        RateReason::Named => named_limits::limit_until(server)?,
    };
    let window = window_of(reason);
    let mut rate = server.rate(reason);
    if rate == ServerRate::Unlimited {
        let mut row = SharedRate::new(RateTarget::Server(key, reason), 0.0, window);
        // What this gateway sent before it was restarted is not known.
        row.blocked_until = Timestamp::ZERO.after(window);
        rate = world.shared_rates.rows.insert(row).map_or(ServerRate::Unrated, ServerRate::Limited);
        *world.backend_servers.rows.get_mut(key)?.rate_mut(reason) = rate;
    }
    let ServerRate::Limited(rate) = rate else { return Some(ends_at) };
    let view = world.gateway_view;
    let own_rank = feeds::rank_of(&world.settings.node);
    let drawn = world.shared_rates.rows.get(rate)?.drawn;
    let rank = rank_in_view(world, now, instance_hash, own_rank, drawn);
    let row = world.shared_rates.rows.get_mut(rate)?;
    let fingerprint = view.fingerprint;
    row.drawn = Some(DrawnRank { fingerprint, instance_hash, rank });
    let mut share = rate_share(&view, limit, rank, rendezvous(own_rank, instance_hash));
    let is_new_kind = discriminant(&share.apportionment) != discriminant(&row.apportionment);
    let settled_at = view.changed.after(SETTLE_TIME);
    let is_settling =
        is_new_kind && share.apportionment != Apportionment::Nothing && now < settled_at;
    if is_settling {
        share.apportionment = Apportionment::Nothing;
    }
    // Until then the window contains what earlier owners used.
    let whole_at = view.changed.after(window);
    let is_partial = window > SETTLE_TIME && now < whole_at;
    if is_partial {
        share.amount = share.amount.min(limit.bound * PARTIAL_VIEW_SHARE);
    }
    let allowance_before = row.allowance();
    let is_changed = match reason {
        RateReason::Cold => row.apportionment != share.apportionment || row.amount != share.amount,
        // A limit may change with each answer.
        RateReason::Named => row.apportionment != share.apportionment,
    };
    row.amount = share.amount;
    row.apportionment = share.apportionment;
    row.share_due = is_settling.then_some(settled_at);
    let allowance = row.allowance();
    let server = world.backend_servers.rows.get(key)?;
    if is_changed || allowance.uses != allowance_before.uses {
        let decision = Decision::RateShareChanged {
            backend_server: server.listing.id.clone(),
            service: server.listing.service.clone(),
            reason,
            rate: limit.rate / window.as_secs_f64(),
            ends_in: ends_at.since(now),
            apportionment: share.apportionment,
            allowance,
            view,
        };
        effects.push(Effect::LogDecision(Box::new(decision)));
    }
    let settled_at = is_settling.then_some(settled_at);
    Some(ends_at.or_sooner(settled_at).or_sooner(is_partial.then_some(whole_at)))
}

/// Returns a gateway's share of the rate of a backend server. `rank` is the number of gateways
/// heard that are drawn before this one, which is drawn with the number `draw`.
pub fn rate_share(view: &GatewayView, limit: RateLimit, rank: usize, draw: u64) -> RateShare {
    let whole = limit.rate.min(limit.bound * ARRIVAL_SHARE);
    let partial = limit.rate.min(limit.bound * PARTIAL_VIEW_SHARE);
    let is_alone = view.heard <= 1 && !view.has_list;
    if is_alone || limit.bound < 1.0 {
        return RateShare { amount: partial, apportionment: Apportionment::Nothing };
    }
    if 2 * view.heard > view.known {
        let amount = if view.heard == view.known { whole } else { partial };
        // The conversion limits a value out of range to the bounds of the type.
        let owners = ((limit.rate / limit.part) as u32).min(view.heard as u32).max(1);
        let apportionment = match u32::try_from(rank) {
            Ok(rank) if rank < owners => Apportionment::Owner { rank, owners },
            _ => Apportionment::Nothing,
        };
        return RateShare { amount, apportionment };
    }
    // The gateways that are not heard may all use the rate at the same moment.
    if view.known as f64 <= limit.bound {
        let apportionment = Apportionment::Even { gateways: view.known };
        return RateShare { amount: partial, apportionment };
    }
    // With more gateways than the bound, so many of them are drawn that one request each is the
    // amount on average.
    let is_drawn = draw as f64 / u64::MAX as f64 * (view.known as f64) < partial;
    let apportionment = match is_drawn {
        true => Apportionment::Even { gateways: partial as usize },
        false => Apportionment::Nothing,
    };
    RateShare { amount: partial, apportionment }
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

/// Removes the rate of a backend server that no longer has a limit for a reason.
fn remove_rate(
    world: &mut World,
    key: BackendServerKey,
    reason: RateReason,
    effects: &mut Vec<Effect>,
) {
    let Some(server) = world.backend_servers.rows.get_mut(key) else { return };
    if let ServerRate::Limited(rate) = std::mem::take(server.rate_mut(reason)) {
        world.shared_rates.rows.remove(rate);
    }
    let (backend_server, service) = (server.listing.id.clone(), server.listing.service.clone());
    let decision = Decision::RateEnded { backend_server, service, reason };
    effects.push(Effect::LogDecision(Box::new(decision)));
}

/// Returns the limits that hold for a backend server at `now`.
fn rates_of(
    now: Timestamp,
    row: &BackendServer,
) -> impl Iterator<Item = (RateReason, ServerRate)> + use<> {
    let cold = (now < row.cold_until()).then_some((RateReason::Cold, row.cold_rate));
    let rates = cold.into_iter().chain([(RateReason::Named, row.named_rate)]);
    rates.filter(|(_, rate)| *rate != ServerRate::Unlimited)
}

/// Returns whether the requests to a backend server are limited at `now`.
pub fn has_rate(now: Timestamp, row: &BackendServer) -> bool {
    rates_of(now, row).next().is_some()
}

/// Counts a send to a backend server and returns `true`, unless this gateway's share of one of its
/// rates is used up.
pub fn try_use(world: &mut World, now: Timestamp, server: BackendServerKey) -> bool {
    let Some(row) = world.backend_servers.rows.get(server) else { return false };
    if next_use(world, now, row).is_some() {
        return false;
    }
    for (reason, rate) in rates_of(now, row) {
        let ServerRate::Limited(rate) = rate else { continue };
        let is_used = world.shared_rates.rows.get_mut(rate).is_some_and(|rate| rate.try_use(now));
        match reason {
            RateReason::Cold => world.counters.cold_sends += u64::from(is_used),
            RateReason::Named => world.counters.limited_sends += u64::from(is_used),
        }
    }
    true
}

/// Returns why and until when this gateway may not send to a backend server, if a rate does not allow
/// it at `now`; of several, the one that lasts longest.
pub fn next_use(world: &World, now: Timestamp, row: &BackendServer) -> Option<RateWait> {
    let waits =
        rates_of(now, row).filter_map(|(reason, rate)| wait_of(world, now, row, reason, rate));
    waits.max_by_key(|wait| wait.until)
}

fn wait_of(
    world: &World,
    now: Timestamp,
    row: &BackendServer,
    reason: RateReason,
    rate: ServerRate,
) -> Option<RateWait> {
    let next = match rate {
        ServerRate::Unlimited => return None,
        ServerRate::Unrated => Timestamp::MAX,
        ServerRate::Limited(rate) => world.shared_rates.rows.get(rate)?.next_use(now)?,
    };
    let has_share = next < Timestamp::MAX;
    Some(match reason {
        RateReason::Cold => RateWait { reason, until: next.min(row.cold_until()), has_share: true },
        RateReason::Named if has_share => RateWait { reason, until: next, has_share },
        RateReason::Named => {
            RateWait { reason, until: now.after(named_limits::interval_of(row)), has_share }
        }
    })
}
