//! Test kit: an entry's decisions with simulated callers, side processes and time.

use std::time::Duration;

use snipespan_core::configuration::AccountSpec;
use snipespan_core::configuration::Configuration;
use snipespan_core::configuration::ModelSpec;
use snipespan_core::configuration::Priority;
use snipespan_core::configuration::Revision;
use snipespan_core::configuration::ServiceSpec;
use snipespan_core::cost::Cost;
use snipespan_core::entry::effect::Dispatch;
use snipespan_core::entry::effect::Effect;
use snipespan_core::entry::event::Arrival;
use snipespan_core::entry::event::BodySummary;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::event::Hello;
use snipespan_core::entry::event::Idempotency;
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
use snipespan_core::keys::BackendServerKey;
use snipespan_core::keys::CallerKey;
use snipespan_core::keys::RequestKey;
use snipespan_core::result_code::ResultCode;
use snipespan_core::time::Timestamp;

/// Digest of the API key of the only account.
pub(crate) const KEY: CredentialDigest = CredentialDigest([1; 32]);

/// Time limit of model requests.
pub(crate) const TIME_LIMIT: Duration = Duration::from_secs(60);

/// Maximum number of open requests.
pub(crate) const MAX_REQUESTS: usize = 8;

pub(crate) struct Kit {
    pub(crate) world: World,
    pub(crate) now: Timestamp,
    /// Time and events of every tick, for a replay.
    pub(crate) recorded_ticks: Vec<(Timestamp, Vec<Event>)>,
    next_id: u128,
}

impl Kit {
    /// Creates an entry with a configuration and no backend servers.
    pub(crate) fn new() -> Self {
        Self::with_policy(RoutingPolicy::EarliestFirstToken)
    }

    pub(crate) fn with_policy(routing: RoutingPolicy) -> Self {
        Self::with_settings(settings(routing))
    }

    pub(crate) fn with_settings(settings: EntrySettings) -> Self {
        let world = World::new(settings);
        let mut kit = Self { world, now: Timestamp::ZERO, recorded_ticks: Vec::new(), next_id: 0 };
        kit.tick(vec![Event::ConfigurationReceived(Box::new(configuration(1)))]);
        kit
    }

    /// Creates an entry with `count` ready engines.
    pub(crate) fn with_engines(count: u64) -> Self {
        let mut kit = Self::new();
        kit.add_engines(count);
        kit
    }

    pub(crate) fn add_engines(&mut self, count: u64) -> Vec<BackendServerKey> {
        let vms = (0..count).map(vm).collect();
        let keys = connects(&self.tick(vec![Event::VmListRead { vms }]));
        for key in &keys {
            self.send_hello(*key, Target::Model("drafts".into()));
        }
        keys
    }

    pub(crate) fn send_hello(&mut self, backend_server: BackendServerKey, target: Target) {
        let hello = Hello { incarnation: Incarnation(7), targets: vec![target], is_leaving: false };
        self.tick(vec![Event::BackendServerHello { backend_server, hello }]);
        self.report_load(backend_server, 0);
    }

    pub(crate) fn report_load(&mut self, backend_server: BackendServerKey, queued_tokens: u64) {
        let load = Load {
            queued_tokens,
            queued_before_short_tokens: queued_tokens,
            prefill_tokens_per_s: 10_000,
            ..Load::default()
        };
        self.tick(vec![Event::BackendServerLoad { backend_server, load }]);
    }

    pub(crate) fn tick(&mut self, events: Vec<Event>) -> Vec<Effect> {
        self.recorded_ticks.push((self.now, events.clone()));
        tick(&mut self.world, self.now, &events).effects
    }

    pub(crate) fn advance(&mut self, time: Duration) -> Vec<Effect> {
        self.now = self.now.after(time);
        self.tick(Vec::new())
    }

    pub(crate) fn arrive(&mut self) -> Result<RequestKey, ResultCode> {
        self.next_id += 1;
        let arrival = Arrival {
            caller: CallerKey::default(),
            id: RequestId(self.next_id),
            credential: Some(KEY),
            body_bytes: Some(100),
        };
        let effects = self.tick(vec![Event::Arrival(arrival)]);
        let read = effects.iter().find_map(|effect| match effect {
            Effect::ReadBody { request, .. } => Some(*request),
            _ => None,
        });
        read.ok_or_else(|| answered_code(&effects).expect("read or refused"))
    }

    /// Sends a request for the model and returns its first dispatch.
    pub(crate) fn dispatch_request(&mut self) -> (RequestKey, Dispatch) {
        let request = self.arrive().expect("it is admitted");
        let effects = self.tick(vec![Event::BodyRead { request, body: chat() }]);
        (request, dispatched(&effects).expect("it is dispatched"))
    }

    /// Advances time to the next dispatch, by at most a second.
    pub(crate) fn next_dispatch(&mut self) -> Option<Dispatch> {
        (0..100).find_map(|_| dispatched(&self.advance(Duration::from_millis(10))))
    }
}

pub(crate) fn settings(routing: RoutingPolicy) -> EntrySettings {
    EntrySettings {
        data_centre: DataCentre("graz-1".into()),
        regions: Vec::new(),
        routing,
        max_requests: MAX_REQUESTS,
        max_body_bytes: 10_000,
        max_request_bytes: 5_000,
        max_backend_servers: 100,
        max_attempts: 4,
        placing_limit: Duration::from_secs(5),
        stop_grace: Duration::from_secs(1),
        seed: 1,
    }
}

pub(crate) fn configuration(revision: u64) -> Configuration {
    let account = AccountSpec {
        credentials: vec![KEY],
        priority: Priority(1),
        weight: 1,
        max_open: 100,
        disabled: false,
        home_regions: Vec::new(),
    };
    let model = ModelSpec {
        max_prompt_tokens: 1_000_000,
        max_output_tokens: 1_000,
        time_limit_ms: TIME_LIMIT.as_millis() as u64,
        home_regions: Vec::new(),
    };
    let service = ServiceSpec { time_limit_ms: 30_000, repeatable_prefixes: Vec::new() };
    Configuration {
        revision: Revision(revision),
        accounts: [("desk".into(), account)].into(),
        models: [("drafts".into(), model)].into(),
        services: [("orders".into(), service)].into(),
        ..Configuration::default()
    }
}

pub(crate) fn vm(index: u64) -> Vm {
    Vm {
        id: VmId(format!("vm-{index}").into()),
        data_centre: DataCentre("graz-1".into()),
        address: "127.0.0.1:1".into(),
        is_leaving: false,
    }
}

/// Creates the body of a model request, which may be repeated.
pub(crate) fn chat() -> BodySummary {
    BodySummary {
        target: Target::Model("drafts".into()),
        cost: Cost { prompt_tokens: 1_000, max_output_tokens: 0 },
        requested_output_tokens: Some(10),
        time_limit: None,
        is_safe_method: true,
        path: "".into(),
        idempotency: None,
        prefix_digests: [0; PREFIX_DIGESTS],
    }
}

/// Creates the body of a request to the plain service that may not be repeated, with `key` as its
/// idempotency key.
pub(crate) fn charge(key: Option<&str>) -> BodySummary {
    BodySummary {
        target: Target::Service("orders".into()),
        cost: Cost::default(),
        is_safe_method: false,
        path: "/charge".into(),
        idempotency: key.map(|key| Idempotency { key: key.into(), digest: 9 }),
        ..chat()
    }
}

pub(crate) fn connects(effects: &[Effect]) -> Vec<BackendServerKey> {
    let connects = effects.iter().filter_map(|effect| match effect {
        Effect::Connect { backend_server, .. } => Some(*backend_server),
        _ => None,
    });
    connects.collect()
}

pub(crate) fn dispatched(effects: &[Effect]) -> Option<Dispatch> {
    effects.iter().find_map(|effect| match effect {
        Effect::Dispatch { dispatch, .. } => Some(dispatch.clone()),
        _ => None,
    })
}

/// Returns the result code with which the caller is answered, if it is.
pub(crate) fn answered_code(effects: &[Effect]) -> Option<ResultCode> {
    effects.iter().find_map(|effect| match effect {
        Effect::AnswerWithCode { code, .. } => Some(*code),
        _ => None,
    })
}

pub(crate) fn finished_record(effects: &[Effect]) -> Option<ResultCode> {
    effects.iter().find_map(|effect| match effect {
        Effect::FinishRecord { code, .. } => Some(*code),
        _ => None,
    })
}
