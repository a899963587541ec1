//! What happens to a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::serving::ServingConfiguration;
use crate::gateway::serving::ServingVersion;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::WorkDemand;
use crate::gateway::tables::work::WorkId;
use crate::keys::BackendServerKey;
use crate::keys::CallerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::result_code::ResultCode;

/// An event that the next tick of a gateway takes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's request was read whole.
    Arrival(Box<Arrival>),
    /// The client closed its connection or cancelled its request.
    CallerDisconnected {
        /// The request.
        request: RequestKey,
    },
    /// An attempt did not run and will not.
    AttemptNotRun {
        /// The attempt.
        work: WorkKey,
        /// Why.
        reason: NotRunReason,
    },
    /// The first event of a stream, or a later one after a while, was passed on.
    AttemptProgress {
        /// The attempt.
        work: WorkKey,
    },
    /// An attempt's answer is whole; it was passed on or is about to be.
    AttemptCompleted {
        /// The attempt.
        work: WorkKey,
        /// The longest pause between events that the client saw.
        longest_gap: Duration,
    },
    /// An attempt ended without a whole answer and may have run.
    AttemptFailed {
        /// The attempt.
        work: WorkKey,
        /// Why.
        reason: FailReason,
    },
    /// A serving configuration was read from the store or from a peer.
    ServingReceived {
        /// The configuration.
        serving: Box<ServingConfiguration>,
        /// Whether the store itself gave it.
        is_from_store: bool,
    },
    /// All listings of backend servers were read.
    ListingsRead(Vec<Listing>),
    /// A listing was added or changed.
    ListingChanged(Listing),
    /// A listing was removed.
    ListingRemoved {
        /// Its id.
        id: CompactString,
    },
    /// A call for the listings failed or was not answered in time.
    StoreLost,
    /// The store has answered; sent with each answer of the listings' feed.
    StoreRegained,
    /// All gateways that the store lists were read.
    PeersRead(Vec<SocketAddr>),
    /// A message of another gateway arrived.
    PeerMessageReceived {
        /// Its address.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// A backend server answered an order about memory.
    ReservationAnswered {
        /// The request that the memory is for.
        request: RequestKey,
        /// The backend server.
        backend_server: BackendServerKey,
        /// Its answer.
        answer: ReservationAnswer,
    },
    /// The settings file has changed.
    SettingsChanged(Box<GatewaySettings>),
    /// A planned stop was asked for.
    StopRequested,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// The client's connection.
    pub caller: CallerKey,
    /// The client's name for this attempt of its own.
    pub id: CompactString,
    /// The host that it names.
    pub host: CompactString,
    /// The path without the query.
    pub path: CompactString,
    /// Its API key, if it sent one.
    pub api_key: Option<CompactString>,
    /// How long the client waits, if it states one.
    pub time_limit: Option<Duration>,
    /// Prompt tokens; 0 when not stated.
    pub prompt_tokens: u64,
    /// Most output tokens; 0 when not stated.
    pub max_output_tokens: u64,
    /// The client's estimate of the output tokens.
    pub output_hint: Option<u64>,
}

/// Why an attempt is known not to have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The backend server refused it.
    Refused,
    /// Another incarnation or service has the address.
    OtherInstance,
    /// No connection could be made.
    Unreachable,
}

/// Why an attempt that may have run has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailReason {
    /// The backend server answered with a failure of its own.
    ServerError,
    /// The connection broke.
    Broken,
    /// The answer does not belong to the request or is not well formed.
    Corrupt,
}

/// A backend server's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
    /// Names this incarnation.
    pub id: CompactString,
    /// When this incarnation started, Unix milliseconds; 0 if it states none.
    pub started_unix_ms: u64,
    /// Its short name towards peers, made from id and start.
    pub instance_hash: u64,
    /// Name of its service.
    pub service: CompactString,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: CompactString,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub is_draining: bool,
}

/// A backend server's answer to an order about memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationAnswer {
    /// The memory is set aside.
    Reserved,
    /// It is not free.
    InsufficientMemory,
    /// No answer came, or none that can be understood.
    Unknown,
}

/// A message between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Name of the sender.
    pub node: CompactString,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// Rises with each message of an incarnation.
    pub sequence: u64,
    /// The serving configuration that the sender has.
    pub version: u64,
    /// Its content.
    pub update: PeerUpdate,
}

/// The content of a message between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerUpdate {
    /// What has changed since the last message.
    Changes(Vec<WorkChange>),
    /// All open work of the sender.
    Snapshot(Vec<WorkReport>),
    /// The sender stops; its work ends elsewhere.
    Leaving,
}

/// A change of one piece of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkChange {
    /// It was dispatched.
    Started(WorkReport),
    /// Its first event came.
    DecodeStarted(WorkId),
    /// It ended.
    Ended(WorkId),
}

/// A piece of work as its gateway reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Its name.
    pub id: WorkId,
    /// The tag of its backend server.
    pub instance_hash: u64,
    /// What it asks.
    pub demand: WorkDemand,
    /// How far it is.
    pub phase: Phase,
    /// Milliseconds since it was dispatched.
    pub age_ms: u32,
}

impl NotRunReason {
    /// The result code of a request that ends for this reason.
    pub const fn code(self) -> ResultCode {
        match self {
            Self::Refused => ResultCode::BackendRefused,
            Self::OtherInstance => ResultCode::IncarnationMismatch,
            Self::Unreachable => ResultCode::BackendUnreachable,
        }
    }
}

impl FailReason {
    /// The result code of a request that ends for this reason.
    pub const fn code(self) -> ResultCode {
        match self {
            Self::ServerError => ResultCode::BackendFailed,
            Self::Broken => ResultCode::AnswerCut,
            Self::Corrupt => ResultCode::AnswerCorrupt,
        }
    }
}

impl PeerMessage {
    /// The serving configuration that the sender has.
    pub const fn serving_version(&self) -> ServingVersion {
        ServingVersion(self.version)
    }
}
