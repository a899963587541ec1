//! What an entry's decisions ask the rest of the process to do.

use std::time::Duration;

use compact_str::CompactString;

use crate::attempt::AttemptSpec;
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
    /// Read the body of a request.
    ReadBody {
        /// The caller's connection.
        caller: CallerKey,
        /// The key of the request from now on.
        request: RequestKey,
        /// Longest body in bytes.
        max_bytes: u64,
    },
    /// Create the durable record of a request that may not be repeated.
    CreateRecord {
        /// The caller's connection.
        caller: CallerKey,
        /// The record.
        record: RecordSpec,
    },
    /// Ask side processes to rule out that an abandoned request ever runs.
    FenceRequest {
        /// The caller's connection.
        caller: CallerKey,
        /// The abandoned request.
        id: RequestId,
        /// How long ago its record was created.
        age: Duration,
        /// All side processes to which it could have been dispatched.
        backend_servers: Vec<BackendServerKey>,
    },
    /// Take the durable record of a request over that was ruled out.
    TakeOverRecord {
        /// The caller's connection.
        caller: CallerKey,
    },
    /// Answer with the result in the durable record.
    ReplayRecord {
        /// The caller's connection.
        caller: CallerKey,
    },
    /// Send a request to a backend server.
    Dispatch {
        /// The caller's connection.
        caller: CallerKey,
        /// What to send.
        dispatch: Dispatch,
    },
    /// Stop an attempt and free what it holds.
    CancelAttempt {
        /// The caller's connection.
        caller: CallerKey,
        /// The attempt.
        attempt: AttemptKey,
    },
    /// End a request with a result code.
    Refuse {
        /// The caller's connection.
        caller: CallerKey,
        /// The result code.
        code: ResultCode,
        /// When another try is worthwhile.
        retry_after: Option<Duration>,
    },
    /// No more is asked of a caller's task.
    CloseRequest {
        /// The caller's connection.
        caller: CallerKey,
    },
    /// Open a connection to a side process.
    Connect {
        /// The backend server.
        backend_server: BackendServerKey,
        /// Address and port.
        address: CompactString,
    },
    /// Close the connection to a side process.
    Disconnect {
        /// The backend server.
        backend_server: BackendServerKey,
    },
    /// Write how a recorded request ended, or remove its record when it was not run.
    FinishRecord {
        /// The caller's connection.
        caller: CallerKey,
        /// How the request ended.
        code: ResultCode,
    },
    /// Write a window of the report to the store.
    WriteReport {
        /// The ordinal of the window in this process.
        window: u64,
        /// Its counts so far.
        report: Box<Report>,
    },
    /// The process is ready for callers, or no longer is.
    SetReady(bool),
    /// All work is done after a planned stop.
    Stop,
}

/// The durable record to create before a request that may not be repeated is dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordSpec {
    /// The client account.
    pub account: CompactString,
    /// The caller's idempotency key.
    pub key: CompactString,
    /// Digest of the request.
    pub digest: u128,
    /// The request that may be dispatched.
    pub id: RequestId,
    /// How long the request has from now on.
    pub remaining: Duration,
    /// All side processes to which it may be dispatched.
    pub eligible_instances: Vec<EligibleInstance>,
}

/// An attempt to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptKey,
    /// Where it goes.
    pub backend_server: BackendServerKey,
    /// What its side process is told.
    pub spec: AttemptSpec,
}
