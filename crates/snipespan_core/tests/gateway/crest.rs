//! Load pattern: a crest of short prompts that arrive at many gateways at the same time, each of
//! which knows what the others sent only after a delay.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::message::PeerMessage;
use snipespan_core::keys::WorkKey;
use snipespan_core::time::Timestamp;

use crate::kit;
use crate::kit::ENGINE_SPEC;
use crate::kit::Kit;

const GATEWAYS: usize = 12;
const ENGINES: u8 = 30;

/// Time after which a gateway receives what another one sent: the network, and a small VM that has
/// other work.
const VIEW_DELAY: Duration = Duration::from_millis(10);

/// Time to the first event and to the end of each stream.
const FIRST_EVENT: Duration = Duration::from_millis(150);
const STREAM: Duration = Duration::from_millis(2000);

/// Number of events of each stream.
const EVENTS: u32 = 6;

/// What is due next in the simulation.
enum Due {
    Message { to: usize, from: SocketAddr, message: Box<PeerMessage> },
    Event { gateway: usize, work: WorkKey },
    End { gateway: usize, work: WorkKey, engine: SocketAddr },
}

/// Gateways and engines in simulated time.
struct Fleet {
    gateways: Vec<Kit>,
    now: Timestamp,
    due: BTreeMap<Timestamp, VecDeque<Due>>,
    /// Open work at each engine.
    open: BTreeMap<SocketAddr, usize>,
    sent: usize,
    /// Sends to an engine whose slots were all in use.
    crowded: usize,
}

impl Fleet {
    fn new() -> Self {
        let gateway = |number: usize| {
            let mut kit = Kit::new(ENGINES);
            kit.world.settings.node = format!("gateway-{number}").into();
            kit.world.rng = SmallRng::seed_from_u64(number as u64);
            let peers = (0..GATEWAYS).filter(|peer| *peer != number);
            kit.step(vec![Event::PeersRead(peers.map(address).collect())]);
            kit
        };
        let gateways: Vec<_> = (0..GATEWAYS).map(gateway).collect();
        let now = gateways[0].now;
        let (due, open) = (BTreeMap::new(), BTreeMap::new());
        Self { gateways, now, due, open, sent: 0, crowded: 0 }
    }

    fn step(&mut self, gateway: usize, events: Vec<Event>) {
        self.gateways[gateway].now = self.now;
        self.gateways[gateway].step(events);
        self.execute_effects(gateway);
    }

    fn execute_effects(&mut self, gateway: usize) {
        for effect in std::mem::take(&mut self.gateways[gateway].effects) {
            match effect {
                Effect::Send { dispatch, .. } => {
                    let (engine, work) = (dispatch.address, dispatch.work);
                    let open = self.open.entry(engine).or_default();
                    self.sent += 1;
                    self.crowded += usize::from(*open >= ENGINE_SPEC.slots as usize);
                    *open += 1;
                    for event in 0..EVENTS {
                        let after = FIRST_EVENT + (STREAM - FIRST_EVENT) / EVENTS * event;
                        self.schedule(after, Due::Event { gateway, work });
                    }
                    self.schedule(STREAM, Due::End { gateway, work, engine });
                }
                Effect::NotifyPeers { message, .. } => {
                    for to in (0..GATEWAYS).filter(|to| *to != gateway) {
                        let (from, message) = (address(gateway), message.clone());
                        self.schedule(VIEW_DELAY, Due::Message { to, from, message });
                    }
                }
                _ => {}
            }
        }
    }

    fn schedule(&mut self, after: Duration, due: Due) {
        self.due.entry(self.now.after(after)).or_default().push_back(due);
    }

    fn run_until(&mut self, until: Timestamp) {
        while let Some(entry) = self.due.first_entry().filter(|entry| *entry.key() <= until) {
            self.now = *entry.key();
            for due in entry.remove() {
                match due {
                    Due::Message { to, from, message } => {
                        let message = *message;
                        self.step(to, vec![Event::PeerMessageReceived { from, message }]);
                    }
                    Due::Event { gateway, work } => {
                        self.step(gateway, vec![Event::AttemptProgress { work }]);
                    }
                    Due::End { gateway, work, engine } => {
                        self.open.entry(engine).and_modify(|open| *open -= 1);
                        let longest_gap = Duration::ZERO;
                        self.step(gateway, vec![Event::AttemptCompleted { work, longest_gap }]);
                    }
                }
            }
        }
        self.now = until;
    }
}

fn address(gateway: usize) -> SocketAddr {
    kit::peer_address(gateway as u8)
}

/// Guards against engines that get more requests than they have slots while others have free ones:
/// with a share of the slots in use that leaves room for all, hardly a request waits for a slot.
#[test]
fn short_prompts_at_a_crest_do_not_crowd_one_engine() {
    let mut fleet = Fleet::new();
    let mut rng = SmallRng::seed_from_u64(1);
    let in_use = 0.6 * f64::from(ENGINES) * f64::from(ENGINE_SPEC.slots);
    let interval = STREAM.div_f64(in_use);
    for _ in 0..1_200 {
        let gateway = rng.random_range(0..GATEWAYS);
        fleet.gateways[gateway].now = fleet.now;
        fleet.gateways[gateway].arrive("/draft/1", 4_000);
        fleet.execute_effects(gateway);
        let pause = interval.mul_f64(rng.random_range(0.0..2.0));
        fleet.run_until(fleet.now.after(pause));
    }
    let Fleet { sent, crowded, .. } = fleet;
    assert_eq!(sent, 1_200);
    assert!(crowded * 100 <= sent, "{crowded} of {sent} sends found all slots in use");
}
