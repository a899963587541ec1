//! Settings of a gateway's decisions.

use std::time::Duration;

use compact_str::CompactString;

/// Settings of a gateway's decisions, within the limits that the deployment sets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewaySettings {
    /// Name of this gateway, unique in the deployment.
    pub node: CompactString,
    /// Name of its data centre.
    pub data_centre: CompactString,
    /// Names of data centres with the region of each; one that is not named is in no region.
    pub regions: Vec<(CompactString, CompactString)>,
    /// Maximum number of requests open at once; further requests are refused as overloaded.
    pub max_requests: usize,
    /// Retries that all gateways together may send, as a share of the requests, at least 0.
    pub retry_ratio: f64,
    /// Number of retries that all gateways together may send in each window in addition to the
    /// share, at least 0.
    pub retry_slack: f64,
    /// Length of the window over which the retry budget is counted.
    pub retry_window: Duration,
    /// Factor on the rate of a cold backend server in the bound on the requests that it gets in any
    /// second, at least 0; `None` if there is no bound.
    pub cold_excess: Option<f64>,
    /// Number of requests in any second that a cold backend server may get in addition to that
    /// product, at least 0; `None` if there is no bound.
    pub cold_slack: Option<f64>,
    /// Maximum time from the request of a planned stop to the end of the process.
    pub stop_limit: Duration,
    /// Maximum time for which engine memory is reserved without renewal.
    pub max_reservation_ttl: Duration,
    /// Maximum memory of the process in bytes; `None` without a limit. It is read at the start.
    pub memory_limit: Option<u64>,
    /// What 1 MB between data centres costs, in requests that miss their latency goal, at least
    /// 0; `None` if that is not known.
    pub remote_mb_cost: Option<f64>,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl GatewaySettings {
    /// Returns the region of a data centre; `None` if the settings do not name it.
    pub fn region_of(&self, data_centre: &str) -> Option<&CompactString> {
        self.regions.iter().find(|(name, _)| name == data_centre).map(|(_, region)| region)
    }
}
