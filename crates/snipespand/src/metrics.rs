//! Reports the metrics of a process to StatsD: gauges, and increases of counters.

use std::collections::BTreeMap;
use std::time::Duration;

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use snipespan_core::time::Timestamp;

/// Interval between two reports.
pub const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Name and current value of a metric.
#[derive(Clone, Copy, Debug)]
pub enum Metric {
    /// Total since the start of the process; only its increase is sent.
    Counter(&'static str, u64),
    /// Value that can rise and fall.
    Gauge(&'static str, u64),
}

/// Sends metrics once per [`METRICS_INTERVAL`].
pub struct MetricsReporter {
    client: StatsdClient,
    next_report: Timestamp,
    last_sent: BTreeMap<&'static str, u64>,
}

impl MetricsReporter {
    /// Creates a reporter that sends through `client`; its first report is due at once.
    pub fn new(client: StatsdClient) -> Self {
        Self { client, next_report: Timestamp::ZERO, last_sent: BTreeMap::new() }
    }

    /// Sends the metrics whose values changed since the last report, if the next report is due.
    pub fn report(&mut self, now: Timestamp, metrics: impl FnOnce() -> Vec<Metric>) {
        if now < self.next_report {
            return;
        }
        self.next_report = now.after(METRICS_INTERVAL);
        for metric in metrics() {
            self.send(metric);
        }
        if let Err(e) = self.client.flush() {
            log::debug!("could not send metrics: {e}");
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
            log::debug!("could not send metric {name}: {e}");
        }
    }
}
