//! All control state of an entry.

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::configuration::Configuration;
use crate::entry::settings::EntrySettings;
use crate::entry::tables::accounts::Accounts;
use crate::entry::tables::attempts::Attempt;
use crate::entry::tables::backend_servers::BackendServers;
use crate::entry::tables::report::Report;
use crate::entry::tables::requests::Request;
use crate::keys::AttemptKey;
use crate::keys::BackendServerKey;
use crate::keys::RequestKey;
use crate::lifecycle::process::ProcessLifecycle;
use crate::table::Table;
use crate::time::Timestamp;

/// Retries that the budget starts with and never exceeds.
pub const MAX_RETRY_BUDGET: f64 = 100.0;

/// Retries of failed attempts that each arrival adds to the budget.
pub const RETRY_BUDGET_PER_ARRIVAL: f64 = 0.1;

/// Counts of what happened, by kind, since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests that were answered whole.
    pub completed: u64,
    /// Requests that were refused and not run.
    pub not_run: u64,
    /// Requests that failed after they may have run.
    pub failed: u64,
    /// Attempts that were sent to backend servers.
    pub attempts: u64,
    /// Attempts that side processes refused.
    pub attempts_refused: u64,
    /// Retries that the budget did not allow.
    pub retries_over_budget: u64,
    /// Configurations that were older than the one in force.
    pub older_configurations: u64,
    /// VMs that found no room in the table of backend servers.
    pub backend_servers_left_out: u64,
}

/// When the report was written and what is not yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportProgress {
    /// The ordinal of the open window.
    pub window: u64,
    /// When the open window began.
    pub window_started: Timestamp,
    /// When the report is written next.
    pub due: Timestamp,
    /// Changes that the store has.
    pub written_changes: u64,
}

/// All control state of an entry.
pub struct World {
    /// Bounds and choices.
    pub settings: EntrySettings,
    /// The configuration in force; `None` until one was seen.
    pub configuration: Option<Configuration>,
    /// Where the process is in its life.
    pub process: StateMachine<ProcessLifecycle>,
    /// Whether the process said that it is ready for callers.
    pub is_ready: bool,
    /// When a stopping process begins to refuse new requests.
    pub refuse_from: Option<Timestamp>,
    /// Since when a stopping process has had no request open.
    pub idle_since: Option<Timestamp>,
    /// Client accounts.
    pub accounts: Accounts,
    /// Backend servers in view.
    pub backend_servers: BackendServers,
    /// Open requests.
    pub requests: Table<Request>,
    /// Open attempts.
    pub attempts: Table<Attempt>,
    /// Requests by the time at which they expire.
    pub deadlines: BTreeSet<(Timestamp, RequestKey)>,
    /// Requests that wait for a backend server, by the time of the next try.
    pub placement_queue: BTreeSet<(Timestamp, RequestKey)>,
    /// Backend servers to connect to, by the time of the next try.
    pub connect_queue: BTreeSet<(Timestamp, BackendServerKey)>,
    /// Bytes of request bodies that are held.
    pub body_bytes: u64,
    /// Retries of failed attempts that are allowed now.
    pub retry_budget: f64,
    /// The turn of the round robin policy.
    pub round_robin_turn: usize,
    /// Counts for the operators' report.
    pub report: Report,
    /// When the report was written.
    pub report_progress: ReportProgress,
    /// Counts for the metrics.
    pub counters: Counters,
    /// Source of the random choices.
    pub rng: SmallRng,
}

impl World {
    /// The state of an entry that has just started.
    pub fn new(settings: EntrySettings) -> Self {
        let max_requests = settings.max_requests;
        let rng = SmallRng::seed_from_u64(settings.seed);
        let backend_servers = BackendServers::new(settings.max_backend_servers);
        Self {
            settings,
            configuration: None,
            process: ProcessLifecycle.state_machine(),
            is_ready: false,
            refuse_from: None,
            idle_since: None,
            accounts: Accounts::default(),
            backend_servers,
            requests: Table::new(max_requests),
            attempts: Table::<Attempt>::new(max_requests),
            deadlines: BTreeSet::new(),
            placement_queue: BTreeSet::new(),
            connect_queue: BTreeSet::new(),
            body_bytes: 0,
            retry_budget: MAX_RETRY_BUDGET,
            round_robin_turn: 0,
            report: Report::default(),
            report_progress: ReportProgress::default(),
            counters: Counters::default(),
            rng,
        }
    }

    /// Lets placing try a request at `due`.
    pub fn schedule_placement(&mut self, key: RequestKey, due: Timestamp) {
        let Some(row) = self.requests.get_mut(key) else { return };
        self.placement_queue.remove(&(row.place_at, key));
        row.place_at = due;
        self.placement_queue.insert((due, key));
    }

    /// Closes the open attempt of a request and frees what it holds of its backend server.
    pub fn close_attempt(&mut self, request: RequestKey) -> Option<AttemptKey> {
        let key = self.requests.get_mut(request)?.attempt.take()?;
        let attempt = self.attempts.remove(key)?;
        if let Some(row) = self.backend_servers.rows.get_mut(attempt.backend_server) {
            row.open = row.open.saturating_sub(1);
        }
        Some(key)
    }
}
