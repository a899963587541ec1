//! Bounds and choices that an entry is started with.

use std::time::Duration;

use derive_more::Display;

use crate::identity::DataCentre;

/// How an entry chooses among backend servers.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Each backend server in turn.
    #[display("round_robin")]
    RoundRobin,
    /// The backend server with the fewest open requests of this entry.
    #[display("fewest_open")]
    FewestOpen,
    /// The backend server with the earliest estimated first token.
    #[display("earliest_first_token")]
    EarliestFirstToken,
}

impl RoutingPolicy {
    /// Whether the choice is among all backend servers rather than some that are drawn.
    pub const fn considers_all(self) -> bool {
        match self {
            Self::RoundRobin | Self::FewestOpen => true,
            Self::EarliestFirstToken => false,
        }
    }
}

/// Settings of an entry's decisions.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The data centre of this entry.
    pub data_centre: DataCentre,
    /// How backend servers are chosen.
    pub routing: RoutingPolicy,
    /// Most requests open at once; further ones are refused as overloaded.
    pub max_requests: usize,
    /// Most bytes of request bodies held at once; further requests are refused as overloaded.
    pub max_body_bytes: u64,
    /// Longest request body in bytes.
    pub max_request_bytes: u64,
    /// Most backend servers in view; further ones are left out and counted.
    pub max_backend_servers: usize,
    /// Most tries of one request.
    pub max_attempts: u32,
    /// Longest wait for a backend server before a request is refused.
    pub placing_limit: Duration,
    /// How long a stopping entry still takes new requests, for the balancer to notice.
    pub stop_grace: Duration,
    /// Seed of the random choices.
    pub seed: u64,
}
