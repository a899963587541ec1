//! Control state of a gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::Key;
use statig::blocking::IntoStateMachineExt;
use statig::blocking::StateMachine;

use crate::gateway::effect::FeedPlan;
use crate::gateway::event::Arrival;
use crate::gateway::event::ListingsUpdate;
use crate::gateway::event::StoreVersion;
use crate::gateway::message::WorkChange;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::serving::ServingVersion;
use crate::gateway::settings::GatewaySettings;
use crate::gateway::systems::pauses::CATCH_UP_TIME;
use crate::gateway::tables::backend_servers::BackendServers;
use crate::gateway::tables::data_centres::DataCentres;
use crate::gateway::tables::evacuations::Evacuations;
use crate::gateway::tables::named_limits::NamedLimits;
use crate::gateway::tables::part_record::PartRecord;
use crate::gateway::tables::peers::GatewayView;
use crate::gateway::tables::peers::MAX_PEERS;
use crate::gateway::tables::peers::Peer;
use crate::gateway::tables::relays::RelayChoices;
use crate::gateway::tables::remote_shares::RemoteShares;
use crate::gateway::tables::requests::Request;
use crate::gateway::tables::retry_budgets::RetryAllowance;
use crate::gateway::tables::serving_fetch::ServingFetch;
use crate::gateway::tables::shared_rates::SharedRates;
use crate::gateway::tables::suspects::Suspects;
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

/// Maximum number of pieces of open work in the table, of all gateways before one group of backend
/// servers. These gateways receive a part of the 83,000 requests a second for which the system is
/// designed.
const MAX_WORK: usize = 65_536;

/// Span in which the store answered peers without an outage.
#[derive(Clone, Copy, Debug)]
pub struct AnsweredSpan {
    /// First answer.
    pub first: Timestamp,
    /// Last answer.
    pub last: Timestamp,
}

/// State of the connection to the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreLink {
    /// Whether the last call for the listings was answered.
    pub is_reachable: bool,
    /// When `is_reachable` last changed.
    pub since: Timestamp,
    /// When the store last answered; `None` if it never did.
    pub last_answer: Option<Timestamp>,
    /// Answers to peers since this gateway lost the store; `None` if they report none.
    pub peer_answers: Option<AnsweredSpan>,
    /// Whether the listings of backend servers were read since the process started.
    pub has_listings: bool,
}

/// This gateway's copy of the backend servers' listings.
#[derive(Clone, Debug, Default)]
pub struct ListingsCopy {
    /// Version of the store up to which the copy is complete; 0 before it was first read.
    pub version: StoreVersion,
    /// Version of the newest change in the copy.
    pub last_change: StoreVersion,
    /// When the store's feed last answered this gateway itself.
    pub answered: Option<Timestamp>,
    /// When the store last answered this gateway itself on the operator's table.
    pub operator_answered: Option<Timestamp>,
    /// Changes from the feed that the peers have not been notified of.
    pub unrelayed: Vec<ListingsUpdate>,
    /// Version of the serving configuration that the peers were last notified of.
    pub reported_serving: ServingVersion,
    /// When this gateway next reports its copy to the peers, if it follows for them.
    pub report_due: Timestamp,
    /// How the feeds are followed.
    pub plan: FeedPlan,
}

/// Progress of a planned stop.
#[derive(Clone, Copy, Debug, Default)]
pub struct StopProgress {
    /// When the stop was requested; `None` if it was not.
    pub requested: Option<Timestamp>,
    /// Whether new connections are no longer accepted.
    pub has_stopped_accepting: bool,
    /// Since when no request has been open, while the stop waits for clients that are about to use
    /// an open connection.
    pub idle_since: Option<Timestamp>,
}

/// Counts of events since the process started, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived.
    pub arrivals: u64,
    /// Requests with a complete answer.
    pub completed: u64,
    /// Requests that were refused without having run.
    pub not_run: u64,
    /// Requests that failed and may have run.
    pub failed: u64,
    /// Requests whose client disconnected.
    pub callers_disconnected: u64,
    /// Sends to backend servers.
    pub sends: u64,
    /// Sends that did not run at the backend server.
    pub sends_not_run: u64,
    /// Attempts that were withdrawn because they made no progress.
    pub stalled: u64,
    /// Retries that the retry budget did not allow.
    pub retries_over_budget: u64,
    /// Prompts that were sent to a span of several engines.
    pub spans: u64,
    /// Requests that were not sent because a part of their prompt is blocked.
    pub prompt_parts_blocked: u64,
    /// Requests that were refused because all data centres that could serve them are evacuated.
    pub refused_evacuated: u64,
    /// Requests that were refused because no data centre in their home regions could serve them.
    pub refused_outside_home: u64,
    /// Requests, helpers and span engines that were sent to cold backend servers with a limit.
    pub cold_sends: u64,
    /// Requests that waited because only cold backend servers were left.
    pub cold_waits: u64,
    /// Requests that were refused because only cold backend servers were left.
    pub cold_refusals: u64,
    /// Requests, helpers and span engines that were sent to backend servers that name a limit.
    pub limited_sends: u64,
    /// Requests that waited because only backend servers with a limit were left.
    pub limited_waits: u64,
    /// Requests that were refused because only backend servers with a limit were left.
    pub limited_refusals: u64,
    /// Requests that were refused because there was no memory for their body.
    pub bodies_refused: u64,
    /// Streamed answers that ended because their client did not read them.
    pub answers_unread: u64,
    /// Sends that left the data centre because no backend server here had a free slot.
    pub left_full: u64,
    /// Sends that left the data centre because an answer was expected sooner elsewhere.
    pub left_faster: u64,
    /// Sends that left the data centre because no backend server here could get them.
    pub left_none_here: u64,
    /// Sends that left the data centre without a decision on that.
    pub left_undecided: u64,
}

/// Control state of a gateway.
pub struct World {
    /// Settings in force.
    pub settings: GatewaySettings,
    /// Random number generator.
    pub rng: SmallRng,
    /// The lifecycle of the process.
    pub process: StateMachine<ProcessLifecycle>,
    /// Incarnation of this gateway; later ones are larger.
    pub incarnation: u64,
    /// Readiness as last published.
    pub is_ready: bool,
    /// Progress of a planned stop.
    pub stop: StopProgress,
    /// When the next tick is due without an event, as of the last tick.
    pub wake_planned: Option<Timestamp>,
    /// End of the last pause of this process that was noticed.
    pub last_pause: Option<Timestamp>,
    /// Time before which no request is placed, after a long pause of this process.
    pub placement_from: Timestamp,
    /// Serving configuration in force; `None` until one is received.
    pub serving: Option<ServingConfiguration>,
    /// State of the connection to the store.
    pub store: StoreLink,
    /// The copy of the listings, and how it is kept current.
    pub listings: ListingsCopy,
    /// Data centres.
    pub data_centres: DataCentres,
    /// Evacuations of data centres.
    pub evacuations: Evacuations,
    /// Backend servers.
    pub backend_servers: BackendServers,
    /// Open work at the backend servers, of all gateways.
    pub work: Table<Work>,
    /// Work of the peers, by peer and the id that the peer gave it.
    pub peer_work: BTreeMap<(PeerKey, WorkId), WorkKey>,
    /// Requests that wait for a configuration in which their route and key are looked up.
    pub unrouted: Table<Arrival>,
    /// Requests without a final answer.
    pub requests: Table<Request>,
    /// Requests by deadline.
    pub deadlines: BTreeSet<(Timestamp, RequestKey)>,
    /// Requests that wait for placement, by the time at which it is due.
    pub placement_queue: BTreeSet<(Timestamp, RequestKey)>,
    /// Other gateways.
    pub peers: Table<Peer>,
    /// Addresses of gateways that were just found and need a snapshot of this gateway's work.
    pub new_peers: Vec<SocketAddr>,
    /// Changes of own work that the peers have not been notified of.
    pub pending_changes: Vec<WorkChange>,
    /// Sequence number of the last message to peers.
    pub sequence: u64,
    /// When the next snapshot of all own work is sent to the peers.
    pub snapshot_due: Timestamp,
    /// When silent peers and unconfirmed work are removed next.
    pub peers_sweep_due: Timestamp,
    /// Progress of fetching a newer configuration from a peer.
    pub serving_fetch: ServingFetch,
    /// The gateways that this one knows and hears.
    pub gateway_view: GatewayView,
    /// Rates that all gateways share: retries to each service, requests to backend servers that are
    /// cold or name a limit.
    pub shared_rates: SharedRates,
    /// Limits that backend servers named to this gateway.
    pub named_limits: NamedLimits,
    /// Gateways that relay this one's messages in other data centres.
    pub relays: RelayChoices,
    /// This gateway's shares of what other data centres offer.
    pub remote_shares: RemoteShares,
    /// Parts of prompts that are suspected of crashing backend servers.
    pub suspects: Suspects,
    /// State of the record of blocked parts in the store.
    pub part_record: PartRecord,
    /// Counts of events, for the metrics.
    pub counters: Counters,
}

impl World {
    /// Creates the state of a gateway that has just started.
    pub fn new(settings: GatewaySettings, incarnation: u64) -> Self {
        let max_requests = settings.max_requests;
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            process: ProcessLifecycle.state_machine(),
            incarnation,
            is_ready: false,
            stop: StopProgress::default(),
            wake_planned: None,
            last_pause: None,
            placement_from: Timestamp::ZERO,
            serving: None,
            store: StoreLink::default(),
            listings: ListingsCopy::default(),
            data_centres: DataCentres::default(),
            evacuations: Evacuations::default(),
            backend_servers: BackendServers::default(),
            work: Table::new(MAX_WORK),
            peer_work: BTreeMap::new(),
            unrouted: Table::new(max_requests),
            requests: Table::new(max_requests),
            deadlines: BTreeSet::new(),
            placement_queue: BTreeSet::new(),
            peers: Table::new(MAX_PEERS),
            new_peers: Vec::new(),
            pending_changes: Vec::new(),
            sequence: 0,
            snapshot_due: Timestamp::ZERO,
            peers_sweep_due: Timestamp::ZERO,
            serving_fetch: ServingFetch::default(),
            gateway_view: GatewayView::default(),
            shared_rates: SharedRates::default(),
            named_limits: NamedLimits::default(),
            relays: RelayChoices::default(),
            remote_shares: RemoteShares::default(),
            suspects: Suspects::default(),
            part_record: PartRecord::default(),
            counters: Counters::default(),
        }
    }

    /// Returns when what arrived during the last pause of this process has been read; until then the
    /// silence of others shows nothing.
    pub fn caught_up_at(&self) -> Timestamp {
        self.last_pause.map_or(Timestamp::ZERO, |last| last.after(CATCH_UP_TIME))
    }

    /// Adds a piece of work at its backend server; `None` when the table is full or the backend
    /// server is unknown.
    pub fn add_work(&mut self, work: Work) -> Option<WorkKey> {
        let row = self.backend_servers.rows.get_mut(work.backend_server)?;
        let key = self.work.insert(work).ok()?;
        row.work.push(key);
        Some(key)
    }

    /// Sets the length of the body that was sent with a piece of work.
    pub fn set_body(&mut self, key: WorkKey, bytes: u64) {
        let Some(work) = self.work.get_mut(key) else { return };
        let before = std::mem::replace(&mut work.body_bytes, bytes);
        if let Some(row) = self.backend_servers.rows.get_mut(work.backend_server) {
            row.body_bytes = row.body_bytes.saturating_sub(before).saturating_add(bytes);
        }
    }

    /// Moves a piece of work from prefill to decode; does nothing if it is already there.
    pub fn start_decode(&mut self, key: WorkKey, now: Timestamp) {
        let Some(work) = self.work.get_mut(key) else { return };
        if work.phase == Phase::Decode {
            return;
        }
        work.phase = Phase::Decode;
        if let Some(row) = self.backend_servers.rows.get_mut(work.backend_server) {
            row.last_prefill_end = now;
        }
        if matches!(work.owner, WorkOwner::Own(_)) {
            self.pending_changes.push(WorkChange::DecodeStarted(work_id(key)));
        }
    }

    /// Schedules the placement of a request at `due`, in place of any earlier schedule.
    pub fn schedule_placement(&mut self, key: RequestKey, due: Timestamp) {
        let Some(row) = self.requests.get_mut(key) else { return };
        self.placement_queue.remove(&(row.place_at, key));
        row.place_at = due;
        self.placement_queue.insert((due, key));
    }

    /// Removes a piece of work from the table and from its backend server; the end of own work is
    /// queued for the peers.
    pub fn remove_work(&mut self, key: WorkKey, now: Timestamp) -> Option<Work> {
        let work = self.work.remove(key)?;
        if let Some(row) = self.backend_servers.rows.get_mut(work.backend_server) {
            row.work.retain(|known| *known != key);
            row.body_bytes = row.body_bytes.saturating_sub(work.body_bytes);
            if work.phase == Phase::Prefill {
                row.last_prefill_end = now;
            }
        }
        match work.owner {
            WorkOwner::Own(_) => self.pending_changes.push(WorkChange::Ended(work_id(key))),
            WorkOwner::Peer(peer, id) => drop(self.peer_work.remove(&(peer, id))),
        }
        Some(work)
    }

    /// Returns the number of gateways that are listed or send messages, this one included.
    pub fn gateway_count(&self) -> usize {
        1 + self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_listed || peer.last_message.is_some())
            .count()
    }

    /// Returns the retries that the deployment allows and the number of gateways that share them.
    pub fn retry_allowance(&self) -> RetryAllowance {
        RetryAllowance {
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            window: self.settings.retry_window,
            gateways: self.gateway_count(),
        }
    }
}

/// Returns the id by which peers know a piece of this gateway's work.
pub fn work_id(key: WorkKey) -> WorkId {
    WorkId(key.data().as_ffi())
}
