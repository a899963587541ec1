//! Gateway processes under test.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use eyre::Result;
use eyre::bail;
use eyre::eyre;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use tokio::sync::watch;

use crate::addresses::GatewayAddresses;

/// Maximum duration of a planned stop: `stop_limit` of the settings, 8 seconds, plus a margin for a
/// busy machine.
pub const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// A gateway process that can be restarted with the same settings and log file.
pub struct Gateway {
    daemon: PathBuf,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Address for clients; `None` while the process is down.
    pub address: watch::Sender<Option<SocketAddr>>,
}

impl Gateway {
    /// Writes the settings of a gateway that listens at `listen` and reaches the store at `store`,
    /// and starts it.
    ///
    /// # Errors
    /// When the settings cannot be written or the process does not start.
    pub fn start(
        daemon: &Path,
        folder: &Path,
        name: &str,
        listen: GatewayAddresses,
        store: SocketAddr,
    ) -> Result<Self> {
        let config = folder.join(format!("{name}.ini"));
        let GatewayAddresses { clients, ready, peers } = listen;
        let text = format!(
            "[process]\nrole = gateway\nvm = {name}\ndata_centre = graz-a\ntraffic_threads = 1\n\
             [gateway]\nclients_listen = {clients}\nready_listen = {ready}\n\
             peers_listen = {peers}\nstore = {store}\nretry_ratio = 0.2\n\
             retry_slack = 1000\nstop_limit = 8s\nfeed_wait = 1s\n"
        );
        std::fs::write(&config, text)?;
        let log = folder.join(format!("{name}.log"));
        let (address, _) = watch::channel(None);
        let daemon = daemon.to_owned();
        let mut gateway = Self { daemon, config, log, child: None, address };
        gateway.restart()?;
        Ok(gateway)
    }

    /// Starts the process; its log is appended to the same file.
    ///
    /// # Errors
    /// When the process does not start or ends before it logs its address.
    pub fn restart(&mut self) -> Result<()> {
        let mut child = Command::new(&self.daemon)
            .arg("--config")
            .arg(&self.config)
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("the gateway process has no standard output pipe"))?;
        self.child = Some(child);
        let mut reader = BufReader::new(stdout);
        let address = loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                bail!(
                    "the gateway with settings {} ended before it logged its address",
                    self.config.display()
                );
            }
            let value: Value = serde_json::from_str(&line)?;
            if let Some(address) = value["gateway"]["clients"].as_str() {
                break address.parse()?;
            }
        };
        let mut log = std::fs::File::options().create(true).append(true).open(&self.log)?;
        std::thread::spawn(move || std::io::copy(&mut reader, &mut log));
        self.address.send_replace(Some(address));
        Ok(())
    }

    /// Sends a signal to the process; returns `None` if it has ended.
    pub fn send_signal(&self, signal: Signal) -> Option<()> {
        let child = self.child.as_ref()?;
        kill(Pid::from_raw(child.id() as i32), signal).ok()
    }

    /// Returns whether the process has exited successfully; `None` if it runs or was ended before.
    pub fn poll_exit(&mut self) -> Option<bool> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.address.send_replace(None);
        self.child = None;
        Some(status.success())
    }

    /// Returns whether the process has been started and not been seen to end.
    pub const fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        self.address.send_replace(None);
        let Some(mut child) = self.child.take() else { return };
        // The process may be frozen by SIGSTOP; an error means that it has already ended.
        let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGCONT);
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
