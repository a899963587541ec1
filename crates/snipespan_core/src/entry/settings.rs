//! Settings of an entry's decisions.

use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;

use crate::identity::DataCentre;

/// Policy by which an entry chooses a backend server for a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The next backend server in cyclic order.
    #[display("round_robin")]
    RoundRobin,
    /// The backend server at which this entry has the fewest open requests.
    #[display("fewest_open")]
    FewestOpen,
    /// The backend server with the earliest estimated first token.
    #[display("earliest_first_token")]
    EarliestFirstToken,
}

impl RoutingPolicy {
    /// Returns whether the policy considers all backend servers of a target rather than a random
    /// sample.
    pub const fn considers_all(self) -> bool {
        match self {
            Self::RoundRobin | Self::FewestOpen => true,
            Self::EarliestFirstToken => false,
        }
    }
}

/// Settings of an entry's decisions: limits and policies.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Data centre of this entry.
    pub data_centre: DataCentre,
    /// Data centres with the names of their regions, at most
    /// [`MAX_REGIONS`](crate::entry::tables::regions::MAX_REGIONS) regions.
    pub regions: Vec<(DataCentre, CompactString)>,
    /// Policy for the choice of a backend server.
    pub routing: RoutingPolicy,
    /// Maximum number of open requests; further requests are refused as overloaded.
    pub max_requests: usize,
    /// Maximum total size of request bodies in memory, in bytes; further requests are refused as
    /// overloaded.
    pub max_body_bytes: u64,
    /// Maximum size of one request body in bytes.
    pub max_request_bytes: u64,
    /// Maximum number of known backend servers; further ones are skipped and counted.
    pub max_backend_servers: usize,
    /// Maximum number of attempts of one request.
    pub max_attempts: u32,
    /// Maximum time that a request waits for a backend server before it is refused.
    pub placing_limit: Duration,
    /// Time for which a stopping entry still accepts new requests, so that the load balancer can
    /// notice that the entry is no longer ready.
    pub stop_grace: Duration,
    /// Seed of the random number generator.
    pub seed: u64,
}
