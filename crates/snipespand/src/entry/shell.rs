//! Shell of an entry's decisions on the control thread: turns inputs into events and executes
//! effects.

use std::time::Duration;

use compact_str::CompactString;
use quinn::Connection;
use slotmap::SecondaryMap;
use slotmap::SlotMap;
use snipespan_core::configuration::ChangeError;
use snipespan_core::entry::effect::Dispatch;
use snipespan_core::entry::effect::Effect;
use snipespan_core::entry::effect::RecordSpec;
use snipespan_core::entry::event::Arrival;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::event::Hello;
use snipespan_core::entry::event::Load;
use snipespan_core::entry::event::Vm;
use snipespan_core::entry::tables::backend_servers::BackendServer;
use snipespan_core::entry::tables::data_centres::DataCentreState;
use snipespan_core::entry::tick::tick;
use snipespan_core::entry::world::World;
use snipespan_core::identity::DataCentre;
use snipespan_core::identity::RequestId;
use snipespan_core::identity::Target;
use snipespan_core::keys::AttemptKey;
use snipespan_core::keys::BackendServerKey;
use snipespan_core::keys::CallerKey;
use snipespan_core::keys::DataCentreKey;
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

/// Maximum number of orders queued for the task of one request; a request whose queue is full is
/// closed.
pub(super) const MAX_QUEUED_ORDERS: usize = 32;

/// An input from the traffic tasks to the control thread.
pub(super) enum Input {
    /// A caller's request arrived; the sender delivers orders to its task. The control thread sets
    /// the caller key of the arrival.
    RequestArrived(Arrival, mpsc::Sender<Order>),
    /// A connection to a side process was established.
    SideConnected { backend_server: BackendServerKey, connection: Connection, hello: Hello },
    /// An operator requested the list of backend servers.
    InspectBackendServers(oneshot::Sender<Vec<BackendServerView>>),
    /// An operator requested the list of data centres.
    InspectDataCentres(oneshot::Sender<Vec<DataCentreView>>),
    /// An operator requested the evacuation of a data centre, whose name must be known.
    CheckDataCentre(DataCentre, oneshot::Sender<Result<(), DataCentreUnknown>>),
    /// Any other event for the decision code.
    Event(Event),
}

/// An order from the control thread to the task of a request.
#[derive(Debug)]
pub(super) enum Order {
    /// Read the request body, at most `max_bytes` bytes.
    ReadBody { request: RequestKey, max_bytes: u64 },
    /// Create the durable idempotency record of the request.
    CreateRecord(RecordSpec),
    /// Ask side processes to fence the abandoned earlier request `id` with the same idempotency
    /// key, whose record was created `age` ago.
    FenceRequest { id: RequestId, age: Duration, connections: Vec<Connection> },
    /// Take over the durable record of a request that was fenced.
    TakeOverRecord,
    /// Answer from the durable record of an earlier request.
    ReplayRecord,
    /// Send the request to a side process.
    Dispatch(Dispatch, Connection),
    /// Cancel an attempt.
    CancelAttempt(AttemptKey),
    /// End the answer to the caller with a result code, even if the answer has begun.
    EndWithCode { code: ResultCode, retry_after: Option<Duration> },
    /// Write the outcome of the request into its durable record.
    FinishRecord(ResultCode),
}

/// A backend server as reported to operators.
#[derive(Clone, Debug)]
pub(super) struct BackendServerView {
    pub(super) vm: Vm,
    pub(super) state: State,
    pub(super) targets: Vec<Target>,
    /// Number of this entry's requests that are open at the backend server.
    pub(super) open: u32,
    pub(super) load: Load,
    pub(super) is_drained: bool,
}

/// A data centre as reported to operators.
#[derive(Clone, Debug)]
pub(super) struct DataCentreView {
    pub(super) name: DataCentre,
    pub(super) region: Option<CompactString>,
    pub(super) is_evacuated: bool,
    pub(super) backend_servers: u32,
    /// Number of its backend servers that are connected and not leaving.
    pub(super) connected: u32,
    /// Number of this entry's requests that are open at its backend servers.
    pub(super) open: u32,
}

/// Why the name of a data centre is not known to the entry.
#[derive(Clone, Debug)]
pub(super) enum DataCentreUnknown {
    /// The entry has not read the platform's list of VMs yet.
    NoVmList,
    /// No VM was listed there; the error lists the known names.
    NotListed(ChangeError),
}

/// The control state of an entry: the world of the decision code and the handles that its effects
/// need.
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
    fn handle_input(&mut self, input: Input) {
        match input {
            Input::RequestArrived(mut arrival, orders) => {
                arrival.caller = self.callers.insert(orders);
                self.events.push(Event::Arrival(arrival));
            }
            Input::SideConnected { backend_server, connection, hello } => {
                self.connections.insert(backend_server, connection);
                self.events.push(Event::BackendServerHello { backend_server, hello });
            }
            Input::InspectBackendServers(reply) => {
                // The send fails if the operator has disconnected.
                let _ = reply.send(self.inspect_backend_servers());
            }
            Input::InspectDataCentres(reply) => {
                // The send fails if the operator has disconnected.
                let _ = reply.send(self.inspect_data_centres());
            }
            Input::CheckDataCentre(name, reply) => {
                // The send fails if the operator has disconnected.
                let _ = reply.send(self.check_data_centre(&name));
            }
            Input::Event(event) => {
                if let Event::BackendServerLost { backend_server } = &event {
                    self.connections.remove(*backend_server);
                }
                self.events.push(event);
            }
        }
    }

    fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::ReadBody { caller, request, max_bytes } => {
                self.send_order(caller, Order::ReadBody { request, max_bytes });
            }
            Effect::CreateRecord { caller, record } => {
                self.send_order(caller, Order::CreateRecord(record));
            }
            Effect::FenceRequest { caller, id, age, backend_servers } => {
                let connections = backend_servers.iter();
                let connections = connections.filter_map(|key| self.connections.get(*key).cloned());
                let connections: Vec<_> = connections.collect();
                // Every side process must reply: if a connection is missing, none is asked, and the
                // request counts as not fenced.
                let is_complete = connections.len() == backend_servers.len();
                let connections = if is_complete { connections } else { Vec::new() };
                self.send_order(caller, Order::FenceRequest { id, age, connections });
            }
            Effect::TakeOverRecord { caller } => self.send_order(caller, Order::TakeOverRecord),
            Effect::ReplayRecord { caller } => self.send_order(caller, Order::ReplayRecord),
            Effect::Dispatch { caller, dispatch } => self.send_dispatch(caller, dispatch),
            Effect::CancelAttempt { caller, attempt } => {
                self.send_order(caller, Order::CancelAttempt(attempt));
            }
            Effect::AnswerWithCode { caller, code, retry_after } => {
                self.send_order(caller, Order::EndWithCode { code, retry_after });
            }
            Effect::FinishRecord { caller, code } => {
                self.send_order(caller, Order::FinishRecord(code));
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
            Effect::WriteReport { window, report } => {
                self.report_writer.write_window(window, report);
            }
            Effect::LogDecision(decision) => log::info!("{decision}"),
            Effect::SetReady(is_ready) => {
                self.ready.send_replace(is_ready);
            }
            Effect::Stop => {
                if let Some(stopped) = self.stopped.take() {
                    // The send fails only while the process terminates.
                    let _ = stopped.send(());
                }
            }
        }
    }

    fn send_order(&mut self, caller: CallerKey, order: Order) {
        let Some(orders) = self.callers.get(caller) else { return };
        if orders.try_send(order).is_err() {
            log::error!(
                "closed a request: its task has ended or has {MAX_QUEUED_ORDERS} queued orders"
            );
            self.callers.remove(caller);
        }
    }

    fn send_dispatch(&mut self, caller: CallerKey, dispatch: Dispatch) {
        match self.connections.get(dispatch.backend_server) {
            Some(connection) => {
                let connection = connection.clone();
                self.send_order(caller, Order::Dispatch(dispatch, connection));
            }
            None => self.events.push(Event::AttemptRefused {
                attempt: dispatch.attempt,
                code: ResultCode::BackendUnreachable,
                retry_after: None,
            }),
        }
    }

    fn inspect_backend_servers(&self) -> Vec<BackendServerView> {
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

    fn inspect_data_centres(&self) -> Vec<DataCentreView> {
        let view = |(key, row): (DataCentreKey, &DataCentreState)| {
            let servers = self.world.backend_servers.rows.iter().map(|(_, server)| server);
            let servers: Vec<_> = servers.filter(|server| server.data_centre == key).collect();
            DataCentreView {
                name: row.name.clone(),
                region: row.region.and_then(|r| self.world.data_centres.regions.name(r)).cloned(),
                is_evacuated: row.is_evacuated,
                backend_servers: servers.len() as u32,
                connected: servers.iter().filter(|server| server.is_ready()).count() as u32,
                open: servers.iter().map(|server| server.open).sum(),
            }
        };
        let mut views: Vec<_> = self.world.data_centres.rows.iter().map(view).collect();
        views.sort_by(|a, b| a.name.cmp(&b.name));
        views
    }

    fn check_data_centre(&self, name: &DataCentre) -> Result<(), DataCentreUnknown> {
        let known = self.world.data_centres.check_known(name);
        known.map_err(|unknown| match self.world.has_vm_list {
            true => DataCentreUnknown::NotListed(unknown),
            false => DataCentreUnknown::NoVmList,
        })
    }

    fn evacuated_count(world: &World) -> u64 {
        world.data_centres.rows.iter().filter(|(_, row)| row.is_evacuated).count() as u64
    }

    fn collect_metrics(world: &World) -> Vec<Metric> {
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
            Metric::Counter("requests.refused_evacuated", counters.refused_evacuated),
            Metric::Counter(
                "requests.refused_outside_home_regions",
                counters.refused_outside_home_regions,
            ),
            Metric::Counter("data_centres.left_out", counters.data_centres_left_out),
            Metric::Gauge("data_centres.evacuated", Self::evacuated_count(world)),
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
            self.handle_input(input);
        }
        let events = std::mem::take(&mut self.events);
        let tick = tick(&mut self.world, now, &events);
        for effect in tick.effects {
            self.execute_effect(effect);
        }
        let world = &self.world;
        self.metrics.report(now, || Self::collect_metrics(world));
        match self.events.is_empty() {
            true => tick.wake_at,
            // The failed execution of an effect is an event of the next step.
            false => Some(now),
        }
    }
}
