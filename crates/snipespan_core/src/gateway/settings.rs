//! Settings of a gateway's decisions.

use std::time::Duration;

use compact_str::CompactString;

/// Settings of a gateway's decisions, within the limits that the deployment sets.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Name of this gateway, unique in the deployment.
    pub node: CompactString,
    /// Name of its data centre.
    pub data_centre: CompactString,
    /// Maximum number of requests open at once; further requests are refused as overloaded.
    pub max_requests: usize,
    /// Retries that all gateways together may send, as a share of the requests, at least 0.
    pub retry_ratio: f64,
    /// Number of retries that all gateways together may send in each window in addition to the
    /// share, at least 0.
    pub retry_slack: f64,
    /// Length of the window over which the retry budget is counted.
    pub retry_window: Duration,
    /// Maximum time from the request of a planned stop to the end of the process.
    pub stop_limit: Duration,
    /// Maximum time for which engine memory is reserved without renewal.
    pub max_reservation_ttl: Duration,
    /// What 1 MB between data centres costs, in values of a request with an empty prompt, at least
    /// 0; `None` if that is not known.
    pub remote_mb_cost: Option<f64>,
    /// Seed of the random number generator.
    pub seed: u64,
}
