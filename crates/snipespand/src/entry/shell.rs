//! What surrounds the decisions of an entry on its control thread.

use std::time::Duration;

use quinn::Connection;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use snipespan_core::entry::effect::Dispatch;
use snipespan_core::entry::effect::Effect;
use snipespan_core::entry::effect::RecordSpec;
use snipespan_core::entry::event::Arrival;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::event::Hello;
use snipespan_core::entry::event::Load;
use snipespan_core::entry::event::Vm;
use snipespan_core::entry::tables::backend_servers::BackendServer;
use snipespan_core::entry::tick::tick;
use snipespan_core::entry::world::World;
use snipespan_core::identity::RequestId;
use snipespan_core::identity::Target;
use snipespan_core::keys::AttemptKey;
use snipespan_core::keys::BackendServerKey;
use snipespan_core::keys::CallerKey;
use snipespan_core::keys::RequestKey;
use snipespan_core::lifecycle::backend_server::State;
use snipespan_core::result_code::ResultCode;
use snipespan_core::time::Timestamp;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::control::ControlState;
use crate::entry::report_writer::ReportWriter;
use crate::entry::sides::SideConnector;
use crate::metrics::Metric;
use crate::metrics::MetricsReporter;
use crate::quic::ABANDONED_CODE;

/// Orders that wait for one request's task; a task that lets more pile up is closed.
pub(super) const MAX_ORDERS: usize = 32;

/// What the traffic tasks send to the control thread.
pub(super) enum Input {
    /// A caller's request; its task takes orders. The arrival's caller key is filled in here.
    Arrive(Arrival, mpsc::Sender<Order>),
    /// A side process is connected.
    SideConnected { backend_server: BackendServerKey, connection: Connection, hello: Hello },
    /// An operator wants to see the backend servers.
    Inspect(oneshot::Sender<Vec<BackendServerView>>),
    /// Anything else.
    Event(Event),
}

/// What the control thread tells the task of a request.
#[derive(Debug)]
pub(super) enum Order {
    /// Read the body.
    ReadBody { request: RequestKey, max_bytes: u64 },
    /// Create the durable record.
    CreateRecord(RecordSpec),
    /// Ask side processes to rule out that an abandoned request ever runs.
    RuleOut { id: RequestId, age: Duration, connections: Vec<Connection> },
    /// Take over the record of the request that was ruled out.
    TakeOverRecord,
    /// Answer from the durable record of an earlier request.
    ReplayRecord,
    /// Send the request to a side process.
    Dispatch(Dispatch, Connection),
    /// Stop an attempt.
    CancelAttempt(AttemptKey),
    /// Tell the caller a result code.
    Refuse { code: ResultCode, retry_after: Option<Duration> },
    /// Write how the request ended into its record.
    FinishRecord(ResultCode),
}

/// A backend server as an operator sees it.
#[derive(Clone, Debug)]
pub(super) struct BackendServerView {
    pub(super) vm: Vm,
    pub(super) state: State,
    pub(super) targets: Vec<Target>,
    pub(super) open: u32,
    pub(super) load: Load,
    pub(super) is_drained: bool,
}

/// Control state of an entry.
pub(super) struct Shell {
    pub(super) world: World,
    pub(super) callers: SlotMap<CallerKey, mpsc::Sender<Order>>,
    pub(super) connections: SecondaryMap<BackendServerKey, Connection>,
    pub(super) connector: SideConnector,
    pub(super) report_writer: ReportWriter,
    pub(super) metrics: MetricsReporter,
    pub(super) ready: watch::Sender<bool>,
    pub(super) stopped: Option<oneshot::Sender<()>>,
    pub(super) events: Vec<Event>,
}

impl Shell {
    fn take_in(&mut self, input: Input) {
        match input {
            Input::Arrive(mut arrival, orders) => {
                arrival.caller = self.callers.insert(orders);
                self.events.push(Event::Arrival(arrival));
            }
            Input::SideConnected { backend_server, connection, hello } => {
                self.connections.insert(backend_server, connection);
                self.events.push(Event::BackendServerHello { backend_server, hello });
            }
            Input::Inspect(reply) => {
                // An operator that went away needs no answer.
                let _ = reply.send(self.inspect());
            }
            Input::Event(event) => {
                if let Event::BackendServerLost { backend_server } = &event {
                    self.connections.remove(*backend_server);
                }
                self.events.push(event);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ReadBody { caller, request, max_bytes } => {
                self.order(caller, Order::ReadBody { request, max_bytes });
            }
            Effect::CreateRecord { caller, record } => {
                self.order(caller, Order::CreateRecord(record));
            }
            Effect::FenceRequest { caller, id, age, backend_servers } => {
                let connections = backend_servers.iter();
                let connections = connections.filter_map(|key| self.connections.get(*key).cloned());
                let connections: Vec<_> = connections.collect();
                // With a connection missing the question stays open, and so does the answer.
                let is_complete = connections.len() == backend_servers.len();
                let connections = if is_complete { connections } else { Vec::new() };
                self.order(caller, Order::RuleOut { id, age, connections });
            }
            Effect::TakeOverRecord { caller } => self.order(caller, Order::TakeOverRecord),
            Effect::ReplayRecord { caller } => self.order(caller, Order::ReplayRecord),
            Effect::Dispatch { caller, dispatch } => self.dispatch(caller, dispatch),
            Effect::CancelAttempt { caller, attempt } => {
                self.order(caller, Order::CancelAttempt(attempt));
            }
            Effect::Refuse { caller, code, retry_after } => {
                self.order(caller, Order::Refuse { code, retry_after });
            }
            Effect::FinishRecord { caller, code } => {
                self.order(caller, Order::FinishRecord(code));
            }
            Effect::CloseRequest { caller } => drop(self.callers.remove(caller)),
            Effect::Connect { backend_server, address } => {
                self.connector.connect(backend_server, &address);
            }
            Effect::Disconnect { backend_server } => {
                if let Some(connection) = self.connections.remove(backend_server) {
                    connection.close(ABANDONED_CODE, b"not listed");
                }
            }
            Effect::WriteReport { window, report } => self.report_writer.write(window, report),
            Effect::SetReady(is_ready) => {
                self.ready.send_replace(is_ready);
            }
            Effect::Stop => {
                if let Some(stopped) = self.stopped.take() {
                    // Nobody waits any more if the process is being torn down.
                    let _ = stopped.send(());
                }
            }
        }
    }

    fn order(&mut self, caller: CallerKey, order: Order) {
        let Some(orders) = self.callers.get(caller) else { return };
        if orders.try_send(order).is_err() {
            log::error!("a request's task takes no orders; it is closed");
            self.callers.remove(caller);
        }
    }

    fn dispatch(&mut self, caller: CallerKey, dispatch: Dispatch) {
        match self.connections.get(dispatch.backend_server) {
            Some(connection) => {
                let connection = connection.clone();
                self.order(caller, Order::Dispatch(dispatch, connection));
            }
            None => self.events.push(Event::AttemptRefused {
                attempt: dispatch.attempt,
                code: ResultCode::BackendUnreachable,
                retry_after: None,
            }),
        }
    }

    fn inspect(&self) -> Vec<BackendServerView> {
        let rows = self.world.backend_servers.rows.iter();
        let view = |row: &BackendServer| BackendServerView {
            vm: row.vm.clone(),
            state: *row.lifecycle.state(),
            targets: row.hello.as_ref().map(|h| h.targets.clone()).unwrap_or_default(),
            open: row.open,
            load: row.load,
            is_drained: row.is_drained,
        };
        rows.map(|(_, row)| view(row)).collect()
    }

    fn metrics(world: &World) -> Vec<Metric> {
        let counters = world.counters;
        vec![
            Metric::Counter("requests.arrived", counters.arrivals),
            Metric::Counter("requests.whole", counters.completed),
            Metric::Counter("requests.not_run", counters.not_run),
            Metric::Counter("requests.failed", counters.failed),
            Metric::Counter("attempts.sent", counters.attempts),
            Metric::Counter("attempts.refused", counters.attempts_refused),
            Metric::Counter("retries.over_budget", counters.retries_over_budget),
            Metric::Counter("configurations.older", counters.older_configurations),
            Metric::Counter("backend_servers.left_out", counters.backend_servers_left_out),
            Metric::Gauge("requests.open", world.requests.len() as u64),
            Metric::Gauge("requests.body_bytes", world.body_bytes),
            Metric::Gauge("backend_servers.in_view", world.backend_servers.rows.len() as u64),
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
        match self.events.is_empty() {
            true => tick.wake_at,
            // An effect that could not be carried out is an event of the next step.
            false => Some(now),
        }
    }
}
