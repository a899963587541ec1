//! Messages between gateways.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::event::EvacuationSet;
use crate::gateway::event::Event;
use crate::gateway::event::ListingsUpdate;
use crate::gateway::event::RequestRate;
use crate::gateway::event::StoreVersion;
use crate::gateway::serving::ServingVersion;
use crate::gateway::tables::prompt_parts::PromptPart;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::WorkDemand;
use crate::gateway::tables::work::WorkId;

/// How current a gateway's copy of the store's tables is, as it reports to its peers. Versions are
/// those of the listings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedReport {
    /// Version of the store up to which its copy is complete.
    pub version: StoreVersion,
    /// Version of the newest change in its copy.
    pub last_change: StoreVersion,
    /// Time since the store last answered it on both the listings and the operator's table, in ms.
    pub age_ms: u32,
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Name of the sending gateway.
    pub node: CompactString,
    /// Incarnation of the sender; later ones are larger.
    pub incarnation: u64,
    /// Sequence number, rising with each message of an incarnation.
    pub sequence: u64,
    /// Version of the serving configuration in force at the sender.
    pub version: u64,
    /// The sender's copy of the listings, if it follows the store's feeds for its peers, or if there
    /// are too few gateways for that.
    pub feed: Option<FeedReport>,
    /// Content of the message.
    pub update: PeerUpdate,
}

/// How a message goes to other data centres. It follows the message in its datagram where traffic
/// between data centres has a cost, and is left out elsewhere.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageRoute {
    /// Data centre of the gateway that sent the message first.
    pub data_centre: CompactString,
    /// How it reached the receiver.
    pub hop: Hop,
}

/// How a message reached its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hop {
    /// It is for the receiver alone.
    Direct,
    /// The receiver passes it on to the gateways of its data centre.
    ToRelay,
    /// A relay passed it on; it goes no further.
    Relayed {
        /// Address of the gateway that sent it first.
        from: SocketAddr,
    },
}

/// Returns the events of a message that arrived from `sender` with its route, if it states one.
pub fn received_events(
    sender: SocketAddr,
    message: PeerMessage,
    route: Option<MessageRoute>,
) -> Vec<Event> {
    let Some(route) = route else {
        return vec![Event::PeerMessageReceived { from: sender, message }];
    };
    let from = match route.hop {
        Hop::Relayed { from } => from,
        Hop::Direct | Hop::ToRelay => sender,
    };
    let to_relay = (route.hop == Hop::ToRelay).then(|| Box::new(message.clone()));
    vec![
        Event::PeerMessageReceived { from, message },
        Event::PeerRouteReceived { from, route, to_relay },
    ]
}

/// The content of a message between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerUpdate {
    /// Changes since the last message, or a part of a snapshot that is too long for one message.
    Changes(Vec<WorkChange>),
    /// Snapshot of all open work of the sender.
    Snapshot(Vec<WorkReport>),
    /// Changes of the listings that the sender received from the store's feed.
    Listings(ListingsUpdate),
    /// Parts of prompts that are suspected of crashing backend servers, or were until lately.
    PromptParts(Vec<PromptPartsReport>),
    /// The sender stops and has no more work.
    Leaving,
    /// All evacuated data centres that the sender knows. A receiver applies a newer set only.
    Evacuations(EvacuationSet),
    /// What backend servers said to the sender of their limits.
    Limits(Vec<LimitReport>),
}

/// What a backend server said of its limit in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// [`Listing::instance_hash`](crate::gateway::event::Listing::instance_hash) of the backend server.
    pub instance_hash: u64,
    /// Requests that it takes from all gateways together; `None` if it names no limit any more.
    pub limit: Option<RequestRate>,
    /// Time since the answer, in ms.
    pub age_ms: u32,
}

/// A change of one piece of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkChange {
    /// The work was dispatched; also sent for each piece of work of a snapshot in parts.
    Started(WorkReport),
    /// The first event of the answer was received.
    DecodeStarted(WorkId),
    /// The work ended.
    Ended(WorkId),
    /// The work has a long body of this many bytes.
    BodySent(WorkId, u64),
}

/// A piece of work as its gateway reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Id that its gateway gave it.
    pub id: WorkId,
    /// [`Listing::instance_hash`](crate::gateway::event::Listing::instance_hash) of its backend server.
    pub instance_hash: u64,
    /// Resources and time that it needs.
    pub demand: WorkDemand,
    /// Phase of its processing.
    pub phase: Phase,
    /// Time since its dispatch, in ms.
    pub age_ms: u32,
}

/// Suspected parts of prompts with the same history, as a gateway reports them: a crash counts against all
/// parts of a prompt. An older report changes nothing at the receiver, nor does one that it has received
/// before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPartsReport {
    /// The parts.
    pub parts: Vec<PromptPart>,
    /// What is known of each of them.
    pub history: PartHistory,
}

/// What is known of a suspected part of prompts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PartHistory {
    /// Number of times that it was cleared.
    pub generation: u32,
    /// Whether an answer to a prompt with it was sound before the crashes.
    pub was_sound: bool,
    /// Time since a crash was last added or it was last cleared, in ms.
    pub idle_ms: u32,
    /// Crashes since it was last cleared.
    pub crashes: Vec<CrashReport>,
    /// Number of crashes by requests that were sent although the part had been blocked.
    pub failed_probes: u32,
    /// Time since a request with it was sent as a probe, in ms; `None` without an open probe.
    pub probe_age_ms: Option<u32>,
}

/// A crash of a backend server as a gateway reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashReport {
    /// [`Listing::instance_hash`](crate::gateway::event::Listing::instance_hash) of the backend server.
    pub instance_hash: u64,
    /// Hash of what the request shares with no other one.
    pub request_hash: u64,
    /// Time from the sending of the request until the connection broke, in ms.
    pub ran_ms: u32,
    /// Time since the connection to the backend server broke, in ms.
    pub age_ms: u32,
}

impl PeerMessage {
    /// Returns the version of the serving configuration in force at the sender.
    pub const fn serving_version(&self) -> ServingVersion {
        ServingVersion(self.version)
    }
}
