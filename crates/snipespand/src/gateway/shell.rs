//! What surrounds the decisions of a gateway on its control thread.

use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use snipespan_core::gateway::effect::Dispatch;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::effect::ReservationRequest;
use snipespan_core::gateway::event::Arrival;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::serving::ClientLimits;
use snipespan_core::gateway::tick::tick;
use snipespan_core::gateway::world::World;
use snipespan_core::keys::BackendServerKey;
use snipespan_core::keys::CallerKey;
use snipespan_core::keys::RequestKey;
use snipespan_core::result_code::ResultCode;
use snipespan_core::time::Timestamp;
use snipespan_platform_adapter::orders;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::control::ControlState;
use crate::gateway::Accepting;
use crate::gateway::GatewayContext;
use crate::gateway::decisions;
use crate::gateway::peers;
use crate::gateway::peers::PeerSender;

/// Orders that wait for one request's task; a task that lets more pile up is closed.
pub(super) const MAX_ORDERS: usize = 16;

/// Interval at which the metrics take over the counts of the decisions; they are fetched every
/// few seconds.
const METRICS_INTERVAL: Duration = Duration::from_millis(500);

/// Times that a release is sent until it is confirmed; what is left ends by itself.
const RELEASE_TRIES: u32 = 3;

/// What the traffic tasks send to the control thread.
#[derive(Debug)]
pub(super) enum Input {
    /// A client's request; its task takes orders. The arrival's caller key is filled in here.
    Arrive(Box<Arrival>, mpsc::Sender<Order>),
    /// Anything else.
    Event(Event),
}

/// What the control thread tells the task of a request.
#[derive(Debug)]
pub(super) enum Order {
    /// The request was taken in.
    Admitted { request: RequestKey, is_streaming: bool },
    /// Send the request to a backend server.
    Send(Box<Dispatch>),
    /// Give up the open attempt.
    Drop,
    /// Tell the client a result code.
    Refuse { code: ResultCode, retry_after: Option<Duration> },
}

/// Control state of a gateway.
pub(super) struct Shell {
    pub(super) world: World,
    pub(super) callers: SlotMap<CallerKey, mpsc::Sender<Order>>,
    pub(super) ready: watch::Sender<bool>,
    pub(super) limits: watch::Sender<ClientLimits>,
    pub(super) accepting: watch::Sender<Accepting>,
    pub(super) link: PeerSender,
    pub(super) cx: Arc<GatewayContext>,
    pub(super) stopped: Option<oneshot::Sender<()>>,
    pub(super) runtime: Handle,
    /// When the counts of the decisions are brought up to date next.
    pub(super) metrics_due: Timestamp,
}

impl Shell {
    fn take_in(&mut self, input: Input) -> Event {
        match input {
            Input::Arrive(mut arrival, orders) => {
                arrival.caller = self.callers.insert(orders);
                Event::Arrival(arrival)
            }
            Input::Event(event) => event,
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Admitted { caller, request, is_streaming } => {
                self.order(caller, Order::Admitted { request, is_streaming });
            }
            Effect::Send { caller, dispatch } => self.order(caller, Order::Send(dispatch)),
            Effect::DropAttempt { caller } => self.order(caller, Order::Drop),
            Effect::Refuse { caller, code, retry_after } => {
                self.order(caller, Order::Refuse { code, retry_after });
            }
            Effect::CloseRequest { caller } => drop(self.callers.remove(caller)),
            Effect::Reserve { request, backend_server, reservation } => {
                self.reserve(request, backend_server, reservation);
            }
            Effect::Release { address, instance, ticket } => {
                self.runtime.spawn(async move {
                    for _ in 0..RELEASE_TRIES {
                        match orders::release_memory(address, &ticket).await {
                            Ok(()) => return,
                            Err(e) => log::info!(
                                backend_server = instance.as_str(), ticket = ticket.as_str();
                                "a release was not confirmed: {e}"
                            ),
                        }
                    }
                });
            }
            Effect::NotifyPeers { to, message } => self.link.notify(&to, &message),
            Effect::FetchServing { from, version } => {
                self.runtime.spawn(peers::fetch_serving(from, version, Arc::clone(&self.cx)));
            }
            Effect::SetLimits(limits) => drop(self.limits.send_replace(limits)),
            Effect::SetReady(is_ready) => {
                log::info!(is_ready; "readiness changed");
                self.ready.send_replace(is_ready);
            }
            Effect::CloseConnections => {
                self.accepting.send_replace(Accepting::CloseAfterAnswer);
            }
            Effect::StopAccepting => drop(self.accepting.send_replace(Accepting::Stopped)),
            Effect::Stop => {
                if let Some(stopped) = self.stopped.take() {
                    // Nobody waits any more if the process is being torn down.
                    let _ = stopped.send(());
                }
            }
            Effect::LogDecision(decision) => decisions::record(&decision, &self.cx.metrics),
        }
    }

    fn order(&mut self, caller: CallerKey, order: Order) {
        let Some(orders) = self.callers.get(caller) else { return };
        match orders.try_send(order) {
            Ok(()) => {}
            // The client has left; its task reports that.
            Err(mpsc::error::TrySendError::Closed(_)) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                log::error!("a request's task takes no orders; it is closed");
                self.callers.remove(caller);
            }
        }
    }

    fn reserve(
        &self,
        request: RequestKey,
        backend_server: BackendServerKey,
        reservation: ReservationRequest,
    ) {
        let control = self.cx.control.clone();
        self.runtime.spawn(async move {
            let answer = orders::reserve_memory(&reservation).await;
            let event = Event::ReservationAnswered { request, backend_server, answer };
            // Without a control thread nobody waits for it.
            let _ = control.send(Input::Event(event)).await;
        });
    }
}

impl ControlState for Shell {
    type Input = Input;

    fn step(&mut self, now: Timestamp, inputs: &mut Vec<Input>) -> Option<Timestamp> {
        let inputs = std::mem::take(inputs);
        let events: Vec<_> = inputs.into_iter().map(|input| self.take_in(input)).collect();
        let tick = tick(&mut self.world, now, &events);
        for effect in tick.effects {
            self.carry_out(effect);
        }
        if now >= self.metrics_due {
            self.metrics_due = now.after(METRICS_INTERVAL);
            self.cx.metrics.set(&self.world);
        }
        tick.wake_at
    }
}
