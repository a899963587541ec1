//! Budgets that limit the retries of this gateway to each service; each is a row of the shared
//! rates.

use std::time::Duration;

use crate::gateway::tables::shared_rates::Apportionment;
use crate::gateway::tables::shared_rates::SharedRates;
use crate::time::Timestamp;

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

/// The budgets of all services, which are rows of the shared rates.
pub type RetryBudgets = SharedRates;

impl SharedRates {
    /// Counts a request to a service.
    pub fn record_request(&mut self, service: &str, now: Timestamp, window: Duration) {
        if let Some(row) = self.retries_mut(service, window) {
            row.record_request(now);
        }
    }

    /// Counts a retry and returns `true` if the budget of the service allows one.
    pub fn try_consume_retry(
        &mut self,
        service: &str,
        now: Timestamp,
        allow: RetryAllowance,
        retry_use: RetryUse,
    ) -> bool {
        let Some(row) = self.retries_mut(service, allow.window) else { return false };
        row.amount = allow.slack;
        row.apportionment = Apportionment::Even { gateways: allow.gateways };
        let (requests, retries) = row.count_retries(now);
        let slack = row.share();
        let share = match retry_use {
            RetryUse::Fresh => SAFETY_SHARE * (1.0 - CONTINUATION_SHARE),
            RetryUse::Continuation => SAFETY_SHARE,
        };
        let allowed = share * (allow.ratio * f64::from(requests) + slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        row.record_retry(now);
        true
    }
}
