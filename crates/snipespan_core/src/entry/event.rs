//! Events that an entry's decisions handle.

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

/// An event that the next tick of an entry handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// The head of a caller's request arrived; its body is not read yet.
    Arrival(Arrival),
    /// The body of a request was read and parsed.
    BodyRead {
        /// The request.
        request: RequestKey,
        /// Summary of its head and body.
        body: BodySummary,
    },
    /// The request is invalid or its body did not arrive.
    BodyRejected {
        /// The request.
        request: RequestKey,
        /// The reason.
        code: ResultCode,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// The request.
        request: RequestKey,
    },
    /// The store answered the creation or takeover of a durable record.
    RecordAnswered {
        /// The request.
        request: RequestKey,
        /// The answer.
        answer: RecordAnswer,
    },
    /// The side processes that were asked to fence an abandoned request replied, or could not be
    /// reached.
    FenceAnswered {
        /// The request that asked for the fencing.
        request: RequestKey,
        /// Whether all of them confirmed that the abandoned request never runs.
        never_runs: bool,
    },
    /// A side process refused an attempt before forwarding it, or was unreachable.
    AttemptRefused {
        /// The attempt.
        attempt: AttemptKey,
        /// The reason, a code of the class "not run".
        code: ResultCode,
        /// Time after which the side process expects free capacity, if it reported one.
        retry_after: Option<Duration>,
    },
    /// The first token (model) or the response head (plain service) of an attempt arrived.
    FirstToken {
        /// The attempt.
        attempt: AttemptKey,
    },
    /// The complete answer of an attempt was relayed to the caller.
    AttemptCompleted {
        /// The attempt.
        attempt: AttemptKey,
        /// Tokens in the answer; 0 for plain services.
        output_tokens: u64,
    },
    /// An attempt that may have run ended without a complete answer.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptKey,
        /// The reason, a code of the class "failed" or "unknown".
        code: ResultCode,
        /// Whether another attempt can resume the answer where this one stopped.
        resumable: bool,
    },
    /// A side process sent its hello on a new connection.
    BackendServerHello {
        /// The backend server.
        backend_server: BackendServerKey,
        /// The hello.
        hello: Hello,
    },
    /// A side process reported its load.
    BackendServerLoad {
        /// The backend server.
        backend_server: BackendServerKey,
        /// The load.
        load: Load,
    },
    /// The connection to a side process was lost or could not be opened.
    BackendServerLost {
        /// The backend server.
        backend_server: BackendServerKey,
    },
    /// The platform's list of VMs was read.
    VmListRead {
        /// All VMs on the list that run a side process.
        vms: Vec<Vm>,
    },
    /// A configuration was read from the store, or received from a side process that had it from
    /// another entry.
    ConfigurationReceived(Box<Configuration>),
    /// A window of the report was written to the store.
    ReportWritten {
        /// Ordinal of the window since the process started, from 0.
        window: u64,
        /// `Report::changes` of the written report.
        changes: u64,
    },
    /// A planned stop was requested.
    StopRequested,
}

/// The head of a caller's request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The traffic task of the request.
    pub caller: CallerKey,
    /// The identity assigned to the request.
    pub id: RequestId,
    /// Digest of the caller's API key, if the caller sent one.
    pub credential: Option<CredentialDigest>,
    /// Declared length of the body in bytes, if the caller sent it.
    pub body_bytes: Option<u64>,
}

/// The parsed head and body of a request.
#[derive(Clone, Debug)]
pub struct BodySummary {
    /// The model or plain service.
    pub target: Target,
    /// Estimated cost in tokens.
    pub cost: Cost,
    /// Maximum answer length in tokens that the caller requested, if any.
    pub requested_output_tokens: Option<u64>,
    /// Time limit that the caller requested, if any.
    pub time_limit: Option<Duration>,
    /// Whether the HTTP method is safe, so that the request may be repeated.
    pub is_safe_method: bool,
    /// Path and query of the request at the plain service; empty for models.
    pub path: CompactString,
    /// The caller's idempotency key with the digest of the request, if the caller sent a key.
    pub idempotency: Option<Idempotency>,
    /// Digests of growing prefixes of the prompt.
    pub prefix_digests: PrefixDigests,
}

/// An idempotency key and the digest of the request that uses it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Idempotency {
    /// The caller's key.
    pub key: CompactString,
    /// Digest of service, method, path with query, and body.
    pub digest: u128,
}

/// Number of prefixes of a prompt that are digested.
pub const PREFIX_DIGESTS: usize = 6;

/// Digests of the first 4 KiB, 16 KiB, 64 KiB, ... of a prompt, each prefix four times as long as
/// the one before; zero where the prompt is shorter than the prefix.
pub type PrefixDigests = [u64; PREFIX_DIGESTS];

/// Returns the length in bytes of the prompt prefix whose digest is at `index`, below
/// [`PREFIX_DIGESTS`].
pub const fn prefix_digest_bytes(index: usize) -> usize {
    4096 << (2 * index)
}

/// The store's answer to the creation of a durable record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordAnswer {
    /// This request created the record or took it over, and may now be dispatched.
    Created,
    /// Another request created the record earlier.
    Exists {
        /// Digest of the request that created it.
        digest: u128,
        /// Progress of that request.
        state: RecordState,
    },
    /// Another request created the record, and its deadline passed with no outcome recorded.
    Abandoned {
        /// Digest of the request that created it.
        digest: u128,
        /// Identity of that request.
        id: RequestId,
        /// Time since the record was created.
        age: Duration,
        /// The VMs and incarnations of all side processes to which that request could have been
        /// dispatched.
        eligible_instances: Vec<EligibleInstance>,
    },
    /// The record was certainly not created.
    NotCreated,
    /// It is unknown whether the store created the record.
    Unknown,
}

/// Progress of the request that created a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordState {
    /// The result is recorded.
    Finished,
    /// There is no result yet, and the creator's deadline has not passed.
    InProgress,
    /// The creator recorded that its outcome is unknown.
    Lost,
}

/// The hello of a side process, its first message to an entry that connects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Incarnation of the side process.
    pub incarnation: Incarnation,
    /// The models and plain services that its backend server serves.
    pub targets: Vec<Target>,
    /// Whether the side process is leaving and accepts no new work.
    pub is_leaving: bool,
}

/// Load of a backend server as its side process reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Prompt tokens that wait for prefill or are being prefilled.
    pub queued_tokens: u64,
    /// The part of `queued_tokens` that is prefilled before a new short prompt.
    pub queued_before_short_tokens: u64,
    /// Requests in progress.
    pub running: u32,
    /// Free engine memory in tokens.
    pub free_memory_tokens: u64,
    /// Measured prefill rate in prompt tokens per second; 0 while unknown.
    pub prefill_tokens_per_s: u64,
    /// Whether the backend server is leaving and accepts no new work.
    pub is_leaving: bool,
}

/// A VM that runs a side process, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// Name of the VM.
    pub id: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address and port of its side process.
    pub address: CompactString,
    /// Whether the platform is about to remove the VM.
    pub is_leaving: bool,
}
