//! Counters, gauges and latency histograms in the Prometheus text format.

use eyre::Result;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use snipespan_core::gateway::world::Counters;
use snipespan_core::gateway::world::World;
use snipespan_platform_adapter::byte_meter::ByteMeter;

use crate::gateway::byte_meters::ByteMeters;
use crate::gateway::byte_meters::Place;

use crate::gateway::memory::Memory;

/// Bucket bounds of the latency histograms in seconds: the deployments' latency goals (0.1, 0.3,
/// 1.5 and 3 s), their timeouts (0.8, 10 and 15 s), and steps between them.
const LATENCY_BOUNDS_S: [f64; 14] =
    [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0, 6.0, 10.0, 15.0];

/// Metrics of a gateway.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    registry: Registry,
    /// Meters of connections, which are collected before the metrics are served.
    pub(super) meters: ByteMeters,
    bytes: IntCounterVec,
    events: IntCounterVec,
    levels: IntGaugeVec,
    first_byte: HistogramVec,
    duration: HistogramVec,
}

impl GatewayMetrics {
    /// Creates the metrics, all at zero.
    pub(super) fn new() -> Result<Self> {
        let registry = Registry::new();
        let events = Opts::new("snipespan_events_total", "What happened, by kind");
        let events = IntCounterVec::new(events, &["kind"])?;
        let levels = Opts::new("snipespan_level", "What is open or in view now, by kind");
        let levels = IntGaugeVec::new(levels, &["kind"])?;
        let bytes = Opts::new("snipespan_bytes_total", "Bytes exchanged, by kind and place");
        let bytes = IntCounterVec::new(bytes, &["kind", "place"])?;
        let first_byte = histogram("snipespan_first_byte_seconds", "Time to the first byte")?;
        let duration = histogram("snipespan_request_seconds", "Time to the final answer")?;
        registry.register(Box::new(events.clone()))?;
        registry.register(Box::new(levels.clone()))?;
        registry.register(Box::new(bytes.clone()))?;
        registry.register(Box::new(first_byte.clone()))?;
        registry.register(Box::new(duration.clone()))?;
        let meters = ByteMeters::default();
        Ok(Self { registry, meters, bytes, events, levels, first_byte, duration })
    }

    /// Increments the event counter of a kind.
    pub(super) fn count(&self, kind: &str) {
        self.events.with_label_values(&[kind]).inc();
    }

    /// Counts bytes of a kind that were exchanged with a place.
    pub(super) fn add_bytes(&self, kind: &str, place: Place, bytes: u64) {
        if bytes > 0 {
            self.bytes.with_label_values(&[kind, &place.to_string()]).inc_by(bytes);
        }
    }

    fn collect_bytes(&self) {
        let collect = |meter: &ByteMeter, place: Place, sent: &str, received: &str| {
            let counts = meter.take();
            self.add_bytes(sent, place, counts.sent);
            self.add_bytes(received, place, counts.received);
        };
        for place in [Place::Same, Place::Other, Place::Unknown] {
            collect(self.meters.backend(place), place, "backend_requests", "backend_answers");
        }
        collect(&self.meters.store, Place::Unknown, "store_requests", "store_answers");
    }

    /// Records the time in seconds from a request's arrival to the first byte of its answer; `kind`
    /// is `streaming` or `plain`.
    pub(super) fn observe_first_byte(&self, kind: &str, seconds: f64) {
        self.first_byte.with_label_values(&[kind]).observe(seconds);
    }

    /// Records the time in seconds from a request's arrival to its final answer; `outcome` is the
    /// name of the result code and becomes the label `kind`.
    pub(super) fn observe_duration(&self, outcome: &str, seconds: f64) {
        self.duration.with_label_values(&[outcome]).observe(seconds);
    }

    /// Updates the counters and gauges from the control state and the memory budget.
    pub(super) fn update(&self, world: &World, memory: &Memory) {
        let Counters {
            arrivals,
            completed,
            not_run,
            failed,
            callers_disconnected,
            sends,
            sends_not_run,
            stalled,
            retries_over_budget,
            spans,
            prompt_parts_blocked,
            refused_evacuated,
            refused_outside_home,
            cold_sends,
            cold_waits,
            cold_refusals,
            limited_sends,
            limited_waits,
            limited_refusals,
            bodies_refused,
            answers_unread,
            left_full,
            left_faster,
            left_none_here,
            left_undecided,
        } = world.counters;
        let counts = [
            ("requests_arrived", arrivals),
            ("requests_whole", completed),
            ("requests_not_run", not_run),
            ("requests_failed", failed),
            ("clients_gone", callers_disconnected),
            ("sends", sends),
            ("sends_not_run", sends_not_run),
            ("attempts_stalled", stalled),
            ("retries_over_budget", retries_over_budget),
            ("spans", spans),
            ("prompt_parts_blocked", prompt_parts_blocked),
            ("prompt_parts_evicted", world.suspects.evicted),
            ("refused_evacuated", refused_evacuated),
            ("refused_outside_home", refused_outside_home),
            ("cold_sends", cold_sends),
            ("cold_waits", cold_waits),
            ("cold_refusals", cold_refusals),
            ("limited_sends", limited_sends),
            ("limited_waits", limited_waits),
            ("limited_refusals", limited_refusals),
            ("bodies_refused", bodies_refused),
            ("answers_unread", answers_unread),
            ("left_full", left_full),
            ("left_faster", left_faster),
            ("left_none_here", left_none_here),
            ("left_undecided", left_undecided),
        ];
        for (kind, value) in counts {
            let counter = self.events.with_label_values(&[kind]);
            counter.inc_by(value.saturating_sub(counter.get()));
        }
        let (memory_used, bodies_waiting) = memory.levels();
        let levels = [
            ("memory_used_bytes", memory_used as usize),
            ("bodies_waiting", bodies_waiting),
            ("requests_open", world.requests.len()),
            ("work_in_view", world.work.len()),
            ("backend_servers", world.backend_servers.rows.len()),
            ("peers", world.peers.len()),
            ("shared_rates", world.shared_rates.rows.len()),
            ("prompt_parts_suspected", world.suspects.len()),
            ("data_centres_evacuated", world.evacuations.rows.len()),
        ];
        for (kind, value) in levels {
            self.levels.with_label_values(&[kind]).set(value as i64);
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn render(&self) -> Result<Vec<u8>> {
        self.collect_bytes();
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

fn histogram(name: &str, help: &str) -> Result<HistogramVec> {
    let opts = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS_S.to_vec());
    Ok(HistogramVec::new(opts, &["kind"])?)
}
