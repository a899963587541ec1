//! Soak run of one seed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use nix::sys::signal::Signal;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::fault_proxy::FaultProxy;
use snipespan_fakes::users_platform::replica::DEADLY_PART;
use snipespan_fakes::users_platform::replica::Refusal;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_fakes::users_platform::replica::ReplicaNotice;
use snipespan_fakes::users_platform::replica::Run;
use snipespan_fakes::users_platform::replica::has_part;
use snipespan_fakes::users_platform::store::StoreFault;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::addresses::AddressBlock;
use crate::checks;
use crate::checks::Cause;
use crate::checks::ExemptPeriod;
use crate::checks::FaultPeriod;
use crate::checks::History;
use crate::checks::ObservedRefusal;
use crate::checks::ObservedRun;
use crate::checks::RequestKind;
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

/// Interval at which the ends of processes and replicas are noticed.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum duration of a planned stop: `stop_limit` of the settings, 8 seconds, plus a margin for a
/// busy machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Time from the crash of a replica to its next incarnation: one second, and one more at most.
const MIN_CRASH_TIME: Duration = Duration::from_secs(1);

/// Number of requests sent after the recovery.
const FINAL_REQUESTS: usize = 30;

/// Result of the run of one seed.
#[derive(Debug)]
pub struct Outcome {
    /// Number of requests sent, without those that end replicas.
    pub requests: usize,
    /// Number of requests answered completely with status 200.
    pub served: usize,
    /// Number of these requests by status; `None` for those without an answer.
    pub statuses: BTreeMap<Option<u16>, usize>,
    /// Number of replicas that a deadly part ended.
    pub crashes: usize,
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
    Refuse(usize),
    Replace(usize),
    DeadlyPart,
}

/// A planned stop in progress.
#[derive(Clone, Copy, Debug)]
struct Stop {
    began: Instant,
    /// Time for which the gateway stays down.
    pause: Duration,
    /// Whether the process was frozen meanwhile, which excuses a late end.
    was_frozen: bool,
}

/// A run; its gateways end before the fakes that they call, and before its addresses are free.
struct SoakRun {
    gateways: Vec<Gateway>,
    platform: TestPlatform,
    /// Proxy between each gateway and the store, by index of the gateway.
    store_proxies: Vec<FaultProxy>,
    _addresses: AddressBlock,
    /// Planned stops in progress, by index of the gateway.
    stops: BTreeMap<usize, Stop>,
    sends_deadly: watch::Sender<bool>,
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
    let addresses = AddressBlock::claim(config.gateways)?;
    let tag = format!("{seed}-{}", std::process::id());
    let platform = TestPlatform::start(config, &addresses, &tag).await?;
    let mut gateways = Vec::new();
    let mut store_proxies = Vec::new();
    for index in 0..config.gateways {
        let proxy = FaultProxy::start_at(addresses.proxies(), platform.store_address()).await?;
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
        stops: BTreeMap::new(),
        sends_deadly: watch::Sender::new(false),
        history: History::default(),
        pending_undos: Vec::new(),
    };
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (stop, stopping) = watch::channel(false);
    let mut clients = JoinSet::new();
    let receivers: Vec<_> = soak.gateways.iter().map(|g| g.address.subscribe()).collect();
    for number in 0..config.clients {
        let client = Client::new(seed, number, receivers.clone(), soak.sends_deadly.subscribe());
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
    soak.recover().await?;
    stop.send_replace(true);
    soak.history.requests = clients.join_all().await.into_iter().flatten().collect();
    let mut final_client =
        Client::new(seed, config.clients, receivers, soak.sends_deadly.subscribe());
    for _ in 0..FINAL_REQUESTS {
        soak.wait_until(Instant::now()).await?;
        if !final_client.send_request().await {
            soak.history.failed_after_recovery.push(final_client.last_request_id());
        }
    }
    soak.history.requests.extend(final_client.into_requests());
    Ok(soak.collect_outcome(faults).await)
}

impl SoakRun {
    /// Waits until `until`; meanwhile applies the undos that are due, and notices the ends of
    /// processes and replicas.
    async fn wait_until(&mut self, until: Instant) -> Result<()> {
        loop {
            let now = Instant::now();
            self.poll_gateways(now)?;
            self.poll_replicas(now);
            let (due, pending) = self.pending_undos.drain(..).partition(|(at, _)| *at <= now);
            self.pending_undos = pending;
            let mut due: Vec<(Instant, Undo)> = due;
            due.sort_by_key(|(at, _)| *at);
            for (_, undo) in due {
                self.apply_undo(undo).await?;
            }
            if now >= until {
                return Ok(());
            }
            tokio::time::sleep_until(until.min(now + POLL_INTERVAL).into()).await;
        }
    }

    /// Notices gateways that have ended, and ends planned stops that take too long.
    fn poll_gateways(&mut self, now: Instant) -> Result<()> {
        for index in 0..self.gateways.len() {
            let is_successful = self.gateways[index].poll_exit();
            let Some(stop) = self.stops.get(&index).copied() else {
                if is_successful.is_some() {
                    self.history.unplanned_exits.push(index);
                    self.gateways[index].restart()?;
                }
                continue;
            };
            let is_late = now > stop.began + STOP_TIMEOUT;
            if is_successful.is_none() && !is_late {
                continue;
            }
            if is_successful != Some(true) && !stop.was_frozen {
                self.history.failed_stops += 1;
            }
            if is_successful.is_none() {
                self.add_exempt_period(Cause::Unplanned, Some(index), Duration::ZERO);
                self.gateways[index].kill();
            }
            self.stops.remove(&index);
            let period = ExemptPeriod {
                cause: Cause::Planned,
                gateway: Some(index),
                from: stop.began,
                until: now + stop.pause,
            };
            self.history.exempt_periods.push(period);
            self.schedule_undo(stop.pause, Undo::Restart(index));
        }
        Ok(())
    }

    /// Closes the listener of replicas that a deadly part has ended, and resets their connections or
    /// closes them in order.
    fn poll_replicas(&mut self, now: Instant) {
        for index in 0..self.platform.replicas.len() {
            let replica = &self.platform.replicas[index];
            let Some(crashed) = replica.fake.ended() else { continue };
            replica.proxy.set_fault(if index % 4 < 2 { Fault::Down } else { Fault::Closed });
            if self.history.crashes.contains(&crashed) {
                continue;
            }
            self.history.crashes.push(crashed);
            self.history.crashes.sort();
            let crash_time = MIN_CRASH_TIME.mul_f64(1.0 + (index % 3) as f64 / 2.0);
            let period = FaultPeriod { replica: index, from: crashed, until: now + crash_time };
            self.history.replica_faults.push(period);
            self.schedule_undo(crash_time, Undo::Replace(index));
        }
    }

    fn schedule_undo(&mut self, after: Duration, undo: Undo) {
        self.pending_undos.push((Instant::now() + after, undo));
    }

    fn add_exempt_period(&mut self, cause: Cause, gateway: Option<usize>, duration: Duration) {
        let from = Instant::now();
        let until = from + duration;
        self.history.exempt_periods.push(ExemptPeriod { cause, gateway, from, until });
    }

    fn add_replica_fault(&mut self, replica: usize, duration: Duration) {
        let from = Instant::now();
        self.history.replica_faults.push(FaultPeriod { replica, from, until: from + duration });
    }

    async fn apply_action(&mut self, action: Action) -> Result<()> {
        match action {
            Action::Signal(index, signal, pause) => self.apply_signal(index, signal, pause),
            Action::Pause(index, duration) => {
                self.add_exempt_period(Cause::Unplanned, Some(index), duration);
                if let Some(stop) = self.stops.get_mut(&index) {
                    stop.was_frozen = true;
                }
                self.gateways[index].send_signal(Signal::SIGSTOP);
                self.schedule_undo(duration, Undo::Continue(index));
            }
            Action::StoreLink(index, fault, duration) => {
                self.add_exempt_period(Cause::Store, Some(index), duration);
                self.store_proxies[index].set_fault(fault);
                self.schedule_undo(duration, Undo::StoreLink(index));
            }
            Action::Store(fault, duration) => {
                self.add_exempt_period(Cause::Store, None, duration);
                self.platform.store.set_fault(fault);
                self.schedule_undo(duration, Undo::Store);
            }
            Action::ForgetHistory => self.platform.store.forget_history(),
            Action::Replica(index, fault, duration) => {
                self.platform.replicas[index].fake.set_fault(fault);
                if !fault.is_sound() {
                    self.add_replica_fault(index, duration);
                }
                self.schedule_undo(duration, Undo::Replica(index));
            }
            Action::ReplicaLink(index, fault, duration) => {
                self.platform.replicas[index].proxy.set_fault(fault);
                self.add_replica_fault(index, duration);
                self.schedule_undo(duration, Undo::ReplicaLink(index));
            }
            Action::Drain(index, duration) => {
                self.platform.list_replica(index, false);
                self.schedule_undo(duration, Undo::Drain(index));
            }
            Action::Leave(index, duration) => {
                let notice = ReplicaNotice { is_leaving: true, ..ReplicaNotice::default() };
                self.platform.replicas[index].fake.set_notice(notice);
                self.schedule_undo(duration, Undo::Replace(index));
            }
            Action::Refuse(index, seconds, duration) => {
                let retry_after = vec![seconds.to_string()];
                let notice = ReplicaNotice { retry_after, ..ReplicaNotice::default() };
                self.platform.replicas[index].fake.set_notice(notice);
                self.schedule_undo(duration, Undo::Refuse(index));
            }
            Action::DeadlyPart(duration) => {
                self.sends_deadly.send_replace(true);
                self.history.deadly_from.get_or_insert(Instant::now());
                self.schedule_undo(duration, Undo::DeadlyPart);
            }
            Action::Configure { has_revocable_key } => {
                self.platform.write_configuration(has_revocable_key)
            }
        }
        Ok(())
    }

    /// Sends a signal to a gateway, unless it is down. After SIGKILL and SIGTERM, the gateway is
    /// restarted when it has been down for `pause`.
    fn apply_signal(&mut self, index: usize, signal: Signal, pause: Duration) {
        if !self.gateways[index].is_running() {
            return;
        }
        match signal {
            Signal::SIGKILL => {
                self.add_exempt_period(Cause::Unplanned, Some(index), pause);
                self.stops.remove(&index);
                self.gateways[index].kill();
                self.schedule_undo(pause, Undo::Restart(index));
            }
            Signal::SIGTERM if !self.stops.contains_key(&index) => {
                let is_continued = |undo: &Undo| matches!(undo, Undo::Continue(i) if *i == index);
                let was_frozen = self.pending_undos.iter().any(|(_, undo)| is_continued(undo));
                self.stops.insert(index, Stop { began: Instant::now(), pause, was_frozen });
                self.gateways[index].send_signal(signal);
            }
            Signal::SIGTERM => {}
            _ => drop(self.gateways[index].send_signal(signal)),
        }
    }

    async fn apply_undo(&mut self, undo: Undo) -> Result<()> {
        match undo {
            Undo::Restart(index) => {
                if !self.gateways[index].is_running() {
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
            Undo::Refuse(index) => {
                self.platform.replicas[index].fake.set_notice(ReplicaNotice::default());
            }
            Undo::Replace(index) => self.platform.replace_replica(index).await?,
            Undo::DeadlyPart => drop(self.sends_deadly.send_replace(false)),
        }
        Ok(())
    }

    /// Waits for the planned stops, and then applies all pending undos at once.
    async fn undo_all(&mut self) -> Result<()> {
        self.sends_deadly.send_replace(false);
        self.history.deadly_until = Some(Instant::now());
        while !self.stops.is_empty() {
            self.wait_until(Instant::now() + POLL_INTERVAL).await?;
        }
        for (_, undo) in std::mem::take(&mut self.pending_undos) {
            self.apply_undo(undo).await?;
        }
        Ok(())
    }

    /// Waits until no fault has been pending for [`RECOVERY_TIME`]. A request with a deadly part that
    /// a gateway still holds may end another replica.
    async fn recover(&mut self) -> Result<()> {
        loop {
            let crashes = self.history.crashes.len();
            self.wait_until(Instant::now() + RECOVERY_TIME).await?;
            if self.pending_undos.is_empty() && self.history.crashes.len() == crashes {
                return Ok(());
            }
        }
    }

    async fn collect_outcome(mut self, faults: usize) -> Outcome {
        // Memory reservations of the last spans expire without a release.
        tokio::time::sleep(Duration::from_secs(2)).await;
        for (index, replica) in self.platform.replicas.iter().enumerate() {
            self.history.reserved_tokens += replica.fake.reserved_tokens();
            for fake in replica.past.iter().chain([&replica.fake]) {
                self.history.refusals.extend(fake.refusals().into_iter().map(|refusal| {
                    let Refusal { request, at, retry_after } = refusal;
                    ObservedRefusal { id: request, replica: index, at, retry_after }
                }));
                self.history.runs.extend(fake.runs().into_iter().map(|run| ObservedRun {
                    origin: describe_origin(&run, replica.proxy.caller_of(run.peer)),
                    incarnation: fake.id().to_owned(),
                    is_deadly: has_part(&run.headers, DEADLY_PART),
                    id: run.request,
                    replica: index,
                    began: run.began,
                }));
            }
        }
        self.history.store_writes = std::mem::take(&mut self.platform.store_writes);
        let requests: Vec<_> = self
            .history
            .requests
            .iter()
            .filter(|request| request.kind != RequestKind::Deadly)
            .collect();
        let served = requests
            .iter()
            .filter(|request| request.status == Some(200) && request.is_complete)
            .count();
        let mut statuses = BTreeMap::new();
        for request in &requests {
            *statuses.entry(request.status).or_default() += 1;
        }
        Outcome {
            requests: requests.len(),
            served,
            statuses,
            crashes: self.history.crashes.len(),
            faults,
            violations: checks::check_history(&self.history),
        }
    }
}

/// Describes a run without an id: target, headers, and the addresses of the connection.
fn describe_origin(run: &Run, caller: Option<SocketAddr>) -> String {
    match run.request.is_empty() {
        true => format!("{} from {} for {caller:?}: {:?}", run.target, run.peer, run.headers),
        false => String::new(),
    }
}
