//! Effects of a gateway's decisions, executed by the rest of the process.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::gateway::decision::Decision;
use crate::gateway::event::BlockedPartsRecord;
use crate::gateway::event::StoreVersion;
use crate::gateway::message::MessageRoute;
use crate::gateway::message::PeerMessage;
use crate::gateway::serving::ClientLimits;
use crate::gateway::serving::ServingVersion;
use crate::keys::BackendServerKey;
use crate::keys::CallerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// An effect of one tick.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Notify a request's task that the request was admitted.
    Admitted {
        /// The request's caller.
        caller: CallerKey,
        /// The key of the request from now on.
        request: RequestKey,
        /// Whether its answer is a stream of events.
        is_streaming: bool,
    },
    /// Send a request to a backend server.
    Send {
        /// The request's caller.
        caller: CallerKey,
        /// What to send.
        dispatch: Box<Dispatch>,
    },
    /// Cancel the request's open attempt and close the connection to the backend server; another
    /// attempt may follow.
    DropAttempt {
        /// The request's caller.
        caller: CallerKey,
    },
    /// Withdraw the request's open attempt unless it was sent; one that is withdrawn is reported as
    /// not run, one that was sent goes on.
    DropUnsentAttempt {
        /// The request's caller.
        caller: CallerKey,
    },
    /// End a request with a result code of this gateway.
    Refuse {
        /// The request's caller.
        caller: CallerKey,
        /// The result code.
        code: ResultCode,
        /// Time after which the client should retry; `None` if it should not.
        retry_after: Option<Duration>,
    },
    /// Release the caller key of a request; no further effect names it.
    CloseRequest {
        /// The request's caller.
        caller: CallerKey,
    },
    /// Reserve memory at a backend server, or renew a reservation.
    Reserve {
        /// The request that it is for.
        request: RequestKey,
        /// The backend server.
        backend_server: BackendServerKey,
        /// What to reserve.
        reservation: ReservationRequest,
    },
    /// Release reserved memory at a backend server.
    Release {
        /// Address of the backend server.
        address: SocketAddr,
        /// Listing id of the backend server that holds the reservation.
        instance: CompactString,
        /// Hash of its incarnation.
        instance_hash: u64,
        /// Name of the reservation.
        ticket: CompactString,
    },
    /// Send a message to other gateways.
    NotifyPeers {
        /// Addresses of the gateways.
        to: Vec<SocketAddr>,
        /// The message.
        message: Box<PeerMessage>,
        /// Its route, if it states one.
        route: Option<MessageRoute>,
    },
    /// Read the serving configuration from a peer that has a newer one.
    FetchServing {
        /// The peer.
        from: SocketAddr,
        /// The version that it has.
        version: ServingVersion,
    },
    /// Follow the store's feeds differently from now on.
    FollowFeeds(FeedPlan),
    /// Read the record of blocked parts from the store.
    ReadBlockedParts,
    /// Write the record of blocked parts if its row still has the version that the record names; otherwise
    /// read it again. A record without parts is removed.
    WriteBlockedParts(BlockedPartsRecord),
    /// Apply changed bounds on what clients may send.
    SetLimits(ClientLimits),
    /// Publish whether the process is ready for clients.
    SetReady(bool),
    /// Ask clients to close their connections after the next answer.
    CloseConnections,
    /// Close idle connections and accept no new ones.
    StopAccepting,
    /// Stop the process once clients have taken their answers, or at `answers_until`; all other work
    /// of a planned stop is done.
    Stop {
        /// Time until which answers may still be written.
        answers_until: Timestamp,
    },
    /// Write a decision to the log.
    LogDecision(Box<Decision>),
}

/// Whether a gateway calls one of the store's feeds itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FeedMode {
    /// It calls the feed, with the longest wait that the settings allow.
    #[default]
    Alone,
    /// It calls the feed with a short wait, so that a store that turns silent is noticed soon.
    ForPeers,
    /// It does not call the feed; its peers report what changes.
    Relayed,
}

/// How a gateway follows the store's feeds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedPlan {
    /// The feed of the operator's table.
    pub operator: FeedMode,
    /// The feed of the backend servers' listings.
    pub listings: FeedMode,
    /// Version from which the feed of the listings continues.
    pub listings_version: StoreVersion,
}

/// An attempt to be sent to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub work: WorkKey,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Listing id of the backend server that is expected at the address.
    pub instance: CompactString,
    /// Hash of its incarnation, by which what it announces is reported.
    pub instance_hash: u64,
    /// Deadline of the request. The time that is left of it is stated when the attempt is sent.
    pub deadline: Timestamp,
    /// Name of the client account, if the request has one.
    pub account: Option<CompactString>,
    /// Urgency at the engine, from 0 (first) to 9; `None` at a plain service.
    pub urgency: Option<u8>,
    /// Engines that share the prefill of the prompt, besides the one that gets the request. For a
    /// span, the engine that gets the request comes first, with its reservation.
    pub helpers: Vec<Helper>,
}

/// An engine that shares the prefill of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Its address.
    pub address: SocketAddr,
    /// Name of the reservation for its part of the prompt; `None` if it stores no part.
    pub ticket: Option<CompactString>,
}

/// A request to reserve memory at a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Listing id of the backend server that is expected at the address.
    pub instance: CompactString,
    /// Hash of its incarnation, by which what it announces is reported.
    pub instance_hash: u64,
    /// Name of the reservation; a request with the same name renews it.
    pub ticket: CompactString,
    /// Size of the memory in tokens.
    pub tokens: u64,
    /// Time after which it expires unless renewed.
    pub ttl: Duration,
}
