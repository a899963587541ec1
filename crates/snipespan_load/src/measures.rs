//! Measures of a run: time to first token by prompt length, outcomes of the requests, and
//! completion during the load peak.

use std::collections::BTreeMap;
use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;
use snipespan_caller::outcome::ChatOutcome;
use snipespan_core::cost::LengthClass;

use crate::arrivals::PlannedRequest;
use crate::plan::LoadPlan;
use crate::plan::Peak;

/// Maximum time in the histograms, in microseconds; longer times are clamped to it.
const MAX_RECORDED_US: u64 = 3_600_000_000;

/// Measures of one class of prompt lengths.
#[derive(Clone, Debug)]
pub struct ClassMeasures {
    /// Times to the first token of complete answers, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Times to the end of complete answers, in microseconds.
    pub total_us: Histogram<u64>,
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of requests with a complete answer.
    pub completed: u64,
    /// Number of requests without a complete answer, by result code, or under `broken` if there is
    /// no code.
    pub other_outcomes: BTreeMap<String, u64>,
}

/// Measures of a run.
#[derive(Clone, Debug)]
pub struct Measures {
    /// Measures by class of prompt lengths.
    pub classes: BTreeMap<LengthClass, ClassMeasures>,
    /// Tokens of the requests with a complete answer, by index of the account. The tokens of a
    /// request are those of its prompt plus the maximum of its answer.
    pub tokens_by_account: Vec<u64>,
    /// Tokens of the requests that arrived during the peak, and of those among them with a complete
    /// answer; counted as in `tokens_by_account`.
    pub peak_tokens: (u64, u64),
    /// Number of requests that ended more than 2 s after their time limit, complete or not.
    pub late: u64,
    /// Duration of the run until its last answer.
    pub elapsed: Duration,
    peak: Option<Peak>,
    time_limit: Duration,
    answer_tokens: u64,
}

/// Time past its time limit after which a request counts as late.
const LATENESS_GRACE: Duration = Duration::from_secs(2);

impl ClassMeasures {
    fn new() -> Result<Self> {
        Ok(Self {
            first_token_us: Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)?,
            total_us: Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)?,
            arrived: 0,
            completed: 0,
            other_outcomes: BTreeMap::new(),
        })
    }

    fn record(&mut self, outcome: &ChatOutcome) {
        self.arrived += 1;
        if !outcome.is_complete {
            let code = outcome.code.map_or_else(|| "broken".to_owned(), |code| code.to_string());
            *self.other_outcomes.entry(code).or_default() += 1;
            return;
        }
        self.completed += 1;
        let first_token = outcome.first_token.unwrap_or(outcome.total);
        self.first_token_us.saturating_record(to_micros(first_token));
        self.total_us.saturating_record(to_micros(outcome.total));
    }

    /// Returns the quantile of the time to first token of complete answers; `quantile` is from 0 to
    /// 1.
    pub fn first_token_quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.first_token_us.value_at_quantile(quantile))
    }
}

impl Measures {
    /// Creates empty measures of a run of `plan`.
    ///
    /// # Errors
    /// If the bounds of a histogram are invalid; the constant bounds are valid.
    pub fn new(plan: &LoadPlan) -> Result<Self> {
        let mut classes = BTreeMap::new();
        for class in LengthClass::ALL {
            classes.insert(class, ClassMeasures::new()?);
        }
        Ok(Self {
            classes,
            tokens_by_account: vec![0; plan.accounts.len()],
            peak_tokens: (0, 0),
            late: 0,
            elapsed: Duration::ZERO,
            peak: plan.peak,
            time_limit: plan.time_limit,
            answer_tokens: plan.answer_tokens,
        })
    }

    /// Records the outcome of one request.
    pub fn record(&mut self, planned: &PlannedRequest, outcome: &ChatOutcome) {
        if let Some(class) = self.classes.get_mut(&LengthClass::of(planned.prompt_tokens)) {
            class.record(outcome);
        }
        let tokens = planned.prompt_tokens + self.answer_tokens;
        if outcome.is_complete {
            self.tokens_by_account[planned.account] += tokens;
        }
        self.late += u64::from(outcome.total > self.time_limit + LATENESS_GRACE);
        let is_in_peak = |p: Peak| planned.at >= p.start && planned.at < p.start + p.duration;
        if self.peak.is_some_and(is_in_peak) {
            self.peak_tokens.0 += tokens;
            self.peak_tokens.1 += if outcome.is_complete { tokens } else { 0 };
        }
    }

    /// Returns the number of requests that arrived.
    pub fn arrived(&self) -> u64 {
        self.classes.values().map(|class| class.arrived).sum()
    }

    /// Returns the number of requests with a complete answer.
    pub fn completed(&self) -> u64 {
        self.classes.values().map(|class| class.completed).sum()
    }
}

fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDED_US).max(1)
}
