//! Load pattern: all gateways have more work for a cold backend server than it takes, while some of
//! them restart, pause, or do not hear each other. `limit_fleet.rs` uses the same gateways before a
//! backend server that names a limit.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Announcement;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::Listing;
use snipespan_core::gateway::event::RequestRate;
use snipespan_core::gateway::event::StoreVersion;
use snipespan_core::gateway::message::PeerMessage;
use snipespan_core::time::Timestamp;

use crate::kit;
use crate::kit::Kit;
use crate::kit::PLAIN;

/// Rate of a cold backend server in the first deployment, and the bound on what it gets.
const COLD_RATE: f64 = 28.0;
const BOUND: usize = 47;

/// Step of the simulation, after which messages and answers arrive.
const STEP: Duration = Duration::from_millis(10);

/// Interval between requests at each gateway, in steps: ten a second.
const ARRIVAL_STEPS: usize = 10;

/// Which gateways hear each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Links {
    All,
    /// Those below the number and the others are cut off from each other.
    Split(usize),
    /// The first two of three data centres are cut off from each other.
    Triangle,
    None,
}

/// Gateways before one backend server, in simulated time.
pub(crate) struct Fleet {
    pub(crate) gateways: Vec<Kit>,
    pub(crate) now: Timestamp,
    pub(crate) links: Links,
    frozen: Vec<usize>,
    messages: Vec<(usize, PeerMessage)>,
    pending: Vec<Vec<Event>>,
    /// When each gateway started; its own clock counts from there.
    started: Vec<Timestamp>,
    steps: usize,
    /// When a request was sent to the backend server.
    pub(crate) sends: Vec<Timestamp>,
    /// The backend server's listing.
    listing: Listing,
    /// The limit that it names in its answers.
    pub(crate) limit: Option<RequestRate>,
}

fn address(gateway: usize) -> SocketAddr {
    kit::peer_address(gateway as u8)
}

fn cold_listing() -> Listing {
    Listing { cold_ms: 60_000, ..kit::listing(PLAIN, 101) }
}

impl Fleet {
    /// Creates gateways before a backend server that is cold.
    fn new(count: usize) -> Self {
        Self::with_listing(count, cold_listing())
    }

    /// Creates gateways before a backend server that is warm and names no limit yet.
    pub(crate) fn warm(count: usize) -> Self {
        Self::with_listing(count, kit::listing(PLAIN, 101))
    }

    fn with_listing(count: usize, listing: Listing) -> Self {
        let now = Timestamp::from_micros(0);
        let mut fleet = Self {
            gateways: Vec::new(),
            now,
            links: Links::All,
            frozen: Vec::new(),
            messages: Vec::new(),
            pending: vec![Vec::new(); count],
            started: vec![now; count],
            steps: 0,
            sends: Vec::new(),
            listing,
            limit: None,
        };
        fleet.gateways = (0..count).map(|gateway| fleet.start(gateway, count)).collect();
        fleet
    }

    /// Returns a gateway that has just started and has read everything from the store.
    fn start(&self, gateway: usize, count: usize) -> Kit {
        let mut kit = Kit::unconfigured();
        kit.now = Timestamp::ZERO;
        kit.world.incarnation = 1 + self.now.as_micros();
        kit.world.settings.node = format!("gateway-{gateway}").into();
        kit.world.settings.cold_excess = Some(1.5);
        kit.world.settings.cold_slack = Some(5.0);
        let peers = (0..count).filter(|peer| *peer != gateway).map(address).collect();
        let serving = Box::new(kit::serving_with_cold_rate(1, COLD_RATE));
        kit.step(vec![
            Event::StoreAnswered,
            Event::ServingReceived { serving, is_from_store: true },
            Event::ListingsRead { version: StoreVersion(1), listings: vec![self.listing.clone()] },
            Event::PeersRead(peers),
        ]);
        kit
    }

    pub(crate) fn restart(&mut self, gateway: usize) {
        self.started[gateway] = self.now;
        self.gateways[gateway] = self.start(gateway, self.gateways.len());
        self.pending[gateway].clear();
    }

    fn sends_of(&self, gateways: &[usize]) -> u64 {
        let sends =
            gateways.iter().map(|gateway| self.gateways[*gateway].world.counters.cold_sends);
        sends.sum()
    }

    /// Returns the seven gateways that have sent the most.
    fn owners(&self) -> Vec<usize> {
        let mut owners: Vec<_> = (0..self.gateways.len()).collect();
        owners.sort_by_key(|gateway| std::cmp::Reverse(self.sends_of(&[*gateway])));
        owners.truncate(7);
        owners
    }

    fn hears(&self, to: usize, from: usize) -> bool {
        let third = self.gateways.len() / 3;
        match self.links {
            Links::All => true,
            Links::None => false,
            Links::Split(below) => (to < below) == (from < below),
            Links::Triangle => to / third + from / third != 1,
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now.after(time);
        while self.now < until {
            self.now = self.now.after(STEP);
            self.steps += 1;
            let messages = std::mem::take(&mut self.messages);
            for (sender, message) in messages {
                let from = address(sender);
                for to in (0..self.gateways.len()).filter(|to| *to != sender) {
                    if self.hears(to, sender) {
                        let message = message.clone();
                        self.pending[to].push(Event::PeerMessageReceived { from, message });
                    }
                }
            }
            for gateway in 0..self.gateways.len() {
                if !self.frozen.contains(&gateway) {
                    self.step(gateway);
                }
            }
        }
    }

    fn step(&mut self, gateway: usize) {
        let mut events = std::mem::take(&mut self.pending[gateway]);
        let kit = &mut self.gateways[gateway];
        kit.now = Timestamp::ZERO.after(self.now.since(self.started[gateway]));
        if (self.steps + gateway).is_multiple_of(ARRIVAL_STEPS) {
            events.push(Event::Arrival(Box::new(kit.arrival("/look/1", 0))));
        }
        kit.step(events);
        for effect in std::mem::take(&mut kit.effects) {
            match effect {
                Effect::Send { dispatch, .. } => {
                    self.sends.push(self.now);
                    let (work, longest_gap) = (dispatch.work, Duration::ZERO);
                    if self.limit.is_some() {
                        let instance_hash = dispatch.instance_hash;
                        let announcement =
                            Announcement { limit: self.limit, ..Announcement::default() };
                        self.pending[gateway]
                            .push(Event::BackendServerAnnounced { instance_hash, announcement });
                    }
                    self.pending[gateway].push(Event::AttemptCompleted { work, longest_gap });
                }
                Effect::NotifyPeers { message, .. } => self.messages.push((gateway, *message)),
                _ => {}
            }
        }
    }

    /// Returns the largest number of sends within any second.
    fn most_in_a_second(&self) -> usize {
        let within = |start: &Timestamp| {
            let sends = self.sends.iter();
            sends.filter(|s| **s >= *start && s.since(*start) < Duration::from_secs(1)).count()
        };
        self.sends.iter().map(within).max().unwrap_or_default()
    }

    /// Returns the sends per second during the next `time`.
    pub(crate) fn rate_during(&mut self, time: Duration) -> f64 {
        let before = self.sends.len();
        self.run(time);
        (self.sends.len() - before) as f64 / time.as_secs_f64()
    }
}

pub(crate) fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against a cold backend server that crashes by what all gateways send together, and
/// against one that stays empty: at a peak at least 0.8 of its rate is used.
#[rstest]
#[case::one(1, 0.3)]
#[case::three(3, 0.8)]
#[case::first_deployment(27, 0.8)]
#[case::second_deployment(31, 0.8)]
fn cold_server_gets_its_rate_at_a_peak(#[case] gateways: usize, #[case] share: f64) {
    let mut fleet = Fleet::new(gateways);
    fleet.run(secs(3));
    let rate = fleet.rate_during(secs(4));
    assert!(rate >= share * COLD_RATE && rate <= COLD_RATE, "{rate} per second");
    assert!(fleet.most_in_a_second() <= BOUND, "{}", fleet.most_in_a_second());
}

/// Guards against gateways that each use the whole rate since they do not hear each other, and
/// against one that uses nothing for ever.
#[rstest]
#[case::minority(27, Links::Split(13))]
#[case::data_centre(27, Links::Split(9))]
#[case::halves(28, Links::Split(14))]
#[case::two_of_three(27, Links::Triangle)]
#[case::no_messages(31, Links::None)]
fn cold_server_gets_no_more_than_its_bound_under_partition(
    #[case] gateways: usize,
    #[case] links: Links,
) {
    let mut fleet = Fleet::new(gateways);
    fleet.run(secs(3));
    fleet.links = links;
    fleet.run(secs(8));
    assert!(fleet.most_in_a_second() <= BOUND, "{}", fleet.most_in_a_second());
    assert!(fleet.rate_during(secs(3)) >= 10.0);
    fleet.links = Links::All;
    fleet.run(secs(3));
    assert!(fleet.rate_during(secs(3)) >= 0.8 * COLD_RATE);
    assert!(fleet.most_in_a_second() <= BOUND, "{}", fleet.most_in_a_second());
}

/// Guards against gateways that know each other only from the store when the first messages are
/// late: an owner is none before its view has settled.
#[test]
fn cold_server_gets_no_more_than_its_bound_from_gateways_that_have_just_met() {
    for seed in 0..5 {
        let mut fleet = Fleet::new(27);
        fleet.links = Links::None;
        fleet.run(secs(2) + Duration::from_millis(170 * seed));
        fleet.links = Links::All;
        fleet.run(secs(4));
        assert!(fleet.most_in_a_second() <= BOUND, "{}", fleet.most_in_a_second());
    }
}

/// Guards against owners that use their share twice within a second, before and after a restart.
#[test]
fn cold_server_gets_no_more_than_its_bound_from_owners_that_restart() {
    let mut fleet = Fleet::new(27);
    fleet.run(secs(4));
    let owners = fleet.owners();
    for _ in 0..8 {
        owners.iter().for_each(|owner| fleet.restart(*owner));
        fleet.run(Duration::from_millis(700));
    }
    assert!(fleet.most_in_a_second() <= BOUND, "{}", fleet.most_in_a_second());
}

/// Guards against an owner that goes on after a pause although others have replaced it, and against
/// a share that stays unused after its owner is gone.
#[rstest]
#[case::short(Duration::from_millis(900))]
#[case::replaced(secs(8))]
fn cold_server_gets_no_more_than_its_bound_from_owners_that_are_paused(#[case] pause: Duration) {
    let mut fleet = Fleet::new(27);
    fleet.run(secs(4));
    let owners = fleet.owners();
    fleet.frozen = owners.clone();
    fleet.run(pause / 2);
    let rate = fleet.rate_during(pause / 2);
    assert!(pause < secs(5) || rate >= 0.8 * COLD_RATE, "{rate} per second without the owners");
    let used = fleet.sends_of(&owners);
    fleet.frozen.clear();
    fleet.run(Duration::from_millis(900));
    assert_eq!(used, fleet.sends_of(&owners), "nothing to spend for a second after a pause");
    fleet.run(secs(4));
    assert!(fleet.most_in_a_second() <= BOUND, "{}", fleet.most_in_a_second());
    assert!(fleet.rate_during(secs(3)) >= 0.8 * COLD_RATE);
}
