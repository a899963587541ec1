//! Gateways and engines in three data centres, in simulated time.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::Listing;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::message;
use snipespan_core::gateway::message::MessageRoute;
use snipespan_core::gateway::message::PeerMessage;
use snipespan_core::gateway::serving::DataCentreDelay;
use snipespan_core::gateway::tables::work::Work;
use snipespan_core::gateway::tables::work::WorkOwner;
use snipespan_core::keys::WorkKey;
use snipespan_core::time::Timestamp;

use crate::kit;
use crate::kit::ENGINE_SPEC;
use crate::kit::Kit;

pub(crate) const DATA_CENTRES: usize = 3;
const GATEWAYS_EACH: usize = 3;
const ENGINES_EACH: u8 = 6;

/// Time after which a gateway receives what another one sent.
const VIEW_DELAY: Duration = Duration::from_millis(5);

/// Time after which a moment without messages under way has come; far less than the second after
/// which a snapshot makes up for lost ones.
const SETTLED: Duration = Duration::from_millis(60);

/// Time to the first event and to the end of each stream.
const FIRST_EVENT: Duration = Duration::from_millis(100);
const STREAM: Duration = Duration::from_millis(1500);

/// Requests a second that fill the slots of one data centre.
pub(crate) const FULL_RATE: f64 =
    ENGINES_EACH as f64 * ENGINE_SPEC.slots as f64 / STREAM.as_millis() as f64 * 1e3;

/// What is due next in the simulation.
enum Due {
    Message { to: usize, from: SocketAddr, message: Box<PeerMessage>, route: Option<MessageRoute> },
    Event { gateway: usize, work: WorkKey },
    End { gateway: usize, work: WorkKey, engine: SocketAddr },
    Unreachable { gateway: usize, work: WorkKey },
    Wake { gateway: usize },
}

/// Counts of what happened.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) sent: usize,
    /// Sends to an engine whose slots were all in use.
    pub(crate) crowded: usize,
    /// Sends from each data centre to another one.
    pub(crate) left: [usize; DATA_CENTRES],
    /// Sends over a link that was cut.
    pub(crate) unreachable: usize,
    pub(crate) refused: usize,
    /// Messages to gateways, and those of them to another data centre.
    pub(crate) messages: usize,
    pub(crate) messages_between: usize,
    /// Times at which requests began to leave a data centre for another, or no longer did.
    pub(crate) changes: usize,
}

/// The gateways, the engines and their clients.
pub(crate) struct Fleet {
    pub(crate) gateways: Vec<Kit>,
    pub(crate) counts: Counts,
    /// The data centre whose links to the others are cut.
    pub(crate) cut: Option<usize>,
    /// Gateways that are frozen.
    pub(crate) frozen: Vec<usize>,
    /// Share of the messages that are lost.
    pub(crate) loss: f64,
    now: Timestamp,
    wakes: Vec<Timestamp>,
    due: BTreeMap<Timestamp, VecDeque<Due>>,
    open: BTreeMap<SocketAddr, usize>,
    rng: SmallRng,
}

impl Fleet {
    /// Creates the fleet; `mb_cost` is the setting for the cost of traffic.
    pub(crate) fn new(mb_cost: Option<f64>) -> Self {
        let count = DATA_CENTRES * GATEWAYS_EACH;
        let gateway = |number: usize| {
            let mut kit = Kit::new(0);
            kit.world.settings.node = format_compact!("gateway-{number}");
            kit.world.settings.data_centre = name(number / GATEWAYS_EACH);
            kit.world.settings.remote_mb_cost = mb_cost;
            kit.world.rng = SmallRng::seed_from_u64(number as u64);
            let peers = (0..count).filter(|peer| *peer != number).map(address).collect();
            let read = kit.listings_read(listings(&|_| true));
            kit.step(vec![Event::PeersRead(peers), read]);
            kit
        };
        let gateways: Vec<_> = (0..count).map(gateway).collect();
        let now = gateways[0].now;
        let mut fleet = Self {
            gateways,
            counts: Counts::default(),
            cut: None,
            frozen: Vec::new(),
            loss: 0.0,
            now,
            wakes: vec![Timestamp::ZERO; count],
            due: BTreeMap::new(),
            open: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(1),
        };
        (0..count).for_each(|gateway| fleet.step(gateway, Vec::new()));
        // All gateways have heard of each other by then.
        fleet.run([0.0; DATA_CENTRES], Duration::from_secs(2));
        fleet
    }

    /// Sets the time that a message takes one way between any two data centres, by configuration.
    pub(crate) fn set_delay(&mut self, one_way: Duration) {
        let pairs = [[0, 1], [0, 2], [1, 2]].map(|pair| pair.map(name));
        let delays = pairs.map(|between| DataCentreDelay { between, one_way }).to_vec();
        let serving = kit::serving(2).with_delays(delays);
        for gateway in 0..self.gateways.len() {
            let serving = Box::new(serving.clone());
            self.step(gateway, vec![Event::ServingReceived { serving, is_from_store: true }]);
        }
    }

    /// Lists only the engines with these numbers at all gateways.
    pub(crate) fn list_engines(&mut self, is_listed: &dyn Fn(u8) -> bool) {
        for gateway in 0..self.gateways.len() {
            let read = self.gateways[gateway].listings_read(listings(is_listed));
            self.step(gateway, vec![read]);
        }
    }

    /// Lets requests arrive at each data centre with its rate per second, and returns the counts of
    /// this time alone.
    pub(crate) fn run(&mut self, rates: [f64; DATA_CENTRES], time: Duration) -> Counts {
        self.counts = Counts::default();
        let until = self.now.after(time);
        if rates.iter().sum::<f64>() > 0.0 {
            self.arrive_until(until, rates);
        }
        self.run_until(until);
        self.counts
    }

    /// Returns the gateways of a data centre that relay the messages of `gateway` there.
    pub(crate) fn relays_of(&self, gateway: usize, data_centre: usize) -> Vec<usize> {
        let world = &self.gateways[gateway].world;
        let found = world.data_centres.find(&name(data_centre));
        let choice = found.and_then(|key| world.relays.get(key));
        let relays = choice.and_then(|choice| choice.relays).into_iter().flatten();
        let addresses = relays.filter_map(|key| world.peers.get(key)).map(|peer| peer.address);
        addresses
            .filter_map(|at| (0..self.gateways.len()).find(|peer| address(*peer) == at))
            .collect()
    }

    /// Returns the largest difference between the open work that a gateway sees and that of all, as
    /// a share of the latter. Frozen gateways have no work.
    pub(crate) fn view_error(&self) -> f64 {
        let is_own = |work: &Work| matches!(work.owner, WorkOwner::Own(_));
        let of = |kit: &Kit| kit.world.work.iter().filter(|(_, work)| is_own(work)).count();
        let all: usize = self.gateways.iter().map(of).sum();
        let awake = (0..self.gateways.len()).filter(|gateway| !self.frozen.contains(gateway));
        let seen = awake.map(|gateway| self.gateways[gateway].world.work.len());
        seen.map(|seen| seen.abs_diff(all)).max().unwrap_or(0) as f64 / all.max(1) as f64
    }

    /// Fails unless there is open work and each gateway sees all of it within [`SETTLED`].
    pub(crate) fn assert_common_view(&mut self) {
        let until = self.now.after(SETTLED);
        while self.view_error() > 0.0 && self.now < until {
            self.run_until(self.now.after(Duration::from_millis(1)));
        }
        let seen: Vec<_> = self.gateways.iter().map(|kit| kit.world.work.len()).collect();
        assert!(seen[0] > 0 && self.view_error() == 0.0, "{seen:?}, frozen: {:?}", self.frozen);
    }

    fn arrive_until(&mut self, until: Timestamp, rates: [f64; DATA_CENTRES]) {
        let total: f64 = rates.iter().sum();
        loop {
            let pause = Duration::from_secs_f64(self.rng.random_range(0.0..2.0) / total);
            let at = self.now.after(pause);
            if at >= until {
                return;
            }
            self.run_until(at);
            let mut drawn = self.rng.random_range(0.0..total);
            let mut data_centre = 0;
            while data_centre + 1 < DATA_CENTRES && drawn >= rates[data_centre] {
                drawn -= rates[data_centre];
                data_centre += 1;
            }
            let gateway = data_centre * GATEWAYS_EACH + self.rng.random_range(0..GATEWAYS_EACH);
            let kit = &mut self.gateways[gateway];
            kit.now = self.now;
            let arrival = kit.arrival("/draft/1", 4_000);
            self.step(gateway, vec![Event::Arrival(Box::new(arrival))]);
        }
    }

    fn step(&mut self, gateway: usize, events: Vec<Event>) {
        if self.frozen.contains(&gateway) {
            return;
        }
        let kit = &mut self.gateways[gateway];
        kit.now = self.now;
        let wake_at = kit.step(events);
        if let Some(wake_at) = wake_at.map(|at| at.max(self.now.after(Duration::from_millis(1))))
            && (wake_at < self.wakes[gateway] || self.wakes[gateway] <= self.now)
        {
            self.wakes[gateway] = wake_at;
            self.due.entry(wake_at).or_default().push_back(Due::Wake { gateway });
        }
        for effect in std::mem::take(&mut self.gateways[gateway].effects) {
            self.execute_effect(gateway, effect);
        }
    }

    fn execute_effect(&mut self, gateway: usize, effect: Effect) {
        let own = gateway / GATEWAYS_EACH;
        match effect {
            Effect::Send { dispatch, .. } => {
                let (engine, work) = (dispatch.address, dispatch.work);
                let there = data_centre_of(engine);
                self.counts.sent += 1;
                self.counts.left[own] += usize::from(there != own);
                if self.is_cut(own, there) {
                    self.counts.unreachable += 1;
                    let connect_timeout = Duration::from_millis(250);
                    return self.schedule(connect_timeout, Due::Unreachable { gateway, work });
                }
                let open = self.open.entry(engine).or_default();
                self.counts.crowded += usize::from(*open >= ENGINE_SPEC.slots as usize);
                *open += 1;
                for event in 0..6 {
                    let after = FIRST_EVENT + (STREAM - FIRST_EVENT) / 6 * event;
                    self.schedule(after, Due::Event { gateway, work });
                }
                self.schedule(STREAM, Due::End { gateway, work, engine });
            }
            Effect::NotifyPeers { to, message, route } => {
                for to in to {
                    let to = (0..self.gateways.len()).find(|peer| address(*peer) == to);
                    let Some(to) = to.filter(|to| !self.is_cut(own, to / GATEWAYS_EACH)) else {
                        continue;
                    };
                    self.counts.messages += 1;
                    self.counts.messages_between += usize::from(to / GATEWAYS_EACH != own);
                    if self.rng.random_bool(self.loss) {
                        continue;
                    }
                    let (from, message, route) = (address(gateway), message.clone(), route.clone());
                    self.schedule(VIEW_DELAY, Due::Message { to, from, message, route });
                }
            }
            Effect::Refuse { .. } => self.counts.refused += 1,
            Effect::LogDecision(decision) => {
                let is_change = matches!(*decision, Decision::LeavingChanged { .. });
                self.counts.changes += usize::from(is_change);
            }
            _ => {}
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        a != b && self.cut.is_some_and(|cut| cut == a || cut == b)
    }

    fn schedule(&mut self, after: Duration, due: Due) {
        self.due.entry(self.now.after(after)).or_default().push_back(due);
    }

    fn run_until(&mut self, until: Timestamp) {
        while let Some(entry) = self.due.first_entry().filter(|entry| *entry.key() <= until) {
            self.now = *entry.key();
            for due in entry.remove() {
                self.handle_due(due);
            }
        }
        self.now = until;
    }

    fn handle_due(&mut self, due: Due) {
        match due {
            Due::Message { to, from, message, route } => {
                self.step(to, message::received_events(from, *message, route));
            }
            Due::Event { gateway, work } => {
                self.step(gateway, vec![Event::AttemptProgress { work }]);
            }
            Due::End { gateway, work, engine } => {
                self.open.entry(engine).and_modify(|open| *open -= 1);
                let bytes = Event::AttemptBytes { work, bytes: 8_000 };
                let longest_gap = Duration::ZERO;
                self.step(gateway, vec![bytes, Event::AttemptCompleted { work, longest_gap }]);
            }
            Due::Unreachable { gateway, work } => {
                let reason = NotRunReason::Unreachable;
                self.step(gateway, vec![Event::AttemptNotRun { work, reason }]);
            }
            Due::Wake { gateway } if self.wakes[gateway] == self.now => {
                self.step(gateway, Vec::new());
            }
            Due::Wake { .. } => {}
        }
    }
}

pub(crate) fn name(data_centre: usize) -> CompactString {
    format_compact!("dc-{data_centre}")
}

/// Returns whether an engine is in a data centre.
pub(crate) const fn is_engine_of(number: u8, data_centre: usize) -> bool {
    (number as usize - 1) / ENGINES_EACH as usize == data_centre
}

fn listings(is_listed: &dyn Fn(u8) -> bool) -> Vec<Listing> {
    let numbers = (1..=DATA_CENTRES as u8 * ENGINES_EACH).filter(|number| is_listed(*number));
    let listing = |number: u8| {
        let data_centre = name((usize::from(number) - 1) / usize::from(ENGINES_EACH));
        Listing { data_centre, ..kit::listing(kit::ENGINE, number) }
    };
    numbers.map(listing).collect()
}

fn data_centre_of(engine: SocketAddr) -> usize {
    let IpAddr::V4(ip) = engine.ip() else { return 0 };
    (usize::from(ip.octets()[3]) - 1) / usize::from(ENGINES_EACH)
}

fn address(gateway: usize) -> SocketAddr {
    kit::peer_address(gateway as u8)
}
