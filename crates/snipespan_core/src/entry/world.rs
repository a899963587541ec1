//! Control state of an entry.

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::configuration::Configuration;
use crate::configuration_check::finding::Finding;
use crate::entry::settings::EntrySettings;
use crate::entry::tables::accounts::Accounts;
use crate::entry::tables::attempts::Attempt;
use crate::entry::tables::backend_servers::BackendServers;
use crate::entry::tables::data_centres::DataCentres;
use crate::entry::tables::regions::Regions;
use crate::entry::tables::report::Report;
use crate::entry::tables::requests::Request;
use crate::keys::AttemptKey;
use crate::keys::BackendServerKey;
use crate::keys::RequestKey;
use crate::lifecycle::process::ProcessLifecycle;
use crate::table::Table;
use crate::time::Timestamp;

/// Initial and maximum number of retries in the retry budget.
pub const MAX_RETRY_BUDGET: f64 = 100.0;

/// Retries of failed attempts that each arrival adds to the retry budget.
pub const RETRY_BUDGET_PER_ARRIVAL: f64 = 0.1;

/// Counts of events since the process started, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests that were answered completely.
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
    /// Received configurations that were older than the one in force.
    pub older_configurations: u64,
    /// VMs that were skipped because the table of backend servers was full.
    pub backend_servers_left_out: u64,
    /// Evacuated data centres that were skipped because the table of data centres was full.
    pub data_centres_left_out: u64,
    /// Requests that were refused at once because operators have evacuated the data centres of all
    /// their backend servers.
    pub refused_evacuated: u64,
    /// Requests that were refused at once because none of their backend servers is in their home
    /// regions.
    pub refused_outside_home_regions: u64,
}

/// Progress of writing the operators' report to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportProgress {
    /// Ordinal of the open window since the process started, from 0.
    pub window: u64,
    /// Start of the open window.
    pub window_started: Timestamp,
    /// Earliest time of the next write.
    pub due: Timestamp,
    /// Value of [`Report::changes`] at the latest confirmed write of the open window.
    pub written_changes: u64,
}

/// Control state of an entry.
pub struct World {
    /// Limits and policies.
    pub settings: EntrySettings,
    /// The configuration in force; `None` until one was received.
    pub configuration: Option<Configuration>,
    /// Whether the configuration is to be checked in this tick.
    pub is_check_due: bool,
    /// What the latest check of the configuration found, in ascending order.
    pub findings: Vec<Finding>,
    /// Lifecycle of the process.
    pub process: StateMachine<ProcessLifecycle>,
    /// Readiness for callers, as last published.
    pub is_ready: bool,
    /// Time from which a stopping process refuses new requests; `None` while it is not stopping.
    pub refuse_from: Option<Timestamp>,
    /// Time at which a stopping process was first found without open requests.
    pub idle_since: Option<Timestamp>,
    /// Client accounts.
    pub accounts: Accounts,
    /// Known backend servers.
    pub backend_servers: BackendServers,
    /// Known data centres.
    pub data_centres: DataCentres,
    /// Whether the platform's list of VMs was read since the process started.
    pub has_vm_list: bool,
    /// Open requests.
    pub requests: Table<Request>,
    /// Open attempts.
    pub attempts: Table<Attempt>,
    /// Open requests, ordered by deadline.
    pub deadlines: BTreeSet<(Timestamp, RequestKey)>,
    /// Requests that wait for placement, ordered by the time at which it is due next.
    pub placement_queue: BTreeSet<(Timestamp, RequestKey)>,
    /// Backend servers to connect to, ordered by the time at which that is due.
    pub connect_queue: BTreeSet<(Timestamp, BackendServerKey)>,
    /// Memory set aside for the bodies of open requests, in bytes.
    pub body_bytes: u64,
    /// Retries of failed attempts that are currently allowed, at most [`MAX_RETRY_BUDGET`].
    pub retry_budget: f64,
    /// Counter of the round robin policy.
    pub round_robin_turn: usize,
    /// Counts of the open window of the operators' report.
    pub report: Report,
    /// Progress of writing the report.
    pub report_progress: ReportProgress,
    /// Counts for the metrics.
    pub counters: Counters,
    /// Random number generator, seeded from the settings.
    pub rng: SmallRng,
}

impl World {
    /// Creates the state of an entry that has just started.
    pub fn new(settings: EntrySettings) -> Self {
        let max_requests = settings.max_requests;
        let rng = SmallRng::seed_from_u64(settings.seed);
        let backend_servers = BackendServers::new(settings.max_backend_servers);
        let data_centres = DataCentres::new(&settings.data_centre, Regions::new(&settings.regions));
        Self {
            settings,
            configuration: None,
            is_check_due: false,
            findings: Vec::new(),
            process: ProcessLifecycle.state_machine(),
            is_ready: false,
            refuse_from: None,
            idle_since: None,
            accounts: Accounts::default(),
            backend_servers,
            data_centres,
            has_vm_list: false,
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

    /// Schedules the placement of a request at `due`, in place of an earlier schedule.
    pub fn schedule_placement(&mut self, key: RequestKey, due: Timestamp) {
        let Some(row) = self.requests.get_mut(key) else { return };
        self.placement_queue.remove(&(row.place_at, key));
        row.place_at = due;
        self.placement_queue.insert((due, key));
    }

    /// Removes the open attempt of a request from the table and from its backend server's count.
    ///
    /// Returns the key of the attempt, `None` if the request has no open one.
    pub fn close_attempt(&mut self, request: RequestKey) -> Option<AttemptKey> {
        let key = self.requests.get_mut(request)?.attempt.take()?;
        let attempt = self.attempts.remove(key)?;
        if let Some(row) = self.backend_servers.rows.get_mut(attempt.backend_server) {
            row.open = row.open.saturating_sub(1);
        }
        Some(key)
    }
}
