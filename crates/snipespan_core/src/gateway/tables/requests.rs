//! Requests of clients that have no final answer yet.

use std::time::Duration;

use compact_str::CompactString;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::gateway::event::Arrival;
use crate::gateway::serving::RouteKind;
use crate::gateway::systems::leaving::Destination;
use crate::gateway::tables::prompt_parts::PromptPart;
use crate::gateway::tables::work::Urgency;
use crate::keys::BackendServerKey;
use crate::keys::CallerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::lifecycle::request::RequestEvent;
use crate::lifecycle::request::RequestLifecycle;
use crate::result_code::ResultCode;
use crate::table::Entity;
use crate::time::Timestamp;

/// Maximum number of backend servers that one request avoids; the oldest is dropped first.
pub const MAX_AVOIDED: usize = 8;

/// Minimum silence of a stream after which a client disconnects. By the platform's protocol, a
/// client waits for two seconds, four latency goals or eight gap goals, whichever is longest.
const MIN_ABANDON_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of latency goals for which a client waits at a silent stream.
const ABANDON_LATENCY_GOALS: u32 = 4;

/// Number of gap goals for which a client waits at a silent stream.
const ABANDON_GAP_GOALS: u32 = 8;

/// Share of a client's abandon timeout after which a silent stream is moved to another engine. An
/// iteration with a long prefill silences all streams of an engine for a second or more, and
/// another engine has to repeat the prefill, so only streams that would be lost are moved.
const STALL_SHARE: f64 = 0.8;

/// Returns how long a client waits for the next event of a stream before it disconnects.
pub fn abandon_timeout(latency_goal: Duration, gap_goal: Duration) -> Duration {
    let by_goals = latency_goal * ABANDON_LATENCY_GOALS;
    let by_gaps = gap_goal * ABANDON_GAP_GOALS;
    MIN_ABANDON_TIMEOUT.max(by_goals).max(by_gaps)
}

/// Returns the silence after which a stream is moved to another engine.
pub fn stall_limit(latency_goal: Duration, gap_goal: Duration) -> Duration {
    abandon_timeout(latency_goal, gap_goal).mul_f64(STALL_SHARE)
}

/// A reservation of engine memory for a part of a prompt that one engine cannot hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The engine.
    pub backend_server: BackendServerKey,
    /// Size of the reserved memory in tokens.
    pub tokens: u64,
    /// Whether the engine has confirmed the reservation.
    pub is_confirmed: bool,
    /// Whether it was counted against the rate of the engine, which was cold when it was chosen.
    pub is_counted: bool,
}

/// Engines that together hold and prefill one prompt.
#[derive(Clone, Debug, Default)]
pub struct Span {
    /// One reservation per engine, first that of the engine that gets the request.
    pub reservations: Vec<Reservation>,
    /// When the reservations are renewed next.
    pub renew_at: Timestamp,
    /// Expected time from the dispatch to the first event, in ms.
    pub expected_first_event_ms: f64,
}

/// The regions whose backend servers may get a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HomeRegions {
    /// Names of the regions that its route allows; empty if it allows all.
    pub of_route: Vec<CompactString>,
    /// Names of the regions that its client account allows; empty if it allows all.
    pub of_account: Vec<CompactString>,
}

impl HomeRegions {
    /// Returns whether a data centre is in a home region, by the name of its region if that is known.
    pub fn allows(&self, region: Option<&CompactString>) -> bool {
        let is_in = |regions: &[CompactString]| {
            regions.is_empty() || region.is_some_and(|region| regions.contains(region))
        };
        is_in(&self.of_route) && is_in(&self.of_account)
    }
}

/// A request without a final answer.
pub struct Request {
    /// Its lifecycle.
    pub lifecycle: StateMachine<RequestLifecycle>,
    /// Its caller.
    pub caller: CallerKey,
    /// Id that the client gave it.
    pub id: CompactString,
    /// Name of its route, for logs.
    pub route: CompactString,
    /// Name of the service that it goes to.
    pub service: CompactString,
    /// Name of the client account, if it has one.
    pub account: Option<CompactString>,
    /// Regions in which it may be served.
    pub home_regions: HomeRegions,
    /// How often it may run, and how it is answered.
    pub kind: RouteKind,
    /// Length of its body in bytes.
    pub body_bytes: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Parts of its prompt that other prompts may share.
    pub parts: Box<[PromptPart]>,
    /// The last part of its prompt.
    pub own_part: PromptPart,
    /// Whether its parts were recorded as sound.
    pub is_recorded_sound: bool,
    /// Output tokens that the client estimates, otherwise the maximum that it allows.
    pub output_tokens: u64,
    /// Maximum time from arrival to the first event of a stream, or to the answer of a plain
    /// service, that counts as on time.
    pub latency_goal: Duration,
    /// Maximum pause between events that counts as on time; zero without a goal.
    pub gap_goal: Duration,
    /// Priority of its account or route, 0 first.
    pub priority: u8,
    /// Maximum number of backend servers on which it may run.
    pub max_attempts: u32,
    /// When it arrived.
    pub arrived: Timestamp,
    /// When it must have its final answer.
    pub deadline: Timestamp,
    /// When its placement is due, or was due last.
    pub place_at: Timestamp,
    /// Work of its open attempt.
    pub work: Option<WorkKey>,
    /// Work of its helpers; until a span is sent, also that of the engine that will get the
    /// request.
    pub helper_work: Vec<WorkKey>,
    /// Engines reserved for it, if the memory of one is too small.
    pub span: Option<Span>,
    /// Number of spans begun for it; part of the name of their reservations.
    pub span_count: u32,
    /// Number of sends to backend servers.
    pub sends: u32,
    /// Number of backend servers on which a failed attempt may have run.
    pub runs: u32,
    /// When the first byte of an answer was forwarded.
    pub first_byte: Option<Timestamp>,
    /// Longest pause between two events forwarded to the client, once the answer is complete.
    pub longest_gap: Duration,
    /// When the first event of its open attempt was reported.
    pub first_event: Option<Timestamp>,
    /// When its attempt was sent or an event of its stream was last reported.
    pub last_event: Timestamp,
    /// When its client began to wait for what it gets next: at its arrival, or with the last event
    /// that was forwarded to it.
    pub waits_since: Timestamp,
    /// When its silent attempt is checked again; `None` while it is not silent for too long.
    pub stall_recheck_at: Option<Timestamp>,
    /// Whether it waits for the retry budget to allow its next attempt.
    pub awaits_retry: bool,
    /// Backend servers that failed or refused it, oldest first.
    pub avoided: Vec<BackendServerKey>,
    /// Data centre that its next attempt goes to.
    pub destination: Destination,
    /// Result code of the last attempt that failed or was refused.
    pub last_code: Option<ResultCode>,
}

impl Entity for Request {
    type Key = RequestKey;
}

impl Request {
    /// Creates a request that arrived at `now`; names, goals, priority and number of attempts are
    /// left at defaults that the arrival of the request replaces.
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
            home_regions: HomeRegions::default(),
            kind,
            body_bytes: arrival.body_bytes,
            prompt_tokens: arrival.prompt_tokens,
            parts: arrival.parts.as_slice().into(),
            own_part: arrival.own_part,
            is_recorded_sound: false,
            output_tokens: arrival.max_output_tokens,
            latency_goal: Duration::ZERO,
            gap_goal: Duration::ZERO,
            priority: 0,
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
            first_event: None,
            last_event: now,
            waits_since: now,
            stall_recheck_at: None,
            awaits_retry: false,
            avoided: Vec::new(),
            destination: Destination::Any,
            last_code: None,
        }
    }

    /// Returns how long its client waits for the next event of a stream before it disconnects.
    pub fn abandon_timeout(&self) -> Duration {
        abandon_timeout(self.latency_goal, self.gap_goal)
    }

    /// Returns when its client gives it up if it gets nothing until then: at its deadline, or sooner
    /// if its stream stays silent. A client that is still there after its abandon timeout waits for
    /// longer than the protocol says.
    pub fn abandoned_at(&self, now: Timestamp) -> Timestamp {
        let silence_end = self.waits_since.after(self.abandon_timeout());
        match self.kind.is_streaming() && now < silence_end {
            true => self.deadline.min(silence_end),
            false => self.deadline,
        }
    }

    /// Returns the order in which engines admit it.
    pub fn urgency(&self) -> Urgency {
        Urgency::of_priority(self.priority)
    }

    /// Returns whether a refusal can promise that nothing of it has run, so that its client may send
    /// it again.
    pub const fn is_untouched(&self) -> bool {
        self.runs == 0 && self.first_byte.is_none()
    }

    /// Returns the silence of its stream after which it is moved to another engine.
    pub fn stall_limit(&self) -> Duration {
        stall_limit(self.latency_goal, self.gap_goal)
    }

    /// Returns whether it may be retried after it may have run on `runs` backend servers.
    pub const fn may_repeat_after(&self, runs: u32) -> bool {
        self.kind.is_idempotent() && runs < self.max_attempts
    }

    /// Records that an attempt ended without a complete answer, and may have run.
    pub const fn record_run(&mut self, code: ResultCode) {
        self.runs += 1;
        self.last_code = Some(code);
    }

    /// Returns whether its placement has not been postponed yet.
    pub fn is_first_placement(&self) -> bool {
        self.place_at == self.arrived
    }

    /// Excludes a backend server from the next placements.
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
