//! Open requests of an entry's callers.

use std::time::Duration;

use compact_str::CompactString;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::configuration::Priority;
use crate::cost::Cost;
use crate::entry::event::Arrival;
use crate::entry::event::Idempotency;
use crate::entry::event::PREFIX_DIGESTS;
use crate::entry::event::PrefixDigests;
use crate::entry::tables::regions::HomeRegions;
use crate::identity::Incarnation;
use crate::identity::RequestId;
use crate::identity::Target;
use crate::keys::AccountKey;
use crate::keys::AttemptKey;
use crate::keys::BackendServerKey;
use crate::keys::CallerKey;
use crate::keys::RequestKey;
use crate::lifecycle::request::RequestLifecycle;
use crate::result_code::ResultCode;
use crate::table::Entity;
use crate::time::Timestamp;

/// Maximum number of backend servers that a request avoids; the oldest is dropped first.
pub const MAX_AVOIDED: usize = 4;

/// A caller's request.
pub struct Request {
    /// Its identity, the same in all processes.
    pub id: RequestId,
    /// Its traffic task.
    pub caller: CallerKey,
    /// Its client account.
    pub account: AccountKey,
    /// Name of its client account.
    pub account_name: CompactString,
    /// Weight of the account in fair queueing.
    pub weight: u32,
    /// Its priority.
    pub priority: Priority,
    /// Model or plain service that it asks for; `None` until its body is read.
    pub target: Option<Target>,
    /// Regions whose backend servers may get it: the home regions of its account and model.
    pub homes: HomeRegions,
    /// Estimated cost in tokens.
    pub cost: Cost,
    /// Digests of the prefixes of its prompt.
    pub prefix_digests: PrefixDigests,
    /// Lifecycle of the request.
    pub lifecycle: StateMachine<RequestLifecycle>,
    /// Time at which its head arrived.
    pub arrived: Timestamp,
    /// Time at which its body was accepted or its last attempt ended, from which the placing limit
    /// counts.
    pub placing_since: Timestamp,
    /// Time at which it expires.
    pub deadline: Timestamp,
    /// Memory set aside for its body, in bytes.
    pub body_bytes: u64,
    /// Whether it may be run more than once.
    pub is_repeatable: bool,
    /// Whether the durable record of its idempotency key was created by another request.
    pub is_record_foreign: bool,
    /// Whether its deadline has passed and it waits only for the outcome to record.
    pub is_awaiting_record: bool,
    /// Time at which its placement is due next, while it waits for a backend server.
    pub place_at: Timestamp,
    /// Whether it continues to run for its record only, as its caller has disconnected or was
    /// answered at the deadline.
    pub is_caller_disconnected: bool,
    /// Its idempotency key with the digest of the request, if the caller sent a key.
    pub idempotency: Option<Idempotency>,
    /// The only backend servers and incarnations to which it may be dispatched, if it may not be
    /// repeated.
    pub eligible_instances: Vec<(BackendServerKey, Incarnation)>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// The open attempt.
    pub attempt: Option<AttemptKey>,
    /// Backend servers that refused it or failed, the latest last.
    pub avoided: [Option<BackendServerKey>; MAX_AVOIDED],
    /// Result code of the latest attempt that was refused or failed.
    pub last_code: Option<ResultCode>,
    /// Result code of the latest failed attempt that may have run; once set, the request counts as
    /// run.
    pub failed_code: Option<ResultCode>,
    /// Time after which the backend server that refused it last expects free capacity.
    pub retry_after: Option<Duration>,
    /// Time at which its first token arrived.
    pub first_token: Option<Timestamp>,
}

impl Entity for Request {
    type Key = RequestKey;
}

impl Request {
    /// Creates a request whose body is not read yet.
    pub fn new(
        arrival: &Arrival,
        account: AccountKey,
        deadline: Timestamp,
        now: Timestamp,
    ) -> Self {
        Self {
            id: arrival.id,
            caller: arrival.caller,
            account,
            account_name: CompactString::default(),
            weight: 1,
            priority: Priority(0),
            target: None,
            homes: HomeRegions::Any,
            cost: Cost::default(),
            prefix_digests: [0; PREFIX_DIGESTS],
            lifecycle: RequestLifecycle.state_machine(),
            arrived: now,
            placing_since: now,
            deadline,
            body_bytes: 0,
            is_repeatable: true,
            is_record_foreign: false,
            is_awaiting_record: false,
            place_at: now,
            is_caller_disconnected: false,
            idempotency: None,
            eligible_instances: Vec::new(),
            attempts: 0,
            attempt: None,
            avoided: [None; MAX_AVOIDED],
            last_code: None,
            failed_code: None,
            retry_after: None,
            first_token: None,
        }
    }

    /// Returns whether it may be dispatched to this incarnation of a side process.
    pub fn may_dispatch_to(
        &self,
        backend_server: BackendServerKey,
        incarnation: Incarnation,
    ) -> bool {
        self.is_repeatable || self.eligible_instances.contains(&(backend_server, incarnation))
    }

    /// Prefers other backend servers to this one in later attempts.
    pub fn avoid(&mut self, backend_server: BackendServerKey) {
        self.avoided.rotate_left(1);
        self.avoided[MAX_AVOIDED - 1] = Some(backend_server);
    }

    /// Returns whether the backend server is among the latest that refused this request or failed.
    pub fn avoids(&self, backend_server: BackendServerKey) -> bool {
        self.avoided.contains(&Some(backend_server))
    }
}
