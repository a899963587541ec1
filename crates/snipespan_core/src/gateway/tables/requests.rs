//! Requests of clients that have no final answer yet.

use std::time::Duration;

use compact_str::CompactString;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::gateway::event::Arrival;
use crate::gateway::serving::RouteKind;
use crate::gateway::tables::work::Rank;
use crate::keys::BackendServerKey;
use crate::keys::CallerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::lifecycle::request::RequestEvent;
use crate::lifecycle::request::RequestLifecycle;
use crate::result_code::ResultCode;
use crate::table::Entity;
use crate::time::Timestamp;

/// Backend servers that one request avoids at most; the oldest is forgotten first.
pub const MAX_AVOIDED: usize = 8;

/// Clients abandon a stream that is silent for two seconds, four latency goals or eight gap goals,
/// whichever is longest, by the platform's protocol.
const LEAST_ABANDON: Duration = Duration::from_secs(2);
const ABANDON_LATENCY_GOALS: u32 = 4;
const ABANDON_GAP_GOALS: u32 = 8;

/// Share of a client's abandon timeout after which a silent stream is moved. A pass with a long
/// read in it keeps all streams of an engine silent for a second or more, and another engine has
/// to read the prompt anew, so only what would be lost is moved.
const STALL_SHARE: f64 = 0.8;

/// How long a client waits for the next event of a stream before it leaves.
pub fn abandon_timeout(latency_goal: Duration, gap_goal: Duration) -> Duration {
    let by_goals = latency_goal * ABANDON_LATENCY_GOALS;
    let by_gaps = gap_goal * ABANDON_GAP_GOALS;
    LEAST_ABANDON.max(by_goals).max(by_gaps)
}

/// Silence after which a stream is moved to another engine.
pub fn stall_limit(latency_goal: Duration, gap_goal: Duration) -> Duration {
    abandon_timeout(latency_goal, gap_goal).mul_f64(STALL_SHARE)
}

/// A reservation of engine memory for a prompt that one engine cannot hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The engine.
    pub backend_server: BackendServerKey,
    /// Tokens that it sets aside.
    pub tokens: u64,
    /// Whether it has confirmed that the memory is free.
    pub is_confirmed: bool,
}

/// Engines that together take one prompt.
#[derive(Clone, Debug, Default)]
pub struct Span {
    /// One reservation an engine, the one that gets the request first.
    pub reservations: Vec<Reservation>,
    /// When the reservations are renewed next.
    pub renew_at: Timestamp,
    /// Expected time to the first event, in ms.
    pub expected_first_event_ms: f64,
}

/// A request that is being served.
pub struct Request {
    /// Its lifecycle.
    pub lifecycle: StateMachine<RequestLifecycle>,
    /// The client's connection.
    pub caller: CallerKey,
    /// The client's name for it.
    pub id: CompactString,
    /// Name of the route, for logs.
    pub route: CompactString,
    /// Name of the service that it goes to.
    pub service: CompactString,
    /// Name of the client account, if it has one.
    pub account: Option<CompactString>,
    /// What may be done with it.
    pub kind: RouteKind,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most output tokens.
    pub output_tokens: u64,
    /// Time to the first byte that earns full credit.
    pub latency_goal: Duration,
    /// Longest pause between events that earns full credit.
    pub gap_goal: Duration,
    /// Rank of its account or route, 0 first.
    pub priority: u8,
    /// Whether its client was refused before; it has one more try at most.
    pub is_client_retry: bool,
    /// Whether it can still be answered within its latency goal.
    pub rank: Rank,
    /// Most backend servers that it may run on.
    pub max_attempts: u32,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When it must have its final answer.
    pub deadline: Timestamp,
    /// When it is to be placed, while it waits for that.
    pub place_at: Timestamp,
    /// Its open attempt.
    pub work: Option<WorkKey>,
    /// Work of its helpers beside the attempt.
    pub helper_work: Vec<WorkKey>,
    /// Its engines, if it needs more than one.
    pub span: Option<Span>,
    /// How many spans were begun for it.
    pub span_count: u32,
    /// Times that it was sent to a backend server.
    pub sends: u32,
    /// Backend servers on which it may have run.
    pub runs: u32,
    /// When the first byte of an answer was passed on.
    pub first_byte: Option<Timestamp>,
    /// The longest pause between events that the client saw.
    pub longest_gap: Duration,
    /// When the last event of its stream was seen.
    pub last_event: Timestamp,
    /// Backend servers that did not do.
    pub avoided: Vec<BackendServerKey>,
    /// Why the last attempt did not do.
    pub last_code: Option<ResultCode>,
}

impl Entity for Request {
    type Key = RequestKey;
}

impl Request {
    /// A request without terms, which arrived now.
    pub fn new(arrival: &Arrival, kind: RouteKind, now: Timestamp, deadline: Timestamp) -> Self {
        let mut lifecycle = RequestLifecycle.state_machine();
        lifecycle.handle(&RequestEvent::BodyRead);
        Self {
            lifecycle,
            caller: arrival.caller,
            id: arrival.id.clone(),
            route: CompactString::default(),
            service: CompactString::default(),
            account: None,
            kind,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.max_output_tokens,
            latency_goal: Duration::ZERO,
            gap_goal: Duration::ZERO,
            priority: 0,
            is_client_retry: false,
            rank: Rank::OnTime,
            max_attempts: 1,
            arrived: now,
            deadline,
            place_at: now,
            work: None,
            helper_work: Vec::new(),
            span: None,
            span_count: 0,
            sends: 0,
            runs: 0,
            first_byte: None,
            longest_gap: Duration::ZERO,
            last_event: now,
            avoided: Vec::new(),
            last_code: None,
        }
    }

    /// How long its client waits for the next event of a stream before it leaves.
    pub fn abandon_timeout(&self) -> Duration {
        abandon_timeout(self.latency_goal, self.gap_goal)
    }

    /// Silence of its stream after which it is moved to another engine.
    pub fn stall_limit(&self) -> Duration {
        stall_limit(self.latency_goal, self.gap_goal)
    }

    /// Whether it may be sent again once it may have run `runs` times.
    pub const fn may_repeat_after(&self, runs: u32) -> bool {
        self.kind.is_idempotent() && runs < self.max_attempts
    }

    /// Whether it has not waited to be placed yet.
    pub fn is_first_placement(&self) -> bool {
        self.place_at == self.arrived
    }

    /// Leaves a backend server out of the next placings.
    pub fn avoid(&mut self, backend_server: BackendServerKey) {
        if self.avoided.contains(&backend_server) {
            return;
        }
        if self.avoided.len() >= MAX_AVOIDED {
            self.avoided.remove(0);
        }
        self.avoided.push(backend_server);
    }
}
