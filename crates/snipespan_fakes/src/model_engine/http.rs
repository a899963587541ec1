//! The HTTP interface of an engine.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc;

use crate::model_engine::EngineFaults;
use crate::model_engine::Shared;
use crate::model_engine::batch;
use crate::model_engine::batch::MAX_UNSENT_TOKENS;
use crate::model_engine::batch::Output;
use crate::model_engine::batch::Stream;
use crate::model_engine::cache_events;
use crate::model_engine::orders;
use crate::model_engine::token_text;
use crate::sync::lock;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 256 << 20;

/// Interval at which the handlers of a frozen engine check whether it is still frozen.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The fields of a chat completion request that the engine uses.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
    messages: Vec<Message>,
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(complete_chat))
        .route("/v1/engine/state", get(report_state))
        .route("/v1/engine/streams/{identity}/cancel", post(cancel_stream))
        .route("/v1/engine/streams/{identity}/kv", get(export_kv).post(import_kv))
        .route("/v1/engine/cache_events", get(cache_events::read_cache_events))
        .route("/v1/engine/orders", post(orders::handle_order))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(shared)
}

/// Waits until the engine is not frozen, and returns its faults at that time.
async fn wait_until_unfrozen(shared: &Shared) -> EngineFaults {
    loop {
        let faults = *lock(&shared.faults);
        if !faults.is_frozen {
            return faults;
        }
        tokio::time::sleep(FROZEN_POLL_INTERVAL).await;
    }
}

/// Reports memory, prefill rate and streams; used memory and streams are as old as the report lag.
async fn report_state(State(shared): State<Arc<Shared>>) -> Response {
    wait_until_unfrozen(&shared).await;
    let lag = shared.config.report_lag;
    let (used_tokens, streams) = lock(&shared.batch).delayed_state(Instant::now(), lag);
    let steps_per_s = 1.0 / shared.config.step_time.as_secs_f64();
    let state = json!({
        "memory_tokens": shared.config.memory_tokens,
        "used_tokens": used_tokens,
        "prefill_tokens_per_s": (shared.config.step_tokens as f64 * steps_per_s) as u64,
        "streams": streams,
    });
    Json(state).into_response()
}

/// Removes a stream, and answers 200 whether or not it exists.
async fn cancel_stream(
    State(shared): State<Arc<Shared>>,
    Path(identity): Path<String>,
) -> Response {
    wait_until_unfrozen(&shared).await;
    let mut faults = lock(&shared.faults);
    if faults.lose_cancels > 0 {
        faults.lose_cancels -= 1;
        return StatusCode::OK.into_response();
    }
    drop(faults);
    lock(&shared.batch).remove_stream(&identity);
    StatusCode::OK.into_response()
}

/// Size of a stream's KV cache, in tokens.
#[derive(Debug, Deserialize, Serialize)]
struct KvCacheSize {
    tokens: u64,
}

/// Exports the KV cache of a stream, which keeps its memory.
async fn export_kv(State(shared): State<Arc<Shared>>, Path(identity): Path<String>) -> Response {
    wait_until_unfrozen(&shared).await;
    match lock(&shared.batch).exportable_tokens(&identity) {
        Some(tokens) => Json(KvCacheSize { tokens }).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

/// Imports a KV cache as a stream with this identity, which occupies memory until it is cancelled.
async fn import_kv(
    State(shared): State<Arc<Shared>>,
    Path(identity): Path<String>,
    Json(cache): Json<KvCacheSize>,
) -> StatusCode {
    wait_until_unfrozen(&shared).await;
    lock(&shared.batch).add_idle_stream(&identity, cache.tokens);
    StatusCode::OK
}

/// Answers a chat completion request with a stream of events.
async fn complete_chat(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let faults = wait_until_unfrozen(&shared).await;
    if faults.refuses {
        return (StatusCode::SERVICE_UNAVAILABLE, [("x-not-run", "1")]).into_response();
    }
    let Ok(completion) = serde_json::from_slice::<CompletionRequest>(&body) else {
        return (StatusCode::BAD_REQUEST, [("x-not-run", "1")]).into_response();
    };
    drop(body);
    let answer = start_answer(&shared, &headers, &completion);
    let stream = futures_util::stream::unfold(answer, |answer| async {
        let mut answer = answer?;
        let next = answer.next().await;
        next.map(|event| (Ok::<_, Infallible>(event), Some(answer)))
    });
    let body = Body::from_stream(fail_on_empty_event(stream));
    ([("content-type", "text/event-stream")], body).into_response()
}

/// Replaces an empty event by an error, which breaks the connection.
fn fail_on_empty_event(
    stream: impl futures_util::Stream<Item = Result<Bytes, Infallible>>,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    futures_util::StreamExt::map(stream, |event| {
        let event = event.unwrap_or_default();
        match event.is_empty() {
            true => Err(std::io::Error::other("the fake breaks the connection")),
            false => Ok(event),
        }
    })
}

/// Records a completion request and adds its stream to the batch. Returns the answer to send; never
/// `None`.
fn start_answer(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    completion: &CompletionRequest,
) -> Option<Answer> {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let identity = header("x-request-id").unwrap_or("unnamed").to_owned();
    let number = |name: &str| header(name).and_then(|text| text.parse::<u64>().ok());
    let priority = number("x-priority").unwrap_or(0) as u16;
    let position = number("x-resume-tokens").unwrap_or(0);
    let prompt: String = completion.messages.iter().map(|m| m.content.as_str()).collect();
    let (tx, rx) = mpsc::channel(MAX_UNSENT_TOKENS);
    let mut log = lock(&shared.log);
    *log.started.entry(identity.clone()).or_default() += 1;
    log.priorities.push(priority);
    drop(log);
    lock(&shared.batch).add_stream(Stream {
        identity: identity.clone(),
        priority,
        prompt_tokens: batch::count_tokens(&prompt),
        block_digests: batch::digest_blocks(&prompt),
        position,
        max_output: completion.max_tokens.unwrap_or(16),
        tx,
        remaining_prefill_tokens: 0,
        is_admitted: false,
    });
    shared.work_added.notify_one();
    let prompt_digest = xxhash_rust::xxh3::xxh3_64(prompt.as_bytes());
    Some(Answer {
        shared: Arc::clone(shared),
        identity,
        prompt_digest,
        rx,
        swapped_token: None,
        is_ended: false,
    })
}

/// An answer that is being sent. Each of its events is subject to the faults at the time when it is
/// sent.
struct Answer {
    shared: Arc<Shared>,
    identity: String,
    prompt_digest: u64,
    rx: mpsc::Receiver<Output>,
    /// Position of the token that is delayed until the next one is sent.
    swapped_token: Option<u64>,
    is_ended: bool,
}

impl Answer {
    /// Returns the next bytes to send. Empty bytes break the connection: a fault requires it, or
    /// the stream was removed before its end.
    async fn next(&mut self) -> Option<Bytes> {
        while !self.is_ended {
            let output = self.rx.recv().await;
            let faults = wait_until_unfrozen(&self.shared).await;
            match output {
                Some(Output::Token(position)) => {
                    if let Some(event) = self.token_events(position, faults) {
                        return Some(event);
                    }
                }
                Some(Output::End(total)) => {
                    self.is_ended = true;
                    return Some(Bytes::from(self.end_events(total)));
                }
                None => {
                    self.is_ended = true;
                    return Some(Bytes::new());
                }
            }
        }
        None
    }

    /// Returns the events for a token under `faults`, or `None` if there is nothing to send yet.
    fn token_events(&mut self, position: u64, faults: EngineFaults) -> Option<Bytes> {
        if faults.disconnect_after.is_some_and(|after| position >= after) {
            self.is_ended = true;
            return Some(Bytes::new());
        }
        if faults.truncate_after.is_some_and(|after| position >= after) {
            self.is_ended = true;
            return Some(Bytes::from("data: [DONE]\n\n"));
        }
        if faults.skip_token == Some(position) {
            return None;
        }
        if faults.swap_token == Some(position) {
            self.swapped_token = Some(position);
            return None;
        }
        let mut events = self.token_event(position, faults.mislabel_token == Some(position));
        if faults.repeat_token == Some(position) {
            events.push_str(&self.token_event(position, false));
        }
        if let Some(swapped) = self.swapped_token.take() {
            events.push_str(&self.token_event(swapped, false));
        }
        Some(Bytes::from(events))
    }

    /// Returns the event of one token.
    fn token_event(&self, position: u64, is_mislabelled: bool) -> String {
        let id = if is_mislabelled { "another" } else { self.identity.as_str() };
        let content = token_text(self.prompt_digest, position);
        let reached = position + 1;
        format!(
            "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"{content}\"}},\"finish_reason\":null}}],\
             \"usage\":{{\"completion_tokens\":{reached}}}}}\n\n"
        )
    }

    /// Returns the event with the finish reason, followed by `[DONE]`.
    fn end_events(&self, total: u64) -> String {
        let id = &self.identity;
        let last = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
            "usage": {"completion_tokens": total},
        });
        format!("data: {last}\n\ndata: [DONE]\n\n")
    }
}
