//! Load pattern: hundreds of gateways that follow the same tables of the store.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::effect::FeedMode;
use snipespan_core::gateway::effect::FeedPlan;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::Listing;
use snipespan_core::gateway::event::ListingChange;
use snipespan_core::gateway::event::ListingsUpdate;
use snipespan_core::gateway::event::StoreVersion;
use snipespan_core::gateway::message::FeedReport;
use snipespan_core::gateway::message::PeerMessage;
use snipespan_core::gateway::message::PeerUpdate;
use xxhash_rust::xxh3::xxh3_64;

use crate::kit;
use crate::kit::ENGINE;
use crate::kit::Kit;

/// Number of gateways in these tests, this one included.
pub(crate) const GATEWAYS: usize = 20;

/// A gateway among others, and the messages that it receives from them.
pub(crate) struct Group {
    pub(crate) kit: Kit,
    /// Names of the peers; those that rank first come first.
    peers: Vec<CompactString>,
    sequence: u64,
    /// Whether the gateway was last told to call the feeds itself.
    pub(crate) plan: FeedPlan,
}

impl Group {
    /// Creates a gateway among [`GATEWAYS`] whose name ranks at `rank` of all.
    pub(crate) fn new(rank: usize, gateways: usize) -> Self {
        let mut names: Vec<_> = (0..gateways).map(|n| format_compact!("vm-{n}")).collect();
        names.sort_by_key(|name| xxh3_64(name.as_bytes()));
        let mut kit = Kit::new(2);
        kit.world.settings.node = names.remove(rank);
        let mut group = Self { kit, peers: names, sequence: 0, plan: FeedPlan::default() };
        group.hear_all(None);
        group
    }

    /// Creates a gateway that others follow the feeds for, and whose followers have reported.
    pub(crate) fn relayed() -> Self {
        let mut group = Self::new(GATEWAYS - 1, GATEWAYS);
        let report = group.report(0);
        group.hear_all(Some(report));
        assert_eq!(group.plan.listings, FeedMode::Relayed);
        group
    }

    fn version(&self) -> StoreVersion {
        self.kit.world.listings.version
    }

    /// Returns a report of a copy that is as complete as this gateway's, `age_ms` old.
    pub(crate) fn report(&self, age_ms: u32) -> FeedReport {
        FeedReport { version: self.version(), last_change: self.version(), age_ms }
    }

    fn step(&mut self, events: Vec<Event>) {
        self.kit.step(events);
        self.note_plan();
    }

    pub(crate) fn run_for(&mut self, duration: Duration) {
        self.kit.run_until(self.kit.now.after(duration));
        self.note_plan();
    }

    fn note_plan(&mut self) {
        for effect in &self.kit.effects {
            if let Effect::FollowFeeds(plan) = effect {
                self.plan = *plan;
            }
        }
    }

    pub(crate) fn message(
        &mut self,
        peer: usize,
        version: u64,
        feed: Option<FeedReport>,
        update: PeerUpdate,
    ) {
        self.sequence += 1;
        let node = self.peers[peer].clone();
        let sequence = self.sequence;
        let message = PeerMessage { node, incarnation: 5, sequence, version, feed, update };
        let from = kit::peer_address(peer as u8);
        self.step(vec![Event::PeerMessageReceived { from, message }]);
    }

    /// Hears all peers; the first four are followers, with this report.
    pub(crate) fn hear_all(&mut self, report: Option<FeedReport>) {
        for peer in 0..self.peers.len() {
            let feed = report.filter(|_| peer < 4);
            self.message(peer, 1, feed, PeerUpdate::Snapshot(Vec::new()));
        }
    }

    /// Receives a change that follower `peer` relays.
    fn relay(&mut self, peer: usize, after: u64, version: u64, change: ListingChange) {
        let (after, version) = (StoreVersion(after), StoreVersion(version));
        let feed = Some(FeedReport { version, last_change: version, age_ms: 0 });
        let update = ListingsUpdate { after, version, changes: vec![change] };
        self.message(peer, 1, feed, PeerUpdate::Listings(update));
    }

    fn engines(&self) -> usize {
        self.kit.backend_servers().iter().filter(|id| id.starts_with(ENGINE)).count()
    }
}

fn removed(number: u8) -> ListingChange {
    ListingChange::Removed { id: kit::listing(ENGINE, number).id }
}

fn listed(number: u8) -> ListingChange {
    ListingChange::Listed(kit::listing(ENGINE, number))
}

#[test]
fn feeds_are_called_by_each_of_few_gateways() {
    let group = Group::new(7, 8);
    assert_eq!(group.plan, FeedPlan::default());
}

#[test]
fn feeds_are_called_by_the_four_that_rank_first() {
    let modes = (0..GATEWAYS).map(|rank| Group::new(rank, GATEWAYS).plan.listings);
    let followers: Vec<_> = modes.map(|mode| mode == FeedMode::ForPeers).collect();
    assert_eq!(followers, [[true; 4].as_slice(), &[false; GATEWAYS - 4]].concat());
}

#[test]
fn feeds_are_not_called_while_followers_report() {
    let mut group = Group::relayed();
    for _ in 0..20 {
        group.run_for(Duration::from_millis(400));
        let report = group.report(0);
        group.hear_all(Some(report));
        assert_eq!(group.plan.operator, FeedMode::Relayed);
        assert_eq!(group.plan.listings, FeedMode::Relayed);
    }
}

/// Guards against relying on followers that are silent, or that the store no longer answers: a
/// change must be known within two seconds.
#[test]
fn feeds_are_called_again_when_no_follower_is_current() {
    let mut group = Group::relayed();
    group.run_for(Duration::from_millis(1000));
    let report = group.report(1000);
    group.hear_all(Some(report));
    assert_eq!(group.plan.listings, FeedMode::Relayed);
    group.run_for(Duration::from_millis(600));
    assert_eq!(group.plan.listings, FeedMode::Alone);
    assert_eq!(group.plan.operator, FeedMode::Alone);
}

/// One follower that the store answers is enough.
#[test]
fn feeds_are_not_called_while_one_of_the_followers_is_current() {
    let mut group = Group::relayed();
    for _ in 0..5 {
        group.run_for(Duration::from_millis(500));
        let report = group.report(0);
        group.message(2, 1, Some(report), PeerUpdate::Snapshot(Vec::new()));
        assert_eq!(group.plan.listings, FeedMode::Relayed);
    }
}

#[test]
fn relayed_change_is_applied_once() {
    let mut group = Group::relayed();
    let now = group.version().0;
    group.relay(0, now, now + 5, removed(1));
    assert_eq!(group.engines(), 1);
    group.relay(1, now + 5, now + 9, listed(1));
    assert_eq!(group.engines(), 2);
    group.relay(2, now, now + 5, removed(1));
    assert_eq!(group.engines(), 2, "an older relay changes nothing");
}

/// Guards against a lost relay: the next report or relay names a change that is missing here, and
/// the feed continues before it.
#[test]
fn missed_change_makes_the_gateway_call_the_feed() {
    let mut group = Group::relayed();
    let known = group.version();
    let (after, version) = (known.0 + 5, known.0 + 9);
    group.relay(0, after, version, removed(1));
    assert_eq!(group.engines(), 2);
    assert_eq!(group.plan.listings, FeedMode::Alone);
    assert_eq!(group.plan.listings_version, known);
    let update = ListingsUpdate {
        after: known,
        version: StoreVersion(version),
        changes: vec![removed(2), removed(1)],
    };
    group.step(vec![Event::ListingsChanged(update)]);
    assert_eq!(group.engines(), 0);
    assert_eq!(group.plan.listings, FeedMode::Relayed);
    assert!(group.kit.notifications().is_empty(), "only followers relay");
}

/// Guards against a backend server that is used again because an answer of the store, read before
/// it left, arrives after the relay of its end.
#[test]
fn older_answer_of_the_store_does_not_bring_a_backend_server_back() {
    let mut group = Group::relayed();
    let known = group.version().0;
    group.relay(0, known, known + 9, removed(1));
    let update = ListingsUpdate {
        after: StoreVersion(known),
        version: StoreVersion(known + 3),
        changes: vec![listed(1)],
    };
    group.step(vec![Event::ListingsChanged(update)]);
    let listings = vec![kit::listing(ENGINE, 1), kit::listing(ENGINE, 2)];
    group.step(vec![Event::ListingsRead { version: StoreVersion(known + 3), listings }]);
    assert_eq!(group.engines(), 1);
}

/// Guards against a restarted gateway that uses relayed changes before it has read the listings.
#[test]
fn relayed_change_before_the_first_read_is_ignored() {
    let mut group = Group::relayed();
    group.kit = Kit::unconfigured();
    group.relay(0, 0, 9, listed(1));
    assert_eq!(group.engines(), 0);
}

/// Guards against a gateway that waits for a peer's newer configuration in vain: it has 700 ms.
#[test]
fn newer_configuration_that_no_peer_delivers_makes_the_gateway_call_the_feed() {
    let mut group = Group::relayed();
    for _ in 0..8 {
        let report = group.report(0);
        group.message(0, 8, Some(report), PeerUpdate::Changes(Vec::new()));
        group.run_for(Duration::from_millis(100));
    }
    assert_eq!(group.plan.operator, FeedMode::Alone);
    assert_eq!(group.plan.listings, FeedMode::Relayed);
}

/// Guards against relying on followers while the store turns away this gateway, which then does not
/// know whether listings have lapsed.
#[test]
fn gateway_that_the_store_turns_away_calls_the_feeds() {
    let mut group = Group::relayed();
    group.step(vec![Event::StoreLost]);
    assert_eq!(group.plan.listings, FeedMode::Alone);
    group.step(vec![Event::StoreAnswered]);
    assert_eq!(group.plan.listings, FeedMode::Relayed);
}

/// Guards against gateways that rely on a follower whose calls for the operator's table fail, while
/// those for the listings are answered.
#[test]
fn follower_without_the_operators_table_reports_an_old_copy() {
    let mut group = Group::new(0, GATEWAYS);
    for version in 2..12 {
        group.run_for(Duration::from_millis(200));
        let (after, version) = (StoreVersion(version - 1), StoreVersion(version));
        let update = ListingsUpdate { after, version, changes: Vec::new() };
        group.step(vec![Event::StoreAnswered, Event::ListingsChanged(update)]);
    }
    group.run_for(Duration::from_millis(400));
    let reports: Vec<_> = group.kit.notifications().iter().filter_map(|m| m.feed).collect();
    assert!(!reports.is_empty());
    assert!(reports.iter().all(|report| report.age_ms >= 2000), "{reports:?}");
}

#[test]
fn follower_relays_its_changes_and_reports_at_intervals() {
    let mut group = Group::new(0, GATEWAYS);
    let change =
        group.kit.listing_changed(Listing { is_draining: true, ..kit::listing(ENGINE, 1) });
    group.step(vec![change]);
    let relayed = group.kit.notifications();
    assert!(relayed.iter().any(|message| matches!(&message.update,
        PeerUpdate::Listings(update) if update.changes.len() == 1)));
    let known = group.version();
    assert!(relayed.iter().all(|message| message.feed.is_some_and(|feed| feed.version == known)));
    group.run_for(Duration::from_millis(2000));
    let reports = group.kit.notifications().len();
    assert!((5..=9).contains(&reports), "{reports} reports in 2 s, one is due each 400 ms");
}

/// Guards against a follower whose own calls the store no longer answers: its reports age.
#[test]
fn follower_reports_the_time_since_the_store_answered() {
    let mut group = Group::new(0, GATEWAYS);
    group.run_for(Duration::from_millis(2500));
    let last = group.kit.notifications().pop().and_then(|message| message.feed);
    assert!(last.is_some_and(|feed| feed.age_ms >= 2000), "{last:?}");
}
