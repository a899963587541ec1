//! Effects of an entry's decisions, executed by the rest of the process.

use std::time::Duration;

use compact_str::CompactString;

use crate::attempt::AttemptSpec;
use crate::entry::decision::Decision;
use crate::entry::tables::report::Report;
use crate::identity::EligibleInstance;
use crate::identity::RequestId;
use crate::keys::AttemptKey;
use crate::keys::BackendServerKey;
use crate::keys::CallerKey;
use crate::keys::RequestKey;
use crate::result_code::ResultCode;

/// An effect of one tick.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Read the body of an admitted request.
    ReadBody {
        /// The traffic task of the caller's request.
        caller: CallerKey,
        /// The key of the request in later events.
        request: RequestKey,
        /// Maximum body length in bytes.
        max_bytes: u64,
    },
    /// Create the durable record of a request that may not be repeated, before it is dispatched.
    CreateRecord {
        /// The traffic task of the caller's request.
        caller: CallerKey,
        /// The record to create.
        record: RecordSpec,
    },
    /// Ask side processes to fence an abandoned request, so that it never runs from then on.
    FenceRequest {
        /// The traffic task of the caller's request.
        caller: CallerKey,
        /// The abandoned request.
        id: RequestId,
        /// Time since its record was created.
        age: Duration,
        /// All backend servers to which it could have been dispatched.
        backend_servers: Vec<BackendServerKey>,
    },
    /// Take over the durable record of a request that was fenced; the answer is an
    /// [`Event::RecordAnswered`].
    ///
    /// [`Event::RecordAnswered`]: crate::entry::event::Event::RecordAnswered
    TakeOverRecord {
        /// The traffic task of the caller's request.
        caller: CallerKey,
    },
    /// Answer the caller with the result in the durable record.
    ReplayRecord {
        /// The traffic task of the caller's request.
        caller: CallerKey,
    },
    /// Send an attempt to a backend server.
    Dispatch {
        /// The traffic task of the caller's request.
        caller: CallerKey,
        /// The attempt to send.
        dispatch: Dispatch,
    },
    /// Cancel an attempt and free its resources.
    CancelAttempt {
        /// The traffic task of the caller's request.
        caller: CallerKey,
        /// The attempt.
        attempt: AttemptKey,
    },
    /// Answer the caller with a result code instead of a result.
    AnswerWithCode {
        /// The traffic task of the caller's request.
        caller: CallerKey,
        /// The result code.
        code: ResultCode,
        /// Time after which the caller may retry; `None` if a retry is of no use.
        retry_after: Option<Duration>,
    },
    /// End the traffic task of the request; no further effect follows for it.
    CloseRequest {
        /// The traffic task of the caller's request.
        caller: CallerKey,
    },
    /// Open a connection to a side process.
    Connect {
        /// The backend server.
        backend_server: BackendServerKey,
        /// Address and port of the side process.
        address: CompactString,
    },
    /// Close the connection to a side process.
    Disconnect {
        /// The backend server.
        backend_server: BackendServerKey,
    },
    /// Store the outcome of a request in its durable record, or remove the record if the request
    /// was not run.
    FinishRecord {
        /// The traffic task of the caller's request.
        caller: CallerKey,
        /// The result code of the request.
        code: ResultCode,
    },
    /// Write one window of the operators' report to the store.
    WriteReport {
        /// Ordinal of the window since the process started, from 0.
        window: u64,
        /// The counts of the window so far.
        report: Box<Report>,
    },
    /// Write a decision to the log.
    LogDecision(Box<Decision>),
    /// Publish whether the process is ready for callers.
    SetReady(bool),
    /// Exit the process; the planned stop is complete.
    Stop,
}

/// The durable record of a request that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordSpec {
    /// The client account.
    pub account: CompactString,
    /// The caller's idempotency key.
    pub key: CompactString,
    /// Digest of service, method, path with query, and body.
    pub digest: u128,
    /// The request that creates the record and may then be dispatched.
    pub id: RequestId,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// The VMs and incarnations of all side processes to which the request may be dispatched.
    pub eligible_instances: Vec<EligibleInstance>,
}

/// An attempt to send to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptKey,
    /// The backend server to send it to.
    pub backend_server: BackendServerKey,
    /// The description of the attempt for the side process.
    pub spec: AttemptSpec,
}
