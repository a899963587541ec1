//! Failure pattern: a part of a prompt ends each engine that begins an answer to it, at many
//! gateways, each of which sees a few of the crashes and learns of the others after a delay.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;
use snipespan_core::gateway::effect::Dispatch;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::Listing;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::message::PeerMessage;
use snipespan_core::gateway::tables::prompt_parts::PromptPart;
use snipespan_core::keys::CallerKey;
use snipespan_core::keys::WorkKey;
use snipespan_core::result_code::ResultCode;
use snipespan_core::time::Timestamp;

use crate::kit;
use crate::kit::ENGINE;
use crate::kit::Kit;

const GATEWAYS: usize = 12;
const ENGINES: u8 = 30;

/// Time after which a gateway receives what another one sent.
const VIEW_DELAY: Duration = Duration::from_millis(10);

/// Time to the head, to the first event and to the end of each stream.
const HEAD: Duration = Duration::from_millis(60);
const FIRST_EVENT: Duration = Duration::from_millis(150);
const STREAM: Duration = Duration::from_millis(2000);

/// Interval of the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a crash within which the engine accepts no connection and is listed as before.
const DOWN: Duration = Duration::from_secs(3);

/// Mean interval of requests over all gateways.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);

/// The part that ends engines, and the one that all prompts with it share with sound ones.
const DEADLY: PromptPart = PromptPart(66);
const SHARED: PromptPart = PromptPart(1);

/// Number of parts that one prompt in ten or so shares.
const TENANTS: u64 = 10;

/// What is due next in the simulation.
enum Due {
    Message { to: usize, from: SocketAddr, message: Box<PeerMessage> },
    Event { attempt: u64 },
    End { attempt: u64 },
    Crash { attempt: u64 },
    NotRun { gateway: usize, work: WorkKey },
    Restart { engine: SocketAddr },
}

/// An attempt that an engine runs.
struct Attempt {
    gateway: usize,
    work: WorkKey,
    engine: SocketAddr,
    began: Timestamp,
}

/// A request, as the test counts it.
struct Sent {
    arrived: Timestamp,
    is_deadly: bool,
    has_shared_part: bool,
    /// Time of each send.
    sends: Vec<Timestamp>,
    has_begun_at_first_send: bool,
    refused: Option<ResultCode>,
}

/// Gateways and engines in simulated time.
struct Fleet {
    gateways: Vec<Kit>,
    now: Timestamp,
    due: BTreeMap<Timestamp, VecDeque<Due>>,
    rng: SmallRng,
    /// Listing of each engine, and whether it is down.
    engines: BTreeMap<SocketAddr, (Listing, bool)>,
    attempts: BTreeMap<u64, Attempt>,
    attempt_count: u64,
    requests: BTreeMap<(usize, CallerKey), Sent>,
    crashes: Vec<Timestamp>,
    /// Whether the part ends engines.
    is_deadly: bool,
    /// Share of messages between gateways that are lost.
    loss: f64,
}

impl Fleet {
    fn new(seed: u64, loss: f64) -> Self {
        let gateway = |number: usize| {
            let mut kit = Kit::new(ENGINES);
            kit.world.settings.node = format!("gateway-{number}").into();
            kit.world.rng = SmallRng::seed_from_u64(seed * 100 + number as u64);
            let peers = (0..GATEWAYS).filter(|peer| *peer != number);
            kit.step(vec![Event::PeersRead(peers.map(address).collect())]);
            kit
        };
        let gateways: Vec<_> = (0..GATEWAYS).map(gateway).collect();
        let engines = (1..=ENGINES).map(|number| kit::listing(ENGINE, number));
        Self {
            now: gateways[0].now,
            gateways,
            due: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            engines: engines.map(|listing| (listing.address, (listing, false))).collect(),
            attempts: BTreeMap::new(),
            attempt_count: 0,
            requests: BTreeMap::new(),
            crashes: Vec::new(),
            is_deadly: true,
            loss,
        }
    }

    fn step(&mut self, gateway: usize, events: Vec<Event>) {
        self.gateways[gateway].now = self.now;
        self.gateways[gateway].step(events);
        self.execute_effects(gateway);
    }

    fn execute_effects(&mut self, gateway: usize) {
        for effect in std::mem::take(&mut self.gateways[gateway].effects) {
            match effect {
                Effect::Send { caller, dispatch } => self.send(gateway, caller, &dispatch),
                Effect::Refuse { caller, code, .. } => {
                    if let Some(request) = self.requests.get_mut(&(gateway, caller)) {
                        request.refused = Some(code);
                    }
                }
                Effect::NotifyPeers { message, .. } => {
                    for to in (0..GATEWAYS).filter(|to| *to != gateway) {
                        if self.rng.random_bool(self.loss) {
                            continue;
                        }
                        let (from, message) = (address(gateway), message.clone());
                        self.schedule(VIEW_DELAY, Due::Message { to, from, message });
                    }
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, gateway: usize, caller: CallerKey, dispatch: &Dispatch) {
        let (engine, work) = (dispatch.address, dispatch.work);
        let (listing, is_down) = &self.engines[&engine];
        if *is_down || listing.id != dispatch.instance {
            self.schedule(Duration::from_millis(2), Due::NotRun { gateway, work });
            return;
        }
        let now = self.now;
        let request = self.requests.get_mut(&(gateway, caller)).expect("it arrived");
        request.sends.push(now);
        let is_crashing = request.is_deadly && self.is_deadly;
        self.attempt_count += 1;
        let attempt = self.attempt_count;
        self.attempts.insert(attempt, Attempt { gateway, work, engine, began: now });
        if is_crashing {
            self.schedule(FIRST_EVENT, Due::Crash { attempt });
            return;
        }
        let mut after = FIRST_EVENT;
        while after < STREAM {
            self.schedule(after, Due::Event { attempt });
            after += EVENT_INTERVAL;
        }
        self.schedule(STREAM, Due::End { attempt });
    }

    fn schedule(&mut self, after: Duration, due: Due) {
        self.due.entry(self.now.after(after)).or_default().push_back(due);
    }

    /// Ends an engine: the connections of all its attempts break.
    fn crash(&mut self, engine: SocketAddr) {
        let Some((_, is_down)) = self.engines.get_mut(&engine) else { return };
        if std::mem::replace(is_down, true) {
            return;
        }
        self.schedule(DOWN, Due::Restart { engine });
        let open = std::mem::take(&mut self.attempts).into_iter();
        let (broken, open): (Vec<_>, Vec<_>) = open.partition(|(_, row)| row.engine == engine);
        self.attempts = open.into_iter().collect();
        for (_, Attempt { gateway, work, began, .. }) in broken {
            let age = self.now.since(began);
            let stage = match age {
                age if age > FIRST_EVENT => {
                    let since_first = age - FIRST_EVENT;
                    let reads = 1 + (since_first.as_millis() / EVENT_INTERVAL.as_millis()) as u32;
                    AnswerStage::Events { reads, since_first }
                }
                age if age >= HEAD => AnswerStage::Begun,
                _ => AnswerStage::Awaited,
            };
            let reason = FailReason::Broken;
            self.step(gateway, vec![Event::AttemptFailed { work, reason, stage }]);
        }
    }

    fn restart(&mut self, engine: SocketAddr) {
        let (listing, is_down) = self.engines.get_mut(&engine).expect("an engine");
        *is_down = false;
        listing.started_unix_ms += 1;
        listing.instance_hash += 10_000;
        let listing = listing.clone();
        for gateway in 0..GATEWAYS {
            let event = self.gateways[gateway].listing_changed(listing.clone());
            self.step(gateway, vec![event]);
        }
    }

    /// Returns the gateway and the work of an attempt that is still open.
    fn open(&self, attempt: u64) -> Option<(usize, WorkKey)> {
        self.attempts.get(&attempt).map(|row| (row.gateway, row.work))
    }

    fn mark_begun(&mut self, gateway: usize, work: WorkKey) {
        let world = &self.gateways[gateway].world;
        let request = world.requests.iter().find(|(_, row)| row.work == Some(work));
        let Some((_, row)) = request else { return };
        if let Some(sent) = self.requests.get_mut(&(gateway, row.caller)) {
            sent.has_begun_at_first_send |= sent.sends.len() == 1;
        }
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Message { to, from, message } => {
                let message = *message;
                self.step(to, vec![Event::PeerMessageReceived { from, message }]);
            }
            Due::Event { attempt } => {
                let Some((gateway, work)) = self.open(attempt) else { return };
                self.mark_begun(gateway, work);
                self.step(gateway, vec![Event::AttemptProgress { work }]);
            }
            Due::End { attempt } => {
                let Some((gateway, work)) = self.open(attempt) else { return };
                self.attempts.remove(&attempt);
                let longest_gap = Duration::ZERO;
                self.step(gateway, vec![Event::AttemptCompleted { work, longest_gap }]);
            }
            Due::Crash { attempt } => {
                let Some(engine) = self.attempts.get(&attempt).map(|row| row.engine) else {
                    return;
                };
                self.crashes.push(self.now);
                self.crash(engine);
            }
            Due::NotRun { gateway, work } => {
                let reason = NotRunReason::Unreachable;
                self.step(gateway, vec![Event::AttemptNotRun { work, reason }]);
            }
            Due::Restart { engine } => self.restart(engine),
        }
    }

    fn run_until(&mut self, until: Timestamp) {
        while let Some(entry) = self.due.first_entry().filter(|entry| *entry.key() <= until) {
            self.now = *entry.key();
            for due in entry.remove() {
                self.handle(due);
            }
        }
        self.now = until;
    }

    fn arrive(&mut self, parts: Vec<PromptPart>) {
        let gateway = self.rng.random_range(0..GATEWAYS);
        let kit = &mut self.gateways[gateway];
        kit.now = self.now;
        let mut arrival = kit.arrival("/draft/1", 4_000);
        arrival.own_part = PromptPart(self.rng.random_range(1_000..u64::MAX));
        let sent = Sent {
            arrived: self.now,
            is_deadly: parts.contains(&DEADLY),
            has_shared_part: parts.contains(&SHARED),
            sends: Vec::new(),
            has_begun_at_first_send: false,
            refused: None,
        };
        arrival.parts = parts;
        self.requests.insert((gateway, arrival.caller), sent);
        self.step(gateway, vec![Event::Arrival(Box::new(arrival))]);
    }

    /// Lets requests arrive for a time, of which a share has the deadly part.
    fn play(&mut self, time: Duration, deadly_share: f64) {
        let until = self.now.after(time);
        while self.now < until {
            let parts = match self.rng.random_bool(deadly_share) {
                true => vec![SHARED, DEADLY],
                false => vec![PromptPart(self.rng.random_range(1..=TENANTS))],
            };
            self.arrive(parts);
            let pause = REQUEST_INTERVAL.mul_f64(self.rng.random_range(0.0..2.0));
            self.run_until(self.now.after(pause));
        }
    }

    /// Returns the sends of requests with the deadly part from a time on.
    fn deadly_sends_from(&self, from: Timestamp) -> usize {
        let deadly = self.requests.values().filter(|request| request.is_deadly);
        deadly.flat_map(|request| &request.sends).filter(|sent| **sent >= from).count()
    }

    /// Returns the share of sound requests with the shared part, of those that arrived from a time
    /// on, whose answer began at the first send.
    fn begun_share_from(&self, from: Timestamp) -> f64 {
        let sound = self.requests.values().filter(|request| {
            request.has_shared_part && !request.is_deadly && request.arrived >= from
        });
        let begun: Vec<_> = sound.map(|request| request.has_begun_at_first_send).collect();
        assert!(begun.len() >= 20, "only {} requests", begun.len());
        begun.iter().filter(|has_begun| **has_begun).count() as f64 / begun.len() as f64
    }

    fn refused(&self, code: ResultCode) -> usize {
        self.requests.values().filter(|request| request.refused == Some(code)).count()
    }
}

fn address(gateway: usize) -> SocketAddr {
    kit::peer_address(gateway as u8)
}

/// Guards against requests of one kind that end one engine after the other, and against sound
/// requests that pay for it because they share another part.
#[rstest]
#[case::few(1, 0.01, 0.0)]
#[case::some(2, 0.05, 0.0)]
#[case::many(3, 0.2, 0.0)]
#[case::datagrams_lost(4, 0.05, 0.1)]
#[case::many_datagrams_lost(5, 0.05, 0.3)]
fn crashing_part_ends_few_engines(#[case] seed: u64, #[case] share: f64, #[case] loss: f64) {
    let mut fleet = Fleet::new(seed, loss);
    fleet.play(Duration::from_secs(4), 0.0);
    fleet.play(Duration::from_secs(30), share);
    let fifth = fleet.crashes.get(4).or(fleet.crashes.last()).copied().expect("a crash");
    let later = fleet.deadly_sends_from(fifth.after(Duration::from_secs(3)));
    assert!(later <= 3, "{later} more sends, {} crashes", fleet.crashes.len());
    let begun = fleet.begun_share_from(fifth.after(Duration::from_secs(6)));
    assert!(begun >= 0.9, "{begun} of the sound requests with the shared part began");
}

/// Guards against parts that are blocked because many engines end at the same moment, for a cause of
/// their own.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::within_a_second(Duration::from_millis(200))]
fn burst_of_crashes_blocks_no_part(#[case] gap: Duration) {
    let mut fleet = Fleet::new(7, 0.0);
    fleet.play(Duration::from_secs(4), 0.0);
    let engines: Vec<_> = fleet.engines.keys().copied().take(usize::from(ENGINES) / 5).collect();
    for engine in engines {
        fleet.crash(engine);
        fleet.play(gap, 0.0);
    }
    fleet.play(Duration::from_secs(8), 0.0);
    assert_eq!(fleet.refused(ResultCode::PromptPartBlocked), 0);
}

/// Guards against a part that stays blocked after it was mended.
#[test]
fn mended_part_is_used_again() {
    let mut fleet = Fleet::new(8, 0.0);
    fleet.play(Duration::from_secs(4), 0.0);
    fleet.play(Duration::from_secs(8), 0.05);
    assert!(fleet.refused(ResultCode::PromptPartBlocked) > 0);
    fleet.is_deadly = false;
    fleet.play(Duration::from_secs(100), 0.05);
    let before = fleet.refused(ResultCode::PromptPartBlocked);
    let sends = fleet.deadly_sends_from(Timestamp::ZERO);
    fleet.play(Duration::from_secs(5), 0.05);
    assert_eq!(fleet.refused(ResultCode::PromptPartBlocked), before);
    assert!(fleet.deadly_sends_from(Timestamp::ZERO) > sends + 5);
}

/// Guards against several gateways that probe a blocked part at the same time.
#[test]
fn blocked_part_is_probed_by_one_gateway_at_a_time() {
    let mut fleet = Fleet::new(9, 0.0);
    fleet.play(Duration::from_secs(4), 0.0);
    fleet.play(Duration::from_secs(150), 0.1);
    let deadly = fleet.requests.values().filter(|request| request.is_deadly);
    let sends: BTreeSet<_> = deadly.flat_map(|request| request.sends.iter().copied()).collect();
    let probes: Vec<_> =
        sends.range(fleet.crashes[4].after(Duration::from_secs(3))..).copied().collect();
    assert!(!probes.is_empty(), "it is probed");
    let gaps = probes.windows(2).map(|pair| pair[1].since(pair[0]));
    assert!(gaps.min().is_none_or(|gap| gap >= Duration::from_secs(5)), "{probes:?}");
}
