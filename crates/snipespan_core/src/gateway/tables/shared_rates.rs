//! Rates that all gateways together may use, and what this gateway used of each.
//!
//! A row says how much all gateways may use in any window, and how that is apportioned. What this
//! gateway used is counted in buckets, each a part of the window. `systems/shared_rates.rs`
//! apportions the rates of backend servers.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use derive_more::Display;

use crate::gateway::tables::backend_servers::MAX_BACKEND_SERVERS;
use crate::gateway::tables::backend_servers::RateReason;
use crate::keys::BackendServerKey;
use crate::keys::SharedRateKey;
use crate::table::Entity;
use crate::table::Table;
use crate::time::Timestamp;

/// Maximum number of rates: two for each backend server, and those of services. While the table is
/// full, a service gets no retries and a backend server with a limit no requests.
pub const MAX_SHARED_RATES: usize = 2 * MAX_BACKEND_SERVERS + 4096;

/// Number of buckets in a window of retries.
const RETRY_BUCKETS: u32 = 10;

/// Number of buckets in a window of a backend server. A use counts for up to a bucket longer
/// than the window, so that no window of any start has more; a hundredth of the rate is lost.
const SERVER_BUCKETS: u32 = 100;

/// Index of a service's name among those that have a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateService(u32);

/// What a rate limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateTarget {
    /// Retries of the requests to a service.
    Retries(RateService),
    /// Requests, helpers and span engines at a backend server.
    Server(BackendServerKey, RateReason),
}

/// How a rate is apportioned to the gateways.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Apportionment {
    /// This gateway gets nothing.
    #[display("nothing")]
    Nothing,
    /// Each gateway gets the same share.
    #[display("even")]
    Even {
        /// Number of gateways; 0 counts as 1.
        gateways: usize,
    },
    /// A few gateways get whole parts of the rate; the parts of the first ones are larger by one if
    /// it cannot be divided.
    #[display("owner")]
    Owner {
        /// Rank of this gateway among the owners, from 0.
        rank: u32,
        /// Number of owners; 0 counts as 1.
        owners: u32,
    },
}

/// Rank of this gateway among those that it hears, and what it was drawn for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawnRank {
    /// Hash over the set of gateways heard.
    pub fingerprint: u64,
    /// The instance of the backend server.
    pub instance_hash: u64,
    /// Number of gateways heard that were drawn before this one.
    pub rank: usize,
}

/// Uses and what they are measured against, within a part of a window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Timestamp,
    uses: u32,
    requests: u32,
}

/// Part of a rate that this gateway may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// Number of uses in any window.
    pub uses: u32,
    /// Length of the window.
    pub window: Duration,
}

/// A rate that all gateways share.
#[derive(Clone, Debug)]
pub struct SharedRate {
    /// What it limits.
    pub target: RateTarget,
    /// Number of uses by all gateways in a window.
    pub amount: f64,
    /// Length of the window.
    pub window: Duration,
    /// How it is apportioned.
    pub apportionment: Apportionment,
    /// Time before which this gateway uses nothing: what it used until then is not known, or may
    /// have been apportioned to another one.
    pub blocked_until: Timestamp,
    /// When this gateway gets a share, if it has none and that is known.
    pub share_due: Option<Timestamp>,
    /// The last rank that was drawn for it.
    pub drawn: Option<DrawnRank>,
    /// What this gateway used, oldest first.
    buckets: VecDeque<Bucket>,
}

impl Entity for SharedRate {
    type Key = SharedRateKey;
}

impl SharedRate {
    /// Creates a rate of which nothing was used.
    pub const fn new(target: RateTarget, amount: f64, window: Duration) -> Self {
        Self {
            target,
            amount,
            window,
            apportionment: Apportionment::Nothing,
            blocked_until: Timestamp::ZERO,
            share_due: None,
            drawn: None,
            buckets: VecDeque::new(),
        }
    }

    /// Returns this gateway's share of the amount.
    pub fn share(&self) -> f64 {
        match self.apportionment {
            Apportionment::Nothing => 0.0,
            Apportionment::Even { gateways } => self.amount / gateways.max(1) as f64,
            Apportionment::Owner { rank, owners } => {
                let owners = owners.max(1);
                if self.amount < 1.0 {
                    return self.amount / f64::from(owners);
                }
                // The conversion limits a value out of range to the bounds of the type.
                let whole = self.amount as u32;
                f64::from(whole / owners + u32::from(rank < whole % owners))
            }
        }
    }

    /// Returns this gateway's share as a whole number of uses; a share of less than one use in a
    /// window is one use in a longer window.
    pub fn allowance(&self) -> Allowance {
        let share = self.share();
        let window = match share {
            share if share >= 1.0 || share <= 0.0 => self.window,
            share => {
                let seconds = self.window.as_secs_f64() / share;
                Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
            }
        };
        let uses = if share > 0.0 { share.max(1.0) as u32 } else { 0 };
        Allowance { uses, window }
    }

    /// Returns when this gateway may next use the rate, if it may not at `now`; `None` if it may.
    pub fn next_use(&self, now: Timestamp) -> Option<Timestamp> {
        let allowance = self.allowance();
        if allowance.uses == 0 {
            return Some(self.share_due.unwrap_or(Timestamp::MAX).max(self.blocked_until));
        }
        let mut used: u32 = self.counted_buckets(now, allowance).map(|bucket| bucket.uses).sum();
        let mut next = self.blocked_until;
        for bucket in self.counted_buckets(now, allowance) {
            if used < allowance.uses {
                break;
            }
            used -= bucket.uses;
            next = next.max(bucket.start.after(counted_for(allowance)));
        }
        (next > now).then_some(next)
    }

    /// Counts a use of this gateway and returns `true`, if its share allows one at `now`.
    pub fn try_use(&mut self, now: Timestamp) -> bool {
        if self.next_use(now).is_some() {
            return false;
        }
        let allowance = self.allowance();
        let counted_for = counted_for(allowance);
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) >= counted_for) {
            self.buckets.pop_front();
        }
        self.bucket_mut(now, allowance.window / SERVER_BUCKETS).uses += 1;
        true
    }

    fn counted_buckets(
        &self,
        now: Timestamp,
        allowance: Allowance,
    ) -> impl Iterator<Item = &Bucket> {
        let counted_for = counted_for(allowance);
        self.buckets.iter().filter(move |bucket| now.since(bucket.start) < counted_for)
    }

    /// Returns the newest bucket, or a new one if that began `length` ago.
    fn bucket_mut(&mut self, now: Timestamp, length: Duration) -> &mut Bucket {
        let is_current = self.buckets.back().is_some_and(|bucket| now.since(bucket.start) < length);
        if !is_current {
            self.buckets.push_back(Bucket { start: now, uses: 0, requests: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Drops the buckets that have left a window of retries.
    fn drop_old_retries(&mut self, now: Timestamp) {
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) >= self.window) {
            self.buckets.pop_front();
        }
    }

    /// Counts a request that retries are measured against.
    pub fn record_request(&mut self, now: Timestamp) {
        self.drop_old_retries(now);
        self.bucket_mut(now, self.window / RETRY_BUCKETS).requests += 1;
    }

    /// Returns the requests and the retries of this gateway in the window up to `now`.
    pub fn count_retries(&mut self, now: Timestamp) -> (u32, u32) {
        self.drop_old_retries(now);
        self.bucket_mut(now, self.window / RETRY_BUCKETS);
        let requests = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries = self.buckets.iter().map(|bucket| bucket.uses).sum();
        (requests, retries)
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: Timestamp) {
        self.bucket_mut(now, self.window / RETRY_BUCKETS).uses += 1;
    }
}

/// Returns how long a bucket of a backend server counts from its start: until its last use has
/// left the window.
fn counted_for(allowance: Allowance) -> Duration {
    allowance.window.saturating_add(allowance.window / SERVER_BUCKETS)
}

/// All rates that gateways share.
#[derive(Debug)]
pub struct SharedRates {
    /// Rows of the table.
    pub rows: Table<SharedRate>,
    /// Names of the services whose retries have a rate, and the rate of each; none is removed.
    services: Vec<(CompactString, SharedRateKey)>,
}

impl Default for SharedRates {
    fn default() -> Self {
        Self { rows: Table::new(MAX_SHARED_RATES), services: Vec::new() }
    }
}

impl SharedRates {
    /// Returns whether any backend server has a rate.
    pub fn has_servers(&self) -> bool {
        self.rows.iter().any(|(_, row)| matches!(row.target, RateTarget::Server(..)))
    }

    /// Returns the rate of the retries of a service, which is added if there is none; `None` if the
    /// table is full.
    pub fn retries_mut(&mut self, service: &str, window: Duration) -> Option<&mut SharedRate> {
        let known = self.services.iter().find(|(name, _)| name == service);
        let key = match known {
            Some((_, key)) => *key,
            None => {
                let target = RateTarget::Retries(RateService(self.services.len() as u32));
                let key = self.rows.insert(SharedRate::new(target, 0.0, window)).ok()?;
                self.services.push((service.into(), key));
                key
            }
        };
        let row = self.rows.get_mut(key)?;
        row.window = window;
        Some(row)
    }
}
