//! Control state of a side process.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::configuration::Priority;
use crate::cost::Cost;
use crate::entry::event::Load;
use crate::identity::AttemptNumber;
use crate::identity::RequestId;
use crate::keys::StreamKey;
use crate::lifecycle::process::ProcessLifecycle;
use crate::side::settings::SideSettings;
use crate::side::tables::shares::Shares;
use crate::side::tables::streams::Stream;
use crate::side::tables::unrepeatable::UnrepeatableRequests;
use crate::table::Table;
use crate::time::Timestamp;

/// Sort key of the queue: priority, then virtual finish in the fair shares, then stream key.
pub type QueueOrder = (Priority, u64, StreamKey);

/// Last known state of the backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendState {
    /// Whether the backend server answers probes; false until the first report and while silent.
    pub is_answering: bool,
    /// Total engine memory in tokens; 0 for plain services.
    pub memory_tokens: u64,
    /// Measured prefill rate in prompt tokens per second; 0 if unknown.
    pub prefill_tokens_per_s: u64,
}

/// Counts of events since the process started, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Offered attempts.
    pub offered: u64,
    /// Refused attempts.
    pub refused: u64,
    /// Attempts forwarded to the backend server.
    pub started: u64,
    /// Cancel requests repeated because the engine still held the stream.
    pub cancels_repeated: u64,
    /// Streams found at the engine without a row in the stream table.
    pub orphans: u64,
}

/// Control state of a side process.
pub struct World {
    /// Settings given at start.
    pub settings: SideSettings,
    /// Lifecycle state of the process.
    pub process: StateMachine<ProcessLifecycle>,
    /// Whether the VM is leaving or a planned stop was requested, so that offers are refused.
    pub is_leaving: bool,
    /// Last known state of the backend server.
    pub backend: BackendState,
    /// Streams, from the acceptance of their offer until their engine memory is free.
    pub streams: Table<Stream>,
    /// Attempts with a row in `streams`, used to refuse a second offer of the same attempt.
    pub by_attempt: BTreeMap<(RequestId, AttemptNumber), StreamKey>,
    /// Queued streams, in the order in which they start.
    pub queue: BTreeSet<QueueOrder>,
    /// Queued and running streams, ordered by deadline.
    pub deadlines: BTreeSet<(Timestamp, StreamKey)>,
    /// Fair shares of the client accounts.
    pub shares: Shares,
    /// Unrepeatable requests that were accepted or fenced here.
    pub unrepeatable: UnrepeatableRequests,
    /// Number of running streams.
    pub running: usize,
    /// Prompt tokens of streams that are queued or in prefill.
    pub queued_tokens: u64,
    /// The part of `queued_tokens` that belongs to short prompts.
    pub queued_short_tokens: u64,
    /// Engine memory reserved for streams, in tokens.
    pub reserved_tokens: u64,
    /// Streams at the engine without a row in `streams`, with the time when they were first seen.
    pub orphans: BTreeMap<(RequestId, AttemptNumber), Timestamp>,
    /// Load that was last reported to the entries.
    pub reported_load: Option<Load>,
    /// Earliest time of the next load report.
    pub next_report_at: Timestamp,
    /// Event counts for the metrics.
    pub counters: Counters,
}

impl World {
    /// Creates the state of a side process that has just started.
    pub fn new(settings: SideSettings) -> Self {
        let max_streams = settings.max_streams;
        Self {
            settings,
            process: ProcessLifecycle.state_machine(),
            is_leaving: false,
            backend: BackendState::default(),
            streams: Table::new(max_streams),
            by_attempt: BTreeMap::new(),
            queue: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            shares: Shares::default(),
            unrepeatable: UnrepeatableRequests::default(),
            running: 0,
            queued_tokens: 0,
            queued_short_tokens: 0,
            reserved_tokens: 0,
            orphans: BTreeMap::new(),
            reported_load: None,
            next_report_at: Timestamp::ZERO,
            counters: Counters::default(),
        }
    }

    /// Adds the prompt of a new stream to the queued prompt tokens.
    pub fn add_queued_prompt(&mut self, cost: Cost) {
        self.queued_tokens += cost.prompt_tokens;
        self.queued_short_tokens += if cost.is_short() { cost.prompt_tokens } else { 0 };
    }

    /// Subtracts the prompt of a stream whose prefill is complete or that ended.
    pub fn remove_queued_prompt(&mut self, cost: Cost) {
        self.queued_tokens = self.queued_tokens.saturating_sub(cost.prompt_tokens);
        let short = if cost.is_short() { cost.prompt_tokens } else { 0 };
        self.queued_short_tokens = self.queued_short_tokens.saturating_sub(short);
    }

    /// Returns whether the prefill of a long prompt has run for at least the ageing limit, after
    /// which short prompts no longer overtake it.
    pub fn has_aged_long_prompt(&self, now: Timestamp) -> bool {
        let limit = self.settings.ageing_limit;
        let is_aged = |at: Timestamp| now >= at.after(limit);
        let mut long = self.streams.iter().filter(|(_, row)| !row.cost.is_short());
        long.any(|(_, row)| row.is_prefilling() && row.started_at.is_some_and(is_aged))
    }

    /// Returns the prompt tokens whose prefill precedes that of a new stream of `cost`.
    pub fn queued_tokens_before(&self, cost: Cost, now: Timestamp) -> u64 {
        match cost.is_short() && !self.has_aged_long_prompt(now) {
            true => self.queued_short_tokens,
            false => self.queued_tokens,
        }
    }

    /// Returns the engine memory that is not reserved, in tokens.
    pub fn free_memory_tokens(&self) -> u64 {
        self.backend.memory_tokens.saturating_sub(self.reserved_tokens)
    }
}
