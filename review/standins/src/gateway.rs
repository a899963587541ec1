//! Gateway processes, started with the command of the deploy file and the settings of its template.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::client;

pub struct Gateway {
    child: Child,
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

impl Gateway {
    /// Starts a gateway with the bounds of the small sites.
    pub fn start(name: &str, store: SocketAddr) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (clients, ready, peers) = (free_address(), free_address(), free_address());
        let settings = format!(
            "[process]\nrole = gateway\nvm = {name}\ndata_centre = graz-a\ntraffic_threads = 1\n\n\
             [telemetry]\nlog = info\n\n\
             [gateway]\nclients_listen = {clients}\nready_listen = {ready}\n\
             peers_listen = {peers}\nseeds = \nstore = {store}\nretry_ratio = 0.2\n\
             retry_slack = 100\nretry_window = 10s\nstop_limit = 8s\nmax_hold = 20000ms\n"
        );
        let path = folder.join("node.ini");
        std::fs::write(&path, settings)?;
        let log = File::create(folder.join("log.txt"))?;
        let daemon = std::env::var("DAEMON").unwrap_or("target/release/snipespand".to_owned());
        let child = Command::new(daemon)
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone()?))
            .stdout(Stdio::from(log))
            .spawn()?;
        Ok(Self { child, clients, ready, folder })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        client::get(self.ready, "/snipespan/readyz", limit)
            .is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the gateway is ready; returns whether it is in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let began = Instant::now();
        while !self.is_ready() {
            if began.elapsed() > limit {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    /// Sends a signal, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("sh").arg("-c").arg(format!("kill -{name} {}", self.pid())).status();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the memory that the process has resident, in KiB; 0 if it has ended.
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.unwrap_or_default().trim().trim_end_matches("kB").trim();
        resident.parse().unwrap_or_default()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
