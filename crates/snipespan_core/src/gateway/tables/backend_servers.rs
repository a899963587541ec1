//! Backend servers as the store lists them and as traffic finds them.

use std::time::Duration;

use compact_str::CompactString;

use crate::gateway::event::Listing;
use crate::keys::BackendServerKey;
use crate::keys::WorkKey;
use crate::table::Entity;
use crate::table::Table;
use crate::time::Timestamp;

/// Most backend servers in view; the size that the system is designed for has 7,900.
pub const MAX_BACKEND_SERVERS: usize = 8192;

/// Failures in a row after which a backend server is left alone for a while.
const FAILURES_TO_SUSPEND: u32 = 3;

/// First time that a failing backend server is left alone, doubled with each further failure.
const FIRST_SUSPENSION: Duration = Duration::from_millis(500);

/// Longest time that a failing backend server is left alone; within it, replicas that were
/// restarted are used again.
const MAX_SUSPENSION: Duration = Duration::from_secs(4);

/// Weight of the newest observation in the smoothed pace.
const PACE_WEIGHT: f64 = 0.3;

/// Bounds of the pace, so that one odd observation shuts no backend server out.
const PACE_RANGE: (f64, f64) = (0.8, 12.0);

/// How long an observed pace counts in full before it is forgotten towards 1.
const PACE_MEMORY: Duration = Duration::from_secs(4);

/// Whether new work may be sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It takes new work.
    Ready,
    /// It is leaving.
    Draining,
    /// Its listing lapsed while the store was away; used until it is back or the time is over.
    Lapsed {
        /// When it is taken as gone.
        until: Timestamp,
    },
    /// It is gone; its row stays until its last work has ended.
    Gone,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Its entry in the store.
    pub listing: Listing,
    /// Whether it takes new work.
    pub availability: Availability,
    /// Open work at it, oldest first.
    pub work: Vec<WorkKey>,
    /// Failures since the last success.
    pub failures: u32,
    /// Until when it is left alone.
    pub suspended_until: Timestamp,
    /// How much slower than its figures it works.
    slowdown: f64,
    slowdown_updated: Timestamp,
    /// When it last finished reading a prompt or gave one up.
    pub last_prefill_progress: Timestamp,
}

impl Entity for BackendServer {
    type Key = BackendServerKey;
}

impl BackendServer {
    /// A backend server that was listed now.
    pub fn new(listing: Listing, availability: Availability, now: Timestamp) -> Self {
        Self {
            listing,
            availability,
            work: Vec::new(),
            failures: 0,
            suspended_until: Timestamp::ZERO,
            slowdown: 1.0,
            slowdown_updated: now,
            last_prefill_progress: now,
        }
    }

    /// Whether new work may be sent to it.
    pub fn accepts_work(&self) -> bool {
        matches!(self.availability, Availability::Ready | Availability::Lapsed { .. })
    }

    /// Whether it is left out after failures.
    pub fn is_suspended(&self, now: Timestamp) -> bool {
        now < self.suspended_until
    }

    /// Notes that it served a request.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.suspended_until = Timestamp::ZERO;
    }

    /// Notes that it failed; `is_certain` when no request could have been served.
    pub fn record_failure(&mut self, now: Timestamp, is_certain: bool) {
        self.failures += 1;
        let failures = match is_certain {
            true => self.failures,
            false => (self.failures + 1).saturating_sub(FAILURES_TO_SUSPEND),
        };
        if failures == 0 {
            return;
        }
        let doubled = FIRST_SUSPENSION.saturating_mul(1 << (failures - 1).min(8));
        self.suspended_until = now.after(doubled.min(MAX_SUSPENSION));
    }

    /// Notes how long a first event took against what was expected of an engine at pace 1.
    pub fn record_slowdown(&mut self, now: Timestamp, ratio: f64) {
        let ratio = ratio.clamp(PACE_RANGE.0, PACE_RANGE.1);
        self.slowdown = self.slowdown(now) * (1.0 - PACE_WEIGHT) + ratio * PACE_WEIGHT;
        self.slowdown_updated = now;
    }

    /// How much slower than its figures it works.
    pub fn slowdown(&self, now: Timestamp) -> f64 {
        let age = now.since(self.slowdown_updated).as_secs_f64() / PACE_MEMORY.as_secs_f64();
        1.0 + (self.slowdown - 1.0) * (-age * std::f64::consts::LN_2).exp()
    }
}

/// All backend servers.
#[derive(Debug)]
pub struct BackendServers {
    /// The rows.
    pub rows: Table<BackendServer>,
    /// Keys by the id of the incarnation, in order.
    by_id: Vec<(CompactString, BackendServerKey)>,
}

impl Default for BackendServers {
    fn default() -> Self {
        Self { rows: Table::new(MAX_BACKEND_SERVERS), by_id: Vec::new() }
    }
}

impl BackendServers {
    /// The backend server of an id.
    pub fn find(&self, id: &str) -> Option<BackendServerKey> {
        let found = self.by_id.binary_search_by(|(known, _)| (**known).cmp(id)).ok()?;
        Some(self.by_id[found].1)
    }

    /// The backend server whose name towards peers is `instance_hash`.
    pub fn find_by_instance_hash(&self, instance_hash: u64) -> Option<BackendServerKey> {
        self.rows
            .iter()
            .find(|(_, row)| row.listing.instance_hash == instance_hash)
            .map(|(key, _)| key)
    }

    /// Adds a backend server; `None` when the table is full.
    pub fn insert(&mut self, row: BackendServer) -> Option<BackendServerKey> {
        let id = row.listing.id.clone();
        let key = self.rows.insert(row).ok()?;
        let at = self.by_id.partition_point(|(known, _)| *known < id);
        self.by_id.insert(at, (id, key));
        Some(key)
    }

    /// Takes a backend server out.
    pub fn remove(&mut self, key: BackendServerKey) -> Option<BackendServer> {
        self.by_id.retain(|(_, known)| *known != key);
        self.rows.remove(key)
    }
}
