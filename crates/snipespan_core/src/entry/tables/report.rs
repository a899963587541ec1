//! What an entry counts for the operators' report.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;

use crate::cost::Cost;
use crate::cost::LengthClass;
use crate::identity::RequestId;
use crate::result_code::ResultCode;

/// Longest time to first token that the report resolves, in microseconds; longer ones count as
/// this.
pub const MAX_FIRST_TOKEN_US: u64 = 3_600_000_000;

/// Long jobs that wait to be written; further ones are counted as left out.
pub const MAX_LONG_JOBS: usize = 65_536;

/// How a long job stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LongJob {
    /// The client account.
    pub account: CompactString,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub output_tokens: u64,
    /// Its outcome, `None` while it is open.
    pub outcome: Option<ResultCode>,
}

/// Counts of one length class.
#[derive(Clone, Debug)]
pub struct ClassReport {
    /// Times to first token in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Requests that ended, by result code.
    pub outcomes: BTreeMap<ResultCode, u64>,
}

/// Counts since the last time they were written to the store.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Counts by length class.
    pub classes: BTreeMap<LengthClass, ClassReport>,
    /// Long jobs by identity; a job that is open stays until it has ended.
    pub long_jobs: BTreeMap<RequestId, LongJob>,
    /// Long jobs that were left out because too many waited.
    pub long_jobs_left_out: u64,
    /// How often anything above changed.
    pub changes: u64,
}

impl ClassReport {
    /// No counts. `None` if the bounds of the histogram are not valid.
    fn new() -> Option<Self> {
        let first_token_us = Histogram::new_with_bounds(1, MAX_FIRST_TOKEN_US, 2).ok()?;
        Some(Self { first_token_us, outcomes: BTreeMap::new() })
    }
}

impl Report {
    /// Counts a first token.
    pub fn add_first_token(&mut self, cost: Cost, after: Duration) {
        let micros = u64::try_from(after.as_micros()).unwrap_or(MAX_FIRST_TOKEN_US);
        if let Some(class) = self.class_mut(cost) {
            class.first_token_us.saturating_record(micros.max(1));
        }
    }

    /// Counts the end of a request.
    pub fn add_outcome(&mut self, cost: Cost, code: ResultCode) {
        if let Some(class) = self.class_mut(cost) {
            *class.outcomes.entry(code).or_default() += 1;
        }
    }

    /// Notes that a long job was admitted or has ended.
    pub fn set_long_job(&mut self, id: RequestId, job: LongJob) {
        self.changes += 1;
        let has_capacity = self.long_jobs.len() < MAX_LONG_JOBS || self.long_jobs.contains_key(&id);
        match has_capacity {
            true => drop(self.long_jobs.insert(id, job)),
            false => self.long_jobs_left_out += 1,
        }
    }

    /// An empty report that keeps the long jobs that are still open.
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
