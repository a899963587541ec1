//! Forwards an attempt to the backend server and relays its answer to the entry.

use std::sync::Arc;

use compact_str::CompactString;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Incoming;
use opentelemetry::trace::SpanKind;
use quinn::SendStream;
use snipespan_backend::error::BackendError;
use snipespan_backend::http::RequestBody;
use snipespan_backend::model_engine::EngineAnswer;
use snipespan_backend::model_engine::EngineCall;
use snipespan_backend::model_engine::EngineChunk;
use snipespan_backend::model_engine::ModelEngine;
use snipespan_backend::plain_service::PlainService;
use snipespan_backend::plain_service::ServiceCall;
use snipespan_core::keys::StreamKey;
use snipespan_core::result_code::ResultCode;
use snipespan_core::side::event::EngineStreamId;
use snipespan_core::side::event::Event;
use snipespan_protocol::codec;
use snipespan_protocol::codec::CodecError;
use snipespan_protocol::opening::AttemptHead;
use snipespan_protocol::opening::HttpHead;
use snipespan_protocol::relay::AnswerEnd;
use snipespan_protocol::relay::Relay;
use snipespan_telemetry::traces::HopSpan;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::Xxh3;

use crate::side::Backend;
use crate::side::SideContext;
use crate::side::attempt::finish_stream;
use crate::side::attempt::send_refusal;
use crate::side::shell::Input;
use crate::side::shell::Order;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer"];

/// Why an answer stopped before its end.
enum StopReason {
    /// The backend server failed or its answer is incomplete.
    Backend(BackendError),
    /// The control thread aborted the attempt.
    Aborted(ResultCode),
    /// The entry disconnected or abandoned the attempt.
    AbandonedByEntry,
}

impl From<BackendError> for StopReason {
    fn from(error: BackendError) -> Self {
        Self::Backend(error)
    }
}

impl From<CodecError> for StopReason {
    fn from(_: CodecError) -> Self {
        Self::AbandonedByEntry
    }
}

/// A started attempt, which is forwarded to the backend server.
pub(super) struct AttemptRelay<'a> {
    pub(super) cx: &'a Arc<SideContext>,
    pub(super) head: &'a AttemptHead,
    pub(super) stream: StreamKey,
    pub(super) engine_priority: u16,
    pub(super) span: &'a HopSpan,
}

impl AttemptRelay<'_> {
    /// Forwards the attempt and relays its answer. The last message to the entry and the returned
    /// code report how the attempt ended.
    pub(super) async fn run(
        &self,
        body: RequestBody,
        orders: &mut mpsc::Receiver<Order>,
        send: &mut SendStream,
    ) -> ResultCode {
        let relayed = match &self.cx.backend {
            Backend::Engine(engine) => self.relay_engine(engine, body, orders, send).await,
            Backend::Service(service) => self.relay_service(service, body, orders, send).await,
        };
        let code = self.send_outcome(relayed, send).await;
        self.span.set_attribute("result", i64::from(code.number()));
        let spec = &self.head.spec;
        log::info!("request={} attempt={} ended: {code}", spec.id, spec.number);
        code
    }

    async fn send_outcome(
        &self,
        relayed: Result<AnswerEnd, StopReason>,
        send: &mut SendStream,
    ) -> ResultCode {
        let (message, code) = match relayed {
            Ok(end) => (Relay::End(end), ResultCode::Ok),
            Err(StopReason::AbandonedByEntry) => return ResultCode::Cancelled,
            Err(StopReason::Aborted(code)) => (Relay::Failed { code }, code),
            Err(StopReason::Backend(error)) => {
                let (id, number) = (self.head.spec.id, self.head.spec.number);
                log::warn!("request={id} attempt={number} backend server error: {error}");
                let code = error.code();
                if code.is_not_run() {
                    send_refusal(send, code, None).await;
                    return code;
                }
                (Relay::Failed { code }, code)
            }
        };
        if codec::write_message(send, &message).await.is_ok() {
            finish_stream(send).await;
        }
        code
    }

    async fn relay_engine(
        &self,
        engine: &ModelEngine,
        body: RequestBody,
        orders: &mut mpsc::Receiver<Order>,
        send: &mut SendStream,
    ) -> Result<AnswerEnd, StopReason> {
        let span = HopSpan::start("engine", SpanKind::Client, &self.span.traceparent());
        let call = EngineCall {
            stream_id: EngineStreamId { id: self.head.spec.id, number: self.head.spec.number },
            priority: self.engine_priority,
            resume_tokens: self.head.resume_tokens,
            traceparent: span.traceparent(),
        };
        codec::write_message(send, &Relay::Forwarded).await?;
        let answer = engine.start_completion(&call, body);
        let mut answer = await_unless_stopped(answer, orders, send).await??;
        let mut checksum = Xxh3::new();
        let mut is_first = true;
        loop {
            let chunk =
                await_unless_stopped(EngineAnswer::next(&mut answer), orders, send).await??;
            match chunk {
                EngineChunk::Tokens { offset, count, text } => {
                    if is_first {
                        self.report_first_token().await;
                        is_first = false;
                    }
                    checksum.update(text.as_bytes());
                    codec::write_message(send, &Relay::Tokens { offset, count, text }).await?;
                }
                EngineChunk::End { total, finish_reason } => {
                    return Ok(AnswerEnd { total, checksum: checksum.digest(), finish_reason });
                }
            }
        }
    }

    async fn relay_service(
        &self,
        service: &PlainService,
        body: RequestBody,
        orders: &mut mpsc::Receiver<Order>,
        send: &mut SendStream,
    ) -> Result<AnswerEnd, StopReason> {
        let span = HopSpan::start("service", SpanKind::Client, &self.span.traceparent());
        let call = service_call(self.head.http.as_ref(), &span, self.head.body_bytes);
        codec::write_message(send, &Relay::Forwarded).await?;
        let response = await_unless_stopped(service.call(&call, body), orders, send).await??;
        self.report_first_token().await;
        let (status, headers) = response_head(&response);
        codec::write_message(send, &Relay::Head { status, headers }).await?;
        let mut body = response.into_body();
        let mut checksum = Xxh3::new();
        let mut offset = 0;
        while let Some(frame) = await_unless_stopped(body.frame(), orders, send).await? {
            let frame = frame.map_err(|e| BackendError::ConnectionLost {
                detail: CompactString::from(e.to_string()),
            })?;
            let Ok(bytes) = frame.into_data() else { continue };
            checksum.update(&bytes);
            let length = bytes.len() as u64;
            codec::write_message(send, &Relay::Bytes { offset, bytes }).await?;
            offset += length;
        }
        let finish_reason = CompactString::default();
        Ok(AnswerEnd { total: offset, checksum: checksum.digest(), finish_reason })
    }

    /// Reports the first token of a model, or the response head of a plain service.
    async fn report_first_token(&self) {
        let event = Event::FirstToken { stream: self.stream };
        // Fails only at the very end of the process, when the control thread has ended.
        let _ = self.cx.control.send(Input::Event(event)).await;
    }
}

/// Waits for `work`, unless the control thread aborts the attempt or the entry abandons it.
async fn await_unless_stopped<F: Future>(
    work: F,
    orders: &mut mpsc::Receiver<Order>,
    send: &mut SendStream,
) -> Result<F::Output, StopReason> {
    tokio::select! {
        biased;
        // Polled first: when an attempt is aborted at its deadline, its stream at the engine breaks
        // as well, but only the order holds the reason.
        code = await_abort(orders) => Err(StopReason::Aborted(code)),
        output = work => Ok(output),
        _ = send.stopped() => Err(StopReason::AbandonedByEntry),
    }
}

async fn await_abort(orders: &mut mpsc::Receiver<Order>) -> ResultCode {
    loop {
        match orders.recv().await {
            Some(Order::Abort(code)) => return code,
            Some(_) => {}
            None => std::future::pending().await,
        }
    }
}

fn service_call(http: Option<&HttpHead>, span: &HopSpan, body_bytes: u64) -> ServiceCall {
    let (method, path, mut headers) = match http {
        Some(http) => (http.method.clone(), http.path.clone(), http.headers.clone()),
        // An attempt without an HTTP head, which an entry sends only for a model.
        None => ("GET".into(), "/".into(), Vec::new()),
    };
    if body_bytes > 0 {
        headers.push(("content-length".into(), body_bytes.to_string().into_bytes()));
    }
    ServiceCall { method, path, headers, traceparent: span.traceparent() }
}

fn response_head(response: &Response<Incoming>) -> (u16, Vec<(CompactString, Vec<u8>)>) {
    (response.status().as_u16(), end_to_end_headers(response.headers()))
}

/// Returns the headers without hop-by-hop headers and `content-length`.
fn end_to_end_headers(headers: &HeaderMap) -> Vec<(CompactString, Vec<u8>)> {
    let headers = headers.iter().filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    let headers = headers.filter(|(name, _)| name.as_str() != "content-length");
    headers.map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec())).collect()
}
