//! Decisions of a gateway as they are logged, each with its inputs.

use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;

use crate::gateway::event::AnswerStage;
use crate::gateway::event::FailReason;
use crate::gateway::event::NotRunReason;
use crate::gateway::event::StoreVersion;
use crate::gateway::serving::ServingVersion;
use crate::gateway::systems::availability::ObstacleCounts;
use crate::gateway::systems::availability::SendObstacle;
use crate::gateway::systems::deferral::Overload;
use crate::gateway::systems::leaving::LeaveReason;
use crate::gateway::tables::backend_servers::RateReason;
use crate::gateway::tables::memory_budget::BodyRefusal;
use crate::gateway::tables::peers::GatewayView;
use crate::gateway::tables::prompt_parts::CrashEvidence;
use crate::gateway::tables::prompt_parts::PromptPart;
use crate::gateway::tables::shared_rates::Allowance;
use crate::gateway::tables::shared_rates::Apportionment;
use crate::result_code::ResultCode;

/// Why a request is not sent to another backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryObstacle {
    /// It may not run again: it is not idempotent, or has run on the maximum number of backend
    /// servers.
    #[display("attempts")]
    Attempts,
    /// Its deadline is too near.
    #[display("deadline")]
    Deadline,
    /// The retry budget of its service is used up.
    #[display("budget")]
    Budget,
    /// A part of its prompt is blocked.
    #[display("prompt part")]
    PromptPart,
    /// No other backend server is expected to do better.
    #[display("none better")]
    NoneBetter,
}

/// A decision on a request, or a change in the gateway's view of the system.
#[derive(Clone, Debug)]
pub enum Decision {
    /// A request was refused on arrival.
    Rejected {
        /// The request.
        id: CompactString,
        /// Host and path of the request.
        target: CompactString,
        /// Why it was refused.
        code: ResultCode,
        /// The serving configuration that was applied.
        version: ServingVersion,
        /// Time since the store last answered; `None` if it never did.
        store_age: Option<Duration>,
    },
    /// A request was refused before its body was read, as there was no memory for that.
    BodyRefused {
        /// The request.
        id: CompactString,
        /// Why there was none.
        refusal: BodyRefusal,
        /// Bytes that the body asked for.
        bytes: u64,
        /// Time since its head was received.
        waited: Duration,
    },
    /// A streamed answer ended incomplete, as its client did not read it.
    AnswerUnread {
        /// The request.
        id: CompactString,
        /// Time for which the client has read nothing.
        waited: Duration,
    },
    /// A request was sent to a backend server.
    Placed {
        /// The request.
        id: CompactString,
        /// The route.
        route: CompactString,
        /// The backend server.
        backend_server: CompactString,
        /// Number of this send among those of the request, from 1.
        send: u32,
        /// Prompt tokens of the request.
        prompt_tokens: u64,
        /// Time until the deadline of the request.
        remaining: Duration,
        /// Whether it is expected to miss its latency goal.
        is_late: bool,
        /// Expected time from the dispatch to the first event, in ms.
        expected_first_event_ms: f64,
        /// Pieces of open work at the backend server, of all gateways.
        open_work: usize,
        /// Smoothed ratio of observed to predicted time to the first event at the backend server.
        slowdown: f64,
        /// Why it left its data centre; `None` if it stayed.
        left_data_centre: Option<LeaveReason>,
        /// Number of backend servers that could have been chosen.
        candidates: usize,
        /// The serving configuration that was applied.
        version: ServingVersion,
    },
    /// No backend server could be chosen; the request waits.
    Held {
        /// The request.
        id: CompactString,
        /// Result code if it were refused now.
        code: ResultCode,
        /// Time until the next try.
        pause: Duration,
    },
    /// A long prompt waits until the prefill backlog of the engines is shorter.
    Deferred {
        /// The request.
        id: CompactString,
        /// The figures that led to the deferral.
        overload: Overload,
        /// Time until the next try.
        pause: Duration,
    },
    /// A long prompt is refused under overload, as it could no longer end in time if it waited.
    GivenUp {
        /// The request.
        id: CompactString,
        /// The figures that led to it.
        overload: Overload,
        /// Time since it arrived.
        waited: Duration,
    },
    /// A request is refused at once, as no backend server of its service takes it for now.
    Unservable {
        /// The request.
        id: CompactString,
        /// Name of its service.
        service: CompactString,
        /// The obstacle that is expected to end first.
        obstacle: SendObstacle,
        /// Backend servers of the service by obstacle.
        counts: ObstacleCounts,
        /// Time until the obstacle ends; `None` if that is not known.
        change_in: Option<Duration>,
    },
    /// An attempt did not run.
    NotRun {
        /// The request.
        id: CompactString,
        /// The backend server.
        backend_server: CompactString,
        /// Why it did not run.
        reason: NotRunReason,
        /// Time since the dispatch.
        after: Duration,
    },
    /// An attempt failed.
    Failed {
        /// The request.
        id: CompactString,
        /// The backend server.
        backend_server: CompactString,
        /// Why it failed.
        reason: FailReason,
        /// How far the answer had come.
        stage: AnswerStage,
        /// [`Listing::instance_hash`](crate::gateway::event::Listing::instance_hash) of the backend
        /// server.
        instance_hash: u64,
        /// Whether it counts against the parts of the prompt.
        evidence: CrashEvidence,
        /// Time since the dispatch.
        after: Duration,
        /// Failures of the backend server since its last success.
        failures: u32,
    },
    /// An attempt without progress was withdrawn.
    Stalled {
        /// The request.
        id: CompactString,
        /// The backend server.
        backend_server: CompactString,
        /// Time since its last progress.
        silence: Duration,
        /// Maximum silence allowed.
        limit: Duration,
        /// Time until the deadline of the request.
        remaining: Duration,
        /// Whether the client has received a part of the answer.
        has_begun: bool,
    },
    /// An attempt without progress stays where it is; logged once for each silence.
    KeptSilent {
        /// The request.
        id: CompactString,
        /// The backend server.
        backend_server: CompactString,
        /// Time since its last progress.
        silence: Duration,
        /// Why it is not moved.
        obstacle: RetryObstacle,
    },
    /// A request is not sent to another backend server although its attempt was refused or failed,
    /// which ends it.
    NotRetried {
        /// The request.
        id: CompactString,
        /// Why it is not sent again.
        obstacle: RetryObstacle,
        /// Time until the deadline of the request.
        remaining: Duration,
        /// Whether the client has received a part of the answer, which is cut then.
        has_begun: bool,
    },
    /// A request has its final answer.
    Ended {
        /// The request.
        id: CompactString,
        /// The route.
        route: CompactString,
        /// The client account.
        account: CompactString,
        /// Its outcome.
        code: ResultCode,
        /// Time since it arrived.
        after: Duration,
        /// Time from its arrival to the first byte of its answer; `None` without an answer.
        first_byte: Option<Duration>,
        /// Longest pause between two events of a complete answer, otherwise zero.
        longest_gap: Duration,
        /// Number of sends to backend servers.
        sends: u32,
        /// Number of backend servers on which a failed attempt may have run.
        runs: u32,
    },
    /// A serving configuration came into force.
    ServingChanged {
        /// The version before.
        from: ServingVersion,
        /// The version in force from now on.
        to: ServingVersion,
        /// Whether it was read from the store rather than from a peer.
        is_from_store: bool,
    },
    /// A serving configuration older than the one in force was received and ignored.
    ServingIgnored {
        /// The version in force.
        current: ServingVersion,
        /// The version that was received.
        seen: ServingVersion,
    },
    /// The availability or the listing of a backend server changed.
    BackendServerChanged {
        /// The backend server.
        backend_server: CompactString,
        /// Name of its service.
        service: CompactString,
        /// Its availability: ready, leaving (by an answer of its own), draining, lapsed or gone.
        availability: &'static str,
        /// What caused the change: listed, left out: the table is full, listing changed, new
        /// incarnation, announced in an answer, listing lapsed with the store, listing removed, or
        /// not listed again.
        cause: &'static str,
    },
    /// A listing was ignored because the table of data centres is full.
    ListingIgnored {
        /// The backend server.
        backend_server: CompactString,
        /// Name of its data centre.
        data_centre: CompactString,
    },
    /// An evacuation of a data centre began or ended, or the data centre became known.
    EvacuationChanged {
        /// Name of the data centre.
        data_centre: CompactString,
        /// What changed.
        step: EvacuationStep,
        /// Who reported the change.
        source: EvacuationSource,
        /// Version of the store up to which the set of evacuations is complete.
        version: StoreVersion,
        /// Number of backend servers of the data centre in the table.
        backend_servers: usize,
    },
    /// The region of a data centre changed, by the settings.
    RegionChanged {
        /// Name of the data centre.
        data_centre: CompactString,
        /// Its region; `None` if the settings do not name it.
        region: Option<CompactString>,
    },
    /// A backend server was suspended after failures, or a success ended its suspension.
    SuspensionChanged {
        /// The backend server.
        backend_server: CompactString,
        /// Time for which it is suspended; `None` if it is usable again.
        suspended_for: Option<Duration>,
        /// Failures since its last success.
        failures: u32,
    },
    /// A backend server said that it wants no requests from this gateway for a while, or that time
    /// is over.
    RequestsUnwanted {
        /// The backend server.
        backend_server: CompactString,
        /// Name of its service.
        service: CompactString,
        /// Time for which it gets none; `None` if it gets requests again.
        unwanted_for: Option<Duration>,
    },
    /// This gateway's share of the rate of a backend server changed.
    RateShareChanged {
        /// The backend server.
        backend_server: CompactString,
        /// Name of its service.
        service: CompactString,
        /// Why its requests are limited.
        reason: RateReason,
        /// Requests per second of all gateways.
        rate: f64,
        /// Time for which the limit still holds unless it is stated again.
        ends_in: Duration,
        /// How the rate is apportioned.
        apportionment: Apportionment,
        /// What this gateway may send.
        allowance: Allowance,
        /// The gateways that this one knows and hears.
        view: GatewayView,
    },
    /// A backend server no longer has a limit.
    RateEnded {
        /// The backend server.
        backend_server: CompactString,
        /// Name of its service.
        service: CompactString,
        /// Why its requests were limited.
        reason: RateReason,
    },
    /// Only backend servers with a limit are left for a request, and this gateway may send nothing to
    /// them.
    RatedOnly {
        /// The request.
        id: CompactString,
        /// Why the first of them is limited.
        reason: RateReason,
        /// Time until it may get a request.
        wait: Duration,
        /// Whether the request is refused, as the time is too long for it to wait.
        is_refused: bool,
    },
    /// The store became unreachable or reachable again.
    StoreChanged {
        /// Whether it answers.
        is_reachable: bool,
        /// Duration of the previous state.
        lasted: Duration,
    },
    /// A peer sent its first message, or its messages stopped.
    PeerChanged {
        /// Name of the peer.
        peer: CompactString,
        /// Whether messages from it arrive.
        is_alive: bool,
        /// Number of pieces of its work that were removed here; 0 when its messages arrive.
        work: usize,
    },
    /// Memory for a prompt was requested at several engines, or one of them did not reserve it.
    SpanChanged {
        /// The request.
        id: CompactString,
        /// The step: `reserve`, `no memory`, `engine gone` when one no longer takes work, or `engine cold`.
        step: &'static str,
        /// Number of engines in the span.
        engines: usize,
    },
    /// A request was not sent because a part of its prompt is blocked.
    PartBlocked {
        /// The request.
        id: CompactString,
        /// The part.
        part: PromptPart,
        /// Number of crashes that count against it.
        crashes: usize,
        /// Time until a request with it may be sent.
        wait: Duration,
    },
    /// A crash of a backend server counts against parts of a prompt.
    CrashCounted {
        /// Id that the client gave the request.
        id: CompactString,
        /// Number of parts.
        parts: usize,
        /// Number of other parts that are no longer suspected, as the table is full.
        evicted: u64,
    },
    /// What is known of a suspected part of prompts changed.
    SuspicionChanged {
        /// The part.
        part: PromptPart,
        /// What changed.
        step: SuspicionStep,
        /// Number of crashes that count against it.
        crashes: usize,
    },
    /// The settings file was read again.
    SettingsReloaded {
        /// Whether any setting differs.
        is_changed: bool,
    },
    /// This process was paused: a tick ran later than planned.
    PauseNoticed {
        /// How much later.
        delay: Duration,
    },
    /// Requests of a service begin to leave for another data centre, or no longer do.
    LeavingChanged {
        /// The other data centre.
        data_centre: CompactString,
        /// The service.
        service: CompactString,
        /// Whether they leave from now on.
        is_leaving: bool,
        /// What the request that changed it gains by leaving, in requests that miss a goal.
        gain: f64,
        /// What its bytes cost, in the same unit.
        cost: f64,
        /// Requests a second that this gateway may send there.
        rate_per_s: f64,
    },
    /// Messages to the gateways of another data centre are relayed there from now on, or sent to
    /// each of them.
    RelayingChanged {
        /// The data centre.
        data_centre: CompactString,
        /// Whether they are relayed.
        is_relayed: bool,
        /// Whether both relays fell silent.
        are_lost: bool,
    },
    /// A planned stop began.
    StopBegan {
        /// Number of open requests.
        open: usize,
    },
}

/// A change of an evacuation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EvacuationStep {
    /// Its backend servers get no new work from now on.
    #[display("began")]
    Began,
    /// Its backend servers get new work again.
    #[display("ended")]
    Ended,
    /// No listing names the data centre; a later one may.
    #[display("unknown name")]
    Unknown,
    /// A listing names the data centre, which was not known before.
    #[display("listed")]
    Listed,
    /// It is ignored because the table of evacuations is full.
    #[display("ignored: the table is full")]
    TableFull,
}

/// Who reported an evacuation or its end.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EvacuationSource {
    /// A complete read of the operator's table.
    #[display("read")]
    Read,
    /// The feed of the operator's table.
    #[display("feed")]
    Feed,
    /// A peer.
    #[display("peer")]
    Peer,
    /// The listings of the backend servers.
    #[display("listings")]
    Listings,
}

/// A change of what is known of a suspected part of prompts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SuspicionStep {
    /// Requests with it are refused from now on.
    #[display("blocked")]
    Blocked,
    /// A request with it was sent as a probe.
    #[display("probe")]
    Probe,
    /// It is no longer blocked.
    #[display("cleared")]
    Cleared,
    /// It was blocked and no request with it was sent for a long time.
    #[display("forgotten")]
    Forgotten,
}
