//! Starts the daemon in the role gateway, and ends it.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::site;

/// A gateway process, which is killed when this is dropped.
pub struct Gateway {
    child: Option<Child>,
    pub clients: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// Returns addresses for clients, readiness and peers that are free now.
fn free_addresses() -> [SocketAddr; 3] {
    let listeners = [(); 3].map(|()| site::listen());
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

impl Gateway {
    /// Writes the settings as the template of the deploy file has them, and starts the daemon as it does.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
        more: &str,
    ) -> Gateway {
        let [clients, ready, peers] = free_addresses();
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let text = format!(
            "[process]\nrole = gateway\nvm = {name}\ndata_centre = {zone}\ntraffic_threads = 1\n\n\
             [telemetry]\nlog = info\n\n\
             [gateway]\nclients_listen = {clients}\nready_listen = {ready}\npeers_listen = {peers}\n\
             seeds = {}\nstore = {store}\nretry_ratio = 0.2\nretry_slack = 100\n\
             retry_window = 10s\nstop_limit = 8s\nmax_hold = 20000ms\nmemory_limit = 260MB\n{more}\n\
             [data_centres]\ngraz-a = at-graz\ngraz-b = at-graz\ngraz-c = at-graz\n",
            seeds.join(","),
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let mut gateway = Gateway { child: None, clients, ready, settings, log };
        gateway.start_again();
        gateway
    }

    /// Starts the daemon with the settings that are there.
    pub fn start_again(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new("target/release/snipespand")
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            // A panic ends the run as one that could not be made, and the processes with it.
            Err(e) => panic!("the daemon does not start: {e}"),
        }
    }

    pub fn is_ready(&self) -> bool {
        client::status_of(self.ready, "/snipespan/readyz") == Some(200)
    }

    /// Waits until it is ready; panics if it never is.
    pub fn wait_until_ready(&self) {
        let began = Instant::now();
        while !self.is_ready() {
            if began.elapsed() > Duration::from_secs(15) {
                panic!("a gateway is not ready within 15 s; its log is {}", self.log.display());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends a signal by name to the process.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let pid = child.id().to_string();
        // The process may have ended.
        let _ = Command::new("kill").args(["-s", name, &pid]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}
