//! Metrics of a process: what the counters gained since they were last sent.

use std::collections::BTreeMap;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use snipespan_core::time::Timestamp;

/// How often metrics are sent.
pub const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// One metric and its value.
#[derive(Clone, Copy, Debug)]
pub enum Metric {
    /// Counts up since the process started.
    Counter(&'static str, u64),
    /// A value that goes up and down.
    Gauge(&'static str, u64),
}

/// Sends metrics at intervals.
pub struct MetricsReporter {
    client: StatsdClient,
    next_report: Timestamp,
    last_sent: BTreeMap<&'static str, u64>,
}

impl MetricsReporter {
    /// Sends through `client`.
    pub fn new(client: StatsdClient) -> Self {
        Self { client, next_report: Timestamp::ZERO, last_sent: BTreeMap::new() }
    }

    /// Sends what changed, if it is time to.
    pub fn report(&mut self, now: Timestamp, metrics: impl FnOnce() -> Vec<Metric>) {
        if now < self.next_report {
            return;
        }
        self.next_report = now.after(METRICS_INTERVAL);
        for metric in metrics() {
            self.send(metric);
        }
        if let Err(e) = self.client.flush() {
            log::debug!("metrics were not sent: {e}");
        }
    }

    fn send(&mut self, metric: Metric) {
        let (Metric::Counter(name, value) | Metric::Gauge(name, value)) = metric;
        let previous = self.last_sent.insert(name, value);
        if previous == Some(value) {
            return;
        }
        let result = match metric {
            Metric::Counter(..) => {
                let increase = value - previous.unwrap_or(0);
                self.client.count(name, increase).map(drop)
            }
            Metric::Gauge(..) => self.client.gauge(name, value).map(drop),
        };
        if let Err(e) = result {
            log::debug!("metric {name} was not sent: {e}");
        }
    }
}
