//! Events that a gateway's decisions handle.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::message::MessageRoute;
use crate::gateway::message::PeerMessage;
use crate::gateway::message::PromptPartsReport;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::tables::memory_budget::BodyRefusal;
use crate::gateway::tables::prompt_parts::PromptPart;
use crate::keys::ArrivalKey;
use crate::keys::BackendServerKey;
use crate::keys::CallerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::result_code::ResultCode;
use crate::table::Entity;
use crate::time::Timestamp;

/// The blocked parts of prompts that the store keeps for gateways that all start again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BlockedPartsRecord {
    /// Version of its row; 0 if there is none.
    pub version: StoreVersion,
    /// The store's clock as of the read.
    pub clock: StoreClock,
    /// The parts.
    pub reports: Vec<PromptPartsReport>,
}

/// The steady clock of the store, which goes on while all gateways start again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreClock {
    /// Its time when it was read.
    pub time: Duration,
    /// When it was read.
    pub read: Timestamp,
}

impl StoreClock {
    /// Returns its time at `now`.
    pub fn at(&self, now: Timestamp) -> Duration {
        self.time + now.since(self.read)
    }
}

/// An event that the next tick of a gateway handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's request was received completely.
    Arrival(Box<Arrival>),
    /// The client closed its connection or cancelled its request.
    CallerDisconnected {
        /// The request.
        request: RequestKey,
    },
    /// A request was refused, as there was no memory for its body.
    BodyRefused {
        /// Id that the client gave the request.
        id: CompactString,
        /// Why there was none.
        refusal: BodyRefusal,
        /// Bytes that the body asked for.
        bytes: u64,
        /// Time since its head was received.
        waited: Duration,
    },
    /// The client has read nothing of a streamed answer for too long, and its connection is closed.
    AnswerUnread {
        /// The request.
        request: RequestKey,
        /// Time for which the client has read nothing.
        waited: Duration,
    },
    /// An attempt did not run and will not run.
    AttemptNotRun {
        /// The attempt.
        work: WorkKey,
        /// Why it did not run.
        reason: NotRunReason,
    },
    /// Events of an attempt's stream were forwarded to the client; reported for the first of them,
    /// once they go on for [`BEGINNING`](crate::gateway::systems::prompt_parts::BEGINNING), and at
    /// intervals after that.
    AttemptProgress {
        /// The attempt.
        work: WorkKey,
    },
    /// The bytes that an attempt and its complete answer took; reported before its completion.
    AttemptBytes {
        /// The attempt.
        work: WorkKey,
        /// Bytes in both directions.
        bytes: u64,
    },
    /// An attempt's answer is complete and is forwarded to the client.
    AttemptCompleted {
        /// The attempt.
        work: WorkKey,
        /// Longest pause between two events forwarded to the client.
        longest_gap: Duration,
    },
    /// An attempt ended without a complete answer and may have run.
    AttemptFailed {
        /// The attempt.
        work: WorkKey,
        /// Why it failed.
        reason: FailReason,
        /// How far the answer had come.
        stage: AnswerStage,
    },
    /// The record of blocked parts was read from the store.
    BlockedPartsRead(BlockedPartsRecord),
    /// The record of blocked parts was written.
    BlockedPartsWritten,
    /// The store did not answer a read or a write of the record of blocked parts.
    BlockedPartsCallFailed,
    /// A serving configuration was read from the store or from a peer.
    ServingReceived {
        /// The configuration.
        serving: Box<ServingConfiguration>,
        /// Whether it was read from the store rather than from a peer.
        is_from_store: bool,
    },
    /// The store answered a call for the operator's table; sent for each answer.
    OperatorTableAnswered,
    /// A peer did not deliver its configuration.
    ServingFetchFailed {
        /// The peer.
        from: SocketAddr,
    },
    /// The complete list of backend servers was read from the store.
    ListingsRead {
        /// Version of the store at which it was read.
        version: StoreVersion,
        /// The list.
        listings: Vec<Listing>,
    },
    /// The store's feed of the backend servers' listings answered; without changes if there were
    /// none within the wait.
    ListingsChanged(ListingsUpdate),
    /// The complete set of evacuated data centres was read from the store.
    EvacuationsRead(EvacuationSet),
    /// The store's feed of the operator's table delivered changes of evacuations.
    EvacuationsChanged {
        /// Version of the store up to which the changes are complete.
        version: StoreVersion,
        /// The changes, in order.
        changes: Vec<EvacuationChange>,
    },
    /// A call for the listings failed or timed out; sent for the first failure of a series.
    StoreLost,
    /// The store answered a call for the listings; sent for each answer.
    StoreAnswered,
    /// Addresses of all other gateways that the store lists were read.
    PeersRead(Vec<SocketAddr>),
    /// Addresses were read at which the settings say that other gateways may run.
    SeedsNamed(Vec<SocketAddr>),
    /// A message from another gateway arrived.
    PeerMessageReceived {
        /// Address of the sender.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// A message from another gateway stated its route; reported after the message itself.
    PeerRouteReceived {
        /// Address of the gateway that sent it first.
        from: SocketAddr,
        /// The route.
        route: MessageRoute,
        /// The message, if this gateway is asked to relay it.
        to_relay: Option<Box<PeerMessage>>,
    },
    /// A backend server announced something in the head of an answer. Reported before the result
    /// of the attempt or order that it answered.
    BackendServerAnnounced {
        /// [`Listing::instance_hash`] of the backend server that was called.
        instance_hash: u64,
        /// What it announced.
        announcement: Announcement,
    },
    /// A backend server answered a reservation request, or the call failed.
    ReservationAnswered {
        /// The request that the memory is reserved for.
        request: RequestKey,
        /// The backend server.
        backend_server: BackendServerKey,
        /// Its answer.
        answer: ReservationAnswer,
    },
    /// The settings file was read again.
    SettingsChanged(Box<GatewaySettings>),
    /// A planned stop was requested.
    StopRequested,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// The request's caller.
    pub caller: CallerKey,
    /// Id that the client gave this request.
    pub id: CompactString,
    /// When the head of the request was received, from which its time limit counts.
    pub received: Timestamp,
    /// Host that the request names.
    pub host: CompactString,
    /// Path without the query.
    pub path: CompactString,
    /// Length of its body in bytes.
    pub body_bytes: u64,
    /// API key, if the client sent one.
    pub api_key: Option<CompactString>,
    /// Time that the client waits for the answer, if it states one.
    pub time_limit: Option<Duration>,
    /// Prompt tokens; 0 when not stated.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens; 0 when not stated.
    pub max_output_tokens: u64,
    /// The client's estimate of the output tokens, if it sent one.
    pub output_hint: Option<u64>,
    /// Parts of the prompt that other prompts may share, in order; as many as the head of a request holds.
    pub parts: Vec<PromptPart>,
    /// The last part of the prompt, which belongs to the request or its session.
    pub own_part: PromptPart,
}

impl Entity for Arrival {
    type Key = ArrivalKey;
}

/// Why an attempt did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// The backend server refused the attempt.
    Refused,
    /// Another incarnation or another service uses the address.
    OtherInstance,
    /// The connection could not be established.
    Unreachable,
    /// The deadline passed before the attempt could be sent.
    Expired,
    /// The attempt was withdrawn before it was sent.
    Withdrawn,
}

/// Why an attempt that may have run has no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailReason {
    /// The backend server answered with a server error.
    ServerError,
    /// The connection broke before the end of the answer.
    Broken,
    /// The answer is malformed or does not belong to the request.
    Corrupt,
    /// The answer takes more memory than is left for incomplete ones.
    Oversized,
}

/// How far the answer of an attempt had come when the attempt ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerStage {
    /// No head of a success had arrived.
    #[default]
    Awaited,
    /// The head of a success had arrived, and no complete event.
    Begun,
    /// Complete events had arrived.
    Events {
        /// Number of reads that completed events.
        reads: u32,
        /// Time since the first one.
        since_first: Duration,
    },
}

/// What a backend server says of itself in the head of an answer, whatever it answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcement {
    /// Whether its current incarnation is leaving and shall get no new work.
    pub is_leaving: bool,
    /// Time from the answer for which it wants no requests from this gateway; `None` or zero if it
    /// does not say so.
    pub unwanted_for: Option<Duration>,
    /// Time from the answer for which it is cold; `None` or zero if it does not say so.
    pub cold_for: Option<Duration>,
    /// Requests that it takes from all gateways together; `None` if it does not say so.
    pub limit: Option<RequestRate>,
}

/// A rate of requests, in thousandths of a request per second.
#[derive(
    Clone, Copy, Debug, Default, Eq, From, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// A backend server's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Id under which the store lists the backend server; a restart may keep it and has another
    /// start time.
    pub id: CompactString,
    /// Start of the current incarnation in Unix milliseconds; 0 if unknown.
    pub started_unix_ms: u64,
    /// Hash of id and start, by which gateways refer to the current incarnation among themselves.
    pub instance_hash: u64,
    /// Name of its service.
    pub service: CompactString,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Name of its data centre.
    pub data_centre: CompactString,
    /// Maximum number of requests that it runs at once.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new work.
    pub is_draining: bool,
    /// Time for which it is still cold, in ms, as it said when it wrote the listing; 0 if it is warm.
    pub cold_ms: u32,
}

impl Listing {
    /// Returns the time for which the backend server is still cold.
    pub const fn cold_time(&self) -> Duration {
        Duration::from_millis(self.cold_ms as u64)
    }

    /// Returns whether `other` differs at most in the time for which it is still cold.
    pub fn is_same_but_cold_time(&self, other: &Self) -> bool {
        *self == Self { cold_ms: self.cold_ms, ..other.clone() }
    }
}

/// Version of the platform's store, which rises with each transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreVersion(pub u64);

/// A change of one backend server's listing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListingChange {
    /// The listing was added or changed.
    Listed(Listing),
    /// The listing was removed, or its row is no longer a valid listing.
    Removed {
        /// Id of the listing.
        id: CompactString,
    },
}

/// All changes of the listings between two versions of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingsUpdate {
    /// Version after which the changes begin.
    pub after: StoreVersion,
    /// Version up to which they are complete.
    pub version: StoreVersion,
    /// The changes, in order.
    pub changes: Vec<ListingChange>,
}

/// A change of the operator's order to evacuate one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Name of the data centre.
    pub data_centre: CompactString,
    /// Whether it is evacuated from now on.
    pub is_evacuated: bool,
}

/// All evacuated data centres at a version of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// Version of the store up to which the set is complete.
    pub version: StoreVersion,
    /// Names of the data centres.
    pub data_centres: Vec<CompactString>,
}

/// A backend server's answer to a reservation request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReservationAnswer {
    /// The memory is reserved.
    Reserved,
    /// Too little memory is free.
    InsufficientMemory,
    /// No valid answer was received.
    Unknown,
}

impl NotRunReason {
    /// Returns the result code of a request that ends for this reason.
    pub const fn code(self) -> ResultCode {
        match self {
            Self::Refused => ResultCode::BackendRefused,
            Self::OtherInstance => ResultCode::IncarnationMismatch,
            Self::Unreachable => ResultCode::BackendUnreachable,
            Self::Expired => ResultCode::ExpiredBeforeDispatch,
            Self::Withdrawn => ResultCode::NoBackendServer,
        }
    }
}

impl FailReason {
    /// Returns the result code of a request that ends for this reason.
    pub const fn code(self) -> ResultCode {
        match self {
            Self::ServerError => ResultCode::BackendFailed,
            Self::Broken => ResultCode::AnswerCut,
            Self::Corrupt | Self::Oversized => ResultCode::AnswerCorrupt,
        }
    }
}
