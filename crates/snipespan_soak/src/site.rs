//! Fakes of the users' platform: a store, and replicas behind fault proxies.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use serde_json::Value;
use serde_json::json;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::fault_proxy::FaultProxy;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::HeadTiming;
use snipespan_fakes::users_platform::replica::ReplicaConfig;
use snipespan_fakes::users_platform::store::FakeStore;

use crate::addresses::AddressBlock;
use crate::checks::MAX_ATTEMPTS;
use crate::checks::STREAM_EVENTS;
use crate::checks::StoreWrite;
use crate::plan::SoakConfig;

/// Host of all routes.
pub const HOST: &str = "soak.example";

/// API key that is valid in every configuration.
pub const PERMANENT_KEY: &str = "key-1";

/// API key that configurations revoke and restore.
pub const REVOCABLE_KEY: &str = "key-2";

/// Time for which a connection of a client may stay idle.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause of a replica before each event and each plain answer.
const EVENT_PAUSE: Duration = Duration::from_millis(15);

/// A replica behind a fault proxy, which stays when another incarnation replaces it.
pub struct Replica {
    /// The newest incarnation.
    pub fake: FakeReplica,
    /// Earlier incarnations, in order. They finish what they run.
    pub past: Vec<FakeReplica>,
    config: ReplicaConfig,
    /// Proxy through which gateways reach it.
    pub proxy: FaultProxy,
}

/// The fake store and the fake replicas of the users' platform.
pub struct TestPlatform {
    /// The fake store.
    pub store: FakeStore,
    /// Replicas, those of the engine service first, then those of the plain service.
    pub replicas: Vec<Replica>,
    /// Writes to the store, in order.
    pub store_writes: Vec<StoreWrite>,
    ip: IpAddr,
    /// Version of the last configuration that was written.
    version: u64,
}

impl TestPlatform {
    /// Starts all fakes in `addresses`, lists the replicas as ready and writes a first configuration. The
    /// ids of replicas end with `tag`, which no other run has.
    ///
    /// # Errors
    /// When a port cannot be bound.
    pub async fn start(config: SoakConfig, addresses: &AddressBlock, tag: &str) -> Result<Self> {
        let ip = addresses.fakes();
        let any_port = Some(SocketAddr::new(ip, 0));
        let store = FakeStore::start_at(any_port).await?;
        let mut replicas = Vec::new();
        for service in ["llm", "orders"] {
            for number in 0..config.replicas {
                let replica_config = ReplicaConfig {
                    id: format!("{service}-{number}-{tag}"),
                    service: service.to_owned(),
                    events: STREAM_EVENTS,
                    pause: EVENT_PAUSE,
                    slots: 64,
                    memory_tokens: 232_000,
                    // Half of the replicas end before the head of an answer on the deadly part.
                    head_timing: match number % 2 {
                        0 => HeadTiming::AtOnce,
                        _ => HeadTiming::WithFirstEvent,
                    },
                };
                let fake = FakeReplica::start(replica_config.clone(), any_port).await?;
                let proxy = FaultProxy::start_at(addresses.proxies(), fake.address()).await?;
                replicas.push(Replica { fake, past: Vec::new(), config: replica_config, proxy });
            }
        }
        let mut platform = Self { store, replicas, store_writes: Vec::new(), ip, version: 0 };
        for index in 0..platform.replicas.len() {
            platform.list_replica(index, true);
        }
        platform.write_configuration(true);
        Ok(platform)
    }

    /// Lists a replica in the store as ready if `is_enabled`, else as draining.
    pub fn list_replica(&mut self, index: usize, is_enabled: bool) {
        let Some(replica) = self.replicas.get(index) else { return };
        let state = if is_enabled { "ready" } else { "draining" };
        let listing = replica.fake.listing(replica.proxy.address(), state);
        self.store.put("servers", replica.fake.id(), &listing);
        self.store_writes.push(StoreWrite {
            acknowledged: Instant::now(),
            replica: Some(index),
            is_enabled,
        });
    }

    /// Replaces a replica by another incarnation with an id of its own, at the same address.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn replace_replica(&mut self, index: usize) -> Result<()> {
        let Some(replica) = self.replicas.get_mut(index) else { return Ok(()) };
        let id = format!("{}-{}", replica.config.id, replica.past.len() + 2);
        let config = ReplicaConfig { id, ..replica.config.clone() };
        let fake = FakeReplica::start(config, Some(SocketAddr::new(self.ip, 0))).await?;
        replica.proxy.set_target(fake.address());
        replica.proxy.set_fault(Fault::None);
        let past = std::mem::replace(&mut replica.fake, fake);
        self.store.remove("servers", past.id());
        replica.past.push(past);
        self.list_replica(index, true);
        Ok(())
    }

    /// Writes a new configuration to the store, with or without the revocable API key.
    pub fn write_configuration(&mut self, has_revocable_key: bool) {
        self.version += 3;
        self.store.put("op", "config", &build_configuration(self.version, has_revocable_key));
        self.store_writes.push(StoreWrite {
            acknowledged: Instant::now(),
            replica: None,
            is_enabled: has_revocable_key,
        });
    }

    /// Returns the address of the store.
    pub const fn store_address(&self) -> SocketAddr {
        self.store.address()
    }
}

fn build_configuration(version: u64, has_revocable_key: bool) -> Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": format!("r{}", prefix.replace('/', "-")), "host": HOST, "prefix": prefix,
            "route_kind": kind, "timeout_ms": 6000, "latency_goal_ms": 1000, "priority": 1,
            "service": service, "max_attempts": MAX_ATTEMPTS, "public": false, "resumable": true,
            "gap_goal_ms": 250, "sticky": true,
        })
    };
    let keys = match has_revocable_key {
        true => vec![PERMANENT_KEY, REVOCABLE_KEY],
        false => vec![PERMANENT_KEY],
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
            "header_timeout_ms": 3000, "idle_timeout_ms": IDLE_TIMEOUT.as_millis() as u64,
        },
        "tenants": [{ "name": "account-1", "api_keys": keys }],
    })
}
