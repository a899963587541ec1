//! Bounds that a gateway is started with.

use std::time::Duration;

use compact_str::CompactString;

/// Settings of a gateway's decisions. Durations and shares come from the deployment's bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of this gateway, unique in the deployment.
    pub node: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Most requests open at once; further ones are refused as overloaded.
    pub max_requests: usize,
    /// Repeats that all gateways together may send, as a share of the requests.
    pub retry_ratio: f64,
    /// Repeats allowed on top of the share in each window.
    pub retry_slack: f64,
    /// Length of the retry budget's window.
    pub retry_window: Duration,
    /// Time from a planned stop to the end of the process.
    pub stop_limit: Duration,
    /// Longest time for which engine memory may be reserved.
    pub max_reservation_ttl: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}
