//! Requests that may not be repeated: which were taken here, and which may never be.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::identity::RequestId;
use crate::time::Timestamp;

/// How long a request is remembered.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// Most requests that are remembered; further ones are refused as not run.
pub const MAX_RETAINED: usize = 262_144;

/// Subtracted from what is remembered, for clocks that differ.
const CLOCK_SKEW_ALLOWANCE: Duration = Duration::from_secs(60);

/// What became of a request here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disposition {
    Accepted,
    Fenced,
}

/// The requests, forgotten after a while.
#[derive(Debug, Default)]
pub struct UnrepeatableRequests {
    dispositions: BTreeMap<RequestId, Disposition>,
    order: VecDeque<(Timestamp, RequestId)>,
}

impl UnrepeatableRequests {
    /// Forgets what is too old.
    pub fn evict_expired(&mut self, now: Timestamp) {
        while let Some((at, id)) = self.order.front().copied() {
            if now.since(at) < RETENTION {
                return;
            }
            self.order.pop_front();
            self.dispositions.remove(&id);
        }
    }

    /// Whether no more requests can be remembered.
    pub fn is_full(&self) -> bool {
        self.dispositions.len() >= MAX_RETAINED
    }

    /// Whether a request may never be taken here.
    pub fn is_fenced(&self, id: RequestId) -> bool {
        self.dispositions.get(&id) == Some(&Disposition::Fenced)
    }

    /// Remembers that a request was taken.
    pub fn insert_accepted(&mut self, id: RequestId, now: Timestamp) {
        self.insert(id, Disposition::Accepted, now);
    }

    /// Rules a request out whose record is `age` old; returns whether it never ran here.
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
