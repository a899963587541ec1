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
pub const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Another gateway.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where it takes datagrams and calls of other gateways.
    pub address: SocketAddr,
    /// Its name, once a message of it has arrived.
    pub node: Option<CompactString>,
    /// The incarnation of its last message.
    pub incarnation: u64,
    /// The newest sequence number seen of this incarnation.
    pub sequence: u64,
    /// When its last message arrived.
    pub last_message: Option<Timestamp>,
    /// The serving configuration that it has.
    pub version: ServingVersion,
    /// Whether the store lists it.
    pub is_listed: bool,
}

impl Entity for Peer {
    type Key = PeerKey;
}

impl Peer {
    /// Whether a message of it arrived lately.
    pub fn is_alive(&self, now: Timestamp) -> bool {
        self.last_message.is_some_and(|last_message| now.since(last_message) < PEER_TIMEOUT)
    }
}
