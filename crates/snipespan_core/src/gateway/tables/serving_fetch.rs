//! Progress of fetching a newer serving configuration from a peer.

use std::net::SocketAddr;

use crate::time::Timestamp;

/// Progress of fetching a newer serving configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServingFetch {
    /// Since when peers have had a newer version without one coming into force here; `None` if none
    /// of them has.
    pub newer_since: Option<Timestamp>,
    /// The peer that is asked, and since when; `None` if none is.
    pub in_progress: Option<(SocketAddr, Timestamp)>,
    /// Time before which no fetch begins.
    pub not_before: Timestamp,
    /// Number of failures since the last configuration came into force.
    pub failures: u32,
}
