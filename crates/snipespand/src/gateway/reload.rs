//! Reads the settings file again on a signal or a change of the file.

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

/// Interval at which the file's time of change is looked at; it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Starts to watch for changes.
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
            Err(e) => log::error!("the settings stay as they were: {e}"),
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    // A file that is being replaced is looked at again after the next interval.
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

fn load_settings(path: &Path) -> Result<GatewaySettings> {
    match daemon::load(path)?.role {
        RoleSettings::Gateway(role) => Ok(role.decision_settings),
        RoleSettings::Entry(_) | RoleSettings::Side(_) => {
            Err(eyre!("the role is another one; that needs a restart"))
        }
    }
}
