//! The entry role: serves callers and operators, and dispatches requests to backend servers.

mod answer;
mod attempt;
mod callers;
mod chat;
mod configuration;
mod operators;
mod records;
mod report_writer;
mod request_task;
mod ruling;
mod service_call;
mod shell;
mod sides;
mod vm_list;

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use rand::RngExt;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::settings::EntrySettings;
use snipespan_core::entry::world::World;
use snipespan_core::identity::Incarnation;
use snipespan_platform::client::PlatformClient;
use snipespan_platform::idempotency::IdempotencyRecords;
use snipespan_settings::daemon::DaemonSettings;
use snipespan_settings::daemon::EntryRole;
use snipespan_telemetry::metrics;
use snipespan_telemetry::traces::Traces;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::clock::Clock;
use crate::control;
use crate::entry::configuration::ConfigurationHandle;
use crate::entry::report_writer::ReportWriter;
use crate::entry::shell::Input;
use crate::entry::shell::Shell;
use crate::entry::sides::SideConnector;
use crate::metrics::MetricsReporter;
use crate::process::Addresses;
use crate::process::wait_for_stop;
use crate::quic;
use crate::quic::close_after_tasks;
use crate::tls::Identity;

/// Maximum wait at the end of a planned stop for records and answers that are still being written.
const FINAL_WRITES_TIMEOUT: Duration = Duration::from_secs(30);

/// State shared by the traffic tasks of an entry.
#[derive(Debug)]
struct EntryContext {
    clock: Clock,
    control: mpsc::Sender<Input>,
    records: IdempotencyRecords,
    readiness: watch::Receiver<bool>,
    tasks: TaskTracker,
}

/// Runs an entry until a planned stop has completed.
///
/// # Errors
/// If the entry cannot start.
pub(crate) async fn run(
    settings: &DaemonSettings,
    role: &EntryRole,
    stopping: watch::Receiver<bool>,
    listening: oneshot::Sender<Addresses>,
) -> Result<()> {
    let telemetry = &settings.telemetry;
    let url = telemetry.traces.as_deref();
    let traces = Traces::start("snipespan-entry", url, telemetry.traces_per_mille)?;
    let metrics = metrics::client("snipespan.entry", telemetry.metrics)?;
    let identity = Identity::load(&role.tls)?;
    let endpoint = quic::client_endpoint(role.sides_bind, &identity)?;
    let platform = PlatformClient::new(&role.platform.url, role.platform.timeout)?;
    let clock = Clock::start();
    let (control, inputs) = control::input_queue();
    let (ready, readiness) = watch::channel(false);
    let (stopped, stop_done) = oneshot::channel();
    let cx = Arc::new(EntryContext {
        clock,
        control: control.clone(),
        records: IdempotencyRecords::new(platform.clone()),
        readiness,
        tasks: TaskTracker::new(),
    });
    let configuration =
        ConfigurationHandle::start(platform.clone(), control.clone(), &role.platform);
    let incarnation = Incarnation(rand::rng().random());
    let connector = SideConnector::new(endpoint.clone(), control.clone(), configuration.clone());
    let report_writer = ReportWriter::new(incarnation, clock, platform.clone(), control.clone());
    let shell = Shell {
        world: World::new(EntrySettings {
            seed: rand::rng().random(),
            ..role.decision_settings.clone()
        }),
        callers: SlotMap::with_key(),
        connections: SecondaryMap::new(),
        connector,
        report_writer,
        metrics: MetricsReporter::new(metrics),
        ready,
        stopped: Some(stopped),
        events: Vec::new(),
    };
    control::start_thread(clock, shell, inputs)?;
    tokio::spawn(vm_list::run(platform.clone(), control.clone(), role.platform.vm_list_interval));
    let (close, closing) = watch::channel(false);
    let callers = callers::serve(role, Arc::clone(&cx), closing.clone()).await?;
    let operators =
        operators::serve(role, &role.tls, platform, &configuration, control.clone(), closing)
            .await?;
    tokio::spawn(forward_stop_request(control, stopping));
    log::info!("vm={} entry is listening: callers={callers} operators={operators}", settings.vm);
    let addresses =
        Addresses::Entry { callers: callers.to_string(), operators: operators.to_string() };
    // The send fails if nobody waits for the addresses.
    let _ = listening.send(addresses);
    // During a planned stop, the shell sends this signal once no request is in progress.
    let _ = stop_done.await;
    close.send_replace(true);
    close_after_tasks(&cx.tasks, &endpoint, FINAL_WRITES_TIMEOUT).await;
    traces.flush();
    log::info!("vm={} planned stop done", settings.vm);
    Ok(())
}

async fn forward_stop_request(control: mpsc::Sender<Input>, stopping: watch::Receiver<bool>) {
    wait_for_stop(stopping).await;
    let _ = control.send(Input::Event(Event::StopRequested)).await;
}
