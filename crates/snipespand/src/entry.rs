//! An entry: serves callers and operators, and places requests at backend servers.

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
use crate::entry::configuration::ConfigurationKeeper;
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

/// Longest wait at the end of a planned stop for records and answers that are being written.
const LAST_WRITES_LIMIT: Duration = Duration::from_secs(30);

/// What the traffic tasks of an entry share.
#[derive(Debug)]
struct EntryContext {
    clock: Clock,
    control: mpsc::Sender<Input>,
    records: IdempotencyRecords,
    readiness: watch::Receiver<bool>,
    tasks: TaskTracker,
}

/// Runs an entry until a planned stop is done.
///
/// # Errors
/// When it cannot start.
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
    let (stopped, is_stopped) = oneshot::channel();
    let cx = Arc::new(EntryContext {
        clock,
        control: control.clone(),
        records: IdempotencyRecords::new(platform.clone()),
        readiness,
        tasks: TaskTracker::new(),
    });
    let keeper = ConfigurationKeeper::start(platform.clone(), control.clone(), &role.platform);
    let entry = Incarnation(rand::rng().random());
    let connector = SideConnector::new(endpoint.clone(), control.clone(), keeper.clone());
    let report_writer = ReportWriter::new(entry, clock, platform.clone(), control.clone());
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
        operators::serve(role, &role.tls, platform, &keeper, control.clone(), closing).await?;
    tokio::spawn(forward_stop(control, stopping));
    log::info!("vm={} entry listens: callers={callers} operators={operators}", settings.vm);
    let addresses =
        Addresses::Entry { callers: callers.to_string(), operators: operators.to_string() };
    // Whoever started this process may not care where it listens.
    let _ = listening.send(addresses);
    // The shell gives the sign when nothing is in progress.
    let _ = is_stopped.await;
    close.send_replace(true);
    close_after_tasks(&cx.tasks, &endpoint, LAST_WRITES_LIMIT).await;
    traces.flush();
    log::info!("vm={} planned stop done", settings.vm);
    Ok(())
}

async fn forward_stop(control: mpsc::Sender<Input>, stopping: watch::Receiver<bool>) {
    wait_for_stop(stopping).await;
    let _ = control.send(Input::Event(Event::StopRequested)).await;
}
