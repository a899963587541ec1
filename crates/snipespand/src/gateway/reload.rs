//! Reloads the settings file on SIGHUP or when the file has changed.

use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::SystemTime;

use eyre::Result;
use eyre::eyre;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::settings::GatewaySettings;
use snipespan_settings::daemon;
use snipespan_settings::daemon::RoleSettings;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;

use crate::gateway::shell::Input;

/// Interval of the checks of the file's modification time, as the file may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Starts the task that reloads the settings file at `path`.
pub(super) fn start(path: PathBuf, control: mpsc::Sender<Input>) -> Result<()> {
    let hangups = signal(SignalKind::hangup())?;
    tokio::spawn(watch_file(path, control, hangups));
    Ok(())
}

async fn watch_file(path: PathBuf, control: mpsc::Sender<Input>, mut hangups: Signal) {
    let mut last_modified = modified_at(&path);
    loop {
        let is_signalled = tokio::select! {
            _ = hangups.recv() => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let modified = modified_at(&path);
        if !is_signalled && modified == last_modified {
            continue;
        }
        last_modified = modified;
        match load_settings(&path) {
            Ok(settings) => {
                let event = Event::SettingsChanged(Box::new(settings));
                if control.send(Input::Event(event)).await.is_err() {
                    return;
                }
            }
            Err(e) => log::error!("could not reload settings; the old ones stay in force: {e}"),
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    // `None` if the file cannot be read, for example while it is replaced; the next check follows.
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

fn load_settings(path: &Path) -> Result<GatewaySettings> {
    match daemon::load(path)?.role {
        RoleSettings::Gateway(role) => Ok(role.decision_settings),
        RoleSettings::Entry(_) | RoleSettings::Side(_) => {
            Err(eyre!("the role differs from `gateway`; a change of role needs a restart"))
        }
    }
}
