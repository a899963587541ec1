//! Decisions as they are written to the log, each with its inputs.

use std::time::Duration;

use compact_str::CompactString;

use crate::gateway::event::FailReason;
use crate::gateway::event::NotRunReason;
use crate::gateway::serving::ServingVersion;
use crate::gateway::systems::deferral::Deferral;
use crate::result_code::ResultCode;

/// A decision on a request, or a change of its view of the system.
#[derive(Clone, Debug)]
pub enum Decision {
    /// A request was refused on arrival.
    Rejected {
        /// The request.
        id: CompactString,
        /// Host and path.
        target: CompactString,
        /// Why.
        code: ResultCode,
        /// The configuration that was applied.
        version: ServingVersion,
        /// Age of the last answer of the store.
        store_age: Option<Duration>,
    },
    /// A request was sent to a backend server.
    Placed {
        /// The request.
        id: CompactString,
        /// The route.
        route: CompactString,
        /// The backend server.
        backend_server: CompactString,
        /// Which send of the request it is, from 1.
        send: u32,
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Time that is left for it.
        remaining: Duration,
        /// Whether it waits behind what may still be on time.
        is_late: bool,
        /// Expected time to the first byte.
        expected_first_event_ms: f64,
        /// Open work there, of all gateways.
        open_work: usize,
        /// How much slower than its figures the backend server works.
        slowdown: f64,
        /// Backend servers that could have been chosen.
        candidates: usize,
        /// The configuration that was applied.
        version: ServingVersion,
    },
    /// No backend server could be chosen; the request waits.
    Held {
        /// The request.
        id: CompactString,
        /// Why.
        code: ResultCode,
        /// When it is tried again.
        pause: Duration,
    },
    /// A long prompt waits until the engines have less to read.
    Deferred {
        /// The request.
        id: CompactString,
        /// Why.
        deferral: Deferral,
        /// When it is looked at again.
        pause: Duration,
    },
    /// An attempt did not run.
    NotRun {
        /// The request.
        id: CompactString,
        /// The backend server.
        backend_server: CompactString,
        /// Why.
        reason: NotRunReason,
        /// Time since it was sent.
        after: Duration,
    },
    /// An attempt failed.
    Failed {
        /// The request.
        id: CompactString,
        /// The backend server.
        backend_server: CompactString,
        /// Why.
        reason: FailReason,
        /// Time since it was sent.
        after: Duration,
        /// Failures of the backend server since its last success.
        failures: u32,
    },
    /// An attempt that shows no progress was given up.
    Stalled {
        /// The request.
        id: CompactString,
        /// The backend server.
        backend_server: CompactString,
        /// Time since its last progress.
        silence: Duration,
        /// Longest silence that was allowed.
        limit: Duration,
    },
    /// A request has its final answer.
    Ended {
        /// The request.
        id: CompactString,
        /// The route.
        route: CompactString,
        /// The client account.
        account: CompactString,
        /// How.
        code: ResultCode,
        /// Time since it arrived.
        after: Duration,
        /// Time to the first byte of its answer, if one came.
        first_byte: Option<Duration>,
        /// The longest pause between events, if it is whole.
        longest_gap: Duration,
        /// Times that it was sent to a backend server.
        sends: u32,
        /// Backend servers on which it may have run.
        runs: u32,
    },
    /// A serving configuration came into force.
    ServingChanged {
        /// The one before.
        from: ServingVersion,
        /// The new one.
        to: ServingVersion,
        /// Whether the store itself gave it.
        is_from_store: bool,
    },
    /// An older serving configuration was seen and is not applied.
    ServingIgnored {
        /// The version in force.
        current: ServingVersion,
        /// The version that was seen.
        seen: ServingVersion,
    },
    /// The view of a backend server has changed.
    BackendServerChanged {
        /// The backend server.
        backend_server: CompactString,
        /// Its service.
        service: CompactString,
        /// The view now.
        availability: &'static str,
        /// Why.
        cause: &'static str,
    },
    /// The store was lost or came back.
    StoreChanged {
        /// Whether it answers.
        is_reachable: bool,
        /// How long the state before lasted.
        lasted: Duration,
    },
    /// A peer was found or lost.
    PeerChanged {
        /// Its name or address.
        peer: CompactString,
        /// Whether messages of it arrive.
        is_alive: bool,
        /// Its open work that is known here.
        work: usize,
    },
    /// Engines were chosen to take a prompt together, or given up.
    SpanChanged {
        /// The request.
        id: CompactString,
        /// What happened.
        step: &'static str,
        /// How many engines.
        engines: usize,
    },
    /// The settings were read again.
    SettingsReloaded {
        /// Whether anything differs.
        is_changed: bool,
    },
    /// A planned stop began.
    StopBegan {
        /// Requests that are open.
        open: usize,
    },
}
