//! Backend servers, with their listings in the store and the results of traffic to them.

use std::time::Duration;

use compact_str::CompactString;

use crate::gateway::event::Listing;
use crate::keys::BackendServerKey;
use crate::keys::WorkKey;
use crate::table::Entity;
use crate::table::Table;
use crate::time::Timestamp;

/// Maximum number of backend servers in the table; the system is designed for 7,900.
pub const MAX_BACKEND_SERVERS: usize = 8192;

/// Failures in a row from which a backend server is suspended; one that cannot serve any request is
/// suspended at the first.
const FAILURES_TO_SUSPEND: u32 = 3;

/// First suspension of a failing backend server; doubles with each further failure.
const FIRST_SUSPENSION: Duration = Duration::from_millis(500);

/// Maximum suspension of a failing backend server; a restarted one is used again within this time.
const MAX_SUSPENSION: Duration = Duration::from_secs(4);

/// Weight of the newest observation in the smoothed slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.3;

/// Bounds of an observed slowdown, so that one outlier does not exclude a backend server.
const SLOWDOWN_RANGE: (f64, f64) = (0.8, 12.0);

/// Time in which the smoothed slowdown decays halfway to 1 without new observations.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(4);

/// Availability of a backend server for new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The backend server accepts new work.
    Ready,
    /// The backend server is shutting down and accepts no new work.
    Draining,
    /// The listing lapsed while the store was unreachable; the backend server is still used until
    /// it is listed again or `until` has passed.
    Lapsed {
        /// When the backend server counts as gone.
        until: Timestamp,
    },
    /// The backend server is gone; its row is kept until its last work has ended.
    Gone,
}

/// A backend server of any service.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Its entry in the store.
    pub listing: Listing,
    /// Availability for new work.
    pub availability: Availability,
    /// Open work at it, oldest first.
    pub work: Vec<WorkKey>,
    /// Number of failures since the last success.
    pub failures: u32,
    /// End of its suspension after failures; until then it gets work only if no other backend
    /// server can take it.
    pub suspended_until: Timestamp,
    /// Smoothed slowdown at `slowdown_updated`.
    slowdown: f64,
    slowdown_updated: Timestamp,
    /// When a prefill last ended, by its first event or because the work was removed; when it was
    /// listed, if none has.
    pub last_prefill_end: Timestamp,
}

impl Entity for BackendServer {
    type Key = BackendServerKey;
}

impl BackendServer {
    /// Creates a backend server that is listed from `now`.
    pub fn new(listing: Listing, availability: Availability, now: Timestamp) -> Self {
        Self {
            listing,
            availability,
            work: Vec::new(),
            failures: 0,
            suspended_until: Timestamp::ZERO,
            slowdown: 1.0,
            slowdown_updated: now,
            last_prefill_end: now,
        }
    }

    /// Returns whether new work may be sent to it.
    pub fn accepts_work(&self) -> bool {
        matches!(self.availability, Availability::Ready | Availability::Lapsed { .. })
    }

    /// Returns whether it is suspended after failures.
    pub fn is_suspended(&self, now: Timestamp) -> bool {
        now < self.suspended_until
    }

    /// Records that it served a request, which ends a suspension.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.suspended_until = Timestamp::ZERO;
    }

    /// Records a failure and suspends it at once if `is_certain`, which means that no request could
    /// have been served, and otherwise from the third failure in a row.
    pub fn record_failure(&mut self, now: Timestamp, is_certain: bool) {
        self.failures += 1;
        let suspensions = match is_certain {
            true => self.failures,
            false => (self.failures + 1).saturating_sub(FAILURES_TO_SUSPEND),
        };
        if suspensions == 0 {
            return;
        }
        let doubled = FIRST_SUSPENSION.saturating_mul(1 << (suspensions - 1).min(8));
        self.suspended_until = now.after(doubled.min(MAX_SUSPENSION));
    }

    /// Records the observed time to a first event over the time predicted for slowdown 1.
    pub fn record_slowdown(&mut self, now: Timestamp, ratio: f64) {
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.slowdown = self.slowdown(now) * (1.0 - SLOWDOWN_WEIGHT) + ratio * SLOWDOWN_WEIGHT;
        self.slowdown_updated = now;
    }

    /// Returns the smoothed ratio of the observed to the predicted time to the first event, from
    /// 0.8 to 12.
    pub fn slowdown(&self, now: Timestamp) -> f64 {
        let age = now.since(self.slowdown_updated).as_secs_f64() / SLOWDOWN_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowdown - 1.0) * (-age * std::f64::consts::LN_2).exp()
    }
}

/// All backend servers.
#[derive(Debug)]
pub struct BackendServers {
    /// Rows of the table.
    pub rows: Table<BackendServer>,
    /// Keys by the id of the listing, in ascending order.
    by_id: Vec<(CompactString, BackendServerKey)>,
}

impl Default for BackendServers {
    fn default() -> Self {
        Self { rows: Table::new(MAX_BACKEND_SERVERS), by_id: Vec::new() }
    }
}

impl BackendServers {
    /// Finds a backend server by the id of its listing.
    pub fn find(&self, id: &str) -> Option<BackendServerKey> {
        let found = self.by_id.binary_search_by(|(known, _)| (**known).cmp(id)).ok()?;
        Some(self.by_id[found].1)
    }

    /// Finds a backend server by [`Listing::instance_hash`].
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

    /// Removes a backend server.
    pub fn remove(&mut self, key: BackendServerKey) -> Option<BackendServer> {
        self.by_id.retain(|(_, known)| *known != key);
        self.rows.remove(key)
    }
}
