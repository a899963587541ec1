//! Stand-ins for the review: the platform's store, replicas, clients, and gateway processes.
//!
//! Only the standard library is used, so that the crate builds without a network.

pub mod client;
pub mod gateway;
pub mod http;
pub mod record;
pub mod replica;
pub mod store;

use std::time::Duration;

use crate::gateway::Gateway;
use crate::record::Record;
use crate::record::Verdict;
use crate::store::Store;

/// A route of a configuration.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
}

/// Returns a configuration of plain services with the limits of the small sites, and tenants as
/// pairs of a name and its only key, or an empty text if it has none.
pub fn configuration(
    version: u64,
    routes: &[Route<'_>],
    services: &[&str],
    tenants: &[(&str, &str)],
) -> String {
    let routes: Vec<_> = routes
        .iter()
        .map(|route| {
            let Route { prefix, kind, service, timeout_ms } = route;
            format!(
                r#"{{"name":"r{}","host":"{}","prefix":"{prefix}","route_kind":"{kind}","timeout_ms":{timeout_ms},"latency_goal_ms":100,"priority":2,"service":"{service}","max_attempts":2,"public":false}}"#,
                prefix.replace('/', "-"),
                client::HOST
            )
        })
        .collect();
    let services: Vec<_> = services
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","health_path":"/healthz"}}"#))
        .collect();
    let tenants: Vec<_> = tenants
        .iter()
        .map(|(name, key)| {
            let keys = if key.is_empty() { String::new() } else { format!("\"{key}\"") };
            format!(r#"{{"name":"{name}","api_keys":[{keys}]}}"#)
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

/// Starts gateways and waits until they are ready; ends the case as invalid if they are not.
pub fn start_gateways(record: &Record, store: &Store, count: usize) -> Vec<Gateway> {
    let mut gateways = Vec::new();
    for number in 1..=count {
        match Gateway::start(&format!("edge-graz-a-{number}"), store.address()) {
            Ok(gateway) => gateways.push(gateway),
            Err(e) => {
                drop(gateways);
                record.end(Verdict::Invalid, &format!("a gateway does not start: {e}"));
            }
        }
    }
    if !gateways.iter().all(|gateway| gateway.wait_until_ready(Duration::from_secs(10))) {
        drop(gateways);
        record.end(Verdict::Invalid, "a gateway is not ready within 10 s");
    }
    record.line(&format!("{count} gateways are ready"));
    gateways
}
