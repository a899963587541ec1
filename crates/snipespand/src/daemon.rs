//! Startup and planned stop of the daemon.

use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use eyre::Result;
use eyre::eyre;
use snipespan_settings::daemon;
use snipespan_settings::daemon::DaemonSettings;
use snipespan_settings::daemon::RoleSettings;
use snipespan_telemetry::json_logs;
use snipespan_telemetry::logs;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::entry;
use crate::gateway;
use crate::process::Addresses;
use crate::side;

/// Maximum wait at the end for the log lines to be written; standard output that is not read blocks
/// the writer for ever.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(100);

/// Runs the daemon according to its command-line arguments until a signal requests a planned stop.
///
/// # Errors
/// If the settings are invalid or the process cannot start.
pub fn main(matches: &ArgMatches) -> Result<()> {
    let path = matches
        .get_one::<PathBuf>("config")
        .ok_or_else(|| eyre!("argument --config with the settings file is missing"))?;
    let settings = daemon::load(path)?;
    if matches.get_flag("check-config") {
        println!("{}: no errors found", path.display());
        return Ok(());
    }
    start_logs(&settings)?;
    let runtime = runtime(&settings)?;
    runtime.block_on(async {
        let (stop, stopping) = watch::channel(false);
        tokio::spawn(stop_on_signal(stop));
        let (listening, addresses) = oneshot::channel();
        tokio::spawn(print_addresses(addresses));
        let result = run(settings, stopping, listening).await;
        json_logs::finish(LAST_LINES_TIMEOUT);
        result
    })
}

fn start_logs(settings: &DaemonSettings) -> Result<()> {
    let filters = &settings.telemetry.log;
    match &settings.role {
        RoleSettings::Entry(_) | RoleSettings::Side(_) => logs::start(filters),
        RoleSettings::Gateway(_) => json_logs::start(filters)?,
    }
    Ok(())
}

/// Creates the runtime of the traffic threads. A single traffic thread is the calling thread
/// itself, as it needs no scheduler across threads.
fn runtime(settings: &DaemonSettings) -> Result<Runtime> {
    let mut builder = match settings.traffic_threads {
        1 => Builder::new_current_thread(),
        count => {
            let mut builder = Builder::new_multi_thread();
            builder.worker_threads(count).thread_name("traffic");
            builder
        }
    };
    Ok(builder.enable_all().build()?)
}

/// Runs a process until `stopping` becomes `true` and all work in progress is complete. Sends the
/// bound addresses through `listening` once the process listens.
///
/// # Errors
/// If the process cannot start.
pub async fn run(
    settings: DaemonSettings,
    stopping: watch::Receiver<bool>,
    listening: oneshot::Sender<Addresses>,
) -> Result<()> {
    match settings.role.clone() {
        RoleSettings::Entry(role) => entry::run(&settings, &role, stopping, listening).await,
        RoleSettings::Side(role) => side::run(&settings, &role, stopping, listening).await,
        RoleSettings::Gateway(role) => gateway::run(&settings, &role, stopping, listening).await,
    }
}

async fn print_addresses(addresses: oneshot::Receiver<Addresses>) {
    let Ok(addresses) = addresses.await else { return };
    match serde_json::to_string(&addresses) {
        Ok(line) => println!("{line}"),
        Err(e) => log::error!("could not encode the listening addresses as JSON: {e}"),
    }
}

async fn stop_on_signal(stop: watch::Sender<bool>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("planned stop requested");
    stop.send_replace(true);
    // The end of this task drops the sender, which would wake the receivers like another change, so
    // the task waits until all receivers are dropped.
    stop.closed().await;
    Ok(())
}
