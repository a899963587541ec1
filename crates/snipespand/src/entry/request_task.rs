//! The task of one caller's request, which executes the orders of the control thread.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::Response;
use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use compact_str::format_compact;
use http_body_util::BodyExt;
use opentelemetry::trace::SpanKind;
use quinn::Connection;
use snipespan_core::cost::Cost;
use snipespan_core::entry::effect::RecordSpec;
use snipespan_core::entry::event::BodySummary;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::event::PREFIX_DIGESTS;
use snipespan_core::identity::RequestId;
use snipespan_core::identity::Target;
use snipespan_core::keys::RequestKey;
use snipespan_core::result_code::ResultCode;
use snipespan_platform::idempotency::CreateReply;
use snipespan_platform::idempotency::RecordedOutcome;
use snipespan_platform::idempotency::StoredAnswer;
use snipespan_protocol::opening::HttpHead;
use snipespan_telemetry::traces::HopSpan;
use snipespan_telemetry::traces::TRACEPARENT_HEADER;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::entry::EntryContext;
use crate::entry::answer::Answer;
use crate::entry::chat::ChatRequest;
use crate::entry::records;
use crate::entry::ruling;
use crate::entry::service_call;
use crate::entry::shell::Input;
use crate::entry::shell::Order;

/// Header with the caller's time limit in milliseconds, at least 1.
const TIMEOUT_HEADER: &str = "snipespan-timeout-ms";

/// The kind of a request, given by its path.
#[derive(Clone, Debug)]
pub(super) enum RequestKind {
    /// A chat completion.
    Chat,
    /// A call to a plain service.
    Service { service: CompactString, path: CompactString, method: Method },
}

/// A caller's request as received; the body is taken out when it is read.
#[derive(Debug)]
pub(super) struct Inbound {
    pub(super) kind: RequestKind,
    pub(super) headers: HeaderMap,
    pub(super) body: Option<Body>,
}

/// A request with a validated body.
#[derive(Clone, Debug)]
pub(super) enum PreparedRequest {
    Chat(ChatRequest),
    Service { head: HttpHead, body: Bytes },
}

/// The reason why a request body or its headers are rejected.
struct BodyRejection {
    code: ResultCode,
    detail: Option<CompactString>,
}

impl From<ResultCode> for BodyRejection {
    fn from(code: ResultCode) -> Self {
        Self { code, detail: None }
    }
}

/// State of the task of one request.
pub(super) struct RequestTask {
    pub(super) cx: Arc<EntryContext>,
    pub(super) id: RequestId,
    pub(super) answer: Answer,
    pub(super) orders: mpsc::Receiver<Order>,
    pub(super) prepared: Option<PreparedRequest>,
    pub(super) span: HopSpan,
    inbound: Inbound,
    /// Key of the request in the decision code; `None` until the control thread orders the body.
    request: Option<RequestKey>,
    record: Option<RecordSpec>,
    /// Recorded answer of an earlier request with the same idempotency key.
    stored: Option<StoredAnswer>,
    /// Version of the row of the durable record, as a takeover expects it.
    record_version: u64,
    /// Detail for the caller of why the body or its headers were rejected.
    detail: Option<CompactString>,
    is_caller_disconnected: bool,
}

impl RequestTask {
    /// Creates a task that sends the head of its answer to `head`; the body is not read yet.
    pub(super) fn new(
        cx: Arc<EntryContext>,
        id: RequestId,
        inbound: Inbound,
        orders: mpsc::Receiver<Order>,
        head: oneshot::Sender<Response<Body>>,
    ) -> Self {
        let traceparent = inbound.headers.get(TRACEPARENT_HEADER);
        let traceparent = traceparent.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let span = HopSpan::start("entry", SpanKind::Server, traceparent);
        span.set_attribute("request", id.to_string());
        Self {
            cx,
            id,
            answer: Answer::new(id, head),
            orders,
            prepared: None,
            span,
            inbound,
            request: None,
            record: None,
            stored: None,
            record_version: 0,
            detail: None,
            is_caller_disconnected: false,
        }
    }

    /// Executes orders until the control thread closes the request.
    pub(super) async fn run(mut self) {
        loop {
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = self.answer.caller_disconnected(), if !self.is_caller_disconnected => {
                    self.report_caller_disconnected().await;
                    continue;
                }
            };
            let Some(order) = order else { return };
            self.execute_order(order).await;
        }
    }

    async fn execute_order(&mut self, order: Order) {
        match order {
            Order::ReadBody { request, max_bytes } => self.read_body(request, max_bytes).await,
            Order::CreateRecord(spec) => self.create_record(spec).await,
            Order::FenceRequest { id, age, connections } => {
                self.fence_request(id, age, &connections).await;
            }
            Order::TakeOverRecord => self.take_over_record().await,
            Order::ReplayRecord => {
                if let Some(stored) = self.stored.take() {
                    self.answer.replay(stored);
                }
            }
            Order::Dispatch(dispatch, connection) => self.run_attempt(dispatch, connection).await,
            // The attempt has already ended.
            Order::CancelAttempt(_) => {}
            Order::Refuse { code, retry_after } => self.end_with_code(code, retry_after).await,
            Order::FinishRecord(code) => self.finish_record(code),
        }
    }

    /// Ends the answer to the caller with a result code.
    pub(super) async fn end_with_code(&mut self, code: ResultCode, retry_after: Option<Duration>) {
        log::info!("request={} ended: {code}", self.id);
        self.span.set_attribute("result", i64::from(code.number()));
        self.answer.fail(code, retry_after, self.detail.as_deref()).await;
    }

    /// Reports to the control thread, once, that the caller has disconnected.
    pub(super) async fn report_caller_disconnected(&mut self) {
        self.is_caller_disconnected = true;
        if let Some(request) = self.request {
            self.report(Event::CallerDisconnected { request }).await;
        }
    }

    /// Returns whether the disconnect of the caller was handled already.
    pub(super) const fn is_caller_disconnected(&self) -> bool {
        self.is_caller_disconnected
    }

    /// Reports an event to the control thread; waits while its input queue is full.
    pub(super) async fn report(&mut self, event: Event) {
        // The send fails only while the process terminates.
        let _ = self.cx.control.send(Input::Event(event)).await;
    }

    async fn read_body(&mut self, request: RequestKey, max_bytes: u64) {
        self.request = Some(request);
        let Some(body) = self.inbound.body.take() else { return };
        // Any order ends the wait; one arrives when the request's time has run out.
        let collected = tokio::select! {
            collected = collect_body(body, max_bytes) => collected,
            order = self.orders.recv() => {
                if let Some(order) = order {
                    Box::pin(self.execute_order(order)).await;
                }
                return;
            }
        };
        let event = match collected.and_then(|bytes| self.prepare_request(bytes)) {
            Ok(body) => Event::BodyRead { request, body },
            Err(BodyRejection { code, detail }) => {
                self.detail = detail;
                Event::BodyRejected { request, code }
            }
        };
        self.report(event).await;
    }

    fn prepare_request(&mut self, bytes: Bytes) -> Result<BodySummary, BodyRejection> {
        let time_limit = self.requested_time_limit()?;
        let (prepared, mut summary) = match &self.inbound.kind {
            RequestKind::Chat => prepare_chat(&bytes)?,
            RequestKind::Service { service, path, method } => {
                let head = service_call::http_head(method, path, &self.inbound.headers);
                let headers = &self.inbound.headers;
                prepare_service(service, method, head, headers, bytes)?
            }
        };
        summary.time_limit = time_limit;
        match &prepared {
            PreparedRequest::Chat(req) => self.answer.set_chat(req),
            PreparedRequest::Service { .. } => {
                self.answer.set_service(summary.idempotency.is_some());
            }
        }
        self.prepared = Some(prepared);
        Ok(summary)
    }

    fn requested_time_limit(&self) -> Result<Option<Duration>, BodyRejection> {
        let Some(value) = self.inbound.headers.get(TIMEOUT_HEADER) else { return Ok(None) };
        let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
        let millis = millis.filter(|millis| *millis > 0).ok_or_else(|| BodyRejection {
            code: ResultCode::InvalidRequest,
            detail: Some(format_compact!(
                "The header {TIMEOUT_HEADER} must be an integer of at least 1."
            )),
        })?;
        Ok(Some(Duration::from_millis(millis)))
    }

    async fn create_record(&mut self, spec: RecordSpec) {
        self.record = Some(spec.clone());
        let Some(request) = self.request else { return };
        let cx = Arc::clone(&self.cx);
        let reply = tokio::select! {
            reply = records::create_or_take_over(&cx, &spec, None) => reply,
            order = self.orders.recv() => {
                if let Some(order) = order {
                    Box::pin(self.execute_order(order)).await;
                }
                return;
            }
        };
        self.report_record_answer(request, reply).await;
    }

    async fn report_record_answer(&mut self, request: RequestKey, reply: CreateReply) {
        self.stored = reply.stored;
        self.record_version = reply.version;
        self.report(Event::RecordAnswered { request, answer: reply.answer }).await;
    }

    async fn fence_request(&mut self, id: RequestId, age: Duration, connections: &[Connection]) {
        let Some(request) = self.request else { return };
        let never_runs = ruling::fence_request(id, age, connections).await;
        log::info!("request={} requested to fence request={id}: never_runs={never_runs}", self.id);
        self.report(Event::FenceAnswered { request, never_runs }).await;
    }

    async fn take_over_record(&mut self) {
        let (Some(request), Some(spec)) = (self.request, self.record.clone()) else { return };
        let cx = Arc::clone(&self.cx);
        let reply = records::create_or_take_over(&cx, &spec, Some(self.record_version)).await;
        self.report_record_answer(request, reply).await;
    }

    /// Writes the outcome into the record in a task of its own, which may outlast this one.
    fn finish_record(&self, code: ResultCode) {
        let Some(spec) = self.record.clone() else { return };
        let outcome = match (code, self.answer.stored_answer()) {
            (ResultCode::Ok, Some(stored)) => RecordedOutcome::Answered(stored),
            (ResultCode::Ok, None) => RecordedOutcome::Code(ResultCode::OutcomeUnknown),
            (code, _) => RecordedOutcome::Code(code),
        };
        let cx = Arc::clone(&self.cx);
        self.cx.tasks.spawn(async move { records::finish_record(&cx, &spec, &outcome).await });
    }
}

fn prepare_chat(bytes: &Bytes) -> Result<(PreparedRequest, BodySummary), BodyRejection> {
    let req = ChatRequest::parse(bytes).map_err(|e| BodyRejection {
        code: ResultCode::InvalidRequest,
        detail: Some(format_compact!("{e}")),
    })?;
    let summary = BodySummary {
        target: Target::Model(req.model.clone()),
        // The decision code sets the maximum, from `requested_output_tokens` and the model's limit.
        cost: Cost { prompt_tokens: req.prompt_tokens, max_output_tokens: 0 },
        requested_output_tokens: req.max_tokens,
        time_limit: None,
        is_safe_method: true,
        path: CompactString::default(),
        idempotency: None,
        prefix_digests: req.prefix_digests,
    };
    Ok((PreparedRequest::Chat(req), summary))
}

fn prepare_service(
    service: &CompactString,
    method: &Method,
    head: HttpHead,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<(PreparedRequest, BodySummary), BodyRejection> {
    let idempotency = service_call::parse_idempotency(service, &head, headers, &body);
    let idempotency = idempotency.map_err(|detail| BodyRejection {
        code: ResultCode::InvalidRequest,
        detail: Some(detail.into()),
    })?;
    let summary = BodySummary {
        target: Target::Service(service.clone()),
        cost: Cost::default(),
        requested_output_tokens: None,
        time_limit: None,
        is_safe_method: service_call::is_safe(method),
        path: head.path.clone(),
        idempotency,
        prefix_digests: [0; PREFIX_DIGESTS],
    };
    Ok((PreparedRequest::Service { head, body }, summary))
}

/// Reads a body of at most `max_bytes` bytes.
async fn collect_body(mut body: Body, max_bytes: u64) -> Result<Bytes, BodyRejection> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyRejection::from(ResultCode::CallerGone))?;
        let Ok(bytes) = frame.into_data() else { continue };
        if (collected.len() + bytes.len()) as u64 > max_bytes {
            return Err(ResultCode::RequestTooLarge.into());
        }
        collected.extend_from_slice(&bytes);
    }
    Ok(collected.freeze())
}
