//! One run of a seed.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use nix::sys::signal::Signal;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::fault_proxy::FaultProxy;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_fakes::users_platform::store::StoreFault;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::checks;
use crate::checks::Excused;
use crate::checks::History;
use crate::checks::Ran;
use crate::checks::Violation;
use crate::clients::Client;
use crate::gateway::Gateway;
use crate::plan;
use crate::plan::Action;
use crate::plan::Size;
use crate::site::Site;

/// Time after the last fault until requests are expected to be served again, and memory to be
/// free: reservations end after two seconds, and suspended replicas are tried after four.
const RECOVERY: Duration = Duration::from_secs(5);

/// Requests that are sent after the recovery.
const LAST_REQUESTS: usize = 30;

/// What became of a seed.
#[derive(Debug)]
pub struct Outcome {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered with success.
    pub served: usize,
    /// Faults injected.
    pub faults: usize,
    /// Promises that do not hold.
    pub violations: Vec<Violation>,
}

/// Something to undo at a time.
#[derive(Clone, Copy, Debug)]
enum Undo {
    Restart(usize),
    Continue(usize),
    StoreWay(usize),
    Store,
    Replica(usize),
    ReplicaWay(usize),
    Drain(usize),
}

struct Trial {
    site: Site,
    gateways: Vec<Gateway>,
    ways: Vec<FaultProxy>,
    history: History,
    undos: Vec<(Instant, Undo)>,
}

/// Runs a seed with the daemon at `daemon`; settings and logs go to `folder`.
///
/// # Errors
/// When a process or a stand-in does not start.
pub async fn run(seed: u64, size: Size, daemon: &Path, folder: &Path) -> Result<Outcome> {
    let site = Site::start(size).await?;
    let mut gateways = Vec::new();
    let mut ways = Vec::new();
    for index in 0..size.gateways {
        let way = FaultProxy::start(site.store_address()).await?;
        gateways.push(Gateway::start(daemon, folder, &format!("g{index}"), way.address())?);
        ways.push(way);
    }
    let mut trial = Trial { site, gateways, ways, history: History::default(), undos: Vec::new() };
    tokio::time::sleep(Duration::from_secs(1)).await;
    let (stop, stopping) = watch::channel(false);
    let mut clients = JoinSet::new();
    let addresses: Vec<_> = trial.gateways.iter().map(|g| g.address.subscribe()).collect();
    for name in 0..size.clients {
        let client = Client::new(seed, name, addresses.clone());
        clients.spawn(client.run(stopping.clone()));
    }
    let steps = plan::plan(seed, size);
    let faults = steps.len();
    let began = Instant::now();
    for step in steps {
        trial.wait_until(began + step.at).await?;
        trial.act(step.action).await?;
    }
    trial.wait_until(began + size.time).await?;
    trial.heal().await?;
    tokio::time::sleep(RECOVERY).await;
    stop.send_replace(true);
    trial.history.seen = clients.join_all().await.into_iter().flatten().collect();
    let mut last = Client::new(seed, size.clients, addresses);
    for _ in 0..LAST_REQUESTS {
        if !last.send().await {
            trial.history.failed_after.push(last.last_id());
        }
    }
    trial.history.seen.extend(last.into_seen());
    Ok(trial.finish(faults).await)
}

impl Trial {
    /// Waits, and undoes what is due meanwhile.
    async fn wait_until(&mut self, until: Instant) -> Result<()> {
        loop {
            self.undos.sort_by_key(|(at, _)| *at);
            let due = self.undos.first().map(|(at, _)| *at).filter(|at| *at <= until);
            tokio::time::sleep_until(due.unwrap_or(until).into()).await;
            if due.is_none() {
                return Ok(());
            }
            let (_, undo) = self.undos.remove(0);
            self.undo(undo)?;
        }
    }

    fn later(&mut self, after: Duration, undo: Undo) {
        self.undos.push((Instant::now() + after, undo));
    }

    fn excuse(&mut self, gateway: Option<usize>, lasts: Duration) {
        let from = Instant::now();
        self.history.excused.push(Excused { gateway, from, until: from + lasts });
    }

    async fn act(&mut self, action: Action) -> Result<()> {
        match action {
            Action::Signal(index, signal, pause) => self.signal(index, signal, pause).await,
            Action::Pause(index, lasts) => {
                self.excuse(Some(index), lasts);
                self.gateways[index].signal(Signal::SIGSTOP);
                self.later(lasts, Undo::Continue(index));
            }
            Action::StoreWay(index, fault, lasts) => {
                self.excuse(Some(index), lasts);
                self.ways[index].set_fault(fault);
                self.later(lasts, Undo::StoreWay(index));
            }
            Action::Store(fault, lasts) => {
                self.excuse(None, lasts);
                self.site.store.set_fault(fault);
                self.later(lasts, Undo::Store);
            }
            Action::ForgetHistory => self.site.store.forget_history(),
            Action::Replica(index, fault, lasts) => {
                self.site.replicas[index].fake.set_fault(fault);
                self.later(lasts, Undo::Replica(index));
            }
            Action::ReplicaWay(index, fault, lasts) => {
                self.site.replicas[index].way.set_fault(fault);
                self.later(lasts, Undo::ReplicaWay(index));
            }
            Action::Drain(index, lasts) => {
                self.site.list(index, false);
                self.later(lasts, Undo::Drain(index));
            }
            Action::Configure { has_second_key } => self.site.configure(has_second_key),
        }
        Ok(())
    }

    async fn signal(&mut self, index: usize, signal: Signal, pause: Duration) {
        let is_down = self.gateways[index].address.borrow().is_none();
        if is_down {
            return;
        }
        match signal {
            Signal::SIGKILL => {
                self.excuse(Some(index), pause);
                self.gateways[index].kill();
                self.later(pause, Undo::Restart(index));
            }
            Signal::SIGTERM => {
                // A frozen process cannot stop.
                self.gateways[index].signal(Signal::SIGCONT);
                self.gateways[index].signal(signal);
                let began = Instant::now();
                if !self.gateways[index].ended().await {
                    self.history.bad_stops += 1;
                }
                let until = Instant::now() + pause;
                let excused = Excused { gateway: Some(index), from: began, until };
                self.history.excused.push(excused);
                self.later(pause, Undo::Restart(index));
            }
            _ => drop(self.gateways[index].signal(signal)),
        }
    }

    fn undo(&mut self, undo: Undo) -> Result<()> {
        match undo {
            Undo::Restart(index) => {
                if self.gateways[index].address.borrow().is_none() {
                    self.gateways[index].restart()?;
                }
            }
            Undo::Continue(index) => drop(self.gateways[index].signal(Signal::SIGCONT)),
            Undo::StoreWay(index) => self.ways[index].set_fault(Fault::None),
            Undo::Store => self.site.store.set_fault(StoreFault::None),
            Undo::Replica(index) => self.site.replicas[index].fake.set_fault(ReplicaFault::None),
            Undo::ReplicaWay(index) => self.site.replicas[index].way.set_fault(Fault::None),
            Undo::Drain(index) => self.site.list(index, true),
        }
        Ok(())
    }

    /// Undoes all that is still wrong.
    async fn heal(&mut self) -> Result<()> {
        for (_, undo) in std::mem::take(&mut self.undos) {
            self.undo(undo)?;
        }
        Ok(())
    }

    async fn finish(mut self, faults: usize) -> Outcome {
        // Memory that a last span used ends by itself.
        tokio::time::sleep(Duration::from_secs(2)).await;
        for (index, replica) in self.site.replicas.iter().enumerate() {
            self.history.reserved_tokens += replica.fake.reserved_tokens();
            let runs = replica.fake.runs().into_iter();
            let ran = runs.map(|run| Ran { id: run.request, replica: index, began: run.began });
            self.history.ran.extend(ran);
        }
        self.history.written = std::mem::take(&mut self.site.written);
        let seen = &self.history.seen;
        let served = seen.iter().filter(|seen| seen.status == Some(200) && seen.is_whole).count();
        let violations = checks::check(&self.history);
        Outcome { requests: seen.len(), served, faults, violations }
    }
}
