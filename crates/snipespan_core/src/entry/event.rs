//! What happens to an entry.

use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use crate::configuration::Configuration;
use crate::cost::Cost;
use crate::identity::CredentialDigest;
use crate::identity::DataCentre;
use crate::identity::EligibleInstance;
use crate::identity::Incarnation;
use crate::identity::RequestId;
use crate::identity::Target;
use crate::identity::VmId;
use crate::keys::AttemptKey;
use crate::keys::BackendServerKey;
use crate::keys::CallerKey;
use crate::keys::RequestKey;
use crate::result_code::ResultCode;

/// An event that the next tick of an entry takes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request head is there; its body is not read yet.
    Arrival(Arrival),
    /// The body of a request is read and understood.
    BodyRead {
        /// The request.
        request: RequestKey,
        /// What its head and body ask for.
        body: BodySummary,
    },
    /// The request cannot be understood or its body did not arrive.
    BodyRejected {
        /// The request.
        request: RequestKey,
        /// Why.
        code: ResultCode,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// The request.
        request: RequestKey,
    },
    /// The store answered the creation of a durable record.
    RecordAnswered {
        /// The request.
        request: RequestKey,
        /// The answer.
        answer: RecordAnswer,
    },
    /// The side processes were asked to rule out that an abandoned request ever runs.
    RequestFenced {
        /// The request that asks.
        request: RequestKey,
        /// Whether all of them did.
        never_runs: bool,
    },
    /// A side process refused an attempt before forwarding it, or could not be reached.
    AttemptRefused {
        /// The attempt.
        attempt: AttemptKey,
        /// Why; a code of the class "not run".
        code: ResultCode,
        /// When the side process expects room, if it said so.
        retry_after: Option<Duration>,
    },
    /// The first token or the response head of an attempt arrived.
    FirstToken {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// The answer of an attempt is whole and was passed on.
    AttemptCompleted {
        /// The attempt.
        attempt: AttemptKey,
        /// Tokens of the answer.
        output_tokens: u64,
    },
    /// An attempt ended without a whole answer after it may have run.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptKey,
        /// Why; a code of the class "failed" or "unknown".
        code: ResultCode,
        /// Whether another attempt can continue the answer where this one stopped.
        resumable: bool,
    },
    /// A side process said what it is.
    BackendServerHello {
        /// The backend server.
        backend_server: BackendServerKey,
        /// What its side process said.
        hello: Hello,
    },
    /// A side process reported its load.
    BackendServerLoad {
        /// The backend server.
        backend_server: BackendServerKey,
        /// The load.
        load: Load,
    },
    /// The connection to a side process is gone or could not be made.
    BackendServerLost {
        /// The backend server.
        backend_server: BackendServerKey,
    },
    /// The platform's list of VMs was read.
    VmListRead {
        /// The side processes on it.
        vms: Vec<Vm>,
    },
    /// A configuration was read from the store or learned from a peer.
    ConfigurationReceived(Box<Configuration>),
    /// The store has taken a window of the report.
    ReportWritten {
        /// The ordinal of the window.
        window: u64,
        /// How many changes the written counts had seen.
        changes: u64,
    },
    /// A planned stop was asked for.
    StopRequested,
}

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The caller's connection.
    pub caller: CallerKey,
    /// The identity given to the request.
    pub id: RequestId,
    /// Digest of the caller's API key, if it sent one.
    pub credential: Option<CredentialDigest>,
    /// Length of the body in bytes, if the caller stated it.
    pub body_bytes: Option<u64>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct BodySummary {
    /// The model or plain service.
    pub target: Target,
    /// Predicted work.
    pub cost: Cost,
    /// The answer length that the caller asked for, if it did.
    pub requested_output_tokens: Option<u64>,
    /// The time limit that the caller asked for, if it did.
    pub time_limit: Option<Duration>,
    /// Whether the method alone allows repeating.
    pub is_safe_method: bool,
    /// Path at the plain service; empty for models.
    pub path: CompactString,
    /// The caller's idempotency key with the digest of the request, if it sent one.
    pub idempotency: Option<Idempotency>,
    /// Digests of growing prefixes of the prompt.
    pub prefix_digests: PrefixDigests,
}

/// An idempotency key and what it was used for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Idempotency {
    /// The caller's key.
    pub key: CompactString,
    /// Digest of method, path and body.
    pub digest: u128,
}

/// How many prefixes of a prompt are marked.
pub const PREFIX_DIGESTS: usize = 6;

/// Digests of the first 4 KiB, 16 KiB, 64 KiB, ... of a prompt, each four times the one before;
/// zero where the prompt is shorter.
pub type PrefixDigests = [u64; PREFIX_DIGESTS];

/// Bytes of prompt under the mark at `index`.
pub const fn prefix_digest_bytes(index: usize) -> usize {
    4096 << (2 * index)
}

/// The store's answer to the creation of a durable record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordAnswer {
    /// This request created it and may be dispatched once.
    Created,
    /// Another request created it before.
    Exists {
        /// Digest of the request that created it.
        digest: u128,
        /// How far that request came.
        state: RecordState,
    },
    /// Another request created it, and its time ran out without a result.
    Abandoned {
        /// Digest of the request that created it.
        digest: u128,
        /// That request.
        id: RequestId,
        /// How long ago it was created.
        age: Duration,
        /// All side processes to which it could have been dispatched.
        eligible_instances: Vec<EligibleInstance>,
    },
    /// It is certain that the record was not created.
    NotCreated,
    /// The store did not say whether the record was created.
    Unknown,
}

/// How far the creator of a record came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The result is recorded.
    Finished,
    /// No result yet, and the creator's time has not run out.
    InProgress,
    /// The result was lost.
    Lost,
}

/// What a side process says when an entry connects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// This life of the side process.
    pub incarnation: Incarnation,
    /// What its backend server serves.
    pub targets: Vec<Target>,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

/// Load of a backend server as its side process reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens that wait or are being read in.
    pub queued_tokens: u64,
    /// Those of them that a short prompt has to wait for.
    pub queued_before_short_tokens: u64,
    /// Requests in progress.
    pub running: u32,
    /// Tokens of engine memory that are free.
    pub free_memory_tokens: u64,
    /// Prompt tokens read in per second, as measured.
    pub prefill_tokens_per_s: u64,
    /// Whether the backend server takes no new work.
    pub is_leaving: bool,
}

/// A VM with a side process on the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Its name.
    pub id: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address and port of its side process.
    pub address: CompactString,
    /// Whether the platform is about to take it away.
    pub is_leaving: bool,
}
