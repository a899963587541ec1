//! The task of one request: forwards it to backend servers as the control thread orders, and their
//! answer to the client.

mod delivery;
mod inbound;
mod partial_answer;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use snipespan_core::gateway::effect::Dispatch;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::tables::memory_budget::MemoryUse;
use snipespan_core::keys::RequestKey;
use snipespan_core::keys::WorkKey;
use snipespan_core::result_code::ResultCode;
use snipespan_core::time::Timestamp;
use snipespan_platform_adapter::byte_meter::ByteCounts;
use snipespan_platform_adapter::headers;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::gateway::GatewayContext;
use crate::gateway::answer;
use crate::gateway::answer::AnswerBody;
use crate::gateway::answer::BodyPart;
use crate::gateway::byte_meters::Place;
use crate::gateway::events::AnswerEvents;
use crate::gateway::events::Progress;
use crate::gateway::exchange::AttemptError;
use crate::gateway::exchange::Exchange;
use crate::gateway::exchange::ExchangeEvent;
use crate::gateway::exchange::OutboundRequest;
use crate::gateway::memory::Lease;
use crate::gateway::shell::Input;
use crate::gateway::shell::MAX_QUEUED_ORDERS;
use crate::gateway::shell::Order;
use crate::gateway::shell::report_announcement;

pub(super) use self::inbound::InboundRequest;
use self::partial_answer::PartialAnswer;

/// State of the answer to the client.
enum Output {
    /// The head of the answer was not sent yet.
    HeadPending(oneshot::Sender<Response<AnswerBody>>),
    /// The head was sent, and the body is being streamed.
    Streaming(mpsc::Sender<BodyPart>),
    /// The answer is complete, or the client no longer waits for it.
    Closed,
}

/// A backend server's answer with an error status, kept for the client in case no later attempt
/// succeeds.
struct FailureAnswer {
    status: u16,
    headers: HeaderMap,
    body: Bytes,
}

/// Whether the task of a request continues.
enum Flow {
    Continue,
    Done,
}

/// The task of one request.
pub(super) struct RequestTask {
    cx: Arc<GatewayContext>,
    inbound: InboundRequest,
    orders: mpsc::Receiver<Order>,
    output: Output,
    /// The key of the request; `None` until it is admitted.
    request: Option<RequestKey>,
    is_streaming: bool,
    events: AnswerEvents,
    failure_answer: Option<FailureAnswer>,
    /// Whether the open attempt was withdrawn in case it was not sent.
    is_withdrawn: bool,
    /// Memory that the part of the answer takes that was not passed on yet.
    share: Lease,
    arrived_at: Timestamp,
    /// Time at which the last events of the streamed answer arrived.
    last_event_at: Timestamp,
    /// Longest time between arrivals of events after the start of the streamed answer.
    longest_gap: Duration,
}

impl RequestTask {
    /// Starts the task of a request.
    ///
    /// # Errors
    /// [`ResultCode::Overloaded`] when the queue of the control thread is full.
    pub(super) fn start(
        cx: Arc<GatewayContext>,
        mut inbound: InboundRequest,
        head: oneshot::Sender<Response<AnswerBody>>,
    ) -> Result<(), ResultCode> {
        let (orders_tx, orders) = mpsc::channel(MAX_QUEUED_ORDERS);
        let arrival = Box::new(inbound.arrival());
        let sent = cx.control.try_send(Input::Arrive(arrival, orders_tx));
        sent.map_err(|_| ResultCode::Overloaded)?;
        let now = cx.clock.now();
        let task = Self {
            events: AnswerEvents::new(inbound.fields.last_event_id),
            inbound,
            orders,
            output: Output::HeadPending(head),
            request: None,
            is_streaming: false,
            failure_answer: None,
            is_withdrawn: false,
            share: cx.memory.lease(MemoryUse::Answer),
            arrived_at: now,
            last_event_at: now,
            longest_gap: Duration::ZERO,
            cx: Arc::clone(&cx),
        };
        cx.tasks.spawn(task.run());
        Ok(())
    }

    async fn run(mut self) {
        loop {
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = caller_disconnected(&mut self.output) => return self.report_disconnect().await,
            };
            if let Flow::Done = self.execute_order(order).await {
                return;
            }
        }
    }

    /// Executes an order and any order that interrupts its attempt; `None` means that the queue is
    /// closed.
    async fn execute_order(&mut self, order: Option<Order>) -> Flow {
        let mut next = order;
        loop {
            match next {
                Some(Order::Admitted { request, is_streaming }) => {
                    self.request = Some(request);
                    self.is_streaming = is_streaming;
                    return Flow::Continue;
                }
                Some(Order::Send { dispatch, place }) => {
                    match self.run_attempt(*dispatch, place).await {
                        AfterAttempt::Execute(order) => next = order,
                        AfterAttempt::Wait => return Flow::Continue,
                        AfterAttempt::Done => return Flow::Done,
                    }
                }
                Some(Order::Refuse { code, retry_after }) => {
                    self.end_with_code(code, retry_after);
                    return Flow::Done;
                }
                // The attempt has ended.
                Some(Order::DropAttempt | Order::DropUnsent) => return Flow::Continue,
                None => return Flow::Done,
            }
        }
    }

    fn end_with_code(&mut self, code: ResultCode, retry_after: Option<Duration>) {
        // Dropping the sender of a stream's parts makes the client's connection end with an error.
        let Output::HeadPending(head) = std::mem::replace(&mut self.output, Output::Closed) else {
            return;
        };
        let response =
            match self.failure_answer.take().filter(|_| code == ResultCode::BackendFailed) {
                Some(failure) => {
                    answer::complete_response(failure.status, &failure.headers, failure.body)
                }
                None => answer::error_response(&self.inbound.fields.id, code, retry_after),
            };
        // A client that has disconnected needs no answer.
        let _ = head.send(response);
    }

    async fn report_disconnect(&mut self) {
        self.orders.close();
        if let Some(request) = self.request {
            self.report(Event::CallerDisconnected { request }).await;
            return;
        }
        // The order with the request's key may still be in the queue.
        while let Some(order) = self.orders.recv().await {
            if let Order::Admitted { request, .. } = order {
                self.report(Event::CallerDisconnected { request }).await;
            }
        }
    }

    async fn report(&self, event: Event) {
        // Sending fails only after the control thread has ended, when nothing needs the event.
        let _ = self.cx.control.send(Input::Event(event)).await;
    }

    /// Runs one attempt until it ends or another order arrives.
    async fn run_attempt(&mut self, dispatch: Dispatch, place: Place) -> AfterAttempt {
        let work = dispatch.work;
        let instance_hash = dispatch.instance_hash;
        let meter = self.cx.metrics.meters.backend(place).child();
        let outbound = self.build_outbound(&dispatch);
        let mut exchange = Exchange::new(outbound, self.cx.clock, meter.clone());
        let mut partial = PartialAnswer::new(self.events.begin_attempt(), meter);
        self.is_withdrawn = false;
        // The client first gets the events of the answer that earlier attempts left undelivered.
        match self.deliver_events().await {
            AttemptStatus::InProgress | AttemptStatus::Ended => {}
            AttemptStatus::Interrupted(order) => return AfterAttempt::Execute(order),
            AttemptStatus::Unread => {
                self.end_unread().await;
                return AfterAttempt::Done;
            }
        }
        if self.is_withdrawn {
            return self.withdraw_unsent(work).await;
        }
        loop {
            let event = tokio::select! {
                // An order that withdraws an unsent attempt goes before sending it, and a client that
                // left before bytes that keep coming.
                biased;
                order = self.orders.recv() => match order {
                    Some(Order::DropUnsent) if exchange.is_unsent() => {
                        return self.withdraw_unsent(work).await;
                    }
                    // These do not interrupt the attempt.
                    Some(Order::Admitted { .. } | Order::DropUnsent) => continue,
                    Some(Order::DropAttempt) => return AfterAttempt::Wait,
                    order => return AfterAttempt::Execute(order),
                },
                () = caller_disconnected(&mut self.output) => {
                    drop(exchange);
                    self.report_disconnect().await;
                    return AfterAttempt::Done;
                }
                event = exchange.next() => event,
            };
            let announcement = exchange.take_announcement();
            report_announcement(&self.cx.control, instance_hash, announcement).await;
            match self.handle_exchange_event(work, event, &mut partial).await {
                AttemptStatus::InProgress => {}
                AttemptStatus::Ended => return AfterAttempt::Wait,
                AttemptStatus::Interrupted(order) => return AfterAttempt::Execute(order),
                AttemptStatus::Unread => {
                    drop(exchange);
                    self.end_unread().await;
                    return AfterAttempt::Done;
                }
            }
        }
    }

    async fn withdraw_unsent(&self, work: WorkKey) -> AfterAttempt {
        self.report(Event::AttemptNotRun { work, reason: NotRunReason::Withdrawn }).await;
        AfterAttempt::Wait
    }

    fn build_outbound(&self, dispatch: &Dispatch) -> OutboundRequest {
        let last_event_id = self.events.last_id().filter(|_| self.is_streaming);
        OutboundRequest {
            address: dispatch.address,
            method: self.inbound.method.clone(),
            uri: self.inbound.uri.clone(),
            headers: headers::backend_request_headers(
                &self.inbound.headers,
                dispatch,
                last_event_id,
            ),
            body: self.inbound.body.clone(),
            deadline: dispatch.deadline,
            id: self.inbound.fields.id.to_string(),
        }
    }

    async fn handle_exchange_event(
        &mut self,
        work: WorkKey,
        event: ExchangeEvent,
        partial: &mut PartialAnswer,
    ) -> AttemptStatus {
        match event {
            ExchangeEvent::Head { status, headers } => {
                partial.is_success = (200..300).contains(&status);
                partial.is_stream = self.is_stream(status, &headers);
                partial.status = status;
                partial.headers = headers;
                AttemptStatus::InProgress
            }
            ExchangeEvent::Bytes(bytes) if partial.is_stream => {
                self.forward_events(work, &bytes, partial).await
            }
            ExchangeEvent::Bytes(bytes) => {
                match self.count_memory(partial.grown_capacity(bytes.len())).await {
                    Ok(()) => {
                        partial.append(&bytes);
                        AttemptStatus::InProgress
                    }
                    Err(_) => self.fail_attempt(work, FailReason::Oversized, partial).await,
                }
            }
            ExchangeEvent::End => self.finish_answer(work, partial).await,
            ExchangeEvent::Error(AttemptError::NotRun(reason)) => {
                self.report(Event::AttemptNotRun { work, reason }).await;
                AttemptStatus::Ended
            }
            ExchangeEvent::Error(AttemptError::Failed(reason)) => {
                self.fail_attempt(work, reason, partial).await
            }
        }
    }

    /// Returns whether an answer with this head is a stream, or the rest of the one that has begun.
    fn is_stream(&self, status: u16, headers: &HeaderMap) -> bool {
        let has_begun = matches!(self.output, Output::Streaming(_));
        let is_success = if has_begun { status == 200 } else { (200..300).contains(&status) };
        self.is_streaming && is_success && headers::is_event_stream(headers)
    }

    async fn report_completed(&self, work: WorkKey, partial: &PartialAnswer) {
        let longest_gap = self.longest_gap;
        let ByteCounts { sent, received } = partial.meter.counts();
        self.report(Event::AttemptBytes { work, bytes: sent + received }).await;
        self.report(Event::AttemptCompleted { work, longest_gap }).await;
    }

    async fn fail_attempt(
        &mut self,
        work: WorkKey,
        reason: FailReason,
        partial: &PartialAnswer,
    ) -> AttemptStatus {
        let stage = partial.stage(self.cx.clock.now());
        self.report(Event::AttemptFailed { work, reason, stage }).await;
        AttemptStatus::Ended
    }

    /// Forwards the complete events of a stream to the client.
    async fn forward_events(
        &mut self,
        work: WorkKey,
        bytes: &[u8],
        partial: &mut PartialAnswer,
    ) -> AttemptStatus {
        let Ok(progress) = partial.events.push(bytes) else {
            return self.fail_attempt(work, FailReason::Corrupt, partial).await;
        };
        let buffered_bytes = self.events.undelivered().len() + partial.events.buffered_bytes();
        if self.count_memory(buffered_bytes).await.is_err() {
            return self.fail_attempt(work, FailReason::Oversized, partial).await;
        }
        if progress == Progress::Advanced {
            let now = self.cx.clock.now();
            if matches!(self.output, Output::Streaming(_)) {
                self.longest_gap = self.longest_gap.max(now.since(self.last_event_at));
            }
            self.last_event_at = now;
            self.open_stream(partial, now);
            if partial.record_events(now) {
                self.report(Event::AttemptProgress { work }).await;
            }
        }
        self.events.append(&mut partial.events);
        self.deliver_events().await
    }

    async fn finish_answer(&mut self, work: WorkKey, partial: &mut PartialAnswer) -> AttemptStatus {
        if partial.is_stream {
            if !partial.events.is_at_end() {
                return self.fail_attempt(work, FailReason::Broken, partial).await;
            }
            self.open_stream(partial, self.cx.clock.now());
            self.events.append_last(&mut partial.events);
            match self.deliver_events().await {
                AttemptStatus::InProgress | AttemptStatus::Ended => {}
                status => return status,
            }
            match self.end_stream().await {
                AttemptStatus::InProgress | AttemptStatus::Ended => {}
                status => return status,
            }
            self.report_completed(work, partial).await;
            return AttemptStatus::Ended;
        }
        let body = self.share.attach(std::mem::take(&mut partial.body).freeze());
        if partial.status >= 500 {
            let headers = std::mem::take(&mut partial.headers);
            self.failure_answer = Some(FailureAnswer { status: partial.status, headers, body });
            return self.fail_attempt(work, FailReason::ServerError, partial).await;
        }
        // The client would take the end of an answer that is not the rest of its stream for the end
        // of that.
        let has_begun = matches!(self.output, Output::Streaming(_));
        if has_begun || self.is_streaming && partial.is_success {
            return self.fail_attempt(work, FailReason::Corrupt, partial).await;
        }
        if let Output::HeadPending(head) = std::mem::replace(&mut self.output, Output::Closed) {
            let seconds = self.cx.clock.now().since(self.arrived_at).as_secs_f64();
            self.cx.metrics.observe_first_byte("plain", seconds);
            let response = answer::complete_response(partial.status, &partial.headers, body);
            // A client that has disconnected needs no answer.
            let _ = head.send(response);
        }
        self.report_completed(work, partial).await;
        AttemptStatus::Ended
    }
}

/// What the task does after an attempt.
enum AfterAttempt {
    /// It executes this order; `None` means that the queue is closed.
    Execute(Option<Order>),
    /// It waits for the next order.
    Wait,
    /// It ends.
    Done,
}

/// State of an attempt after an event of it.
enum AttemptStatus {
    /// The attempt is in progress.
    InProgress,
    /// The attempt has ended.
    Ended,
    /// The attempt is interrupted by this order; `None` means that the queue is closed.
    Interrupted(Option<Order>),
    /// The client has not read the answer for too long.
    Unread,
}

/// Waits until the client has disconnected; forever once the answer is complete.
async fn caller_disconnected(output: &mut Output) {
    match output {
        Output::HeadPending(head) => head.closed().await,
        Output::Streaming(parts) => parts.closed().await,
        Output::Closed => std::future::pending().await,
    }
}
