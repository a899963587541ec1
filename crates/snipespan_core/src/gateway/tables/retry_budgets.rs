//! Budgets that limit the retries of this gateway to each service.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use crate::time::Timestamp;

/// Number of buckets of a window; each counts the requests and retries of a tenth of it.
const BUCKETS_PER_WINDOW: u32 = 10;

/// Share of the allowed retries that is used; the rest covers windows that begin within a bucket,
/// and changes in the number of gateways.
const SAFETY_SHARE: f64 = 0.7;

/// Share of the allowed retries that is kept for continuations of streams. A client loses the part
/// of an answer that it has if no other backend server goes on with it; any other one has lost
/// nothing but time.
const CONTINUATION_SHARE: f64 = 0.25;

/// What a retry is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryUse {
    /// A request of whose answer the client has nothing.
    Fresh,
    /// A stream of which the client has received a part.
    Continuation,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Timestamp,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service within the window.
#[derive(Debug)]
pub struct RetryBudget {
    service: CompactString,
    buckets: VecDeque<Bucket>,
}

/// Retries that the deployment allows in a window.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    /// Retries allowed as a share of the requests.
    pub ratio: f64,
    /// Retries that all gateways together may send in addition to the share.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Number of gateways that share the slack; 0 counts as 1.
    pub gateways: usize,
}

/// The budgets of all services.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    rows: Vec<RetryBudget>,
}

impl RetryBudgets {
    /// Counts a request to a service.
    pub fn record_request(&mut self, service: &str, now: Timestamp, window: Duration) {
        self.current_bucket_mut(service, now, window).requests += 1;
    }

    /// Counts a retry and returns `true` if the budget of the service allows one.
    pub fn try_consume_retry(
        &mut self,
        service: &str,
        now: Timestamp,
        allow: RetryAllowance,
        retry_use: RetryUse,
    ) -> bool {
        self.current_bucket_mut(service, now, allow.window);
        let Some(row) = self.rows.iter_mut().find(|row| row.service == service) else {
            return false;
        };
        let requests: u32 = row.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = row.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = allow.slack / allow.gateways.max(1) as f64;
        let share = match retry_use {
            RetryUse::Fresh => SAFETY_SHARE * (1.0 - CONTINUATION_SHARE),
            RetryUse::Continuation => SAFETY_SHARE,
        };
        let allowed = share * (allow.ratio * f64::from(requests) + slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        if let Some(bucket) = row.buckets.back_mut() {
            bucket.retries += 1;
        }
        true
    }

    /// Returns the bucket that counts at `now`, and drops those that have left the window; adds a
    /// budget or a bucket if there is none.
    fn current_bucket_mut(
        &mut self,
        service: &str,
        now: Timestamp,
        window: Duration,
    ) -> &mut Bucket {
        let found = self.rows.iter().position(|row| row.service == service);
        let index = found.unwrap_or_else(|| {
            self.rows.push(RetryBudget { service: service.into(), buckets: VecDeque::new() });
            self.rows.len() - 1
        });
        let buckets = &mut self.rows[index].buckets;
        while buckets.front().is_some_and(|bucket| now.since(bucket.start) >= window) {
            buckets.pop_front();
        }
        let is_current = buckets
            .back()
            .is_some_and(|bucket| now.since(bucket.start) < window / BUCKETS_PER_WINDOW);
        if !is_current {
            buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
