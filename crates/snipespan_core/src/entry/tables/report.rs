//! Counts of an entry for the operators' report.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;

use crate::cost::Cost;
use crate::cost::LengthClass;
use crate::identity::RequestId;
use crate::result_code::ResultCode;

/// Maximum time to first token in the report, in microseconds (one hour); longer times are counted
/// as this.
pub const MAX_FIRST_TOKEN_US: u64 = 3_600_000_000;

/// Maximum number of long jobs in one report; further ones are only counted.
pub const MAX_LONG_JOBS: usize = 65_536;

/// State of a long job, a request with more than [`LONG_JOB_TOKENS`] prompt tokens.
///
/// [`LONG_JOB_TOKENS`]: crate::cost::LONG_JOB_TOKENS
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongJob {
    /// The client account.
    pub account: CompactString,
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens in the answer; 0 unless the job was answered completely.
    pub output_tokens: u64,
    /// Its result code; `None` while it is open.
    pub outcome: Option<ResultCode>,
}

/// Counts of the requests in one length class.
#[derive(Clone, Debug)]
pub struct ClassReport {
    /// Histogram of times to first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Number of ended requests by result code.
    pub outcomes: BTreeMap<ResultCode, u64>,
}

/// Counts of one report window.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Counts by length class.
    pub classes: BTreeMap<LengthClass, ClassReport>,
    /// Long jobs by request identity; open ones are carried over to the next window.
    pub long_jobs: BTreeMap<RequestId, LongJob>,
    /// Updates of long jobs that were skipped because `long_jobs` was full.
    pub long_jobs_left_out: u64,
    /// Number of changes to the fields above.
    pub changes: u64,
}

impl ClassReport {
    /// Creates empty counts; `None` if the bounds of the histogram are invalid.
    fn new() -> Option<Self> {
        let first_token_us = Histogram::new_with_bounds(1, MAX_FIRST_TOKEN_US, 2).ok()?;
        Some(Self { first_token_us, outcomes: BTreeMap::new() })
    }
}

impl Report {
    /// Counts the time `after` which the first token of a request arrived.
    pub fn add_first_token(&mut self, cost: Cost, after: Duration) {
        let micros = u64::try_from(after.as_micros()).unwrap_or(MAX_FIRST_TOKEN_US);
        if let Some(class) = self.class_mut(cost) {
            class.first_token_us.saturating_record(micros.max(1));
        }
    }

    /// Counts the result code of an ended request.
    pub fn add_outcome(&mut self, cost: Cost, code: ResultCode) {
        if let Some(class) = self.class_mut(cost) {
            *class.outcomes.entry(code).or_default() += 1;
        }
    }

    /// Inserts or updates a long job that was admitted or has ended.
    pub fn set_long_job(&mut self, id: RequestId, job: LongJob) {
        self.changes += 1;
        let has_capacity = self.long_jobs.len() < MAX_LONG_JOBS || self.long_jobs.contains_key(&id);
        match has_capacity {
            true => drop(self.long_jobs.insert(id, job)),
            false => self.long_jobs_left_out += 1,
        }
    }

    /// Returns the report of the next window, with only the long jobs that are still open.
    pub fn next_window(&self) -> Self {
        let is_open = |(_, job): &(&RequestId, &LongJob)| job.outcome.is_none();
        let open = self.long_jobs.iter().filter(is_open);
        let long_jobs = open.map(|(id, job)| (*id, job.clone())).collect();
        Self { long_jobs, ..Self::default() }
    }

    fn class_mut(&mut self, cost: Cost) -> Option<&mut ClassReport> {
        self.changes += 1;
        match self.classes.entry(LengthClass::of(cost.prompt_tokens)) {
            Entry::Occupied(known) => Some(known.into_mut()),
            Entry::Vacant(vacant) => Some(vacant.insert(ClassReport::new()?)),
        }
    }
}
