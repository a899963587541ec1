//! Measures the duration of an entry's ticks and the size of its tables, by the numbers of known
//! backend servers and of open requests.

use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use compact_str::format_compact;
use eyre::Result;
use snipespan_core::configuration::AccountSpec;
use snipespan_core::configuration::Configuration;
use snipespan_core::configuration::ModelSpec;
use snipespan_core::configuration::Priority;
use snipespan_core::configuration::Revision;
use snipespan_core::cost::Cost;
use snipespan_core::entry::effect::Effect;
use snipespan_core::entry::event::Arrival;
use snipespan_core::entry::event::BodySummary;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::event::Hello;
use snipespan_core::entry::event::Load;
use snipespan_core::entry::event::PREFIX_DIGESTS;
use snipespan_core::entry::event::Vm;
use snipespan_core::entry::settings::EntrySettings;
use snipespan_core::entry::settings::RoutingPolicy;
use snipespan_core::entry::tick::tick;
use snipespan_core::entry::world::World;
use snipespan_core::identity::CredentialDigest;
use snipespan_core::identity::DataCentre;
use snipespan_core::identity::Incarnation;
use snipespan_core::identity::RequestId;
use snipespan_core::identity::Target;
use snipespan_core::identity::VmId;
use snipespan_core::keys::AttemptKey;
use snipespan_core::keys::BackendServerKey;
use snipespan_core::keys::CallerKey;
use snipespan_core::keys::RequestKey;
use snipespan_core::time::Timestamp;

use crate::statistics::DurationHistogram;

/// Number of requests in each measurement.
const MEASURED_REQUESTS: u64 = 20_000;

/// Number of backend servers when the number of open requests varies.
const DEFAULT_BACKEND_SERVERS: u64 = 20;

/// Number of open requests when the number of backend servers varies.
const DEFAULT_OPEN_REQUESTS: u64 = 1_000;

/// Prints one row for each number of open requests and each number of backend servers.
///
/// # Errors
/// When a histogram cannot be created; never with the built-in bounds.
pub fn run() -> Result<()> {
    println!("Each request takes 4 ticks: arrival, body and dispatch, first token, end.");
    println!(
        "{:>16} {:>8} {:>14} {:>14} {:>14} {:>14}",
        "backend servers", "open", "tick p50 us", "tick p99 us", "request us", "table bytes"
    );
    for open in [100, 1_000, 10_000] {
        measure_ticks(DEFAULT_BACKEND_SERVERS, open)?;
    }
    for backend_servers in [20, 200, 2_000, 7_900] {
        measure_ticks(backend_servers, DEFAULT_OPEN_REQUESTS)?;
    }
    Ok(())
}

/// Prints the times of [`MEASURED_REQUESTS`] requests that run beside `open` other requests.
fn measure_ticks(backend_servers: u64, open: u64) -> Result<()> {
    let mut bench = Bench::new(backend_servers);
    for _ in 0..open {
        bench.start_request();
    }
    // Skips the ticks of the preparation.
    bench.tick_times = DurationHistogram::new()?;
    let mut elapsed = Duration::ZERO;
    for _ in 0..MEASURED_REQUESTS {
        let started = Instant::now();
        let attempt = bench.start_request();
        bench.finish_request(attempt);
        elapsed += started.elapsed();
    }
    let micros = |time: Duration| time.as_secs_f64() * 1_000_000.0;
    let bytes = bench.world.requests.slot_bytes()
        + bench.world.attempts.slot_bytes()
        + bench.world.backend_servers.rows.slot_bytes();
    println!(
        "{backend_servers:>16} {open:>8} {:>14.2} {:>14.2} {:>14.2} {bytes:>14}",
        micros(bench.tick_times.quantile(0.5)),
        micros(bench.tick_times.quantile(0.99)),
        micros(elapsed) / MEASURED_REQUESTS as f64,
    );
    Ok(())
}

/// Decision code of an entry, with simulated callers and side processes that answer immediately.
struct Bench {
    world: World,
    now: Timestamp,
    next_id: u128,
    /// Durations of the ticks since the histogram was last replaced.
    tick_times: DurationHistogram,
}

impl Bench {
    /// Creates an entry that is connected to `backend_servers` backend servers.
    fn new(backend_servers: u64) -> Self {
        let settings = EntrySettings {
            data_centre: DataCentre("graz-1".into()),
            regions: Vec::new(),
            routing: RoutingPolicy::EarliestFirstToken,
            max_requests: 100_000,
            max_body_bytes: 1 << 40,
            max_request_bytes: 1 << 20,
            max_backend_servers: 100_000,
            max_attempts: 8,
            placing_limit: Duration::from_secs(5),
            stop_grace: Duration::from_secs(1),
            seed: 1,
        };
        let tick_times = DurationHistogram::new().unwrap_or_else(|e| unreachable!("{e}"));
        let mut bench =
            Self { world: World::new(settings), now: Timestamp::ZERO, next_id: 0, tick_times };
        bench.run_tick(&[Event::ConfigurationReceived(Box::new(configuration()))]);
        let vms = (0..backend_servers).map(vm).collect();
        let effects = bench.run_tick(&[Event::VmListRead { vms }]);
        for effect in effects {
            if let Effect::Connect { backend_server, .. } = effect {
                bench.connect_backend_server(backend_server);
            }
        }
        bench
    }

    /// Reports a backend server as connected and idle.
    fn connect_backend_server(&mut self, backend_server: BackendServerKey) {
        let hello = Hello {
            incarnation: Incarnation(1),
            targets: vec![Target::Model("drafts".into())],
            is_leaving: false,
        };
        let load = Load { prefill_tokens_per_s: 1_000_000_000, ..Load::default() };
        self.run_tick(&[
            Event::BackendServerHello { backend_server, hello },
            Event::BackendServerLoad { backend_server, load },
        ]);
    }

    /// Runs a tick 100 us after the last one, records its duration and returns its effects.
    fn run_tick(&mut self, events: &[Event]) -> Vec<Effect> {
        self.now = self.now.after(Duration::from_micros(100));
        let started = Instant::now();
        let tick = tick(&mut self.world, self.now, events);
        self.tick_times.record(started.elapsed());
        black_box(tick.effects)
    }

    /// Runs the ticks of a request from its arrival to its first token. Returns its attempt, or
    /// `None` if the entry did not dispatch the request.
    fn start_request(&mut self) -> Option<AttemptKey> {
        self.next_id += 1;
        let arrival = Arrival {
            caller: CallerKey::default(),
            id: RequestId(self.next_id),
            credential: Some(CredentialDigest([7; 32])),
            body_bytes: Some(4_000),
        };
        let request = find_body_request(&self.run_tick(&[Event::Arrival(arrival)]))?;
        let attempt = find_dispatched_attempt(
            &self.run_tick(&[Event::BodyRead { request, body: body_summary() }]),
        )?;
        self.run_tick(&[Event::FirstToken { attempt }]);
        Some(attempt)
    }

    /// Runs the tick that ends the request of `attempt`.
    fn finish_request(&mut self, attempt: Option<AttemptKey>) {
        if let Some(attempt) = attempt {
            self.run_tick(&[Event::AttemptCompleted { attempt, output_tokens: 220 }]);
        }
    }
}

fn find_body_request(effects: &[Effect]) -> Option<RequestKey> {
    effects.iter().find_map(|effect| match effect {
        Effect::ReadBody { request, .. } => Some(*request),
        _ => None,
    })
}

fn find_dispatched_attempt(effects: &[Effect]) -> Option<AttemptKey> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { dispatch, .. } => Some(dispatch.attempt),
        _ => None,
    })
}

fn body_summary() -> BodySummary {
    BodySummary {
        target: Target::Model("drafts".into()),
        cost: Cost { prompt_tokens: 1_000, max_output_tokens: 220 },
        requested_output_tokens: Some(220),
        time_limit: None,
        is_safe_method: true,
        path: "".into(),
        idempotency: None,
        prefix_digests: [0; PREFIX_DIGESTS],
    }
}

fn vm(index: u64) -> Vm {
    Vm {
        id: VmId(format_compact!("vm-{index}")),
        data_centre: DataCentre("graz-1".into()),
        address: "127.0.0.1:1".into(),
        is_leaving: false,
    }
}

fn configuration() -> Configuration {
    let account = AccountSpec {
        credentials: vec![CredentialDigest([7; 32])],
        priority: Priority(1),
        weight: 1,
        max_open: u32::MAX,
        disabled: false,
        home_regions: Vec::new(),
    };
    let model = ModelSpec {
        max_prompt_tokens: 1_000_000,
        max_output_tokens: 4_096,
        time_limit_ms: 600_000,
        home_regions: Vec::new(),
    };
    Configuration {
        revision: Revision(1),
        accounts: [("demo".into(), account)].into(),
        models: [("drafts".into(), model)].into(),
        ..Configuration::default()
    }
}
