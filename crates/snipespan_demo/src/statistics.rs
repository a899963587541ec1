//! Quantiles of measured times.

use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;

/// Maximum recorded time, in nanoseconds; longer ones are recorded as this one.
const MAX_NANOS: u64 = 600_000_000_000;

/// Histogram of measured times from 1 ns to 600 s, with three significant digits.
#[derive(Clone, Debug)]
pub struct DurationHistogram {
    nanos: Histogram<u64>,
}

impl DurationHistogram {
    /// Creates an empty histogram.
    ///
    /// # Errors
    /// When the histogram cannot be created; never with the built-in bounds.
    pub fn new() -> Result<Self> {
        Ok(Self { nanos: Histogram::new_with_bounds(1, MAX_NANOS, 3)? })
    }

    /// Records a time.
    pub fn record(&mut self, time: Duration) {
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(MAX_NANOS);
        self.nanos.saturating_record(nanos.max(1));
    }

    /// Returns the time at a quantile from 0 to 1; zero if there are no times.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_nanos(self.nanos.value_at_quantile(quantile))
    }

    /// Returns the number of recorded times.
    pub fn len(&self) -> u64 {
        self.nanos.len()
    }

    /// Returns whether no time has been recorded.
    pub fn is_empty(&self) -> bool {
        self.nanos.is_empty()
    }
}

/// Formats a time in milliseconds with three decimals.
pub fn format_millis(time: Duration) -> String {
    format!("{:.3}", time.as_secs_f64() * 1000.0)
}
