//! What surrounds the decisions of a side process on its control thread.

use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use snipespan_core::identity::RequestId;
use snipespan_core::keys::StreamKey;
use snipespan_core::keys::TicketKey;
use snipespan_core::result_code::ResultCode;
use snipespan_core::side::effect::Effect;
use snipespan_core::side::event::EngineStreamId;
use snipespan_core::side::event::Event;
use snipespan_core::side::event::Offer;
use snipespan_core::side::settings::SideSettings;
use snipespan_core::side::tick::tick;
use snipespan_core::side::world::World;
use snipespan_core::time::Timestamp;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::control::ControlState;
use crate::metrics::Metric;
use crate::metrics::MetricsReporter;
use crate::side::Backend;
use crate::side::SideContext;

/// Orders that wait for one attempt's task: queued, started and aborted at the most.
pub(super) const MAX_ORDERS: usize = 4;

/// What the traffic tasks send to the control thread.
#[derive(Debug)]
pub(super) enum Input {
    /// An attempt; its task takes orders.
    Offer(Offer, mpsc::Sender<Order>),
    /// A question whether a request can be ruled out; its task takes the answer as an order.
    RuleOut { id: RequestId, age: Duration, orders: mpsc::Sender<Order> },
    /// The task of an attempt is over.
    Over(TicketKey),
    /// Anything else.
    Event(Event),
}

/// What the control thread tells the task of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum Order {
    /// Nothing may be forwarded.
    Refuse { code: ResultCode, retry_after: Option<Duration> },
    /// The answer to a question whether a request can be ruled out.
    RuledOut { never_runs: bool },
    /// Wait for the start under this key.
    Queue { ticket: TicketKey, stream: StreamKey },
    /// Forward now, at this priority.
    Start { engine_priority: u16 },
    /// Stop and say why.
    Abort(ResultCode),
}

/// Control state of a side process.
pub(super) struct Shell {
    world: World,
    cx: Arc<SideContext>,
    tickets: SlotMap<TicketKey, mpsc::Sender<Order>>,
    metrics: MetricsReporter,
    stopped: Option<oneshot::Sender<()>>,
    traffic: Handle,
    events: Vec<Event>,
}

impl Shell {
    /// State of a process that has just started. Needs a running tokio runtime.
    pub(super) fn new(
        settings: SideSettings,
        cx: Arc<SideContext>,
        metrics: MetricsReporter,
        stopped: oneshot::Sender<()>,
    ) -> Self {
        Self {
            world: World::new(settings),
            cx,
            tickets: SlotMap::with_key(),
            metrics,
            stopped: Some(stopped),
            traffic: Handle::current(),
            events: Vec::new(),
        }
    }

    fn take_in(&mut self, input: Input) {
        match input {
            Input::Offer(mut offer, orders) => {
                offer.ticket = self.tickets.insert(orders);
                self.events.push(Event::Offered(offer));
            }
            Input::RuleOut { id, age, orders } => {
                let ticket = self.tickets.insert(orders);
                self.events.push(Event::FenceRequested { ticket, id, age });
            }
            Input::Over(ticket) => drop(self.tickets.remove(ticket)),
            Input::Event(event) => self.events.push(event),
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Refuse { ticket, code, retry_after } => {
                self.order(ticket, Order::Refuse { code, retry_after });
                self.tickets.remove(ticket);
            }
            Effect::ReplyToFence { ticket, never_runs } => {
                self.order(ticket, Order::RuledOut { never_runs });
                self.tickets.remove(ticket);
            }
            Effect::Queue { ticket, stream } => self.order(ticket, Order::Queue { ticket, stream }),
            Effect::Start { ticket, engine_priority } => {
                self.order(ticket, Order::Start { engine_priority });
            }
            Effect::Abort { ticket, code } => {
                self.order(ticket, Order::Abort(code));
                self.tickets.remove(ticket);
            }
            Effect::CancelAtEngine(held) => self.cancel_at_engine(held),
            Effect::Report(load) => self.cx.announcements.set_load(load),
            Effect::Stop => {
                if let Some(stopped) = self.stopped.take() {
                    // Nobody waits any more if the process is being torn down.
                    let _ = stopped.send(());
                }
            }
        }
    }

    fn order(&mut self, ticket: TicketKey, order: Order) {
        let Some(orders) = self.tickets.get(ticket) else { return };
        if orders.try_send(order).is_err() {
            // The task has ended; what it reported last is on its way.
            self.tickets.remove(ticket);
        }
    }

    fn cancel_at_engine(&self, held: EngineStreamId) {
        let Backend::Engine(engine) = self.cx.backend.clone() else { return };
        self.traffic.spawn(async move {
            if let Err(e) = engine.cancel_stream(held).await {
                log::warn!("request={} attempt={} cancel failed: {e}", held.id, held.number);
            }
        });
    }

    fn metrics(world: &World) -> Vec<Metric> {
        let counters = world.counters;
        vec![
            Metric::Count("attempts.offered", counters.offered),
            Metric::Count("attempts.refused", counters.refused),
            Metric::Count("attempts.started", counters.started),
            Metric::Count("engine.cancels_repeated", counters.cancels_repeated),
            Metric::Count("engine.orphans", counters.orphans),
            Metric::Level("streams.ledger", world.streams.len() as u64),
            Metric::Level("streams.queued", world.queue.len() as u64),
            Metric::Level("streams.running", world.running as u64),
            Metric::Level("memory.reserved_tokens", world.reserved_tokens),
        ]
    }
}

impl ControlState for Shell {
    type Input = Input;

    fn step(&mut self, now: Timestamp, inputs: &mut Vec<Input>) -> Option<Timestamp> {
        for input in inputs.drain(..) {
            self.take_in(input);
        }
        let events = std::mem::take(&mut self.events);
        let tick = tick(&mut self.world, now, &events);
        for effect in tick.effects {
            self.carry_out(effect);
        }
        let world = &self.world;
        self.metrics.report(now, || Self::metrics(world));
        tick.wake_at
    }
}
