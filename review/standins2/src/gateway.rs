//! Gateways as separate processes, started with the command of the deploy file.

use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::free_addresses;

/// The program of the deploy file, relative to the repository's root.
const DAEMON: &str = "target/release/snipespand";

/// Settings as `platform/gateway.ini` renders them for a small deployment.
#[derive(Clone, Debug)]
pub struct Settings {
    pub store: SocketAddr,
    pub zone: String,
    /// Zones, each with its region.
    pub zones: Vec<(String, String)>,
    /// Further lines of the section `gateway`.
    pub extra: String,
}

/// A gateway, which is killed when this is dropped.
pub struct Gateway {
    pub name: String,
    pub clients: SocketAddr,
    ready: SocketAddr,
    config: PathBuf,
    log: PathBuf,
    pid: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings of a gateway and chooses its ports.
    pub fn prepare(name: &str, folder: &Path, settings: &Settings) -> Self {
        let [clients, ready, peers] = free_addresses();
        let zones = settings.zones.iter();
        let zones: String = zones.map(|(zone, region)| format!("{zone} = {region}\n")).collect();
        let text = format!(
            "[process]\nrole = gateway\nvm = {name}\ndata_centre = {}\ntraffic_threads = 1\n\n\
             [telemetry]\nlog = info\n\n\
             [gateway]\nclients_listen = {clients}\nready_listen = {ready}\n\
             peers_listen = {peers}\nseeds = \nstore = {}\nretry_ratio = 0.2\n\
             retry_slack = 100\nretry_window = 10s\nstop_limit = 8s\nmax_hold = 20000ms\n\
             memory_limit = 260MB\n{}\n[data_centres]\n{zones}",
            settings.zone, settings.store, settings.extra
        );
        let config = folder.join(format!("{name}.ini"));
        std::fs::write(&config, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let pid = folder.join(format!("{name}.pid"));
        Self { name: name.to_owned(), clients, ready, config, log, pid, child: None }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let mut options = File::options();
        let log = options.create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(DAEMON)
            .arg("--config")
            .arg(&self.config)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.unwrap_or_else(|e| panic!("{DAEMON} does not start: {e}"));
        // The script ends the process if the case cannot.
        let _ = std::fs::write(&self.pid, child.id().to_string());
        self.child = Some(child);
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = std::fs::remove_file(&self.pid);
        }
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let script = format!("kill -{name} {}", child.id());
        let _ = Command::new("sh").arg("-c").arg(script).status();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        }
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, limit) else { return false };
        let _ = stream.set_read_timeout(Some(limit));
        let req = "GET /snipespan/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(req.as_bytes()).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    /// Waits until it is ready.
    ///
    /// # Panics
    /// If it is not within 10 s: the case cannot run.
    pub fn wait_until_ready(&self) {
        let began = Instant::now();
        while !self.is_ready() {
            assert!(began.elapsed() < Duration::from_secs(10), "{} is not ready", self.name);
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.signal("CONT");
        self.kill();
    }
}
