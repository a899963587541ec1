//! Budgets that limit the retries of this gateway to each service.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use crate::time::Timestamp;

/// Slots of a window in which requests and retries are counted.
const SLOTS_PER_WINDOW: u32 = 10;

/// Share of the allowed retries that is used; the rest covers sliding windows and changes in the
/// number of gateways.
const SAFETY_SHARE: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Timestamp,
    requests: u32,
    retries: u32,
}

/// Requests and retries of one service within the window.
#[derive(Debug)]
pub struct RetryBudget {
    service: CompactString,
    slots: VecDeque<Slot>,
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
        self.slot(service, now, window).requests += 1;
    }

    /// Counts a retry and returns `true` if the budget of the service allows one.
    pub fn try_consume_retry(
        &mut self,
        service: &str,
        now: Timestamp,
        allow: RetryAllowance,
    ) -> bool {
        self.slot(service, now, allow.window);
        let Some(row) = self.rows.iter_mut().find(|row| row.service == service) else {
            return false;
        };
        let requests: u32 = row.slots.iter().map(|slot| slot.requests).sum();
        let retries: u32 = row.slots.iter().map(|slot| slot.retries).sum();
        let slack = allow.slack / allow.gateways.max(1) as f64;
        let allowed = SAFETY_SHARE * (allow.ratio * f64::from(requests) + slack);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        if let Some(slot) = row.slots.back_mut() {
            slot.retries += 1;
        }
        true
    }

    fn slot(&mut self, service: &str, now: Timestamp, window: Duration) -> &mut Slot {
        let found = self.rows.iter().position(|row| row.service == service);
        let index = found.unwrap_or_else(|| {
            self.rows.push(RetryBudget { service: service.into(), slots: VecDeque::new() });
            self.rows.len() - 1
        });
        let slots = &mut self.rows[index].slots;
        while slots.front().is_some_and(|slot| now.since(slot.start) >= window) {
            slots.pop_front();
        }
        let is_current =
            slots.back().is_some_and(|slot| now.since(slot.start) < window / SLOTS_PER_WINDOW);
        if !is_current {
            slots.push_back(Slot { start: now, requests: 0, retries: 0 });
        }
        let last = slots.len() - 1;
        &mut slots[last]
    }
}
