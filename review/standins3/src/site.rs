//! A small deployment: the configuration, and what the cases share.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use crate::record::Record;

/// Returns the loopback address of this run, so that runs beside each other take no ports of each other.
pub fn ip() -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 2 + (pid >> 16 & 31) as u8, (pid >> 8) as u8, 1 + (pid % 250) as u8)
}

/// Opens a listener at the next free port of the address of this run. The ports are below those that
/// the system gives to outgoing connections, and none is given twice.
pub fn listen() -> TcpListener {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        if let Ok(listener) = TcpListener::bind(SocketAddr::from((ip(), port))) {
            return listener;
        }
    }
}

static NEXT_PORT: AtomicU16 = AtomicU16::new(20_001);

/// Bounds of the site `lw-snipespan`.
pub const CONTACT_MS: u64 = 3000;
pub const DRAIN_MS: u64 = 2000;

/// Where a case runs, and whether with its disruption.
pub struct Run {
    pub record: Record,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// Returns a configuration with a plain service `orders` and a service `llm` that streams.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, more: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"prefix\":\"{prefix}\",\
             \"route_kind\":\"{kind}\",\"timeout_ms\":10000,\"latency_goal_ms\":1500,\
             \"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\"public\":false{more}}}"
        )
    };
    let routes = [
        route("order", "/order/", "unsafe", "orders", ""),
        route("look", "/look/", "safe", "orders", ""),
        route(
            "stream",
            "/stream/",
            "streaming",
            "llm",
            ",\"resumable\":true,\"gap_goal_ms\":600,\"sticky\":true",
        ),
        route(
            "once",
            "/once/",
            "streaming",
            "llm",
            ",\"resumable\":false,\"gap_goal_ms\":600,\"sticky\":true",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"orders\",\"health_path\":\"/healthz\"}},\
         {{\"name\":\"llm\",\"health_path\":\"/healthz\",\"engine\":{{\"slots\":16,\
         \"kv_capacity\":232000,\"stride\":43,\"step_ms\":1.02,\"per_seq_ms\":0.00226,\
         \"context_per_k\":0.00431,\"read_per_s\":206000.0,\"pairs_per_m\":0.0138,\"chunk\":2048,\
         \"usual\":{{\"answer\":1303}}}}}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":65536,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"account-1\",\"api_keys\":[\"key-1\"]}}]}}",
        routes.join(",")
    )
}

/// Returns [`configuration`] with a rate for cold replicas of `orders`.
pub fn configuration_with_cold_rate(version: u64, per_s: f64) -> String {
    let service = "{\"name\":\"orders\",\"health_path\":\"/healthz\"";
    configuration(version).replace(service, &format!("{service},\"cold_per_s\":{per_s}"))
}
