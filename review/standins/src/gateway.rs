//! Gateway processes, started with the command of the deploy file and the settings of its template.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::client;

/// The template of the settings that the deploy file names.
const TEMPLATE: &str = "platform/gateway.ini";

pub struct Gateway {
    child: Child,
    pub clients: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
    /// Fields of the settings as the platform fills them in.
    fields: Vec<(&'static str, String)>,
}

/// Returns a free address of this process's own loopback address, so that no outgoing connection of
/// another process takes its port before the gateway listens.
fn free_address() -> SocketAddr {
    let pid = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 77, pid[2], pid[3]);
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Fills in a template: values, and sections of values that are all present.
fn render(template: &str, fields: &[(&'static str, String)]) -> String {
    let lines =
        template.lines().filter(|line| !line.starts_with("{{#") && !line.starts_with("{{/"));
    let mut text: String = lines.map(|line| format!("{line}\n")).collect();
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

impl Gateway {
    /// Starts a gateway with the bounds of the small sites.
    pub fn start(name: &str, store: SocketAddr) -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let (clients, ready, peers) = (free_address(), free_address(), free_address());
        let fields = vec![
            ("node_id", name.to_owned()),
            ("zone", "graz-a".to_owned()),
            ("listen.front", clients.to_string()),
            ("listen.ready_addr", ready.to_string()),
            ("ip", peers.ip().to_string()),
            ("internal_ports.0", peers.port().to_string()),
            ("seeds", String::new()),
            ("platform.address", store.to_string()),
            ("bounds.retry_ratio", "0.2".to_owned()),
            ("bounds.retry_slack", "100".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.hold_max_ms", "20000".to_owned()),
        ];
        write_settings(&folder, &fields)?;
        let child = spawn(&folder)?;
        Ok(Self { child, clients, ready, folder, fields })
    }

    /// Starts the process again with the settings in effect now.
    pub fn start_again(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.folder)?;
        Ok(())
    }

    /// Changes a field of the settings file, without a signal.
    pub fn change_settings(&mut self, name: &str, value: &str) -> std::io::Result<()> {
        for (known, current) in &mut self.fields {
            if *known == name {
                *current = value.to_owned();
            }
        }
        write_settings(&self.folder, &self.fields)
    }

    /// Returns how the process has ended; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
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

fn write_settings(folder: &Path, fields: &[(&'static str, String)]) -> std::io::Result<()> {
    let template = std::fs::read_to_string(TEMPLATE)?;
    std::fs::write(folder.join("node.ini"), render(&template, fields))
}

fn spawn(folder: &Path) -> std::io::Result<Child> {
    let log = File::options().create(true).append(true).open(folder.join("log.txt"))?;
    Command::new("target/release/snipespand")
        .arg("--config")
        .arg(folder.join("node.ini"))
        .stdin(Stdio::null())
        .stderr(Stdio::from(log.try_clone()?))
        .stdout(Stdio::from(log))
        .spawn()
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
