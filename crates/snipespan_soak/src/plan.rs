//! Plan of the faults and changes that a seed injects.

use std::time::Duration;

use nix::sys::signal::Signal;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_fakes::users_platform::store::StoreFault;

/// Size and duration of a soak run.
#[derive(Clone, Copy, Debug)]
pub struct SoakConfig {
    /// Number of gateway processes.
    pub gateways: usize,
    /// Number of replicas of each service.
    pub replicas: usize,
    /// Number of concurrent clients.
    pub clients: usize,
    /// Time during which faults are injected.
    pub fault_duration: Duration,
}

/// A fault or change that is injected from outside. The numbers are indexes of gateways, or of
/// replicas of both services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Sends a signal to a gateway and, if the signal ends it, restarts it after the time.
    Signal(usize, Signal, Duration),
    /// Freezes a gateway with SIGSTOP for the time.
    Pause(usize, Duration),
    /// Sets a fault on a gateway's connections to the store for the time.
    StoreLink(usize, Fault, Duration),
    /// Sets a fault of the store for the time.
    Store(StoreFault, Duration),
    /// Makes the store forget its history of changes.
    ForgetHistory,
    /// Sets a fault of a replica for the time.
    Replica(usize, ReplicaFault, Duration),
    /// Sets a fault on the connections to a replica for the time.
    ReplicaLink(usize, Fault, Duration),
    /// Lists a replica as draining for the time.
    Drain(usize, Duration),
    /// Writes a new configuration, with or without the revocable API key.
    Configure {
        /// Whether the key is valid.
        has_revocable_key: bool,
    },
}

/// An action and the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Time from the start of the plan.
    pub at: Duration,
    /// Action to apply.
    pub action: Action,
}

/// Number of steps per second; most faults last 0.3 to 2.5 seconds, so that they overlap.
const STEPS_PER_S: f64 = 1.6;

/// Generates the plan of a seed, in the order of time.
pub fn generate_plan(seed: u64, config: SoakConfig) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = (config.fault_duration.as_secs_f64() * STEPS_PER_S) as usize;
    let mut steps: Vec<_> = (0..count).map(|_| draw_step(&mut rng, config)).collect();
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws a step. Each of the two services has `config.replicas` replicas.
fn draw_step(rng: &mut impl Rng, config: SoakConfig) -> Step {
    let at = config.fault_duration.mul_f64(rng.random_range(0.0..1.0));
    let duration = Duration::from_millis(rng.random_range(300..2500));
    let gateway = rng.random_range(0..config.gateways);
    let replica = rng.random_range(0..config.replicas * 2);
    let action = match rng.random_range(0..13) {
        0 => Action::Signal(gateway, Signal::SIGKILL, duration / 4),
        1 => Action::Signal(gateway, Signal::SIGTERM, duration / 4),
        2 => Action::Signal(gateway, Signal::SIGHUP, duration),
        3 => Action::Pause(gateway, duration),
        4 => Action::StoreLink(gateway, draw_link_fault(rng), duration),
        5 => Action::Store(draw_store_fault(rng), duration),
        6 => Action::ForgetHistory,
        7 | 8 => Action::Replica(replica, draw_replica_fault(rng), duration),
        9 | 10 => Action::ReplicaLink(replica, draw_link_fault(rng), duration),
        11 => Action::Drain(replica, duration + Duration::from_secs(2)),
        _ => Action::Configure { has_revocable_key: rng.random_bool(0.5) },
    };
    Step { at, action }
}

fn draw_link_fault(rng: &mut impl Rng) -> Fault {
    match rng.random_range(0..3) {
        0 => Fault::Delay(Duration::from_millis(rng.random_range(5..200))),
        1 => Fault::Freeze,
        _ => Fault::Disconnect,
    }
}

fn draw_store_fault(rng: &mut impl Rng) -> StoreFault {
    match rng.random_range(0..3) {
        0 => StoreFault::Busy,
        1 => StoreFault::Silent,
        _ => StoreFault::Slow(Duration::from_millis(rng.random_range(20..600))),
    }
}

fn draw_replica_fault(rng: &mut impl Rng) -> ReplicaFault {
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
