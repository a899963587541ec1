//! What a gateway's decisions ask the rest of the process to do.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

use crate::gateway::decision::Decision;
use crate::gateway::event::PeerMessage;
use crate::gateway::serving::ClientLimits;
use crate::gateway::serving::ServingVersion;
use crate::keys::BackendServerKey;
use crate::keys::CallerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::result_code::ResultCode;

/// An effect of one tick.
#[derive(Clone, Debug)]
pub enum Effect {
    /// A request was taken in.
    Admitted {
        /// The client's connection.
        caller: CallerKey,
        /// The key of the request from now on.
        request: RequestKey,
        /// Whether its answer is a stream of events.
        is_streaming: bool,
    },
    /// Send a request to a backend server.
    Send {
        /// The client's connection.
        caller: CallerKey,
        /// What to send.
        dispatch: Box<Dispatch>,
    },
    /// Give up the open attempt and close its connection; another one may follow.
    DropAttempt {
        /// The client's connection.
        caller: CallerKey,
    },
    /// End a request with a result code of this gateway.
    Refuse {
        /// The client's connection.
        caller: CallerKey,
        /// The result code.
        code: ResultCode,
        /// When another try is worthwhile.
        retry_after: Option<Duration>,
    },
    /// No more is asked of a request's task.
    CloseRequest {
        /// The client's connection.
        caller: CallerKey,
    },
    /// Order a backend server to set memory aside or to renew that.
    Reserve {
        /// The request that it is for.
        request: RequestKey,
        /// The backend server.
        backend_server: BackendServerKey,
        /// What to order.
        reservation: ReservationRequest,
    },
    /// Order a backend server to free memory that was set aside.
    Release {
        /// Where.
        address: SocketAddr,
        /// The incarnation that holds it.
        instance: CompactString,
        /// Name of the reservation.
        ticket: CompactString,
    },
    /// Tell other gateways.
    NotifyPeers {
        /// Whom.
        to: Vec<SocketAddr>,
        /// What.
        message: Box<PeerMessage>,
    },
    /// Read the serving configuration from a peer that has a newer one.
    FetchServing {
        /// The peer.
        from: SocketAddr,
        /// The version that it has.
        version: ServingVersion,
    },
    /// Bounds on what clients may send have changed.
    SetLimits(ClientLimits),
    /// The process is ready for clients, or no longer is.
    SetReady(bool),
    /// Clients are asked to close their connections after the next answer.
    CloseConnections,
    /// Idle connections are closed, and no new ones are taken.
    StopAccepting,
    /// All work is done after a planned stop.
    Stop,
    /// Write a decision to the log.
    LogDecision(Box<Decision>),
}

/// An attempt to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub work: WorkKey,
    /// Where it goes.
    pub address: SocketAddr,
    /// The incarnation that is expected there.
    pub instance: CompactString,
    /// Time that is left for the request.
    pub remaining: Duration,
    /// Name of the client account, if it has one.
    pub account: Option<CompactString>,
    /// Rank at the engine, 0 first.
    pub urgency: Option<u8>,
    /// Engines that take part in reading the prompt.
    pub helpers: Vec<Helper>,
}

/// An engine that takes part in reading a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Where it is.
    pub address: SocketAddr,
    /// The reservation that takes its part of the prompt.
    pub ticket: Option<CompactString>,
}

/// An order to set memory aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    /// Where.
    pub address: SocketAddr,
    /// The incarnation that is expected there.
    pub instance: CompactString,
    /// Name of the reservation; the same name renews it.
    pub ticket: CompactString,
    /// Tokens.
    pub tokens: u64,
    /// How long it lasts.
    pub ttl: Duration,
}
