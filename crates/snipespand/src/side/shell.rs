//! Shell of a side process's decisions on the control thread: turns inputs into events and executes
//! effects.

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

/// Maximum number of orders queued for the task of one attempt, which needs up to 3: queue, start
/// and abort.
pub(super) const MAX_QUEUED_ORDERS: usize = 4;

/// An input from the traffic tasks to the control thread.
#[derive(Debug)]
pub(super) enum Input {
    /// An offered attempt and the channel for orders to its task.
    Offer(Offer, mpsc::Sender<Order>),
    /// An entry asks to fence a request; the reply is sent as an order.
    FenceRequest { id: RequestId, age: Duration, orders: mpsc::Sender<Order> },
    /// The task of an attempt ended.
    TaskEnded(TicketKey),
    /// Event that needs no order channel.
    Event(Event),
}

/// An order from the control thread to a traffic task.
#[derive(Clone, Copy, Debug)]
pub(super) enum Order {
    /// Refuse the attempt; nothing of it may be forwarded.
    Refuse { code: ResultCode, retry_after: Option<Duration> },
    /// Reply to an entry that asked to fence a request.
    FenceReply { never_runs: bool },
    /// The attempt is queued, and `stream` is its key in the decision code; wait for its start.
    Queue { ticket: TicketKey, stream: StreamKey },
    /// Forward the attempt now; a lower priority number is served first at the engine.
    Start { engine_priority: u16 },
    /// Stop the attempt and report the code to its entry.
    Abort(ResultCode),
}

/// Control state of a side process.
pub(super) struct Shell {
    world: World,
    cx: Arc<SideContext>,
    /// Channels for orders, by the ticket that names the task of an attempt or a fence request.
    tickets: SlotMap<TicketKey, mpsc::Sender<Order>>,
    metrics: MetricsReporter,
    stopped: Option<oneshot::Sender<()>>,
    traffic_runtime: Handle,
    events: Vec<Event>,
}

impl Shell {
    /// Creates the state of a process that has just started. Requires a running tokio runtime.
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
            traffic_runtime: Handle::current(),
            events: Vec::new(),
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Offer(mut offer, orders) => {
                offer.ticket = self.tickets.insert(orders);
                self.events.push(Event::Offered(offer));
            }
            Input::FenceRequest { id, age, orders } => {
                let ticket = self.tickets.insert(orders);
                self.events.push(Event::FenceRequested { ticket, id, age });
            }
            Input::TaskEnded(ticket) => drop(self.tickets.remove(ticket)),
            Input::Event(event) => self.events.push(event),
        }
    }

    fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Refuse { ticket, code, retry_after } => {
                self.send_order(ticket, Order::Refuse { code, retry_after });
                self.tickets.remove(ticket);
            }
            Effect::ReplyToFence { ticket, never_runs } => {
                self.send_order(ticket, Order::FenceReply { never_runs });
                self.tickets.remove(ticket);
            }
            Effect::Queue { ticket, stream } => {
                self.send_order(ticket, Order::Queue { ticket, stream });
            }
            Effect::Start { ticket, engine_priority } => {
                self.send_order(ticket, Order::Start { engine_priority });
            }
            Effect::Abort { ticket, code } => {
                self.send_order(ticket, Order::Abort(code));
                self.tickets.remove(ticket);
            }
            Effect::CancelAtEngine(stream) => self.cancel_at_engine(stream),
            Effect::Report(load) => self.cx.announcements.set_load(load),
            Effect::Stop => {
                if let Some(stopped) = self.stopped.take() {
                    // The receiver is dropped if the process is already terminating.
                    let _ = stopped.send(());
                }
            }
        }
    }

    fn send_order(&mut self, ticket: TicketKey, order: Order) {
        let Some(orders) = self.tickets.get(ticket) else { return };
        if orders.try_send(order).is_err() {
            // The task has ended; its last report is on its way to the control thread.
            self.tickets.remove(ticket);
        }
    }

    fn cancel_at_engine(&self, stream: EngineStreamId) {
        let Backend::Engine(engine) = self.cx.backend.clone() else { return };
        self.traffic_runtime.spawn(async move {
            if let Err(e) = engine.cancel_stream(stream).await {
                log::warn!(
                    "request={} attempt={} could not cancel at the engine: {e}",
                    stream.id,
                    stream.number
                );
            }
        });
    }

    fn collect_metrics(world: &World) -> Vec<Metric> {
        let counters = world.counters;
        vec![
            Metric::Counter("attempts.offered", counters.offered),
            Metric::Counter("attempts.refused", counters.refused),
            Metric::Counter("attempts.started", counters.started),
            Metric::Counter("engine.cancels_repeated", counters.cancels_repeated),
            Metric::Counter("engine.orphans", counters.orphans),
            Metric::Gauge("streams.ledger", world.streams.len() as u64),
            Metric::Gauge("streams.queued", world.queue.len() as u64),
            Metric::Gauge("streams.running", world.running as u64),
            Metric::Gauge("memory.reserved_tokens", world.reserved_tokens),
        ]
    }
}

impl ControlState for Shell {
    type Input = Input;

    fn step(&mut self, now: Timestamp, inputs: &mut Vec<Input>) -> Option<Timestamp> {
        for input in inputs.drain(..) {
            self.handle_input(input);
        }
        let events = std::mem::take(&mut self.events);
        let tick = tick(&mut self.world, now, &events);
        for effect in tick.effects {
            self.execute_effect(effect);
        }
        let world = &self.world;
        self.metrics.report(now, || Self::collect_metrics(world));
        tick.wake_at
    }
}
