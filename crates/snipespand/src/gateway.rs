//! The gateway role: forwards clients' requests directly to backend servers of the users' platform.

mod answer;
mod body;
mod byte_meters;
mod client_stream;
mod clients;
mod configurations;
mod decisions;
pub mod events;
mod exchange;
mod memory;
mod metrics;
mod part_records;
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
use snipespan_core::gateway::effect::FeedPlan;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::serving::ClientLimits;
use snipespan_core::gateway::settings::GatewaySettings;
use snipespan_core::gateway::world::World;
use snipespan_core::time::Timestamp;
use snipespan_platform_adapter::store::StoreClient;
use snipespan_settings::daemon::DaemonSettings;
use snipespan_settings::gateway::GatewayRole;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::control;
use crate::gateway::configurations::ServingOffer;
use crate::gateway::memory::Memory;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers::PeerLink;
use crate::gateway::shell::Input;
use crate::gateway::shell::Shell;
use crate::process::Addresses;
use crate::process::wait_for_stop;

/// Limits on clients' requests until a serving configuration sets them.
const INITIAL_LIMITS: ClientLimits = ClientLimits {
    header_bytes: 16 << 10,
    body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Time for which a streamed answer is not read from its backend server because its client does not
/// read. It is shorter than the silence from which an attempt counts as stalled (1.6 s), which would
/// move it to another engine, and than the seconds after which a backend server cuts the answer.
const UNREAD_LIMIT: Duration = Duration::from_millis(1500);

/// How the HTTP server for clients treats its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPolicy {
    /// New connections are accepted, and all are kept alive.
    KeepAlive,
    /// New connections are accepted, and each is closed after its next answer.
    CloseAfterAnswer,
    /// No new connections are accepted, and idle ones are closed.
    StopAccepting,
}

/// State that the traffic tasks of a gateway share.
#[derive(Debug)]
struct GatewayContext {
    clock: Clock,
    /// Queue of the control thread.
    control: mpsc::Sender<Input>,
    metrics: Arc<GatewayMetrics>,
    limits: watch::Receiver<ClientLimits>,
    connection_policy: watch::Receiver<ConnectionPolicy>,
    readiness: watch::Receiver<bool>,
    /// The newest serving configuration, which peers can fetch.
    serving_offer: ServingOffer,
    /// Memory for bodies and answers.
    memory: Memory,
    /// Tasks of clients' connections and requests, which a planned stop waits for.
    tasks: TaskTracker,
}

impl GatewayContext {
    /// Returns for how long an answer waits for its client to read, or for memory.
    fn unread_limit(&self) -> Duration {
        match self.memory.is_limited() {
            true => UNREAD_LIMIT,
            false => Duration::MAX,
        }
    }
}

/// Runs a gateway until a planned stop is complete.
///
/// # Errors
/// When the metrics, a socket, the control thread or the signal handler cannot be set up.
pub(crate) async fn run(
    settings: &DaemonSettings,
    role: &GatewayRole,
    stopping: watch::Receiver<bool>,
    listening: oneshot::Sender<Addresses>,
) -> Result<()> {
    let clock = Clock::start();
    let (control, inputs) = control::input_queue();
    let (ready_tx, readiness) = watch::channel(false);
    let (limits_tx, limits_rx) = watch::channel(INITIAL_LIMITS);
    let (connection_policy_tx, connection_policy_rx) = watch::channel(ConnectionPolicy::KeepAlive);
    let (feeds_tx, feeds_rx) = watch::channel(FeedPlan::default());
    let (stopped_tx, stopped_rx) = oneshot::channel();
    let metrics = Arc::new(GatewayMetrics::new()?);
    let cx = Arc::new(GatewayContext {
        clock,
        control: control.clone(),
        metrics: Arc::clone(&metrics),
        limits: limits_rx,
        connection_policy: connection_policy_rx,
        readiness,
        serving_offer: ServingOffer::new(),
        memory: Memory::new(role.decision_settings.memory_limit),
        tasks: TaskTracker::new(),
    });
    let record_store = StoreClient::metered(role.store, metrics.meters.store.clone());
    let link = PeerLink::bind(role, Arc::clone(&cx)).await?;
    let decisions =
        GatewaySettings { seed: rand::rng().random(), ..role.decision_settings.clone() };
    // Incarnation numbers increase over restarts, unless the clock steps back.
    let incarnation = clock.unix_us();
    let shell = Shell {
        world: World::new(decisions, incarnation),
        callers: SlotMap::with_key(),
        ready_tx,
        limits_tx,
        connection_policy_tx,
        feeds_tx,
        disconnected: Vec::new(),
        link: link.sender(),
        record_orders: part_records::start(record_store, &cx),
        cx: Arc::clone(&cx),
        stopped_tx: Some(stopped_tx),
        runtime: tokio::runtime::Handle::current(),
        metrics_due: Timestamp::ZERO,
    };
    control::start_thread(clock, shell, inputs)?;
    let ready_at = ready::serve(role.ready_listen, Arc::clone(&cx)).await?;
    let clients = clients::serve(role.clients_listen, Arc::clone(&cx)).await?;
    let peers = link.address();
    link.start(role);
    store_watch::start(role, &feeds_rx, &cx, &settings.vm.0, peers);
    reload::start(settings.path.clone(), control.clone())?;
    tokio::spawn(forward_stop(control, stopping));
    log::info!(
        vm = settings.vm.0.as_str(), data_centre = settings.data_centre.0.as_str(),
        memory_limit = role.decision_settings.memory_limit.unwrap_or_default(),
        clients:%, ready:% = ready_at, peers:%, store:% = role.store; "gateway started"
    );
    // The receiver is dropped if nobody needs the addresses.
    let _ = listening.send(Addresses::Gateway {
        clients: clients.to_string(),
        ready: ready_at.to_string(),
        peers: peers.to_string(),
    });
    // The shell sends this once no request is in progress. Answers that were handed to the HTTP
    // library are in progress until their clients have taken them.
    let answers_until = stopped_rx.await.unwrap_or_default();
    cx.tasks.close();
    let remaining = answers_until.since(clock.now());
    let is_done = tokio::time::timeout(remaining, cx.tasks.wait()).await.is_ok();
    log::info!(vm = settings.vm.0.as_str(), is_done; "gateway stopped");
    Ok(())
}

async fn forward_stop(control: mpsc::Sender<Input>, stopping: watch::Receiver<bool>) {
    wait_for_stop(stopping).await;
    // Sending fails only after the control thread has ended; then there is nothing to stop.
    let _ = control.send(Input::Event(Event::StopRequested)).await;
}
