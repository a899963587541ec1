//! All control state of a gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::Key;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::gateway::event::WorkChange;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::tables::backend_servers::BackendServers;
use crate::gateway::tables::peers::MAX_PEERS;
use crate::gateway::tables::peers::Peer;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::retry_budgets::RetryAllowance;
use crate::gateway::tables::retry_budgets::RetryBudgets;
use crate::gateway::tables::work::Phase;
use crate::gateway::tables::work::Work;
use crate::gateway::tables::work::WorkId;
use crate::gateway::tables::work::WorkOwner;
use crate::keys::PeerKey;
use crate::keys::RequestKey;
use crate::keys::WorkKey;
use crate::lifecycle::process::ProcessLifecycle;
use crate::table::Table;
use crate::time::Timestamp;

/// Most pieces of work in view, of all gateways; the size that the system is designed for has
/// 83,000 requests a second, of which a cell of backend servers sees a part.
const MAX_WORK: usize = 65_536;

/// What is known of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreLink {
    /// Whether the last call was answered.
    pub is_reachable: bool,
    /// When that last changed.
    pub since: Timestamp,
    /// When it last answered.
    pub last_answer: Option<Timestamp>,
    /// Whether the backend servers were read since the start.
    pub has_listings: bool,
}

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, Default)]
pub struct StopProgress {
    /// When it was asked for.
    pub requested: Option<Timestamp>,
    /// Whether new connections are still taken.
    pub has_stopped_accepting: bool,
    /// Since when no request has been open.
    pub idle_since: Option<Timestamp>,
}

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
    /// Clients that went away.
    pub callers_disconnected: u64,
    /// Sends to backend servers.
    pub sends: u64,
    /// Sends that did not run.
    pub sends_not_run: u64,
    /// Attempts given up without progress.
    pub stalled: u64,
    /// Repeats that the budget did not allow.
    pub retries_over_budget: u64,
    /// Prompts that were spread over several engines.
    pub spans: u64,
}

/// Control state of a gateway.
pub struct World {
    /// Bounds that it was started with.
    pub settings: GatewaySettings,
    /// The source of random choices.
    pub rng: SmallRng,
    /// The lifecycle of the process.
    pub process: StateMachine<ProcessLifecycle>,
    /// Names this incarnation towards peers.
    pub incarnation: u64,
    /// The readiness that was last published.
    pub is_ready: bool,
    /// How far a planned stop is.
    pub stop: StopProgress,
    /// The serving configuration in force.
    pub serving: Option<ServingConfiguration>,
    /// The store.
    pub store: StoreLink,
    /// Backend servers.
    pub backend_servers: BackendServers,
    /// Open work at them.
    pub work: Table<Work>,
    /// The work of the peers, by peer and its name there.
    pub peer_work: BTreeMap<(PeerKey, WorkId), WorkKey>,
    /// Requests without a final answer.
    pub requests: Table<Request>,
    /// Requests by deadline.
    pub deadlines: BTreeSet<(Timestamp, RequestKey)>,
    /// Requests to place, by time.
    pub placement_queue: BTreeSet<(Timestamp, RequestKey)>,
    /// Other gateways.
    pub peers: Table<Peer>,
    /// Changes that the peers are still to be notified of.
    pub pending_changes: Vec<WorkChange>,
    /// Sequence number of the last message to peers.
    pub sequence: u64,
    /// When all work is sent to the peers again.
    pub snapshot_due: Timestamp,
    /// When silent peers and unconfirmed work are looked for next.
    pub peers_sweep_due: Timestamp,
    /// When a newer configuration was last fetched from a peer.
    pub last_serving_fetch: Option<Timestamp>,
    /// Repeats that may still be sent.
    pub retry_budgets: RetryBudgets,
    /// Counts.
    pub counters: Counters,
}

impl World {
    /// The state of a gateway that has just started.
    pub fn new(settings: GatewaySettings, incarnation: u64) -> Self {
        let max_requests = settings.max_requests;
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            process: ProcessLifecycle.state_machine(),
            incarnation,
            is_ready: false,
            stop: StopProgress::default(),
            serving: None,
            store: StoreLink::default(),
            backend_servers: BackendServers::default(),
            work: Table::new(MAX_WORK),
            peer_work: BTreeMap::new(),
            requests: Table::new(max_requests),
            deadlines: BTreeSet::new(),
            placement_queue: BTreeSet::new(),
            peers: Table::new(MAX_PEERS),
            pending_changes: Vec::new(),
            sequence: 0,
            snapshot_due: Timestamp::ZERO,
            peers_sweep_due: Timestamp::ZERO,
            last_serving_fetch: None,
            retry_budgets: RetryBudgets::default(),
            counters: Counters::default(),
        }
    }

    /// Adds a piece of work to its backend server; `None` when the table is full.
    pub fn add_work(&mut self, work: Work) -> Option<WorkKey> {
        let row = self.backend_servers.rows.get_mut(work.backend_server)?;
        let key = self.work.insert(work).ok()?;
        row.work.push(key);
        Some(key)
    }

    /// Notes that a piece of work began to write.
    pub fn start_decode(&mut self, key: WorkKey, now: Timestamp) {
        let Some(work) = self.work.get_mut(key) else { return };
        if work.phase == Phase::Decode {
            return;
        }
        work.phase = Phase::Decode;
        if let Some(row) = self.backend_servers.rows.get_mut(work.backend_server) {
            row.last_prefill_progress = now;
        }
        if matches!(work.owner, WorkOwner::Own(_)) {
            self.pending_changes.push(WorkChange::DecodeStarted(work_id(key)));
        }
    }

    /// Lets a request wait to be placed at `due`.
    pub fn schedule_placement(&mut self, key: RequestKey, due: Timestamp) {
        let Some(row) = self.requests.get_mut(key) else { return };
        self.placement_queue.remove(&(row.place_at, key));
        row.place_at = due;
        self.placement_queue.insert((due, key));
    }

    /// Takes a piece of work off its backend server.
    pub fn remove_work(&mut self, key: WorkKey, now: Timestamp) -> Option<Work> {
        let work = self.work.remove(key)?;
        if let Some(row) = self.backend_servers.rows.get_mut(work.backend_server) {
            row.work.retain(|known| *known != key);
            if work.phase == Phase::Prefill {
                row.last_prefill_progress = now;
            }
        }
        match work.owner {
            WorkOwner::Own(_) => self.pending_changes.push(WorkChange::Ended(work_id(key))),
            WorkOwner::Peer(peer, id) => drop(self.peer_work.remove(&(peer, id))),
        }
        Some(work)
    }

    /// Gateways that serve, this one included.
    pub fn gateway_count(&self) -> usize {
        1 + self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_listed || peer.last_message.is_some())
            .count()
    }

    /// What the deployment allows this gateway to repeat.
    pub fn retry_allowance(&self) -> RetryAllowance {
        RetryAllowance {
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            window: self.settings.retry_window,
            gateways: self.gateway_count(),
        }
    }
}

/// The name of a piece of this gateway's work towards peers.
pub fn work_id(key: WorkKey) -> WorkId {
    WorkId(key.data().as_ffi())
}
