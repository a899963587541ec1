//! A gateway: serves clients straight from the backend servers, on the users' platform.

mod answer;
mod clients;
mod decisions;
pub mod events;
mod exchange;
mod metrics;
mod peers;
mod ready;
mod reload;
mod request_task;
mod shell;
mod store_watch;

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use rand::RngExt;
use slotmap::SlotMap;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::serving::ClientLimits;
use snipespan_core::gateway::settings::GatewaySettings;
use snipespan_core::gateway::world::World;
use snipespan_core::time::Timestamp;
use snipespan_settings::daemon::DaemonSettings;
use snipespan_settings::gateway::GatewayRole;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::control;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers::PeerLink;
use crate::gateway::peers::RawServing;
use crate::gateway::shell::Input;
use crate::gateway::shell::Shell;
use crate::process::Addresses;
use crate::process::wait_for_stop;

/// Longest wait at the end of a planned stop for answers that are being written.
const LAST_WRITES_LIMIT: Duration = Duration::from_millis(300);

/// Bounds on clients until a serving configuration states them.
const FIRST_LIMITS: ClientLimits = ClientLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// How clients' connections are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Accepting {
    /// New ones are taken, and they are kept.
    Open,
    /// New ones are taken, and all are closed after the next answer.
    CloseAfterAnswer,
    /// No new ones are taken, and idle ones are closed.
    Stopped,
}

/// What the traffic tasks of a gateway share.
#[derive(Debug)]
struct GatewayContext {
    clock: Clock,
    control: mpsc::Sender<Input>,
    metrics: Arc<GatewayMetrics>,
    limits: watch::Receiver<ClientLimits>,
    accepting: watch::Receiver<Accepting>,
    readiness: watch::Receiver<bool>,
    serving: watch::Sender<RawServing>,
    tasks: TaskTracker,
}

/// Runs a gateway until a planned stop is done.
///
/// # Errors
/// When it cannot start.
pub(crate) async fn run(
    settings: &DaemonSettings,
    role: &GatewayRole,
    stopping: watch::Receiver<bool>,
    listening: oneshot::Sender<Addresses>,
) -> Result<()> {
    let clock = Clock::start();
    let (control, inputs) = control::input_queue();
    let (ready, readiness) = watch::channel(false);
    let (limits, limits_seen) = watch::channel(FIRST_LIMITS);
    let (accepting, accepting_seen) = watch::channel(Accepting::Open);
    let (serving, _) = watch::channel(RawServing::default());
    let (stopped, is_stopped) = oneshot::channel();
    let metrics = Arc::new(GatewayMetrics::new()?);
    let cx = Arc::new(GatewayContext {
        clock,
        control: control.clone(),
        metrics: Arc::clone(&metrics),
        limits: limits_seen,
        accepting: accepting_seen,
        readiness,
        serving,
        tasks: TaskTracker::new(),
    });
    let link = PeerLink::bind(role, Arc::clone(&cx)).await?;
    let decisions =
        GatewaySettings { seed: rand::rng().random(), ..role.decision_settings.clone() };
    // Later incarnations have larger numbers, unless the clock steps back.
    let incarnation = clock.unix_us();
    let shell = Shell {
        world: World::new(decisions, incarnation),
        callers: SlotMap::with_key(),
        ready,
        limits,
        accepting,
        link: link.sender(),
        cx: Arc::clone(&cx),
        stopped: Some(stopped),
        runtime: tokio::runtime::Handle::current(),
        metrics_due: Timestamp::ZERO,
    };
    control::start_thread(clock, shell, inputs)?;
    let ready_at = ready::serve(role.ready_listen, Arc::clone(&cx)).await?;
    let clients = clients::serve(role.clients_listen, Arc::clone(&cx)).await?;
    let peers = link.address();
    link.start(role);
    store_watch::start(role, &cx, settings.vm.0.clone(), peers);
    reload::start(settings.path.clone(), control.clone())?;
    tokio::spawn(forward_stop(control, stopping));
    log::info!(
        vm = settings.vm.0.as_str(), data_centre = settings.data_centre.0.as_str(),
        clients:%, ready:% = ready_at, peers:%, store:% = role.store; "gateway started"
    );
    // Whoever started this process may not care where it listens.
    let _ = listening.send(Addresses::Gateway {
        clients: clients.to_string(),
        ready: ready_at.to_string(),
        peers: peers.to_string(),
    });
    // The shell signals that nothing is in progress.
    let _ = is_stopped.await;
    cx.tasks.close();
    let is_done = tokio::time::timeout(LAST_WRITES_LIMIT, cx.tasks.wait()).await.is_ok();
    log::info!(vm = settings.vm.0.as_str(), is_done; "gateway stopped");
    log::logger().flush();
    Ok(())
}

async fn forward_stop(control: mpsc::Sender<Input>, stopping: watch::Receiver<bool>) {
    wait_for_stop(stopping).await;
    // Without a control thread there is nothing left to stop.
    let _ = control.send(Input::Event(Event::StopRequested)).await;
}
