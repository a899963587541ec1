//! Test fixture: the decisions of a side process with simulated entries, engine and clock.

use std::time::Duration;

use slotmap::SlotMap;
use snipespan_core::attempt::AttemptSpec;
use snipespan_core::configuration::Priority;
use snipespan_core::cost::Cost;
use snipespan_core::identity::AttemptNumber;
use snipespan_core::identity::Incarnation;
use snipespan_core::identity::RequestId;
use snipespan_core::identity::Target;
use snipespan_core::keys::StreamKey;
use snipespan_core::keys::TicketKey;
use snipespan_core::result_code::ResultCode;
use snipespan_core::side::effect::Effect;
use snipespan_core::side::event::BackendReport;
use snipespan_core::side::event::EngineStreamId;
use snipespan_core::side::event::Event;
use snipespan_core::side::event::Offer;
use snipespan_core::side::settings::BackendKind;
use snipespan_core::side::settings::SideSettings;
use snipespan_core::side::tick::tick;
use snipespan_core::side::world::World;
use snipespan_core::time::Timestamp;

/// Total engine memory in tokens.
pub(crate) const MEMORY_TOKENS: u64 = 100_000;

/// Time after which a stream is no longer overtaken.
pub(crate) const AGEING_LIMIT: Duration = Duration::from_secs(10);

/// Maximum age of the engine state that a report shows, at the time at which it is requested.
pub(crate) const REPORT_LAG: Duration = Duration::from_millis(300);

pub(crate) struct Kit {
    pub(crate) world: World,
    pub(crate) now: Timestamp,
    tickets: SlotMap<TicketKey, ()>,
    next_id: u128,
}

impl Kit {
    /// Creates a side process whose engine has answered a probe.
    pub(crate) fn new() -> Self {
        let settings = SideSettings {
            incarnation: Incarnation(7),
            kind: BackendKind::ModelEngine,
            targets: vec![Target::Model("drafts".into())],
            max_streams: 64,
            max_queued: 32,
            max_running: 4,
            report_lag: REPORT_LAG,
            ageing_limit: AGEING_LIMIT,
        };
        let world = World::new(settings);
        let tickets = SlotMap::with_key();
        let mut kit = Self { world, now: Timestamp::from_micros(1), tickets, next_id: 0 };
        kit.report(Vec::new());
        kit
    }

    pub(crate) fn tick(&mut self, events: &[Event]) -> Vec<Effect> {
        tick(&mut self.world, self.now, events).effects
    }

    pub(crate) fn advance(&mut self, time: Duration) -> Vec<Effect> {
        self.now = self.now.after(time);
        self.tick(&[])
    }

    /// Sends a report of the streams that the engine holds, requested at the current time.
    pub(crate) fn report(&mut self, held_streams: Vec<EngineStreamId>) -> Vec<Effect> {
        self.now = self.now.after(Duration::from_millis(1));
        let report = BackendReport {
            memory_tokens: MEMORY_TOKENS,
            prefill_tokens_per_s: 10_000,
            held_streams,
            requested_at: self.now,
        };
        self.tick(&[Event::BackendReported(report)])
    }

    /// Creates an offer of a new request with default values.
    pub(crate) fn new_offer(&mut self) -> Offer {
        self.next_id += 1;
        let spec = AttemptSpec {
            id: RequestId(self.next_id),
            number: AttemptNumber(1),
            incarnation: Incarnation(7),
            target: Target::Model("drafts".into()),
            account: "desk".into(),
            weight: 1,
            priority: Priority(1),
            cost: Cost { prompt_tokens: 1_000, max_output_tokens: 100 },
            remaining: Duration::from_secs(60),
            is_repeatable: true,
        };
        Offer { ticket: self.tickets.insert(()), spec }
    }

    pub(crate) fn send_offer(&mut self, offer: &Offer) -> Vec<Effect> {
        self.tick(&[Event::Offered(offer.clone())])
    }

    /// Sends an offer and asserts that it starts in the same tick.
    pub(crate) fn start_offer(&mut self, offer: &Offer) -> StreamKey {
        let effects = self.send_offer(offer);
        assert!(starts(&effects).contains(&offer.ticket), "{effects:?}");
        queued(&effects).expect("a started offer is queued")
    }
}

pub(crate) fn held(offer: &Offer) -> EngineStreamId {
    EngineStreamId { id: offer.spec.id, number: offer.spec.number }
}

pub(crate) fn queued(effects: &[Effect]) -> Option<StreamKey> {
    effects.iter().find_map(|effect| match effect {
        Effect::Queue { stream, .. } => Some(*stream),
        _ => None,
    })
}

pub(crate) fn starts(effects: &[Effect]) -> Vec<TicketKey> {
    let starts = effects.iter().filter_map(|effect| match effect {
        Effect::Start { ticket, .. } => Some(*ticket),
        _ => None,
    });
    starts.collect()
}

pub(crate) fn refusal(effects: &[Effect]) -> Option<ResultCode> {
    effects.iter().find_map(|effect| match effect {
        Effect::Refuse { code, .. } => Some(*code),
        _ => None,
    })
}

pub(crate) fn cancels(effects: &[Effect]) -> Vec<EngineStreamId> {
    let cancels = effects.iter().filter_map(|effect| match effect {
        Effect::CancelAtEngine(held) => Some(*held),
        _ => None,
    });
    cancels.collect()
}
