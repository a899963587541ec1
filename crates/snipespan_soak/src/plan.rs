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
    /// Makes a replica say in its answers that it is leaving, and replaces it after the time.
    Leave(usize, Duration),
    /// Makes a replica refuse everything for the time, asking for a pause of a number of seconds.
    Refuse(usize, u8, Duration),
    /// Lets clients send prompts with a deadly part for the time.
    DeadlyPart(Duration),
    /// Writes a new configuration, with or without the revocable API key.
    Configure {
        /// Whether the key is valid.
        has_revocable_key: bool,
    },
}

impl Action {
    /// Returns whether the action excuses gateways from bounds in time.
    const fn disturbs_gateways(self) -> bool {
        match self {
            Self::Signal(_, signal, _) => !matches!(signal, Signal::SIGHUP),
            Self::Pause(..) | Self::StoreLink(..) | Self::Store(..) => true,
            _ => false,
        }
    }
}

/// An action and the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Time from the start of the plan.
    pub at: Duration,
    /// Action to apply.
    pub action: Action,
}

/// Number of draws per second; most faults last 0.3 to 2.5 seconds, so that they overlap.
const DRAWS_PER_S: f64 = 1.6;

/// Share of the seeds in which clients send prompts with a deadly part all the time, and gateways
/// are not disturbed after [`DISTURBED_SHARE`] of it, but for those of [`FORGETTING_SEEDS`]. Promises to prompts of this kind have a bound
/// that holds only for gateways without another fault.
const DEADLY_SEEDS: f64 = 0.25;

/// Share of the time of a seed of [`DEADLY_SEEDS`] in which its gateways may be disturbed.
const DISTURBED_SHARE: f64 = 0.2;

/// Share of the seeds of [`DEADLY_SEEDS`] in which all gateways are killed once the part is blocked, and the
/// share of the time at which they are.
const FORGETTING_SEEDS: f64 = 0.5;
const FORGETTING_SHARE: f64 = 0.6;

/// Time for which the gateways of such a seed are down.
const FORGETTING_DOWN_TIME: Duration = Duration::from_millis(500);

/// Minimum time for which clients send prompts with a deadly part.
const MIN_DEADLY_TIME: Duration = Duration::from_secs(8);

/// Generates the plan of a seed, in the order of time. A draw is a step or a series of steps.
pub fn generate_plan(seed: u64, config: SoakConfig) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = (config.fault_duration.as_secs_f64() * DRAWS_PER_S) as usize;
    let mut steps: Vec<_> = (0..count).flat_map(|_| draw_series(&mut rng, config)).collect();
    steps.retain(|step| step.at < config.fault_duration);
    if rng.random_bool(DEADLY_SEEDS) {
        let calm = config.fault_duration.mul_f64(DISTURBED_SHARE);
        steps.retain(|step| step.at < calm || !step.action.disturbs_gateways());
        let action = Action::DeadlyPart(config.fault_duration);
        steps.push(Step { at: calm / 2, action });
        if rng.random_bool(FORGETTING_SEEDS) {
            let at = config.fault_duration.mul_f64(FORGETTING_SHARE);
            let kill = |gateway| Action::Signal(gateway, Signal::SIGKILL, FORGETTING_DOWN_TIME);
            steps.extend((0..config.gateways).map(|gateway| Step { at, action: kill(gateway) }));
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Draws a step or a series of steps.
fn draw_series(rng: &mut impl Rng, config: SoakConfig) -> Vec<Step> {
    let at = config.fault_duration.mul_f64(rng.random_range(0.0..1.0));
    let pause = Duration::from_millis(rng.random_range(50..1500));
    let first = rng.random_range(0..config.gateways);
    let gateways = (first..config.gateways).chain(0..first);
    let replica = rng.random_range(0..config.replicas * 2);
    let duration = Duration::from_millis(rng.random_range(300..2500));
    let actions: Vec<Action> = match rng.random_range(0..14) {
        0 => {
            let signal = *[Signal::SIGTERM, Signal::SIGHUP, Signal::SIGKILL]
                .get(rng.random_range(0..3))
                .unwrap_or(&Signal::SIGTERM);
            gateways.map(|gateway| Action::Signal(gateway, signal, duration / 4)).collect()
        }
        1 => gateways.map(|gateway| Action::Pause(gateway, duration / 2)).collect(),
        2 => (0..6).map(|n| Action::Configure { has_revocable_key: n % 2 == 1 }).collect(),
        3 => {
            // Several sound engines fall silent at once.
            let silence = ReplicaFault::Pauses(Duration::from_millis(1000) + duration / 4);
            let engines = 0..config.replicas.div_ceil(2);
            let silent = engines.map(|engine| Action::Replica(engine, silence, duration));
            return silent.map(|action| Step { at, action }).collect();
        }
        4 => {
            // Answers that end with their connection, and the same reset.
            let unframed = Action::Replica(replica, ReplicaFault::Unframed, duration);
            vec![unframed, Action::ReplicaLink(replica, Fault::Disconnect, duration / 4)]
        }
        _ => vec![draw_action(rng, config, duration)],
    };
    let timed = actions.into_iter().enumerate();
    timed.map(|(n, action)| Step { at: at + pause * n as u32, action }).collect()
}

/// Draws an action. Each of the two services has `config.replicas` replicas.
fn draw_action(rng: &mut impl Rng, config: SoakConfig, duration: Duration) -> Action {
    let gateway = rng.random_range(0..config.gateways);
    let replica = rng.random_range(0..config.replicas * 2);
    match rng.random_range(0..16) {
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
        12 => Action::Leave(replica, duration + Duration::from_secs(3)),
        13 => Action::Refuse(replica, rng.random_range(1..4), duration / 4),
        14 => Action::DeadlyPart(duration + MIN_DEADLY_TIME),
        _ => Action::Configure { has_revocable_key: rng.random_bool(0.5) },
    }
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
    match rng.random_range(0..12) {
        0 => ReplicaFault::Refuses,
        1 => ReplicaFault::Errors,
        2 => ReplicaFault::NeverAnswers,
        3 => ReplicaFault::Disconnects(rng.random_range(0..5)),
        4 => ReplicaFault::WrongAttemptId,
        5 => ReplicaFault::Unsigned,
        6 => ReplicaFault::SkipsEvent,
        7 => ReplicaFault::Unframed,
        8 => ReplicaFault::Pauses(Duration::from_millis(rng.random_range(1000..1600))),
        9 => ReplicaFault::Trickles(Duration::from_millis(rng.random_range(100..500))),
        10 => ReplicaFault::SendsComments,
        _ => ReplicaFault::OrdersUnanswered,
    }
}
