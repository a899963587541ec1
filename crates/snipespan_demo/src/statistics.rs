//! Percentiles of measured times.

use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;

/// Longest time that is told apart, in nanoseconds.
const MAX_NANOS: u64 = 600_000_000_000;

/// Measured times.
#[derive(Clone, Debug)]
pub struct DurationHistogram {
    nanos: Histogram<u64>,
}

impl DurationHistogram {
    /// No times.
    ///
    /// # Errors
    /// Never with the bounds that are built in.
    pub fn new() -> Result<Self> {
        Ok(Self { nanos: Histogram::new_with_bounds(1, MAX_NANOS, 3)? })
    }

    /// Adds a time.
    pub fn record(&mut self, time: Duration) {
        let nanos = u64::try_from(time.as_nanos()).unwrap_or(MAX_NANOS);
        self.nanos.saturating_record(nanos.max(1));
    }

    /// The time that this share of all times does not exceed.
    pub fn quantile(&self, quantile: f64) -> Duration {
        Duration::from_nanos(self.nanos.value_at_quantile(quantile))
    }

    /// How many times there are.
    pub fn len(&self) -> u64 {
        self.nanos.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.nanos.is_empty()
    }
}

/// Milliseconds with three decimals.
pub fn format_millis(time: Duration) -> String {
    format!("{:.3}", time.as_secs_f64() * 1000.0)
}
