//! The stand-ins of a soak: a store, replicas, and a proxy before each.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use serde_json::Value;
use serde_json::json;
use snipespan_fakes::fault_proxy::FaultProxy;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::ReplicaConfig;
use snipespan_fakes::users_platform::store::FakeStore;

use crate::checks::EVENTS;
use crate::checks::MAX_ATTEMPTS;
use crate::checks::Written;
use crate::plan::Size;

/// The host of all routes.
pub const HOST: &str = "soak.example";

/// An API key that is always valid.
pub const FIRST_KEY: &str = "key-1";

/// An API key that configurations take away and give back.
pub const SECOND_KEY: &str = "key-2";

/// Time before each event of a replica.
const PAUSE: Duration = Duration::from_millis(15);

/// A replica behind its proxy.
pub struct Replica {
    /// The replica.
    pub fake: FakeReplica,
    /// The way to it.
    pub way: FaultProxy,
}

/// All stand-ins.
pub struct Site {
    /// The store.
    pub store: FakeStore,
    /// Engines first, then plain services.
    pub replicas: Vec<Replica>,
    /// What was written, in order.
    pub written: Vec<Written>,
    version: u64,
}

impl Site {
    /// Starts all stand-ins and lists the replicas.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub async fn start(size: Size) -> Result<Self> {
        let store = FakeStore::start().await?;
        let mut replicas = Vec::new();
        for service in ["llm", "orders"] {
            for number in 0..size.replicas {
                let config = ReplicaConfig {
                    id: format!("{service}-{number}"),
                    service: service.to_owned(),
                    events: EVENTS,
                    pause: PAUSE,
                    slots: 64,
                    memory_tokens: 232_000,
                };
                let fake = FakeReplica::start(config, None).await?;
                let way = FaultProxy::start(fake.address()).await?;
                replicas.push(Replica { fake, way });
            }
        }
        let mut site = Self { store, replicas, written: Vec::new(), version: 0 };
        for index in 0..site.replicas.len() {
            site.list(index, true);
        }
        site.configure(true);
        Ok(site)
    }

    /// Lists a replica as ready or draining.
    pub fn list(&mut self, index: usize, is_open: bool) {
        let Some(replica) = self.replicas.get(index) else { return };
        let state = if is_open { "ready" } else { "draining" };
        let entry = replica.fake.listing(replica.way.address(), state);
        self.store.put("servers", replica.fake.id(), &entry);
        self.written.push(Written { at: Instant::now(), replica: Some(index), is_open });
    }

    /// Writes a new configuration.
    pub fn configure(&mut self, has_second_key: bool) {
        self.version += 3;
        self.store.put("op", "config", &configuration(self.version, has_second_key));
        self.written.push(Written { at: Instant::now(), replica: None, is_open: has_second_key });
    }

    /// Address of the store.
    pub const fn store_address(&self) -> SocketAddr {
        self.store.address()
    }
}

fn configuration(version: u64, has_second_key: bool) -> Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": format!("r{}", prefix.replace('/', "-")), "host": HOST, "prefix": prefix,
            "route_kind": kind, "timeout_ms": 6000, "latency_goal_ms": 1000, "priority": 1,
            "service": service, "max_attempts": MAX_ATTEMPTS, "public": false, "resumable": true,
            "gap_goal_ms": 250, "sticky": true,
        })
    };
    let keys = match has_second_key {
        true => vec![FIRST_KEY, SECOND_KEY],
        false => vec![FIRST_KEY],
    };
    json!({
        "version": version,
        "routes": [
            route("/stream/", "streaming", "llm"), route("/order/", "unsafe", "orders"),
            route("/look/", "safe", "orders"),
        ],
        "services": [
            { "name": "llm", "engine": {
                "slots": 64, "kv_capacity": 232_000, "stride": 43, "step_ms": 1.02,
                "per_seq_ms": 0.002, "context_per_k": 0.004, "read_per_s": 2_060_000.0,
                "pairs_per_m": 0.001, "chunk": 2048, "usual": { "answer": 300 },
            } },
            { "name": "orders" },
        ],
        "limits": {
            "header_bytes": 16384, "body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{ "name": "account-1", "api_keys": keys }],
    })
}
