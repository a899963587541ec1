//! Requests that callers have open at an entry.

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

/// Backend servers that a request remembers to avoid; the oldest goes first.
pub const MAX_AVOIDED: usize = 4;

/// A caller's request.
pub struct Request {
    /// Its identity in every process.
    pub id: RequestId,
    /// The caller's connection.
    pub caller: CallerKey,
    /// Its client account.
    pub account: AccountKey,
    /// Name of its client account.
    pub account_name: CompactString,
    /// Weight of the account in the fair shares.
    pub weight: u32,
    /// Its priority.
    pub priority: Priority,
    /// What it asks for, once the body is read.
    pub target: Option<Target>,
    /// Predicted work.
    pub cost: Cost,
    /// Marks of its prompt's prefixes.
    pub prefix_digests: PrefixDigests,
    /// Where it is in its life.
    pub lifecycle: StateMachine<RequestLifecycle>,
    /// When its head arrived.
    pub arrived: Timestamp,
    /// When placing began.
    pub placing_since: Timestamp,
    /// When it must have ended.
    pub deadline: Timestamp,
    /// Bytes of body that are held for it.
    pub body_bytes: u64,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Whether its idempotency record belongs to another request.
    pub is_record_foreign: bool,
    /// Whether its time has run out and only its record is still waited for.
    pub is_awaiting_record: bool,
    /// When placing tries again, while it waits for a backend server.
    pub place_at: Timestamp,
    /// Whether its caller has gone while it runs on for its record.
    pub is_caller_disconnected: bool,
    /// Its idempotency key with the digest of what it asks for, if it has one.
    pub idempotency: Option<Idempotency>,
    /// Where alone it may be dispatched, if it may not be repeated.
    pub eligible_instances: Vec<(BackendServerKey, Incarnation)>,
    /// Tries so far.
    pub attempts: u32,
    /// The open try.
    pub attempt: Option<AttemptKey>,
    /// Backend servers that refused or failed it, the latest last.
    pub avoided: [Option<BackendServerKey>; MAX_AVOIDED],
    /// Why the last try did not do.
    pub last_code: Option<ResultCode>,
    /// How the last try failed that may have run; from then on the request has run.
    pub failed_code: Option<ResultCode>,
    /// When the backend server that refused last expects room.
    pub retry_after: Option<Duration>,
    /// When its first token arrived.
    pub first_token: Option<Timestamp>,
}

impl Entity for Request {
    type Key = RequestKey;
}

impl Request {
    /// A request whose body is not read yet.
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

    /// Whether it may be dispatched to a life of a side process.
    pub fn may_dispatch_to(
        &self,
        backend_server: BackendServerKey,
        incarnation: Incarnation,
    ) -> bool {
        self.is_repeatable || self.eligible_instances.contains(&(backend_server, incarnation))
    }

    /// Remembers to try another backend server first.
    pub fn avoid(&mut self, backend_server: BackendServerKey) {
        self.avoided.rotate_left(1);
        self.avoided[MAX_AVOIDED - 1] = Some(backend_server);
    }

    /// Whether a backend server refused or failed this request lately.
    pub fn avoids(&self, backend_server: BackendServerKey) -> bool {
        self.avoided.contains(&Some(backend_server))
    }
}
