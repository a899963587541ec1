//! Decides which gateways call the store's feeds, and relays changes to the others.
//!
//! Load pattern: hundreds of gateways that each ask the store for the same changes. A few of them,
//! drawn by rendezvous hashing from the gateways heard lately, follow the feeds for all: they relay
//! changes of the listings, and report up to which version their copy is complete. A gateway calls
//! a feed itself as soon as no follower is current, when a report shows that it has missed a change of
//! the listings, or when its peers do not deliver a newer configuration in time. Versions of the store order everything, so a late or repeated relay changes nothing.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::effect::Effect;
use crate::gateway::effect::FeedMode;
use crate::gateway::effect::FeedPlan;
use crate::gateway::event::ListingsUpdate;
use crate::gateway::event::StoreVersion;
use crate::gateway::message::FeedReport;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::systems::evacuations;
use crate::gateway::systems::serving_fetches;
use crate::gateway::tables::peers::Peer;
use crate::gateway::world::AnsweredSpan;
use crate::gateway::world::World;
use crate::time::Timestamp;

/// Number of gateways that follow the feeds for all. A store that turns a third of the gateways
/// away turns all four away once in a hundred times; then the others call it themselves.
const FOLLOWERS: usize = 4;

/// Minimum number of gateways for relaying; fewer save too few calls.
const MIN_GATEWAYS: usize = 9;

/// Interval between reports of a follower to its peers.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum time since the store answered a follower for which the others rely on it. With the call
/// that follows, a change is known within two seconds though all followers are cut off; the
/// shortest time in which a deployment requires a change to be in force is two seconds.
const MAX_FEED_AGE: Duration = Duration::from_millis(1500);

/// Time between two answers of the store to a peer from which an outage may lie between them; a call
/// of a peer that waits for a change is answered, or known to be lost, within less.
const MAX_ANSWER_GAP: Duration = Duration::from_secs(3);

/// Records that the complete list was read; returns whether it is newer than the copy.
pub fn record_read(world: &mut World, now: Timestamp, version: StoreVersion) -> bool {
    let copy = &mut world.listings;
    copy.answered = Some(now);
    let is_newer = version >= copy.version;
    if is_newer {
        copy.version = version;
        // Which of the listings changed since the last version is not known.
        copy.last_change = version;
    }
    is_newer
}

/// Records an answer of the store's feed, which is relayed to the peers if this gateway follows for
/// them; returns whether it contains newer changes than the copy.
pub fn record_feed_answer(world: &mut World, now: Timestamp, update: &ListingsUpdate) -> bool {
    world.listings.answered = Some(now);
    if !advance(world, update) {
        return false;
    }
    if world.listings.plan.listings == FeedMode::ForPeers && !update.changes.is_empty() {
        world.listings.unrelayed.push(update.clone());
    }
    true
}

/// Records changes that a peer relayed; returns whether they continue the copy, which has version 0
/// until the list was first read.
pub fn record_relayed(world: &mut World, update: &ListingsUpdate) -> bool {
    world.listings.version > StoreVersion::default() && advance(world, update)
}

/// Moves the copy to the version of `update`; `false` if it is older than the copy or begins after
/// it.
fn advance(world: &mut World, update: &ListingsUpdate) -> bool {
    let copy = &mut world.listings;
    if update.after > copy.version || update.version <= copy.version {
        return false;
    }
    copy.version = update.version;
    if !update.changes.is_empty() {
        copy.last_change = update.version;
    }
    true
}

/// Decides how the feeds are followed from now on; returns when that may change without an event.
pub fn run(world: &mut World, now: Timestamp, effects: &mut Vec<Effect>) -> Option<Timestamp> {
    apply_reports(world, now);
    record_peer_answers(world);
    let plan = plan_feeds(world, now);
    let current = world.listings.plan;
    if (plan.operator, plan.listings) != (current.operator, current.listings) {
        world.listings.plan = plan;
        world.listings.report_due = now;
        effects.push(Effect::FollowFeeds(plan));
    }
    match world.listings.plan.listings {
        FeedMode::Relayed => {
            let relayed_until = evacuations::relayed_until(world).filter(|until| now < *until);
            let serving_until = serving_fetches::relayed_until(world).filter(|until| now < *until);
            let current_until = current_until(world, now);
            [current_until, relayed_until, serving_until].into_iter().flatten().min()
        }
        FeedMode::Alone | FeedMode::ForPeers => None,
    }
}

/// Takes over the version of followers that report no change after this gateway's copy.
fn apply_reports(world: &mut World, now: Timestamp) {
    let reports = world.peers.iter().filter_map(|(_, peer)| current_report(peer, now));
    let known = reports.filter(|(report, _)| report.last_change <= world.listings.version);
    let newest = known.max_by_key(|(report, _)| report.version);
    let Some((report, answered)) = newest else { return };
    world.listings.version = world.listings.version.max(report.version);
    if world.listings.plan.listings == FeedMode::Relayed {
        world.store.last_answer = world.store.last_answer.max(Some(answered));
    }
}

/// Records when the store answered peers while this gateway had lost it.
fn record_peer_answers(world: &mut World) {
    if world.store.is_reachable {
        return;
    }
    let lost = world.store.since;
    let reports = world.peers.iter().filter_map(|(_, peer)| peer.feed);
    let answers = reports.map(|(report, received)| received.before(age_of(report)));
    for answered in answers.filter(|answered| *answered >= lost) {
        let span = world.store.peer_answers.filter(|span| !is_outage(span.last, answered));
        let span = span.unwrap_or(AnsweredSpan { first: answered, last: answered });
        let (first, last) = (span.first.min(answered), span.last.max(answered));
        world.store.peer_answers = Some(AnsweredSpan { first, last });
    }
}

fn is_outage(answered: Timestamp, again: Timestamp) -> bool {
    again.since(answered) >= MAX_ANSWER_GAP
}

/// Returns when the store was back, as far as this gateway knows: when it answered this one again,
/// or earlier if it had answered peers without an outage until then. An outage that is not over
/// counts as over at `now`.
pub fn store_returned(world: &World, now: Timestamp) -> Timestamp {
    let own = if world.store.is_reachable { world.store.since } else { now };
    let of_peers = world.store.peer_answers.filter(|span| !is_outage(span.last, own));
    of_peers.map_or(own, |span| span.first.min(own))
}

fn plan_feeds(world: &World, now: Timestamp) -> FeedPlan {
    let listings_version = world.listings.version;
    let own_rank = rank_of(&world.settings.node);
    let mut before = 0;
    let mut is_relayed = false;
    let mut has_all_changes = true;
    for (_, peer) in world.peers.iter().filter(|(_, peer)| peer.is_alive(now)) {
        before += usize::from(peer.rank < own_rank);
        if let Some((report, _)) = current_report(peer, now) {
            is_relayed = true;
            has_all_changes &= report.last_change <= listings_version;
        }
    }
    if count_gateways(world, now) < MIN_GATEWAYS {
        return FeedPlan { listings_version, ..FeedPlan::default() };
    }
    if before < FOLLOWERS {
        let (operator, listings) = (FeedMode::ForPeers, FeedMode::ForPeers);
        return FeedPlan { operator, listings, listings_version };
    }
    let is_serving_relayed = serving_fetches::relayed_until(world).is_none_or(|until| now < until);
    let has_current_evacuations = evacuations::relayed_until(world).is_none_or(|until| now < until);
    let mode = |is_current: bool| match is_relayed && is_current && world.store.is_reachable {
        true => FeedMode::Relayed,
        false => FeedMode::Alone,
    };
    FeedPlan {
        operator: mode(is_serving_relayed && has_current_evacuations),
        listings: mode(has_all_changes),
        listings_version,
    }
}

/// Returns whether this gateway repeats to its peers what it reads from the operator's table: it
/// follows the feeds for them, or there are too few gateways for that.
pub fn reports_to_peers(world: &World, now: Timestamp) -> bool {
    world.listings.plan.operator == FeedMode::ForPeers || count_gateways(world, now) < MIN_GATEWAYS
}

/// Returns the number of gateways that were heard lately, this one included.
pub fn count_gateways(world: &World, now: Timestamp) -> usize {
    1 + world.peers.iter().filter(|(_, peer)| peer.is_alive(now)).count()
}

/// Returns the rank of a gateway by its name; those with the lowest ranks follow the feeds.
pub fn rank_of(node: &str) -> u64 {
    xxh3_64(node.as_bytes())
}

/// Returns a peer's report and when the store answered it, if that was at most [`MAX_FEED_AGE`]
/// ago.
fn current_report(peer: &Peer, now: Timestamp) -> Option<(FeedReport, Timestamp)> {
    let (report, received) = peer.feed?;
    let age = now.since(received) + age_of(report);
    (age < MAX_FEED_AGE).then(|| (report, now.before(age)))
}

fn age_of(report: FeedReport) -> Duration {
    Duration::from_millis(u64::from(report.age_ms))
}

/// Returns when the last follower is no longer current, if no report arrives.
fn current_until(world: &World, now: Timestamp) -> Option<Timestamp> {
    let reports = world.peers.iter().filter_map(|(_, peer)| current_report(peer, now));
    reports.map(|(_, answered)| answered.after(MAX_FEED_AGE)).max()
}

/// Returns this gateway's report on its copy of both tables, if it follows for its peers, or if there are too few
/// gateways for relaying, so that each follows the feed, and the store has answered.
pub fn own_report(world: &World, now: Timestamp) -> Option<FeedReport> {
    let copy = &world.listings;
    let is_follower = copy.plan.listings == FeedMode::ForPeers;
    if !is_follower && count_gateways(world, now) >= MIN_GATEWAYS {
        return None;
    }
    // The others rely on it for both tables, so the older answer counts.
    let answered = copy.answered?.min(copy.operator_answered?);
    let age_ms = now.since(answered).as_millis().min(u128::from(u32::MAX)) as u32;
    Some(FeedReport { version: copy.version, last_change: copy.last_change, age_ms })
}

/// Returns whether a report to the peers is due at `now`, and schedules the next one. A newer
/// configuration is reported at once.
pub fn take_report_due(world: &mut World, now: Timestamp) -> bool {
    if world.listings.plan.listings != FeedMode::ForPeers {
        return false;
    }
    let serving = world.serving.as_ref().map(ServingConfiguration::version).unwrap_or_default();
    if now < world.listings.report_due && serving == world.listings.reported_serving {
        return false;
    }
    world.listings.report_due = now.after(REPORT_INTERVAL);
    world.listings.reported_serving = serving;
    true
}

/// Returns when this gateway next reports to its peers, if it follows for them.
pub fn next_report(world: &World) -> Option<Timestamp> {
    let is_follower = world.listings.plan.listings == FeedMode::ForPeers;
    is_follower.then_some(world.listings.report_due)
}
