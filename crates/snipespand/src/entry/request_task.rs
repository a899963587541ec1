//! The traffic of one caller's request: follows the orders of the control thread.

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

/// Header with the caller's time limit in milliseconds.
const TIMEOUT_HEADER: &str = "snipespan-timeout-ms";

/// What a caller wants.
#[derive(Clone, Debug)]
pub(super) enum Wanted {
    /// A chat completion.
    Chat,
    /// A call to a plain service.
    Service { service: CompactString, path: CompactString, method: Method },
}

/// A caller's request as it came.
#[derive(Debug)]
pub(super) struct Inbound {
    pub(super) wanted: Wanted,
    pub(super) headers: HeaderMap,
    pub(super) body: Option<Body>,
}

/// A request whose body is read.
#[derive(Clone, Debug)]
pub(super) enum Prepared {
    Chat(ChatRequest),
    Service { head: HttpHead, body: Bytes },
}

/// Why a body is not usable.
struct Unusable {
    code: ResultCode,
    detail: Option<CompactString>,
}

impl From<ResultCode> for Unusable {
    fn from(code: ResultCode) -> Self {
        Self { code, detail: None }
    }
}

/// The task of one request.
pub(super) struct RequestTask {
    pub(super) cx: Arc<EntryContext>,
    pub(super) id: RequestId,
    pub(super) answer: Answer,
    pub(super) orders: mpsc::Receiver<Order>,
    pub(super) prepared: Option<Prepared>,
    pub(super) span: HopSpan,
    inbound: Inbound,
    request: Option<RequestKey>,
    record: Option<RecordSpec>,
    stored: Option<StoredAnswer>,
    record_version: u64,
    detail: Option<CompactString>,
    is_caller_gone: bool,
}

impl RequestTask {
    /// A task that has read nothing yet; the head of its answer goes to `head`.
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
            is_caller_gone: false,
        }
    }

    /// Follows orders until there are no more.
    pub(super) async fn run(mut self) {
        loop {
            let order = tokio::select! {
                order = self.orders.recv() => order,
                () = self.answer.caller_gone(), if !self.is_caller_gone => {
                    self.report_caller_gone().await;
                    continue;
                }
            };
            let Some(order) = order else { return };
            self.follow(order).await;
        }
    }

    async fn follow(&mut self, order: Order) {
        match order {
            Order::ReadBody { request, max_bytes } => self.read_body(request, max_bytes).await,
            Order::CreateRecord(spec) => self.create_record(spec).await,
            Order::RuleOut { id, age, connections } => {
                self.rule_out(id, age, &connections).await;
            }
            Order::TakeOverRecord => self.take_over_record().await,
            Order::ReplayRecord => {
                if let Some(stored) = self.stored.take() {
                    self.answer.replay(stored);
                }
            }
            Order::Dispatch(dispatch, connection) => self.attempt(dispatch, connection).await,
            // The attempt is over already.
            Order::CancelAttempt(_) => {}
            Order::Refuse { code, retry_after } => self.refuse(code, retry_after).await,
            Order::FinishRecord(code) => self.finish_record(code),
        }
    }

    /// Tells the caller a result code.
    pub(super) async fn refuse(&mut self, code: ResultCode, retry_after: Option<Duration>) {
        log::info!("request={} ended: {code}", self.id);
        self.span.set_attribute("result", i64::from(code.number()));
        self.answer.fail(code, retry_after, self.detail.as_deref()).await;
    }

    /// Tells the control thread, once, that the caller is gone.
    pub(super) async fn report_caller_gone(&mut self) {
        self.is_caller_gone = true;
        if let Some(request) = self.request {
            self.report(Event::CallerDisconnected { request }).await;
        }
    }

    /// Whether the control thread knows that the caller is gone.
    pub(super) const fn is_caller_gone(&self) -> bool {
        self.is_caller_gone
    }

    /// Reports an event to the control thread, waiting while its queue is full.
    pub(super) async fn report(&mut self, event: Event) {
        // The control thread is gone only when the process is.
        let _ = self.cx.control.send(Input::Event(event)).await;
    }

    async fn read_body(&mut self, request: RequestKey, max_bytes: u64) {
        self.request = Some(request);
        let Some(body) = self.inbound.body.take() else { return };
        // The wait ends with the order that follows when the request's time has run out.
        let collected = tokio::select! {
            collected = collect(body, max_bytes) => collected,
            order = self.orders.recv() => {
                if let Some(order) = order {
                    Box::pin(self.follow(order)).await;
                }
                return;
            }
        };
        let event = match collected.and_then(|bytes| self.prepare(bytes)) {
            Ok(body) => Event::BodyRead { request, body },
            Err(Unusable { code, detail }) => {
                self.detail = detail;
                Event::BodyRejected { request, code }
            }
        };
        self.report(event).await;
    }

    fn prepare(&mut self, bytes: Bytes) -> Result<BodySummary, Unusable> {
        let time_limit = self.time_limit()?;
        let (prepared, mut summary) = match &self.inbound.wanted {
            Wanted::Chat => prepare_chat(&bytes)?,
            Wanted::Service { service, path, method } => {
                let head = service_call::http_head(method, path, &self.inbound.headers);
                let headers = &self.inbound.headers;
                prepare_service(service, method, head, headers, bytes)?
            }
        };
        summary.time_limit = time_limit;
        match &prepared {
            Prepared::Chat(req) => self.answer.set_chat(req),
            Prepared::Service { .. } => self.answer.set_service(summary.idempotency.is_some()),
        }
        self.prepared = Some(prepared);
        Ok(summary)
    }

    fn time_limit(&self) -> Result<Option<Duration>, Unusable> {
        let Some(value) = self.inbound.headers.get(TIMEOUT_HEADER) else { return Ok(None) };
        let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
        let millis = millis.filter(|millis| *millis > 0).ok_or_else(|| Unusable {
            code: ResultCode::InvalidRequest,
            detail: Some(format_compact!("{TIMEOUT_HEADER} must be a whole number from 1.")),
        })?;
        Ok(Some(Duration::from_millis(millis)))
    }

    async fn create_record(&mut self, spec: RecordSpec) {
        self.record = Some(spec.clone());
        let Some(request) = self.request else { return };
        let cx = Arc::clone(&self.cx);
        let creation = tokio::select! {
            creation = records::write(&cx, &spec, None) => creation,
            order = self.orders.recv() => {
                if let Some(order) = order {
                    Box::pin(self.follow(order)).await;
                }
                return;
            }
        };
        self.record_answered(request, creation).await;
    }

    async fn record_answered(&mut self, request: RequestKey, creation: CreateReply) {
        self.stored = creation.stored;
        self.record_version = creation.version;
        self.report(Event::RecordAnswered { request, answer: creation.answer }).await;
    }

    async fn rule_out(&mut self, id: RequestId, age: Duration, connections: &[Connection]) {
        let Some(request) = self.request else { return };
        let never_runs = ruling::rule_out(id, age, connections).await;
        log::info!("request={} asks for request={id}: never_runs={never_runs}", self.id);
        self.report(Event::RequestFenced { request, never_runs }).await;
    }

    async fn take_over_record(&mut self) {
        let (Some(request), Some(spec)) = (self.request, self.record.clone()) else { return };
        let cx = Arc::clone(&self.cx);
        let creation = records::write(&cx, &spec, Some(self.record_version)).await;
        self.record_answered(request, creation).await;
    }

    /// Writes the end into the record, on after this task is done.
    fn finish_record(&self, code: ResultCode) {
        let Some(spec) = self.record.clone() else { return };
        let ending = match (code, self.answer.stored()) {
            (ResultCode::Ok, Some(stored)) => RecordedOutcome::Answered(stored),
            (ResultCode::Ok, None) => RecordedOutcome::Code(ResultCode::OutcomeUnknown),
            (code, _) => RecordedOutcome::Code(code),
        };
        let cx = Arc::clone(&self.cx);
        self.cx.tasks.spawn(async move { records::finish(&cx, &spec, &ending).await });
    }
}

fn prepare_chat(bytes: &Bytes) -> Result<(Prepared, BodySummary), Unusable> {
    let req = ChatRequest::parse(bytes).map_err(|e| Unusable {
        code: ResultCode::InvalidRequest,
        detail: Some(format_compact!("{e}")),
    })?;
    let summary = BodySummary {
        target: Target::Model(req.model.clone()),
        cost: Cost { prompt_tokens: req.prompt_tokens, max_output_tokens: 0 },
        requested_output_tokens: req.max_tokens,
        time_limit: None,
        is_safe_method: true,
        path: CompactString::default(),
        idempotency: None,
        prefix_digests: req.prefix,
    };
    Ok((Prepared::Chat(req), summary))
}

fn prepare_service(
    service: &CompactString,
    method: &Method,
    head: HttpHead,
    headers: &HeaderMap,
    body: Bytes,
) -> Result<(Prepared, BodySummary), Unusable> {
    let idempotency = service_call::idempotency(service, &head, headers, &body);
    let idempotency = idempotency.map_err(|detail| Unusable {
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
    Ok((Prepared::Service { head, body }, summary))
}

/// Reads a body of at most `max_bytes`.
async fn collect(mut body: Body, max_bytes: u64) -> Result<Bytes, Unusable> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Unusable::from(ResultCode::CallerGone))?;
        let Ok(bytes) = frame.into_data() else { continue };
        if (collected.len() + bytes.len()) as u64 > max_bytes {
            return Err(ResultCode::RequestTooLarge.into());
        }
        collected.extend_from_slice(&bytes);
    }
    Ok(collected.freeze())
}
