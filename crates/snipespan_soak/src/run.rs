//! Soak run of one seed.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use nix::sys::signal::Signal;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::fault_proxy::FaultProxy;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_fakes::users_platform::replica::Run;
use snipespan_fakes::users_platform::store::StoreFault;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::addresses::AddressBlock;
use crate::checks;
use crate::checks::ExemptPeriod;
use crate::checks::History;
use crate::checks::ObservedRun;
use crate::checks::Violation;
use crate::clients::Client;
use crate::gateway::Gateway;
use crate::plan;
use crate::plan::Action;
use crate::plan::SoakConfig;
use crate::site::TestPlatform;

/// Time after the last fault until requests must succeed and memory must be free again:
/// reservations expire after two seconds, and suspended replicas are retried after four.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Number of requests sent after the recovery.
const FINAL_REQUESTS: usize = 30;

/// Result of the run of one seed.
#[derive(Debug)]
pub struct Outcome {
    /// Number of requests sent.
    pub requests: usize,
    /// Number of requests answered completely with status 200.
    pub served: usize,
    /// Number of faults and changes injected.
    pub faults: usize,
    /// Violations of promises.
    pub violations: Vec<Violation>,
}

/// Reversal of an action; the numbers are indexes as in [`Action`].
#[derive(Clone, Copy, Debug)]
enum Undo {
    Restart(usize),
    Continue(usize),
    StoreLink(usize),
    Store,
    Replica(usize),
    ReplicaLink(usize),
    Drain(usize),
}

/// A run; its gateways end before the fakes that they call, and before its addresses are free.
struct SoakRun {
    gateways: Vec<Gateway>,
    platform: TestPlatform,
    /// Proxy between each gateway and the store, by index of the gateway.
    store_proxies: Vec<FaultProxy>,
    _addresses: AddressBlock,
    history: History,
    /// Undos that are not yet applied, each with the time at which it is due.
    pending_undos: Vec<(Instant, Undo)>,
}

/// Runs a seed with the daemon at `daemon`; writes settings and logs to `folder`.
///
/// # Errors
/// When a gateway, a fake or a proxy does not start.
pub async fn run_seed(
    seed: u64,
    config: SoakConfig,
    daemon: &Path,
    folder: &Path,
) -> Result<Outcome> {
    let addresses = AddressBlock::claim()?;
    let tag = format!("{seed}-{}", std::process::id());
    let platform = TestPlatform::start(config, addresses.fakes(), &tag).await?;
    let mut gateways = Vec::new();
    let mut store_proxies = Vec::new();
    for index in 0..config.gateways {
        let proxy = FaultProxy::start_at(addresses.fakes(), platform.store_address()).await?;
        let name = format!("g{index}");
        let listen = addresses.gateway(index);
        gateways.push(Gateway::start(daemon, folder, &name, listen, proxy.address())?);
        store_proxies.push(proxy);
    }
    let mut soak = SoakRun {
        gateways,
        platform,
        store_proxies,
        _addresses: addresses,
        history: History::default(),
        pending_undos: Vec::new(),
    };
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (stop, stopping) = watch::channel(false);
    let mut clients = JoinSet::new();
    let receivers: Vec<_> = soak.gateways.iter().map(|g| g.address.subscribe()).collect();
    for number in 0..config.clients {
        let client = Client::new(seed, number, receivers.clone());
        clients.spawn(client.send_until_stopped(stopping.clone()));
    }
    let steps = plan::generate_plan(seed, config);
    let faults = steps.len();
    let began = Instant::now();
    for step in steps {
        soak.wait_until(began + step.at).await?;
        soak.apply_action(step.action).await?;
    }
    soak.wait_until(began + config.fault_duration).await?;
    soak.undo_all().await?;
    tokio::time::sleep(RECOVERY_TIME).await;
    stop.send_replace(true);
    soak.history.requests = clients.join_all().await.into_iter().flatten().collect();
    let mut final_client = Client::new(seed, config.clients, receivers);
    for _ in 0..FINAL_REQUESTS {
        if !final_client.send_request().await {
            soak.history.failed_after_recovery.push(final_client.last_request_id());
        }
    }
    soak.history.requests.extend(final_client.into_requests());
    Ok(soak.collect_outcome(faults).await)
}

impl SoakRun {
    /// Waits until `until` and applies the undos that are due by then.
    async fn wait_until(&mut self, until: Instant) -> Result<()> {
        loop {
            self.pending_undos.sort_by_key(|(at, _)| *at);
            let due = self.pending_undos.first().map(|(at, _)| *at).filter(|at| *at <= until);
            tokio::time::sleep_until(due.unwrap_or(until).into()).await;
            if due.is_none() {
                return Ok(());
            }
            let (_, undo) = self.pending_undos.remove(0);
            self.apply_undo(undo)?;
        }
    }

    fn schedule_undo(&mut self, after: Duration, undo: Undo) {
        self.pending_undos.push((Instant::now() + after, undo));
    }

    fn add_exempt_period(&mut self, gateway: Option<usize>, duration: Duration) {
        let from = Instant::now();
        self.history.exempt_periods.push(ExemptPeriod { gateway, from, until: from + duration });
    }

    async fn apply_action(&mut self, action: Action) -> Result<()> {
        match action {
            Action::Signal(index, signal, pause) => self.apply_signal(index, signal, pause).await,
            Action::Pause(index, duration) => {
                self.add_exempt_period(Some(index), duration);
                self.gateways[index].send_signal(Signal::SIGSTOP);
                self.schedule_undo(duration, Undo::Continue(index));
            }
            Action::StoreLink(index, fault, duration) => {
                self.add_exempt_period(Some(index), duration);
                self.store_proxies[index].set_fault(fault);
                self.schedule_undo(duration, Undo::StoreLink(index));
            }
            Action::Store(fault, duration) => {
                self.add_exempt_period(None, duration);
                self.platform.store.set_fault(fault);
                self.schedule_undo(duration, Undo::Store);
            }
            Action::ForgetHistory => self.platform.store.forget_history(),
            Action::Replica(index, fault, duration) => {
                self.platform.replicas[index].fake.set_fault(fault);
                self.schedule_undo(duration, Undo::Replica(index));
            }
            Action::ReplicaLink(index, fault, duration) => {
                self.platform.replicas[index].proxy.set_fault(fault);
                self.schedule_undo(duration, Undo::ReplicaLink(index));
            }
            Action::Drain(index, duration) => {
                self.platform.list_replica(index, false);
                self.schedule_undo(duration, Undo::Drain(index));
            }
            Action::Configure { has_revocable_key } => {
                self.platform.write_configuration(has_revocable_key)
            }
        }
        Ok(())
    }

    /// Sends a signal to a gateway, unless it is down. After SIGKILL and SIGTERM, the gateway is
    /// restarted when it has been down for `pause`.
    async fn apply_signal(&mut self, index: usize, signal: Signal, pause: Duration) {
        let is_down = self.gateways[index].address.borrow().is_none();
        if is_down {
            return;
        }
        match signal {
            Signal::SIGKILL => {
                self.add_exempt_period(Some(index), pause);
                self.gateways[index].kill();
                self.schedule_undo(pause, Undo::Restart(index));
            }
            Signal::SIGTERM => {
                // A process that SIGSTOP froze cannot handle SIGTERM.
                self.gateways[index].send_signal(Signal::SIGCONT);
                self.gateways[index].send_signal(signal);
                let began = Instant::now();
                if !self.gateways[index].wait_for_exit().await {
                    self.history.failed_stops += 1;
                }
                let until = Instant::now() + pause;
                let period = ExemptPeriod { gateway: Some(index), from: began, until };
                self.history.exempt_periods.push(period);
                self.schedule_undo(pause, Undo::Restart(index));
            }
            _ => drop(self.gateways[index].send_signal(signal)),
        }
    }

    fn apply_undo(&mut self, undo: Undo) -> Result<()> {
        match undo {
            Undo::Restart(index) => {
                if self.gateways[index].address.borrow().is_none() {
                    self.gateways[index].restart()?;
                }
            }
            Undo::Continue(index) => drop(self.gateways[index].send_signal(Signal::SIGCONT)),
            Undo::StoreLink(index) => self.store_proxies[index].set_fault(Fault::None),
            Undo::Store => self.platform.store.set_fault(StoreFault::None),
            Undo::Replica(index) => {
                self.platform.replicas[index].fake.set_fault(ReplicaFault::None)
            }
            Undo::ReplicaLink(index) => self.platform.replicas[index].proxy.set_fault(Fault::None),
            Undo::Drain(index) => self.platform.list_replica(index, true),
        }
        Ok(())
    }

    /// Applies all pending undos at once.
    async fn undo_all(&mut self) -> Result<()> {
        for (_, undo) in std::mem::take(&mut self.pending_undos) {
            self.apply_undo(undo)?;
        }
        Ok(())
    }

    async fn collect_outcome(mut self, faults: usize) -> Outcome {
        // Memory reservations of the last spans expire without a release.
        tokio::time::sleep(Duration::from_secs(2)).await;
        for (index, replica) in self.platform.replicas.iter().enumerate() {
            self.history.reserved_tokens += replica.fake.reserved_tokens();
            let runs = replica.fake.runs().into_iter();
            let observed = runs.map(|run| ObservedRun {
                origin: describe_origin(&run, replica.proxy.caller_of(run.peer)),
                id: run.request,
                replica: index,
                began: run.began,
            });
            self.history.runs.extend(observed);
        }
        self.history.store_writes = std::mem::take(&mut self.platform.store_writes);
        let requests = &self.history.requests;
        let served = requests
            .iter()
            .filter(|request| request.status == Some(200) && request.is_complete)
            .count();
        let violations = checks::check_history(&self.history);
        Outcome { requests: requests.len(), served, faults, violations }
    }
}

/// Describes a run without an id: target, headers, and the addresses of the connection.
fn describe_origin(run: &Run, caller: Option<SocketAddr>) -> String {
    match run.request.is_empty() {
        true => format!("{} from {} for {caller:?}: {:?}", run.target, run.peer, run.headers),
        false => String::new(),
    }
}
