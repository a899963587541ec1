//! Other gateways.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::gateway::serving::ServingVersion;
use crate::keys::PeerKey;
use crate::table::Entity;
use crate::time::Timestamp;

/// Most peers in view; the size that the system is designed for has 410 nodes.
pub const MAX_PEERS: usize = 512;

/// A peer that has been silent for this long is taken as gone, with its work; three times the
/// interval of whole states.
pub const PEER_SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Another gateway.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it takes datagrams and calls of other gateways.
    pub address: SocketAddr,
    /// Its name, once it has spoken.
    pub node: Option<CompactString>,
    /// The life that it spoke of last.
    pub incarnation: u64,
    /// The newest sequence number seen in this life.
    pub sequence: u64,
    /// When it spoke last.
    pub heard: Option<Timestamp>,
    /// The serving configuration that it has.
    pub version: ServingVersion,
    /// Whether the store lists it.
    pub is_listed: bool,
}

impl Entity for Peer {
    type Key = PeerKey;
}

impl Peer {
    /// Whether it has spoken lately.
    pub fn is_alive(&self, now: Timestamp) -> bool {
        self.heard.is_some_and(|heard| now.since(heard) < PEER_SILENCE_LIMIT)
    }
}
