//! Carries one request between its client and the backend servers, as the control thread orders.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::Uri;
use hyper::header;
use snipespan_core::gateway::effect::Dispatch;
use snipespan_core::gateway::event::Arrival;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::keys::CallerKey;
use snipespan_core::keys::RequestKey;
use snipespan_core::keys::WorkKey;
use snipespan_core::result_code::ResultCode;
use snipespan_core::time::Timestamp;
use snipespan_platform_adapter::headers;
use snipespan_platform_adapter::headers::RequestFields;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::gateway::GatewayContext;
use crate::gateway::answer;
use crate::gateway::answer::AnswerBody;
use crate::gateway::answer::Part;
use crate::gateway::events::EventCutter;
use crate::gateway::exchange::Ended;
use crate::gateway::exchange::Exchange;
use crate::gateway::exchange::Outbound;
use crate::gateway::exchange::Step;
use crate::gateway::shell::Input;
use crate::gateway::shell::MAX_ORDERS;
use crate::gateway::shell::Order;

/// Parts of an answer that wait for a slow client; the backend server waits beyond that.
const MAX_PARTS: usize = 64;

/// Interval at which the progress of a stream is reported, in microseconds; a small part of the
/// shortest silence that counts.
const PROGRESS_INTERVAL_US: u64 = 250_000;

/// A client's request, read whole.
#[derive(Debug)]
pub(super) struct Inbound {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) fields: RequestFields,
    pub(super) body: Bytes,
}

/// Where the answer goes.
enum Output {
    /// Its head was not sent.
    Waiting(oneshot::Sender<Response<AnswerBody>>),
    /// It is being streamed.
    Streaming(mpsc::Sender<Part>),
    /// It is whole, or nobody waits for it.
    Closed,
}

/// A backend server's own failure, kept in case no other one does better.
struct Failure {
    status: u16,
    headers: HeaderMap,
    body: Bytes,
}

/// Whether a request goes on.
enum Flow {
    Next,
    Done,
}

/// The task of one request.
pub(super) struct RequestTask {
    cx: Arc<GatewayContext>,
    inbound: Inbound,
    orders: mpsc::Receiver<Order>,
    output: Output,
    request: Option<RequestKey>,
    is_streaming: bool,
    events: EventCutter,
    failure: Option<Failure>,
    arrived: Timestamp,
    reported: Timestamp,
    last_event: Timestamp,
    longest_gap: Duration,
}

impl RequestTask {
    /// Starts the task of a request.
    ///
    /// # Errors
    /// The result code of a request that the control thread has no room for.
    pub(super) fn start(
        cx: Arc<GatewayContext>,
        inbound: Inbound,
        head: oneshot::Sender<Response<AnswerBody>>,
    ) -> Result<(), ResultCode> {
        let (orders_tx, orders) = mpsc::channel(MAX_ORDERS);
        let arrival = Box::new(arrival(&inbound));
        let sent = cx.control.try_send(Input::Arrive(arrival, orders_tx));
        sent.map_err(|_| ResultCode::Overloaded)?;
        let now = cx.clock.now();
        let task = Self {
            events: EventCutter::new(inbound.fields.last_event_id),
            inbound,
            orders,
            output: Output::Waiting(head),
            request: None,
            is_streaming: false,
            failure: None,
            arrived: now,
            reported: now,
            last_event: now,
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
                () = client_gone(&mut self.output) => return self.leave().await,
            };
            if let Flow::Done = self.follow(order).await {
                return;
            }
        }
    }

    /// Follows an order and those that end its attempts; `None` stands for a closed queue.
    async fn follow(&mut self, order: Option<Order>) -> Flow {
        let mut next = order;
        loop {
            match next {
                Some(Order::Admitted { request, is_streaming }) => {
                    self.request = Some(request);
                    self.is_streaming = is_streaming;
                    return Flow::Next;
                }
                Some(Order::Send(dispatch)) => match self.attempt(*dispatch).await {
                    Next::Order(order) => next = order,
                    Next::Wait => return Flow::Next,
                    Next::Done => return Flow::Done,
                },
                Some(Order::Refuse { code, retry_after }) => {
                    self.refuse(code, retry_after);
                    return Flow::Done;
                }
                Some(Order::Drop) => return Flow::Next,
                None => return Flow::Done,
            }
        }
    }

    fn refuse(&mut self, code: ResultCode, retry_after: Option<Duration>) {
        // Dropping the parts of a stream cuts it short.
        let Output::Waiting(head) = std::mem::replace(&mut self.output, Output::Closed) else {
            return;
        };
        let response = match self.failure.take().filter(|_| code == ResultCode::BackendFailed) {
            Some(failure) => answer::whole(failure.status, &failure.headers, failure.body),
            None => answer::refusal(&self.inbound.fields.id, code, retry_after),
        };
        // A client that went away needs no answer.
        let _ = head.send(response);
    }

    async fn leave(&mut self) {
        self.orders.close();
        if let Some(request) = self.request {
            self.report(Event::CallerDisconnected { request }).await;
            return;
        }
        // The key was still on its way from the control thread.
        while let Some(order) = self.orders.recv().await {
            if let Order::Admitted { request, .. } = order {
                self.report(Event::CallerDisconnected { request }).await;
            }
        }
    }

    async fn report(&self, event: Event) {
        // Without a control thread nobody waits for it.
        let _ = self.cx.control.send(Input::Event(event)).await;
    }

    /// Carries one attempt until it ends or another order comes.
    async fn attempt(&mut self, dispatch: Dispatch) -> Next {
        let work = dispatch.work;
        let mut exchange = Exchange::new(self.outbound(&dispatch));
        let mut intake = Intake::default();
        self.events.drop_partial();
        if let Taken::Order(order) = self.deliver().await {
            return Next::Order(order);
        }
        loop {
            let step = tokio::select! {
                step = exchange.next() => step,
                order = self.orders.recv() => match order {
                    Some(Order::Admitted { .. }) => continue,
                    Some(Order::Drop) => return Next::Wait,
                    order => return Next::Order(order),
                },
                () = client_gone(&mut self.output) => {
                    drop(exchange);
                    self.leave().await;
                    return Next::Done;
                }
            };
            match self.take_in(work, step, &mut intake).await {
                Taken::More => {}
                Taken::Over => return Next::Wait,
                Taken::Order(order) => return Next::Order(order),
            }
        }
    }

    fn outbound(&self, dispatch: &Dispatch) -> Outbound {
        let last_event = self.events.last().filter(|_| self.is_streaming);
        Outbound {
            address: dispatch.address,
            method: self.inbound.method.clone(),
            uri: self.inbound.uri.clone(),
            headers: headers::backend_request_headers(&self.inbound.headers, dispatch, last_event),
            body: self.inbound.body.clone(),
            id: self.inbound.fields.id.to_string(),
        }
    }

    async fn take_in(&mut self, work: WorkKey, step: Step, intake: &mut Intake) -> Taken {
        match step {
            Step::Head { status, headers } => {
                intake.is_stream = self.is_streaming && (200..300).contains(&status);
                intake.status = status;
                intake.headers = headers;
                Taken::More
            }
            Step::Bytes(bytes) if intake.is_stream => self.pass_on(work, &bytes, intake).await,
            Step::Bytes(bytes) => {
                intake.body.extend_from_slice(&bytes);
                Taken::More
            }
            Step::End => self.end(work, intake).await,
            Step::Ended(Ended::NotRun(reason)) => {
                self.report(Event::AttemptNotRun { work, reason }).await;
                Taken::Over
            }
            Step::Ended(Ended::Failed(reason)) => self.fail(work, reason).await,
        }
    }

    async fn report_whole(&self, work: WorkKey) {
        let longest_gap = self.longest_gap;
        self.report(Event::AttemptCompleted { work, longest_gap }).await;
    }

    async fn fail(&mut self, work: WorkKey, reason: FailReason) -> Taken {
        self.report(Event::AttemptFailed { work, reason }).await;
        Taken::Over
    }

    /// Passes whole events of a stream on to the client.
    async fn pass_on(&mut self, work: WorkKey, bytes: &[u8], intake: &Intake) -> Taken {
        if self.events.push(bytes).is_err() {
            return self.fail(work, FailReason::Corrupt).await;
        }
        if self.events.undelivered().is_empty() {
            return Taken::More;
        }
        let now = self.cx.clock.now();
        if matches!(self.output, Output::Streaming(_)) {
            self.longest_gap = self.longest_gap.max(now.since(self.last_event));
        }
        self.last_event = now;
        self.open_stream(intake, now);
        let is_due = now.since(self.reported).as_micros() as u64 >= PROGRESS_INTERVAL_US;
        if is_due || self.reported == self.arrived {
            self.reported = now;
            self.report(Event::AttemptProgress { work }).await;
        }
        self.deliver().await
    }

    /// Sends the head of a streamed answer, once; a later attempt goes on below it.
    fn open_stream(&mut self, intake: &Intake, now: Timestamp) {
        if !matches!(self.output, Output::Waiting(_)) {
            return;
        }
        let (parts_tx, parts) = mpsc::channel(MAX_PARTS);
        let output = std::mem::replace(&mut self.output, Output::Streaming(parts_tx));
        if let Output::Waiting(head) = output {
            let response = answer::streamed(intake.status, &intake.headers, parts);
            // A client that went away is noticed by the closed parts.
            let _ = head.send(response);
            let seconds = now.since(self.arrived).as_secs_f64();
            self.cx.metrics.first_byte("streaming", seconds);
        }
    }

    /// Hands the client the events that it does not have; orders that come meanwhile go first,
    /// and the events stay for later.
    async fn deliver(&mut self) -> Taken {
        let Output::Streaming(parts) = &self.output else { return Taken::More };
        if self.events.undelivered().is_empty() {
            return Taken::More;
        }
        tokio::select! {
            biased;
            permit = parts.reserve() => {
                if let Ok(permit) = permit {
                    permit.send(Part::Bytes(self.events.take()));
                }
                Taken::More
            }
            order = self.orders.recv() => Taken::Order(order),
        }
    }

    /// Ends a streamed answer that is whole; orders that come meanwhile go first.
    async fn close_stream(&mut self) -> Taken {
        let Output::Streaming(parts) = &self.output else { return Taken::Over };
        tokio::select! {
            biased;
            permit = parts.reserve() => {
                if let Ok(permit) = permit {
                    permit.send(Part::End);
                }
            }
            order = self.orders.recv() => return Taken::Order(order),
        }
        self.output = Output::Closed;
        Taken::Over
    }

    async fn end(&mut self, work: WorkKey, intake: &mut Intake) -> Taken {
        if intake.is_stream {
            // Only a client that has some events may find that there are no more.
            let has_events = self.events.last().is_some();
            if !self.events.is_at_boundary() || !has_events {
                return self.fail(work, FailReason::Corrupt).await;
            }
            self.open_stream(intake, self.cx.clock.now());
            if let Taken::Order(order) = self.deliver().await {
                return Taken::Order(order);
            }
            if let Taken::Order(order) = self.close_stream().await {
                return Taken::Order(order);
            }
            self.report_whole(work).await;
            return Taken::Over;
        }
        let body = std::mem::take(&mut intake.body).freeze();
        if intake.status >= 500 {
            let headers = std::mem::take(&mut intake.headers);
            self.failure = Some(Failure { status: intake.status, headers, body });
            return self.fail(work, FailReason::ServerError).await;
        }
        if let Output::Waiting(head) = std::mem::replace(&mut self.output, Output::Closed) {
            let seconds = self.cx.clock.now().since(self.arrived).as_secs_f64();
            self.cx.metrics.first_byte("plain", seconds);
            let response = answer::whole(intake.status, &intake.headers, body);
            // A client that went away needs no answer.
            let _ = head.send(response);
        }
        self.report_whole(work).await;
        Taken::Over
    }
}

/// What has come of the answer of one attempt.
#[derive(Default)]
struct Intake {
    is_stream: bool,
    status: u16,
    headers: HeaderMap,
    body: BytesMut,
}

/// What follows an attempt.
enum Next {
    /// This order.
    Order(Option<Order>),
    /// The next order.
    Wait,
    /// Nothing.
    Done,
}

/// What follows a step of an attempt.
enum Taken {
    /// The attempt goes on.
    More,
    /// The attempt is over.
    Over,
    /// This order goes first.
    Order(Option<Order>),
}

/// Waits until the client no longer waits for the answer.
async fn client_gone(output: &mut Output) {
    match output {
        Output::Waiting(head) => head.closed().await,
        Output::Streaming(parts) => parts.closed().await,
        Output::Closed => std::future::pending().await,
    }
}

fn arrival(inbound: &Inbound) -> Arrival {
    let fields = &inbound.fields;
    let host = inbound.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = inbound.uri.host().or(host).unwrap_or_default();
    Arrival {
        // The control thread knows the key.
        caller: CallerKey::default(),
        id: fields.id.clone(),
        host: host.into(),
        path: inbound.uri.path().into(),
        api_key: fields.api_key.clone(),
        time_limit: fields.time_limit,
        prompt_tokens: fields.prompt_tokens,
        max_output_tokens: fields.max_output_tokens,
        output_hint: fields.output_hint,
    }
}
