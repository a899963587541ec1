//! Shell of a gateway's decisions on the control thread: turns inputs into events and executes
//! effects.

use std::sync::Arc;
use std::time::Duration;

use slotmap::SlotMap;
use snipespan_core::gateway::effect::Dispatch;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::effect::FeedPlan;
use snipespan_core::gateway::effect::ReservationRequest;
use snipespan_core::gateway::event::Announcement;
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
use crate::gateway::ConnectionPolicy;
use crate::gateway::GatewayContext;
use crate::gateway::byte_meters::Place;
use crate::gateway::configurations;
use crate::gateway::decisions;
use crate::gateway::part_records::RecordOrder;
use crate::gateway::peers::PeerSender;

/// Maximum number of orders queued for the task of one request; a request whose queue is full is
/// closed.
pub(super) const MAX_QUEUED_ORDERS: usize = 16;

/// Interval at which the metrics are updated from the control state; monitoring fetches them every
/// few seconds.
const METRICS_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of times that a release of memory is sent until it is confirmed; a reservation
/// that is not released expires.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// An input from the traffic tasks to the control thread.
#[derive(Debug)]
pub(super) enum Input {
    /// A client's request, and the queue for orders to its task. The shell sets the caller key of
    /// the arrival.
    Arrive(Box<Arrival>, mpsc::Sender<Order>),
    /// Any other event.
    Event(Event),
}

/// An order from the control thread to the task of a request; orders to backend servers are calls
/// of [`orders`].
#[derive(Debug)]
pub(super) enum Order {
    /// The request was admitted.
    Admitted { request: RequestKey, is_streaming: bool },
    /// Send the request to a backend server.
    Send { dispatch: Box<Dispatch>, place: Place },
    /// Cancel the open attempt.
    DropAttempt,
    /// Withdraw the open attempt unless it was sent.
    DropUnsent,
    /// End the request with a result code, whether or not it was sent to a backend server.
    Refuse { code: ResultCode, retry_after: Option<Duration> },
}

/// State that only the control thread of a gateway accesses.
pub(super) struct Shell {
    pub(super) world: World,
    /// Queue of orders to the task of each open request, by the caller key of the request.
    pub(super) callers: SlotMap<CallerKey, mpsc::Sender<Order>>,
    pub(super) ready_tx: watch::Sender<bool>,
    pub(super) limits_tx: watch::Sender<ClientLimits>,
    pub(super) connection_policy_tx: watch::Sender<ConnectionPolicy>,
    pub(super) feeds_tx: watch::Sender<FeedPlan>,
    /// Disconnects that the next step handles.
    pub(super) disconnected: Vec<Event>,
    pub(super) link: PeerSender,
    pub(super) record_orders: mpsc::Sender<RecordOrder>,
    pub(super) cx: Arc<GatewayContext>,
    /// Takes the time until which answers may still be written, once the rest of a stop is done.
    pub(super) stopped_tx: Option<oneshot::Sender<Timestamp>>,
    pub(super) runtime: Handle,
    /// Time at which the metrics are updated next.
    pub(super) metrics_due: Timestamp,
}

impl Shell {
    fn handle_input(&mut self, input: Input) -> Event {
        match input {
            Input::Arrive(mut arrival, orders_tx) => {
                arrival.caller = self.callers.insert(orders_tx);
                Event::Arrival(arrival)
            }
            Input::Event(event) => event,
        }
    }

    fn execute_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Admitted { caller, request, is_streaming } => {
                if self.callers.get(caller).is_some_and(mpsc::Sender::is_closed) {
                    // The client left before its task knew the key of the request.
                    self.disconnected.push(Event::CallerDisconnected { request });
                }
                self.send_order(caller, Order::Admitted { request, is_streaming });
            }
            Effect::Send { caller, dispatch } => {
                let place = Place::of_backend_server(&self.world, &dispatch.instance);
                self.send_order(caller, Order::Send { dispatch, place });
            }
            Effect::DropAttempt { caller } => self.send_order(caller, Order::DropAttempt),
            Effect::DropUnsentAttempt { caller } => self.send_order(caller, Order::DropUnsent),
            Effect::Refuse { caller, code, retry_after } => {
                self.send_order(caller, Order::Refuse { code, retry_after });
            }
            Effect::CloseRequest { caller } => drop(self.callers.remove(caller)),
            Effect::Reserve { request, backend_server, reservation } => {
                self.reserve_memory(request, backend_server, reservation);
            }
            Effect::Release { address, instance, instance_hash, ticket } => {
                let control = self.cx.control.clone();
                self.runtime.spawn(async move {
                    for _ in 0..MAX_RELEASE_ATTEMPTS {
                        let (released, announcement) =
                            orders::release_memory(address, &ticket).await;
                        report_announcement(&control, instance_hash, announcement).await;
                        match released {
                            Ok(()) => return,
                            Err(e) => log::info!(
                                backend_server = instance.as_str(), ticket = ticket.as_str();
                                "a release of memory was not confirmed: {e}"
                            ),
                        }
                        if announcement.unwanted_for.is_some() {
                            return;
                        }
                    }
                });
            }
            Effect::NotifyPeers { to, message, route } => {
                self.link.notify(&to, &message, route.as_ref());
            }
            Effect::FetchServing { from, version } => {
                self.runtime.spawn(configurations::fetch_serving(
                    from,
                    version,
                    Arc::clone(&self.cx),
                ));
            }
            Effect::FollowFeeds(plan) => {
                log::info!(
                    operator:? = plan.operator, listings:? = plan.listings,
                    version = plan.listings_version.0; "following of the store's feeds changed"
                );
                self.feeds_tx.send_replace(plan);
            }
            Effect::ReadBlockedParts => self.send_record_order(RecordOrder::Read),
            Effect::WriteBlockedParts(record) => {
                self.send_record_order(RecordOrder::Write(record));
            }
            Effect::SetLimits(limits) => drop(self.limits_tx.send_replace(limits)),
            Effect::SetReady(is_ready) => {
                log::info!(is_ready; "readiness changed");
                self.ready_tx.send_replace(is_ready);
            }
            Effect::CloseConnections => {
                self.connection_policy_tx.send_replace(ConnectionPolicy::CloseAfterAnswer);
            }
            Effect::StopAccepting => {
                self.connection_policy_tx.send_replace(ConnectionPolicy::StopAccepting);
            }
            Effect::Stop { answers_until } => {
                if let Some(stopped_tx) = self.stopped_tx.take() {
                    // Sending fails only if the process is already shutting down.
                    let _ = stopped_tx.send(answers_until);
                }
            }
            Effect::LogDecision(decision) => decisions::log_decision(&decision, &self.cx.metrics),
        }
    }

    fn send_order(&mut self, caller: CallerKey, order: Order) {
        let Some(orders_tx) = self.callers.get(caller) else { return };
        match orders_tx.try_send(order) {
            Ok(()) => {}
            // The client has disconnected; its task reports that.
            Err(mpsc::error::TrySendError::Closed(_)) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                log::error!(
                    "closed a request: its task has {MAX_QUEUED_ORDERS} queued orders, the maximum"
                );
                self.callers.remove(caller);
            }
        }
    }

    fn send_record_order(&self, order: RecordOrder) {
        if let Err(e) = self.record_orders.try_send(order) {
            log::error!("the record of blocked parts is not kept any more: {e}");
        }
    }

    fn reserve_memory(
        &self,
        request: RequestKey,
        backend_server: BackendServerKey,
        reservation: ReservationRequest,
    ) {
        let control = self.cx.control.clone();
        self.runtime.spawn(async move {
            let (answer, announcement) = orders::reserve_memory(&reservation).await;
            report_announcement(&control, reservation.instance_hash, announcement).await;
            let event = Event::ReservationAnswered { request, backend_server, answer };
            // Sending fails only after the control thread has ended, when nothing needs the event.
            let _ = control.send(Input::Event(event)).await;
        });
    }
}

/// Reports what a backend server announced in an answer, if anything.
pub(super) async fn report_announcement(
    control: &mpsc::Sender<Input>,
    instance_hash: u64,
    announcement: Announcement,
) {
    if announcement != Announcement::default() {
        let event = Event::BackendServerAnnounced { instance_hash, announcement };
        // Sending fails only after the control thread has ended, when nothing needs the event.
        let _ = control.send(Input::Event(event)).await;
    }
}

impl ControlState for Shell {
    type Input = Input;

    fn step(&mut self, now: Timestamp, inputs: &mut Vec<Input>) -> Option<Timestamp> {
        let inputs = std::mem::take(inputs);
        let mut events = std::mem::take(&mut self.disconnected);
        events.extend(inputs.into_iter().map(|input| self.handle_input(input)));
        let tick = tick(&mut self.world, now, &events);
        if now >= self.metrics_due {
            self.metrics_due = now.after(METRICS_INTERVAL);
            self.cx.metrics.update(&self.world, &self.cx.memory);
            // Before the effects, so that messages are counted by what is known now.
            self.link.update_places(&self.world);
        }
        for effect in tick.effects {
            self.execute_effect(effect);
        }
        match self.disconnected.is_empty() {
            true => tick.wake_at,
            false => Some(now),
        }
    }
}
