//! Client that sends requests and records their outcomes.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use snipespan_core::result_code::ResultCode;

use crate::outcome::CallOutcome;
use crate::outcome::ChatOutcome;

/// Chat completion to send.
#[derive(Clone, Debug)]
pub struct ChatCall<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Text of the only message.
    pub prompt: &'a str,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub is_stream: bool,
    /// Time limit that is sent with the request; `None` to send no limit.
    pub time_limit: Option<Duration>,
}

/// Call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall<'a> {
    /// HTTP method.
    pub method: Method,
    /// Name of the service.
    pub service: &'a str,
    /// Path at the service, with a leading slash.
    pub path: &'a str,
    /// Idempotency key; `None` to send none.
    pub idempotency_key: Option<&'a str>,
    /// Request body.
    pub body: &'a str,
    /// Time limit that is sent with the request; `None` to send no limit.
    pub time_limit: Option<Duration>,
}

/// Caller that sends requests with one API key.
#[derive(Clone, Debug)]
pub struct Caller {
    url: String,
    api_key: String,
    traceparent: Option<String>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a caller of the system at `url`, which has no trailing slash.
    pub fn new(url: &str, api_key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { url: url.to_owned(), api_key: api_key.to_owned(), traceparent: None, client }
    }

    /// Sets the W3C trace context that is sent with every request.
    #[must_use]
    pub fn with_traceparent(mut self, traceparent: &str) -> Self {
        self.traceparent = Some(traceparent.to_owned());
        self
    }

    /// Sends a chat completion and reads its answer to the end.
    pub async fn chat(&self, call: &ChatCall<'_>) -> ChatOutcome {
        let body = json!({
            "model": call.model,
            "messages": [{"role": "user", "content": call.prompt}],
            "max_tokens": call.max_tokens,
            "stream": call.is_stream,
        });
        self.chat_body(body.to_string(), call.is_stream, call.time_limit).await
    }

    /// Sends a chat completion with the given JSON body and reads its answer to the end.
    pub async fn chat_body(
        &self,
        body: String,
        is_stream: bool,
        time_limit: Option<Duration>,
    ) -> ChatOutcome {
        let started = Instant::now();
        let mut outcome = ChatOutcome::default();
        let req = self.build_request(Method::POST, "/v1/chat/completions", time_limit, None, body);
        match self.client.request(req).await {
            Ok(response) => read_response(response, is_stream, started, &mut outcome).await,
            Err(e) => outcome.detail = Some(format!("{e:?}")),
        }
        outcome.total = started.elapsed();
        outcome
    }

    /// Calls a plain service and reads its answer to the end.
    pub async fn call(&self, call: &ServiceCall<'_>) -> CallOutcome {
        let started = Instant::now();
        let mut outcome = CallOutcome::default();
        let path = format!("/services/{}{}", call.service, call.path);
        let method = call.method.clone();
        let req = self.build_request(
            method,
            &path,
            call.time_limit,
            call.idempotency_key,
            call.body.to_owned(),
        );
        if let Ok(response) = self.client.request(req).await {
            outcome.status = response.status().as_u16();
            outcome.code = parse_result_code(response.headers());
            outcome.is_replayed = response.headers().contains_key("idempotency-replayed");
            if let Ok(body) = response.into_body().collect().await {
                outcome.body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                outcome.is_complete = true;
            }
        }
        outcome.total = started.elapsed();
        outcome
    }

    /// Returns the HTTP status of a GET request of a path such as `/readyz`; 0 if no response was
    /// received.
    pub async fn get_status(&self, path: &str) -> u16 {
        let req = self.build_request(Method::GET, path, None, None, String::new());
        match self.client.request(req).await {
            Ok(response) => response.status().as_u16(),
            Err(_) => 0,
        }
    }

    /// Returns the HTTP status and body of a GET request; status 0 if no response was received.
    pub async fn get(&self, path: &str) -> (u16, String) {
        let req = self.build_request(Method::GET, path, None, None, String::new());
        let Ok(response) = self.client.request(req).await else { return (0, String::new()) };
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        (status, String::from_utf8_lossy(&body).into_owned())
    }

    /// Posts JSON to a path and returns the HTTP status; 0 if no response was received.
    pub async fn post(&self, path: &str, body: &Value) -> u16 {
        let mut req = self.build_request(Method::POST, path, None, None, body.to_string());
        let json = HeaderValue::from_static("application/json");
        req.headers_mut().insert("content-type", json);
        match self.client.request(req).await {
            Ok(response) => response.status().as_u16(),
            Err(_) => 0,
        }
    }

    /// Builds a request. Invalid header values are skipped; with an invalid URL, the request has
    /// no host and fails when it is sent.
    fn build_request(
        &self,
        method: Method,
        path: &str,
        time_limit: Option<Duration>,
        idempotency_key: Option<&str>,
        body: String,
    ) -> Request<Full<Bytes>> {
        let mut req = Request::new(Full::new(Bytes::from(body)));
        *req.method_mut() = method;
        if let Ok(uri) = format!("{}{path}", self.url).parse() {
            *req.uri_mut() = uri;
        }
        let headers = [
            ("authorization", Some(format!("Bearer {}", self.api_key))),
            ("traceparent", self.traceparent.clone()),
            ("idempotency-key", idempotency_key.map(str::to_owned)),
            ("snipespan-timeout-ms", time_limit.map(|limit| limit.as_millis().to_string())),
        ];
        for (name, value) in headers {
            let value = value.and_then(|value| value.parse().ok());
            value.map(|value| req.headers_mut().insert(name, value));
        }
        req
    }
}

async fn read_response(
    response: Response<Incoming>,
    is_stream: bool,
    started: Instant,
    outcome: &mut ChatOutcome,
) {
    outcome.status = response.status().as_u16();
    outcome.code = parse_result_code(response.headers());
    let id = response.headers().get("x-request-id").and_then(|id| id.to_str().ok());
    outcome.request_id = id.map(CompactString::from);
    let is_ok = response.status().is_success();
    match is_ok && is_stream {
        true => read_event_stream(response.into_body(), started, outcome).await,
        false => read_json_body(response.into_body(), is_ok, started, outcome).await,
    }
}

async fn read_event_stream(body: Incoming, started: Instant, outcome: &mut ChatOutcome) {
    let bytes = BodyStream::new(body)
        .filter_map(|frame| async { frame.map(|frame| frame.into_data().ok()).transpose() });
    let mut events = Box::pin(bytes.eventsource());
    while let Some(event) = events.next().await {
        let data = match event {
            Ok(event) => event.data,
            Err(e) => {
                outcome.detail = Some(format!("{e}"));
                return;
            }
        };
        if data == "[DONE]" {
            outcome.is_complete = true;
            return;
        }
        record_event(&data, started, outcome);
    }
}

fn record_event(data: &str, started: Instant, outcome: &mut ChatOutcome) {
    let Ok(event) = serde_json::from_str::<Value>(data) else {
        outcome.detail = Some(format!("event data is not JSON: {data}"));
        return;
    };
    if let Some(number) = event["error"]["number"].as_u64() {
        outcome.code = u16::try_from(number).ok().and_then(|n| ResultCode::try_from(n).ok());
        outcome.detail = Some(event["error"].to_string());
    }
    if let Some(text) = event["choices"][0]["delta"]["content"].as_str() {
        outcome.first_token.get_or_insert_with(|| started.elapsed());
        outcome.text_chunks += 1;
        outcome.text.push_str(text);
    }
}

async fn read_json_body(body: Incoming, is_ok: bool, started: Instant, outcome: &mut ChatOutcome) {
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) => {
            outcome.detail = Some(format!("{e}"));
            return;
        }
    };
    let body = serde_json::from_slice::<Value>(&body).unwrap_or_default();
    if !is_ok {
        outcome.detail = Some(body["error"].to_string());
        return;
    }
    if let Some(text) = body["choices"][0]["message"]["content"].as_str() {
        outcome.first_token = Some(started.elapsed());
        outcome.text_chunks = 1;
        outcome.text = text.to_owned();
        outcome.is_complete = true;
    }
}

fn parse_result_code(headers: &HeaderMap) -> Option<ResultCode> {
    let number = headers.get("snipespan-result-code")?.to_str().ok()?.parse::<u16>().ok()?;
    ResultCode::try_from(number).ok()
}
