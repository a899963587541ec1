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
use crate::side::attempt::finish;
use crate::side::attempt::refuse;
use crate::side::shell::Input;
use crate::side::shell::Order;

/// Headers that belong to one connection and are not passed on.
const CONNECTION_HEADERS: [&str; 6] =
    ["connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer"];

/// Why an answer stopped before its end.
enum Stop {
    /// The backend server's answer is not whole.
    Backend(BackendError),
    /// The control thread ended it.
    Aborted(ResultCode),
    /// The entry is gone or gave up.
    EntryGone,
}

impl From<BackendError> for Stop {
    fn from(error: BackendError) -> Self {
        Self::Backend(error)
    }
}

impl From<CodecError> for Stop {
    fn from(_: CodecError) -> Self {
        Self::EntryGone
    }
}

/// An attempt on its way to the backend server.
pub(super) struct Forward<'a> {
    pub(super) cx: &'a Arc<SideContext>,
    pub(super) head: &'a AttemptHead,
    pub(super) stream: StreamKey,
    pub(super) engine_priority: u16,
    pub(super) span: &'a HopSpan,
}

impl Forward<'_> {
    /// Forwards the attempt and relays its answer; the last message says how it ended, and so
    /// does the code that is returned.
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
        let code = self.conclude(relayed, send).await;
        self.span.set_attribute("result", i64::from(code.number()));
        let spec = &self.head.spec;
        log::info!("request={} attempt={} ended: {code}", spec.id, spec.number);
        code
    }

    async fn conclude(
        &self,
        relayed: Result<AnswerEnd, Stop>,
        send: &mut SendStream,
    ) -> ResultCode {
        let (message, code) = match relayed {
            Ok(end) => (Relay::End(end), ResultCode::Ok),
            Err(Stop::EntryGone) => return ResultCode::Cancelled,
            Err(Stop::Aborted(code)) => (Relay::Failed { code }, code),
            Err(Stop::Backend(error)) => {
                let (id, number) = (self.head.spec.id, self.head.spec.number);
                log::warn!("request={id} attempt={number} backend server: {error}");
                let code = error.code();
                if code.is_not_run() {
                    refuse(send, code, None).await;
                    return code;
                }
                (Relay::Failed { code }, code)
            }
        };
        if codec::write_message(send, &message).await.is_ok() {
            finish(send).await;
        }
        code
    }

    async fn relay_engine(
        &self,
        engine: &ModelEngine,
        body: RequestBody,
        orders: &mut mpsc::Receiver<Order>,
        send: &mut SendStream,
    ) -> Result<AnswerEnd, Stop> {
        let span = HopSpan::start("engine", SpanKind::Client, &self.span.traceparent());
        let call = EngineCall {
            stream_id: EngineStreamId { id: self.head.spec.id, number: self.head.spec.number },
            priority: self.engine_priority,
            resume_tokens: self.head.resume_tokens,
            traceparent: span.traceparent(),
        };
        codec::write_message(send, &Relay::Forwarded).await?;
        let answer = engine.start_completion(&call, body);
        let mut answer = guard(answer, orders, send).await??;
        let mut checksum = Xxh3::new();
        let mut is_first = true;
        loop {
            let chunk = guard(EngineAnswer::next(&mut answer), orders, send).await??;
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
    ) -> Result<AnswerEnd, Stop> {
        let span = HopSpan::start("service", SpanKind::Client, &self.span.traceparent());
        let call = service_call(self.head.http.as_ref(), &span, self.head.body_bytes);
        codec::write_message(send, &Relay::Forwarded).await?;
        let response = guard(service.call(&call, body), orders, send).await??;
        self.report_first_token().await;
        let (status, headers) = response_head(&response);
        codec::write_message(send, &Relay::Head { status, headers }).await?;
        let mut body = response.into_body();
        let mut checksum = Xxh3::new();
        let mut offset = 0;
        while let Some(frame) = guard(body.frame(), orders, send).await? {
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

    async fn report_first_token(&self) {
        let event = Event::FirstToken { stream: self.stream };
        // The control thread outlives all attempts but those at the very end of the process.
        let _ = self.cx.control.send(Input::Event(event)).await;
    }
}

/// Waits for `work`, unless the control thread aborts it or the entry gives it up.
async fn guard<F: Future>(
    work: F,
    orders: &mut mpsc::Receiver<Order>,
    send: &mut SendStream,
) -> Result<F::Output, Stop> {
    tokio::select! {
        biased;
        // A stream that ends at its deadline also breaks at the engine; the order says why.
        code = aborted(orders) => Err(Stop::Aborted(code)),
        output = work => Ok(output),
        _ = send.stopped() => Err(Stop::EntryGone),
    }
}

async fn aborted(orders: &mut mpsc::Receiver<Order>) -> ResultCode {
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
        None => ("GET".into(), "/".into(), Vec::new()),
    };
    if body_bytes > 0 {
        headers.push(("content-length".into(), body_bytes.to_string().into_bytes()));
    }
    ServiceCall { method, path, headers, traceparent: span.traceparent() }
}

fn response_head(response: &Response<Incoming>) -> (u16, Vec<(CompactString, Vec<u8>)>) {
    (response.status().as_u16(), passed_on(response.headers()))
}

/// Headers without those that belong to one connection.
fn passed_on(headers: &HeaderMap) -> Vec<(CompactString, Vec<u8>)> {
    let passed = headers.iter().filter(|(name, _)| !CONNECTION_HEADERS.contains(&name.as_str()));
    let passed = passed.filter(|(name, _)| name.as_str() != "content-length");
    passed.map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec())).collect()
}
