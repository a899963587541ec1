//! How many repeats this gateway may still send to each service.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use crate::time::Timestamp;

/// Parts of a window in which arrivals and repeats are counted.
const SLOTS: u32 = 10;

/// Share of the allowed repeats that is used, since windows slide and gateways come and go.
const MARGIN: f64 = 0.7;

#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Timestamp,
    requests: u32,
    repeats: u32,
}

/// The budget of one service.
#[derive(Debug)]
pub struct RetryBudget {
    service: CompactString,
    slots: VecDeque<Slot>,
}

/// What the deployment allows in a window.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    /// Repeats as a share of the requests.
    pub ratio: f64,
    /// Repeats on top.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
    /// Gateways that share the slack.
    pub gateways: usize,
}

/// The budgets of all services.
#[derive(Debug, Default)]
pub struct RetryBudgets {
    rows: Vec<RetryBudget>,
}

impl RetryBudgets {
    /// Counts a request for a service.
    pub fn record_request(&mut self, service: &str, now: Timestamp, window: Duration) {
        self.slot(service, now, window).requests += 1;
    }

    /// Counts a repeat if the budget allows one.
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
        let repeats: u32 = row.slots.iter().map(|slot| slot.repeats).sum();
        let slack = allow.slack / allow.gateways.max(1) as f64;
        let allowed = MARGIN * (allow.ratio * f64::from(requests) + slack);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        if let Some(slot) = row.slots.back_mut() {
            slot.repeats += 1;
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
        let is_current = slots.back().is_some_and(|slot| now.since(slot.start) < window / SLOTS);
        if !is_current {
            slots.push_back(Slot { start: now, requests: 0, repeats: 0 });
        }
        let last = slots.len() - 1;
        &mut slots[last]
    }
}
