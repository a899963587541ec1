//! Rates at which this gateway may send requests to other data centres.
//!
//! A row has the shape of a rate that all gateways share: a key, an amount in a window, what this
//! gateway used, and how the amount is apportioned.

use std::time::Duration;

use compact_str::CompactString;

use crate::keys::DataCentreKey;
use crate::keys::RemoteShareKey;
use crate::table::Entity;
use crate::table::Table;
use crate::time::Timestamp;

/// Maximum number of rows, one for each other data centre and service; enough for 15 data centres
/// with 64 services. While the table is full, requests for which there is no row stay.
pub const MAX_REMOTE_SHARES: usize = 1024;

/// Maximum number of services whose bytes are measured; others count with
/// [`INITIAL_BYTES_PER_REQUEST`].
const MAX_MEASURED_SERVICES: usize = 64;

/// Bytes of a request and its answer until some were measured; most prompts are short.
const INITIAL_BYTES_PER_REQUEST: f64 = 8_000.0;

/// Weight of the newest measurement in the mean of the bytes; single answers vary by a factor of
/// ten.
const BYTES_WEIGHT: f64 = 0.05;

/// This gateway's share of what another data centre offers to requests of one service.
#[derive(Clone, Debug)]
pub struct RemoteShare {
    /// The data centre.
    pub data_centre: DataCentreKey,
    /// Name of the service.
    pub service: CompactString,
    /// Requests that the data centre takes in each window from all gateways outside it.
    pub amount: f64,
    /// Mean time of a request.
    pub window: Duration,
    /// Number of gateways that share the amount evenly; 0 counts as 1.
    pub gateways: usize,
    /// When a request last gained more than its cost by leaving for this data centre, while
    /// requests leave; `None` while they stay.
    pub leaving: Option<Timestamp>,
    /// Requests that were sent there at `updated` and still count; they drain with the rate.
    used: f64,
    updated: Timestamp,
}

impl Entity for RemoteShare {
    type Key = RemoteShareKey;
}

impl RemoteShare {
    /// Returns the requests in each window that this gateway may send.
    pub fn own_amount(&self) -> f64 {
        self.amount / self.gateways.max(1) as f64
    }

    /// Sets what the data centre offers from `now` on; a window of zero, as the mean time of a request
    /// is not known, leaves the window as it is.
    pub fn set_offer(&mut self, now: Timestamp, amount: f64, window: Duration, gateways: usize) {
        self.drain(now);
        self.amount = amount.max(0.0);
        if !window.is_zero() {
            self.window = window;
        }
        self.gateways = gateways;
    }

    /// Returns whether the share allows one more request at `now`. A share of less than one request
    /// a window allows one at a time.
    pub fn has_room(&self, now: Timestamp) -> bool {
        let own = self.own_amount();
        own > 0.0 && self.used_at(now) + 1.0 <= own.max(1.0)
    }

    /// Counts a request that is sent there.
    pub fn record_use(&mut self, now: Timestamp) {
        self.drain(now);
        self.used += 1.0;
    }

    fn drain(&mut self, now: Timestamp) {
        self.used = self.used_at(now);
        self.updated = now;
    }

    fn used_at(&self, now: Timestamp) -> f64 {
        let windows = now.since(self.updated).as_secs_f64() / self.window.as_secs_f64().max(1e-3);
        (self.used - windows * self.own_amount()).max(0.0)
    }
}

/// All shares, and the bytes that requests take.
#[derive(Debug)]
pub struct RemoteShares {
    /// Rows of the table; none is removed.
    pub rows: Table<RemoteShare>,
    /// Mean bytes of a request and its answer, by service.
    bytes_per_request: Vec<(CompactString, f64)>,
}

impl Default for RemoteShares {
    fn default() -> Self {
        Self { rows: Table::new(MAX_REMOTE_SHARES), bytes_per_request: Vec::new() }
    }
}

impl RemoteShares {
    /// Finds the share of a data centre and service.
    pub fn find(&self, data_centre: DataCentreKey, service: &str) -> Option<RemoteShareKey> {
        let mut rows = self.rows.iter();
        let found = rows.find(|(_, row)| row.data_centre == data_centre && row.service == service);
        found.map(|(key, _)| key)
    }

    /// Finds the share of a data centre and service, and adds one that offers nothing if there is
    /// none; `None` when the table is full.
    pub fn find_or_insert(
        &mut self,
        now: Timestamp,
        data_centre: DataCentreKey,
        service: &str,
    ) -> Option<RemoteShareKey> {
        let found = self.find(data_centre, service);
        found.or_else(|| {
            let row = RemoteShare {
                data_centre,
                service: service.into(),
                amount: 0.0,
                window: Duration::from_secs(1),
                gateways: 1,
                leaving: None,
                used: 0.0,
                updated: now,
            };
            self.rows.insert(row).ok()
        })
    }

    /// Records the bytes that a request of a service and its answer took.
    pub fn record_bytes(&mut self, service: &str, bytes: u64) {
        let measured = bytes as f64;
        let is_full = self.bytes_per_request.len() >= MAX_MEASURED_SERVICES;
        match self.bytes_per_request.iter_mut().find(|(known, _)| known == service) {
            Some((_, mean)) => *mean += BYTES_WEIGHT * (measured - *mean),
            None if is_full => {}
            None => self.bytes_per_request.push((service.into(), measured)),
        }
    }

    /// Returns the mean bytes of a request of a service and its answer.
    pub fn bytes_per_request(&self, service: &str) -> f64 {
        let known = self.bytes_per_request.iter().find(|(known, _)| known == service);
        known.map_or(INITIAL_BYTES_PER_REQUEST, |(_, mean)| *mean)
    }
}
