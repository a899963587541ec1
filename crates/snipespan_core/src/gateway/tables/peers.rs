//! Other gateways, the peers.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::gateway::message::FeedReport;
use crate::gateway::serving::ServingVersion;
use crate::keys::DataCentreKey;
use crate::keys::PeerKey;
use crate::table::Entity;
use crate::time::Timestamp;

/// Maximum number of peers in the table; the system is designed for 410 nodes.
pub const MAX_PEERS: usize = 512;

/// Silence after which a peer counts as gone and its work is removed; three times the interval of
/// snapshots.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Another gateway.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Address at which it accepts datagrams and calls from other gateways.
    pub address: SocketAddr,
    /// Name of the peer; `None` before its first message.
    pub node: Option<CompactString>,
    /// Its data centre; `None` if it does not state one.
    pub data_centre: Option<DataCentreKey>,
    /// Its rank among the gateways, by its name; the lowest ranks follow the store's feeds.
    pub rank: u64,
    /// Incarnation of its last message.
    pub incarnation: u64,
    /// Newest sequence number received from this incarnation.
    pub sequence: u64,
    /// When its last message arrived; `None` before the first one and after the peer was lost.
    pub last_message: Option<Timestamp>,
    /// Version of the serving configuration in force at the peer.
    pub version: ServingVersion,
    /// Its last report on its copy of the listings, and when it arrived; `None` if the peer does
    /// not follow the store's feeds for others, unless there are too few gateways for that.
    pub feed: Option<(FeedReport, Timestamp)>,
    /// Whether the list of gateways that was read last contains it.
    pub is_listed: bool,
}

/// The gateways that this one knows and hears, itself included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GatewayView {
    /// Number of gateways from which messages arrive.
    pub heard: usize,
    /// Number of gateways that are listed or heard.
    pub known: usize,
    /// Hash over the set of gateways from which messages arrive.
    pub fingerprint: u64,
    /// When that set last changed.
    pub changed: Timestamp,
    /// Whether the store's list of gateways was read.
    pub has_list: bool,
}

impl Entity for Peer {
    type Key = PeerKey;
}

impl Peer {
    /// Returns whether a message from it arrived within [`PEER_TIMEOUT`].
    pub fn is_alive(&self, now: Timestamp) -> bool {
        self.last_message.is_some_and(|last_message| now.since(last_message) < PEER_TIMEOUT)
    }
}
