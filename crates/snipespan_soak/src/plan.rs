//! What a seed injects, and when.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_fakes::users_platform::store::StoreFault;

/// How large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Gateway processes.
    pub gateways: usize,
    /// Replicas of each service.
    pub replicas: usize,
    /// Clients that send at the same time.
    pub clients: usize,
    /// How long faults are injected.
    pub time: Duration,
}

/// Something done to the system from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Sends a signal to a gateway; one that ends is started again after the time.
    Signal(usize, Signal, Duration),
    /// Freezes a gateway for a time.
    Pause(usize, Duration),
    /// Spoils a gateway's way to the store for a time.
    StoreWay(usize, Fault, Duration),
    /// Spoils the store for a time.
    Store(StoreFault, Duration),
    /// Makes the store forget its history.
    ForgetHistory,
    /// Spoils a replica for a time.
    Replica(usize, ReplicaFault, Duration),
    /// Spoils the way to a replica for a time.
    ReplicaWay(usize, Fault, Duration),
    /// Lists a replica as draining for a time.
    Drain(usize, Duration),
    /// Writes a new configuration, with or without the second API key.
    Configure {
        /// Whether the key is valid.
        has_second_key: bool,
    },
}

/// An action and its time from the start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// Steps for each second of a run; each lasts one to three seconds, so that they overlap.
const STEPS_PER_S: f64 = 1.6;

/// The plan of a seed.
pub fn plan(seed: u64, size: Size) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = (size.time.as_secs_f64() * STEPS_PER_S) as usize;
    let mut steps: Vec<_> = (0..count).map(|_| step(&mut rng, size)).collect();
    steps.sort_by_key(|step| step.at);
    steps
}

fn step(rng: &mut impl Rng, size: Size) -> Step {
    let at = size.time.mul_f64(rng.random_range(0.0..1.0));
    let lasts = Duration::from_millis(rng.random_range(300..2500));
    let gateway = rng.random_range(0..size.gateways);
    let replica = rng.random_range(0..size.replicas * 2);
    let action = match rng.random_range(0..13) {
        0 => Action::Signal(gateway, Signal::SIGKILL, lasts / 4),
        1 => Action::Signal(gateway, Signal::SIGTERM, lasts / 4),
        2 => Action::Signal(gateway, Signal::SIGHUP, lasts),
        3 => Action::Pause(gateway, lasts),
        4 => Action::StoreWay(gateway, way_fault(rng), lasts),
        5 => Action::Store(store_fault(rng), lasts),
        6 => Action::ForgetHistory,
        7 | 8 => Action::Replica(replica, replica_fault(rng), lasts),
        9 | 10 => Action::ReplicaWay(replica, way_fault(rng), lasts),
        11 => Action::Drain(replica, lasts + Duration::from_secs(2)),
        _ => Action::Configure { has_second_key: rng.random_bool(0.5) },
    };
    Step { at, action }
}

fn way_fault(rng: &mut impl Rng) -> Fault {
    match rng.random_range(0..3) {
        0 => Fault::Delay(Duration::from_millis(rng.random_range(5..200))),
        1 => Fault::Freeze,
        _ => Fault::Disconnect,
    }
}

fn store_fault(rng: &mut impl Rng) -> StoreFault {
    match rng.random_range(0..3) {
        0 => StoreFault::Busy,
        1 => StoreFault::Silent,
        _ => StoreFault::Slow(Duration::from_millis(rng.random_range(20..600))),
    }
}

fn replica_fault(rng: &mut impl Rng) -> ReplicaFault {
    match rng.random_range(0..8) {
        0 => ReplicaFault::Refuses,
        1 => ReplicaFault::Errors,
        2 => ReplicaFault::NeverAnswers,
        3 => ReplicaFault::Disconnects(rng.random_range(0..5)),
        4 => ReplicaFault::WrongAttemptId,
        5 => ReplicaFault::Unsigned,
        6 => ReplicaFault::SkipsEvent,
        _ => ReplicaFault::OrdersUnanswered,
    }
}
