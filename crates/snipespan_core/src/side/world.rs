//! All control state of a side process.

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

/// Order of the queue: priority, then fair share, then age.
pub type QueueOrder = (Priority, u64, StreamKey);

/// What is known of the backend server itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct BackendState {
    /// Whether it answers.
    pub is_answering: bool,
    /// Tokens of memory that it has; 0 for plain services.
    pub memory_tokens: u64,
    /// Prompt tokens read in per second, as measured; 0 while unknown.
    pub prefill_tokens_per_s: u64,
}

/// Counts of what happened, by kind, since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Attempts that were offered.
    pub offered: u64,
    /// Attempts that were refused.
    pub refused: u64,
    /// Attempts that were forwarded to the backend server.
    pub started: u64,
    /// Streams that the engine was told to free again.
    pub cancels_repeated: u64,
    /// Streams at the engine that no entry owns.
    pub orphans: u64,
}

/// All control state of a side process.
pub struct World {
    /// Bounds and choices.
    pub settings: SideSettings,
    /// Where the process is in its life.
    pub process: StateMachine<ProcessLifecycle>,
    /// Whether the VM is leaving.
    pub is_leaving: bool,
    /// What is known of the backend server.
    pub backend: BackendState,
    /// Streams from their admission until their memory is free.
    pub streams: Table<Stream>,
    /// Attempts in the table, to refuse a second offer of the same one.
    pub by_attempt: BTreeMap<(RequestId, AttemptNumber), StreamKey>,
    /// Streams that wait, in the order in which they are to start.
    pub queue: BTreeSet<QueueOrder>,
    /// Streams by the time at which they expire.
    pub deadlines: BTreeSet<(Timestamp, StreamKey)>,
    /// Fair shares of the accounts.
    pub shares: Shares,
    /// Requests that may not be repeated and were taken or ruled out here.
    pub unrepeatable: UnrepeatableRequests,
    /// Streams that run.
    pub running: usize,
    /// Prompt tokens that wait or are being read in.
    pub queued_tokens: u64,
    /// Those of them that belong to short prompts.
    pub queued_short_tokens: u64,
    /// Engine memory that is promised to streams, in tokens.
    pub reserved_tokens: u64,
    /// Streams at the engine that the table does not have, and since when.
    pub orphans: BTreeMap<(RequestId, AttemptNumber), Timestamp>,
    /// The load that entries were told last.
    pub reported_load: Option<Load>,
    /// When the load may be told next.
    pub next_report_at: Timestamp,
    /// Counts for the metrics.
    pub counters: Counters,
}

impl World {
    /// The state of a side process that has just started.
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

    /// Counts the prompt of a stream that waits or is being read in.
    pub fn add_queued_prompt(&mut self, cost: Cost) {
        self.queued_tokens += cost.prompt_tokens;
        self.queued_short_tokens += if cost.is_short() { cost.prompt_tokens } else { 0 };
    }

    /// Takes back the prompt of a stream that is read in or gone.
    pub fn remove_queued_prompt(&mut self, cost: Cost) {
        self.queued_tokens = self.queued_tokens.saturating_sub(cost.prompt_tokens);
        let short = if cost.is_short() { cost.prompt_tokens } else { 0 };
        self.queued_short_tokens = self.queued_short_tokens.saturating_sub(short);
    }

    /// Whether a long prompt has been overtaken for so long that it is not overtaken any more.
    pub fn has_aged_long_prompt(&self, now: Timestamp) -> bool {
        let limit = self.settings.ageing_limit;
        let is_aged = |at: Timestamp| now >= at.after(limit);
        let mut long = self.streams.iter().filter(|(_, row)| !row.cost.is_short());
        long.any(|(_, row)| row.is_prefilling() && row.started_at.is_some_and(is_aged))
    }

    /// Prompt tokens that are read in before those of a new stream.
    pub fn queued_tokens_before(&self, cost: Cost, now: Timestamp) -> u64 {
        match cost.is_short() && !self.has_aged_long_prompt(now) {
            true => self.queued_short_tokens,
            false => self.queued_tokens,
        }
    }

    /// Tokens of engine memory that no stream is promised.
    pub fn free_memory_tokens(&self) -> u64 {
        self.backend.memory_tokens.saturating_sub(self.reserved_tokens)
    }
}
