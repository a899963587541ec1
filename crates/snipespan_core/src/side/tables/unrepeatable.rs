//! Unrepeatable requests that were accepted here or are fenced, so that they never run here.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::identity::RequestId;
use crate::time::Timestamp;

/// Time for which the disposition of a request is retained.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of retained requests; further ones are refused without running.
pub const MAX_RETAINED: usize = 262_144;

/// Margin by which the age of a record must stay below [`RETENTION`], as clocks differ.
const CLOCK_SKEW_ALLOWANCE: Duration = Duration::from_secs(60);

/// Decision that was made here about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disposition {
    Accepted,
    Fenced,
}

/// Dispositions of requests, each retained for [`RETENTION`].
#[derive(Debug, Default)]
pub struct UnrepeatableRequests {
    dispositions: BTreeMap<RequestId, Disposition>,
    order: VecDeque<(Timestamp, RequestId)>,
}

impl UnrepeatableRequests {
    /// Removes dispositions that are older than [`RETENTION`].
    pub fn evict_expired(&mut self, now: Timestamp) {
        while let Some((at, id)) = self.order.front().copied() {
            if now.since(at) < RETENTION {
                return;
            }
            self.order.pop_front();
            self.dispositions.remove(&id);
        }
    }

    /// Returns whether [`MAX_RETAINED`] requests are retained.
    pub fn is_full(&self) -> bool {
        self.dispositions.len() >= MAX_RETAINED
    }

    /// Returns whether a request is fenced and must be refused.
    pub fn is_fenced(&self, id: RequestId) -> bool {
        self.dispositions.get(&id) == Some(&Disposition::Fenced)
    }

    /// Inserts a request that was accepted here.
    pub fn insert_accepted(&mut self, id: RequestId, now: Timestamp) {
        self.insert(id, Disposition::Accepted, now);
    }

    /// Fences a request whose durable record is `age` old, so that it never runs here.
    ///
    /// Returns `false` if the request was accepted here, if its record is older than what is
    /// retained, or if the table is full.
    pub fn fence(&mut self, id: RequestId, age: Duration, now: Timestamp) -> bool {
        let is_retained = age + CLOCK_SKEW_ALLOWANCE < RETENTION;
        let was_accepted = self.dispositions.get(&id) == Some(&Disposition::Accepted);
        if !is_retained || was_accepted || self.is_full() {
            return false;
        }
        self.insert(id, Disposition::Fenced, now);
        true
    }

    fn insert(&mut self, id: RequestId, disposition: Disposition, now: Timestamp) {
        if self.dispositions.insert(id, disposition).is_none() {
            self.order.push_back((now, id));
        }
    }
}
