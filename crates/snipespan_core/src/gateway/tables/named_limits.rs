//! Limits that backend servers named to this gateway, as it reports them to the others.

use std::collections::BTreeMap;

use crate::gateway::event::RequestRate;
use crate::gateway::tables::backend_servers::MAX_BACKEND_SERVERS;
use crate::time::Timestamp;

/// What a backend server said in its last answer to this gateway.
#[derive(Clone, Copy, Debug)]
pub struct OwnReport {
    /// The limit; `None` if it names none any more.
    pub limit: Option<RequestRate>,
    /// When the answer arrived.
    pub heard: Timestamp,
    /// Whether the peers have not been told of this limit yet.
    pub is_new: bool,
}

/// What backend servers said to this gateway.
#[derive(Debug, Default)]
pub struct NamedLimits {
    /// Reports by the hash of the instance.
    reports: BTreeMap<u64, OwnReport>,
    /// Time before which no change is reported.
    pub report_due: Timestamp,
}

impl NamedLimits {
    /// Records an answer. While the table is full, further backend servers are not reported; the
    /// other gateways then learn of their limits from answers of their own.
    pub fn record(&mut self, instance_hash: u64, heard: Timestamp, limit: Option<RequestRate>) {
        let known = self.reports.get(&instance_hash);
        if known.is_none() && self.reports.len() >= MAX_BACKEND_SERVERS {
            return;
        }
        let is_new = known.is_none_or(|known| known.is_new || known.limit != limit);
        self.reports.insert(instance_hash, OwnReport { limit, heard, is_new });
    }

    /// Returns whether a change has not been reported yet.
    pub fn has_new(&self) -> bool {
        self.reports.values().any(|report| report.is_new)
    }

    /// Removes the reports of answers before `since`.
    pub fn remove_older(&mut self, since: Timestamp) {
        self.reports.retain(|_, report| report.heard >= since);
    }

    /// Takes the changes, or all reports if `are_all`.
    pub fn take(&mut self, are_all: bool) -> Vec<(u64, OwnReport)> {
        let due = self.reports.iter_mut().filter(|(_, report)| are_all || report.is_new);
        due.map(|(instance_hash, report)| {
            report.is_new = false;
            (*instance_hash, *report)
        })
        .collect()
    }
}
