//! The side process role: runs beside one backend server and is the only path to it.

mod attempt;
mod control_stream;
mod health;
mod probe;
mod ruling;
mod shell;

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use quinn::Connection;
use quinn::Endpoint;
use rand::RngExt;
use snipespan_backend::http;
use snipespan_backend::model_engine::ModelEngine;
use snipespan_backend::plain_service::PlainService;
use snipespan_core::identity::Incarnation;
use snipespan_core::identity::VmId;
use snipespan_core::side::event::Event;
use snipespan_core::side::settings::BackendKind;
use snipespan_core::side::settings::SideSettings;
use snipespan_platform::client::PlatformClient;
use snipespan_protocol::codec::MessageReader;
use snipespan_protocol::opening::Opening;
use snipespan_settings::daemon::DaemonSettings;
use snipespan_settings::daemon::SideRole;
use snipespan_telemetry::metrics;
use snipespan_telemetry::traces::Traces;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::control;
use crate::metrics::MetricsReporter;
use crate::process::Addresses;
use crate::process::wait_for_stop;
use crate::quic;
use crate::quic::close_after_tasks;
use crate::side::control_stream::Announcements;
use crate::side::shell::Input;
use crate::side::shell::Shell;
use crate::tls::Identity;

/// Maximum wait at the end of a planned stop for the entries to receive the last bytes.
const FINAL_SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the backend server.
#[derive(Clone, Debug)]
enum Backend {
    Engine(ModelEngine),
    Service(PlainService),
}

/// State shared by the traffic tasks of a side process.
#[derive(Debug)]
struct SideContext {
    vm: VmId,
    clock: Clock,
    incarnation: Incarnation,
    backend: Backend,
    control: mpsc::Sender<Input>,
    announcements: Announcements,
    tasks: TaskTracker,
}

/// Runs a side process until a planned stop is complete.
///
/// # Errors
/// If the process cannot start.
pub(crate) async fn run(
    settings: &DaemonSettings,
    role: &SideRole,
    stopping: watch::Receiver<bool>,
    listening: oneshot::Sender<Addresses>,
) -> Result<()> {
    let telemetry = &settings.telemetry;
    let url = telemetry.traces.as_deref();
    let traces = Traces::start("snipespan-side", url, telemetry.traces_per_mille)?;
    let metrics = metrics::client("snipespan.side", telemetry.metrics)?;
    let identity = Identity::load(&role.tls)?;
    let endpoint = quic::server_endpoint(role.listen, &identity)?;
    let incarnation = Incarnation(rand::rng().random());
    let decision_settings = SideSettings { incarnation, ..role.decision_settings.clone() };
    let (control, inputs) = control::input_queue();
    let (stopped, stop_done) = oneshot::channel();
    let clock = Clock::start();
    let cx = Arc::new(SideContext {
        vm: settings.vm.clone(),
        clock,
        incarnation,
        backend: create_backend(role),
        control: control.clone(),
        announcements: Announcements::new(decision_settings.targets.clone()),
        tasks: TaskTracker::new(),
    });
    let shell =
        Shell::new(decision_settings, Arc::clone(&cx), MetricsReporter::new(metrics), stopped);
    control::start_thread(clock, shell, inputs)?;
    let health = health::serve_health(role.health_listen, Arc::clone(&cx)).await?;
    tokio::spawn(probe::probe_periodically(
        Arc::clone(&cx),
        role.probe_interval,
        role.silence_limit,
    ));
    let platform = PlatformClient::new(&role.platform.url, role.platform.timeout)?;
    let vm_list_interval = role.platform.vm_list_interval;
    tokio::spawn(watch_vm_list(Arc::clone(&cx), platform, vm_list_interval));
    tokio::spawn(forward_stop_request(control, stopping));
    let entries = endpoint.local_addr()?.to_string();
    log::info!("vm={} incarnation={incarnation} side process is listening at {entries}", cx.vm);
    // The receiver may be dropped if the addresses are not needed.
    let _ = listening.send(Addresses::Side { entries, health: health.to_string() });
    tokio::spawn(accept_connections(endpoint.clone(), Arc::clone(&cx)));
    // The shell sends this when, during a planned stop, no work is in progress any more.
    let _ = stop_done.await;
    close_after_tasks(&cx.tasks, &endpoint, FINAL_SEND_TIMEOUT).await;
    traces.flush();
    log::info!("vm={} planned stop done", cx.vm);
    Ok(())
}

fn create_backend(role: &SideRole) -> Backend {
    let client = http::client();
    match role.decision_settings.kind {
        BackendKind::ModelEngine => Backend::Engine(ModelEngine::new(&role.backend_url, client)),
        BackendKind::PlainService => Backend::Service(PlainService::new(&role.backend_url, client)),
    }
}

async fn forward_stop_request(control: mpsc::Sender<Input>, stopping: watch::Receiver<bool>) {
    wait_for_stop(stopping).await;
    let _ = control.send(Input::Event(Event::StopRequested)).await;
}

/// Polls the platform's list of VMs once per `interval` until it marks this VM as leaving.
async fn watch_vm_list(cx: Arc<SideContext>, platform: PlatformClient, interval: Duration) {
    let mut interval = tokio::time::interval(interval);
    loop {
        interval.tick().await;
        let vms = match platform.list_vms().await {
            Ok(vms) => vms,
            Err(e) => {
                log::debug!("vm={} could not read the platform's list of VMs: {e}", cx.vm);
                continue;
            }
        };
        if vms.iter().any(|vm| vm.id == cx.vm && vm.is_leaving) {
            log::info!("vm={} the platform's list of VMs marks this VM as leaving", cx.vm);
            let _ = cx.control.send(Input::Event(Event::LeavingSeen)).await;
            return;
        }
    }
}

async fn accept_connections(endpoint: Endpoint, cx: Arc<SideContext>) {
    while let Some(incoming) = endpoint.accept().await {
        let cx = Arc::clone(&cx);
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve_streams(connection, cx).await,
                Err(e) => log::warn!("vm={} an entry could not connect: {e}", cx.vm),
            }
        });
    }
}

/// Serves the streams of one connection of an entry, each in a task of its own.
async fn serve_streams(connection: Connection, cx: Arc<SideContext>) {
    while let Ok((send, recv)) = connection.accept_bi().await {
        let stream_cx = Arc::clone(&cx);
        cx.tasks.spawn(async move {
            let mut reader = MessageReader::new(recv);
            match reader.next::<Opening>().await {
                Ok(Some(Opening::Control)) => {
                    // A control stream lasts as long as its connection, so a planned stop must not
                    // wait for its task, which is therefore not in `tasks`.
                    tokio::spawn(control_stream::serve_entry(stream_cx, send, reader));
                }
                Ok(Some(Opening::Attempt(head))) => {
                    attempt::run_attempt(stream_cx, head, send, reader).await;
                }
                Ok(Some(Opening::Fence { id, age })) => {
                    ruling::reply_to_fence(&stream_cx, id, age, send).await;
                }
                Ok(None) => {}
                Err(e) => log::warn!(
                    "vm={} could not read the first message of a stream: {e}",
                    stream_cx.vm
                ),
            }
        });
    }
}
