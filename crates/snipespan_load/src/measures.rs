//! The measures of a run: time to first token by prompt length, how requests ended, and the
//! service at the peak.

use std::collections::BTreeMap;
use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;
use snipespan_caller::outcome::ChatOutcome;
use snipespan_core::cost::LengthClass;

use crate::arrivals::PlannedRequest;
use crate::plan::LoadPlan;
use crate::plan::Peak;

/// Longest time that is told apart, in microseconds.
const MAX_RECORDED_US: u64 = 3_600_000_000;

/// Measures of one length class.
#[derive(Clone, Debug)]
pub struct ClassMeasures {
    /// Times to the first token in microseconds, of whole answers.
    pub first_token_us: Histogram<u64>,
    /// Times to the end in microseconds, of whole answers.
    pub total_us: Histogram<u64>,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were answered whole.
    pub completed: u64,
    /// Requests that ended otherwise, by result code or as `broken`.
    pub other_outcomes: BTreeMap<String, u64>,
}

/// Measures of a run.
#[derive(Clone, Debug)]
pub struct Measures {
    /// By prompt length.
    pub classes: BTreeMap<LengthClass, ClassMeasures>,
    /// Prompt and answer tokens of whole answers, by index of the account.
    pub tokens_by_account: Vec<u64>,
    /// Tokens that arrived at the peak, and those of them that were answered whole.
    pub peak_tokens: (u64, u64),
    /// Requests that ended later than their time limit allows.
    pub late: u64,
    /// How long the run took, the last answers included.
    pub elapsed: Duration,
    peak: Option<Peak>,
    time_limit: Duration,
    answer_tokens: u64,
}

/// Time over its limit after which an answer is late.
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

    /// The time to first token that this share of the whole answers does not exceed.
    pub fn first_token_quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.first_token_us.value_at_quantile(quantile))
    }
}

impl Measures {
    /// Nothing measured yet.
    ///
    /// # Errors
    /// When the bounds of a histogram are not valid, which they are.
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

    /// Adds one request.
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

    /// Requests that arrived.
    pub fn arrived(&self) -> u64 {
        self.classes.values().map(|class| class.arrived).sum()
    }

    /// Requests that were answered whole.
    pub fn completed(&self) -> u64 {
        self.classes.values().map(|class| class.completed).sum()
    }
}

fn to_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_RECORDED_US).max(1)
}
