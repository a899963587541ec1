//! Backend servers, with their listings in the store and the results of traffic to them.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;

use crate::gateway::event::Listing;
use crate::gateway::event::RequestRate;
use crate::gateway::tables::memory_budget::MAX_SHORT_BODY;
use crate::keys::BackendServerKey;
use crate::keys::DataCentreKey;
use crate::keys::SharedRateKey;
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

/// First pause between tries at a suspended backend server that could not serve any request; doubles
/// with each further try.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Maximum pause between tries at a suspended backend server.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Weight of the newest observation in the smoothed slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.3;

/// Bounds of an observed slowdown, so that one outlier does not exclude a backend server.
const SLOWDOWN_RANGE: (f64, f64) = (0.8, 12.0);

/// Time in which the smoothed slowdown decays halfway to 1 without new observations.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_secs(4);

/// Maximum number of bytes of the bodies that a backend server holds. It crashes if they exceed its
/// memory, which is not stated; 12 usual bodies have less than 0.4 MB, 16 of the longest have this.
pub const MAX_BODY_BYTES: u64 = 64 << 20;

/// Part of [`MAX_BODY_BYTES`] that long bodies leave to short ones, enough for 64 of those.
const SHORT_BODIES_ROOM: u64 = 4 << 20;

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

/// What an incarnation of a backend server has announced in its answers. It holds until another
/// incarnation is listed, whatever the listing says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announced {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Time until which it gets no requests from this gateway; zero if it wants some.
    pub unwanted_until: Timestamp,
    /// Time until which it is cold; zero if it did not say so.
    pub cold_until: Timestamp,
    /// Requests that it takes from all gateways together; `None` if it names no limit.
    pub limit: Option<RequestRate>,
    /// When the last answer arrived, at any gateway, that told of `limit`.
    pub limit_heard: Timestamp,
}

/// A limit on the requests to a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerRate {
    /// There is none.
    #[default]
    Unlimited,
    /// All gateways together may use a rate.
    Limited(SharedRateKey),
    /// There is one, but the table of rates is full: the backend server gets no requests.
    Unrated,
}

/// Why the requests to a backend server are limited.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RateReason {
    /// It is cold, and its service states a limit for that.
    #[display("cold")]
    Cold,
    /// It names a limit in its answers.
    #[display("limited")]
    Named,
}

/// A backend server of any service.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Its entry in the store.
    pub listing: Listing,
    /// Its data centre.
    pub data_centre: DataCentreKey,
    /// Availability for new work.
    pub availability: Availability,
    /// What its current incarnation has announced in its answers.
    pub announced: Announced,
    /// Time until which it is cold by its listings, as counted from when they were read.
    listed_cold_until: Timestamp,
    /// The limit on the requests to it while it is cold, as of this tick.
    pub cold_rate: ServerRate,
    /// The limit that it names, as of this tick.
    pub named_rate: ServerRate,
    /// Open work at it, oldest first.
    pub work: Vec<WorkKey>,
    /// Bytes of the bodies of that work, as far as this gateway knows.
    pub body_bytes: u64,
    /// Number of failures since the last success.
    pub failures: u32,
    /// End of its suspension after failures; until then it gets work only if no other backend
    /// server can take it.
    pub suspended_until: Timestamp,
    /// Time until which no request is tried at it while it is suspended; zero unless it could not serve
    /// any request.
    pub retry_from: Timestamp,
    /// Pause before the next try after `retry_from`; zero unless it could not serve any request.
    retry_pause: Duration,
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
    pub fn new(
        listing: Listing,
        data_centre: DataCentreKey,
        availability: Availability,
        now: Timestamp,
    ) -> Self {
        let listed_cold_until = now.after(listing.cold_time());
        Self {
            listing,
            data_centre,
            availability,
            announced: Announced::default(),
            listed_cold_until,
            cold_rate: ServerRate::Unlimited,
            named_rate: ServerRate::Unlimited,
            work: Vec::new(),
            body_bytes: 0,
            failures: 0,
            suspended_until: Timestamp::ZERO,
            retry_from: Timestamp::ZERO,
            retry_pause: Duration::ZERO,
            slowdown: 1.0,
            slowdown_updated: now,
            last_prefill_end: now,
        }
    }

    /// Returns whether new work may be sent to it.
    pub fn accepts_work(&self) -> bool {
        let is_listed =
            matches!(self.availability, Availability::Ready | Availability::Lapsed { .. });
        is_listed && !self.announced.is_leaving
    }

    /// Returns whether it wants no requests from this gateway at `now`.
    pub fn is_unwanted(&self, now: Timestamp) -> bool {
        now < self.announced.unwanted_until
    }

    /// Returns when it is warm, by its listings and its answers.
    pub fn cold_until(&self) -> Timestamp {
        self.listed_cold_until.max(self.announced.cold_until)
    }

    /// Records the cold time of a listing that was read at `now` and replaces the current one. A
    /// cold time that is listed again counts from when it was first read; a longer one than what
    /// remains, or that of a new incarnation, counts from `now`.
    pub fn record_listed_cold_time(&mut self, now: Timestamp, listing: &Listing) {
        let until = now.after(listing.cold_time());
        let is_new_incarnation = self.listing.started_unix_ms != listing.started_unix_ms;
        if is_new_incarnation {
            self.listed_cold_until = until;
        } else if self.listing.cold_ms != listing.cold_ms {
            self.listed_cold_until = self.listed_cold_until.max(until);
        }
    }

    /// Returns the limit on the requests to it for a reason.
    pub const fn rate(&self, reason: RateReason) -> ServerRate {
        match reason {
            RateReason::Cold => self.cold_rate,
            RateReason::Named => self.named_rate,
        }
    }

    /// Returns the limit on the requests to it for a reason, to be changed.
    pub const fn rate_mut(&mut self, reason: RateReason) -> &mut ServerRate {
        match reason {
            RateReason::Cold => &mut self.cold_rate,
            RateReason::Named => &mut self.named_rate,
        }
    }

    /// Returns whether its memory may be too small for a further body of this length.
    pub const fn is_full_of_bodies(&self, bytes: u64) -> bool {
        let limit = match bytes {
            0 => return false,
            1..=MAX_SHORT_BODY => MAX_BODY_BYTES,
            _ => MAX_BODY_BYTES - SHORT_BODIES_ROOM,
        };
        self.body_bytes.saturating_add(bytes) > limit
    }

    /// Records that it served a request, which ends a suspension.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.suspended_until = Timestamp::ZERO;
        self.retry_from = Timestamp::ZERO;
        self.retry_pause = Duration::ZERO;
    }

    /// Records that a request is sent to it. If it is suspended and could not serve any request before,
    /// the next one follows after a pause, whatever becomes of this one.
    pub fn record_send(&mut self, now: Timestamp) {
        if now < self.suspended_until && !self.retry_pause.is_zero() {
            self.retry_from = now.after(self.retry_pause);
            self.retry_pause = (self.retry_pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    /// Records a failure and suspends it at once if `is_certain`, which means that no request could
    /// have been served, and otherwise from the third failure in a row.
    pub fn record_failure(&mut self, now: Timestamp, is_certain: bool) {
        self.failures += 1;
        if is_certain {
            self.retry_pause = self.retry_pause.max(FIRST_RETRY_PAUSE);
            self.retry_from = self.retry_from.max(now.after(FIRST_RETRY_PAUSE));
        }
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
    /// Announcements of incarnations that are not in the table, by instance hash, oldest first. A
    /// listing that lapsed with the store may come back while its backend server leaves.
    unlisted: VecDeque<(u64, Announced)>,
    /// Times at which backend servers that want no requests get some again.
    returns: BTreeSet<(Timestamp, BackendServerKey)>,
}

impl Default for BackendServers {
    fn default() -> Self {
        let rows = Table::new(MAX_BACKEND_SERVERS);
        Self { rows, by_id: Vec::new(), unlisted: VecDeque::new(), returns: BTreeSet::new() }
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

    /// Returns what an incarnation has announced.
    pub fn announced(&self, instance_hash: u64) -> Announced {
        let row = self.find_by_instance_hash(instance_hash).and_then(|key| self.rows.get(key));
        let unlisted = self.unlisted.iter().find(|(known, _)| *known == instance_hash);
        let announced = row.map(|row| row.announced).or(unlisted.map(|(_, announced)| *announced));
        announced.unwrap_or_default()
    }

    /// Records what an incarnation has announced; returns its key if it is in the table. Of those
    /// that are not, the newest [`MAX_BACKEND_SERVERS`] are kept.
    pub fn set_announced(
        &mut self,
        instance_hash: u64,
        announced: Announced,
    ) -> Option<BackendServerKey> {
        if let Some(key) = self.find_by_instance_hash(instance_hash) {
            self.set_row_announced(key, announced);
            return Some(key);
        }
        self.unlisted.retain(|(known, _)| *known != instance_hash);
        if self.unlisted.len() >= MAX_BACKEND_SERVERS {
            self.unlisted.pop_front();
        }
        self.unlisted.push_back((instance_hash, announced));
        None
    }

    fn set_row_announced(&mut self, key: BackendServerKey, announced: Announced) {
        let Some(row) = self.rows.get_mut(key) else { return };
        self.returns.remove(&(row.announced.unwanted_until, key));
        row.announced = announced;
        if announced.unwanted_until > Timestamp::ZERO {
            self.returns.insert((announced.unwanted_until, key));
        }
    }

    /// Returns when a backend server that wants no requests next gets some again.
    pub fn next_return(&self) -> Option<Timestamp> {
        self.returns.first().map(|(until, _)| *until)
    }

    /// Returns a backend server that gets requests again at `now`, each once.
    pub fn take_returned(&mut self, now: Timestamp) -> Option<BackendServerKey> {
        let (_, key) = self.returns.first().filter(|(until, _)| *until <= now).copied()?;
        // A row that is removed takes its entry with it.
        let announced = self.rows.get(key)?.announced;
        self.set_row_announced(key, Announced { unwanted_until: Timestamp::ZERO, ..announced });
        Some(key)
    }

    /// Adds a backend server, with what its incarnation has announced before; `None` when the table
    /// is full.
    pub fn insert(&mut self, row: BackendServer) -> Option<BackendServerKey> {
        let instance_hash = row.listing.instance_hash;
        let announced = self.announced(instance_hash);
        let id = row.listing.id.clone();
        let key = self.rows.insert(row).ok()?;
        let at = self.by_id.partition_point(|(known, _)| *known < id);
        self.by_id.insert(at, (id, key));
        self.set_row_announced(key, announced);
        self.unlisted.retain(|(known, _)| *known != instance_hash);
        Some(key)
    }

    /// Replaces the listing of a backend server. What an incarnation has announced stays with it: an
    /// older listing may bring it back.
    pub fn replace_listing(
        &mut self,
        key: BackendServerKey,
        listing: Listing,
        data_centre: DataCentreKey,
    ) {
        let instance_hash = listing.instance_hash;
        let announced = self.announced(instance_hash);
        let Some(row) = self.rows.get_mut(key) else { return };
        let earlier = (row.listing.instance_hash, row.announced);
        row.listing = listing;
        row.data_centre = data_centre;
        self.set_row_announced(key, announced);
        if earlier.0 != instance_hash {
            self.unlisted.retain(|(known, _)| *known != instance_hash);
            if earlier.1 != Announced::default() {
                self.set_announced(earlier.0, earlier.1);
            }
        }
    }

    /// Removes a backend server; what it has announced is kept.
    pub fn remove(&mut self, key: BackendServerKey) -> Option<BackendServer> {
        self.by_id.retain(|(_, known)| *known != key);
        let row = self.rows.remove(key)?;
        self.returns.remove(&(row.announced.unwanted_until, key));
        if row.announced != Announced::default() {
            self.set_announced(row.listing.instance_hash, row.announced);
        }
        Some(row)
    }
}
