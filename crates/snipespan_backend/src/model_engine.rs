//! Client of a model engine: chat completions as server-sent events, and control requests.
//!
//! A stream is the answer to one attempt of a request, and its id names both. Each chunk must
//! repeat the stream id, and a token count in a chunk must be the number of tokens received so far.
//! An answer is complete only if it has a finish reason, no wrong token count and the final
//! `[DONE]` event.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use eventsource_stream::Eventsource;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use snipespan_core::identity::AttemptNumber;
use snipespan_core::identity::RequestId;
use snipespan_core::side::event::EngineStreamId;

use crate::error::BackendError;
use crate::http::BodyError;
use crate::http::HttpClient;
use crate::http::RequestBody;
use crate::http::classify_error;
use crate::http::empty_body;

/// Header with the stream id that the engine repeats in every chunk.
pub const STREAM_ID_HEADER: &str = "x-request-id";

/// Header with the number of answer tokens that the engine must skip when a stream is resumed.
pub const RESUME_HEADER: &str = "x-resume-tokens";

/// Header with the priority; 0 is the highest.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header that an engine sets if it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Maximum length of the state of an engine in bytes; 10,000 streams take less than half of it.
const MAX_STATE_BYTES: usize = 1 << 20;

/// Maximum number of bytes from one event of an answer to the next, comments included; an event
/// contains a few tokens.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Data of the event that ends a stream of chunks.
const DONE_DATA: &str = "[DONE]";

/// Parameters that are sent with the body of a chat completion.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Id of the stream at the engine.
    pub stream_id: EngineStreamId,
    /// Priority; 0 is the highest.
    pub priority: u16,
    /// Number of answer tokens that the engine must skip; above 0 for a resumed stream.
    pub resume_tokens: u64,
    /// W3C trace context; empty if there is none.
    pub traceparent: CompactString,
}

/// Validated part of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineChunk {
    /// Generated tokens with their text.
    Tokens {
        /// Number of tokens in the answer before these.
        offset: u64,
        /// Number of tokens; at least 1.
        count: u32,
        /// Text of the tokens.
        text: CompactString,
    },
    /// The answer is complete.
    End {
        /// Number of tokens in the complete answer.
        total: u64,
        /// Reason why the model stopped, as the engine reports it.
        finish_reason: CompactString,
    },
}

/// State of an engine, as reported by the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Capacity of the KV cache memory, in tokens.
    pub memory_tokens: u64,
    /// Used part of this memory, in tokens.
    pub used_tokens: u64,
    /// Measured prefill rate in prompt tokens per second; 0 while unknown.
    pub prefill_tokens_per_s: u64,
    /// Ids of the streams that occupy KV cache memory.
    pub streams: Vec<CompactString>,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    id: CompactString,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<CompactString>,
    token_ids: Option<Vec<u64>>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: Option<CompactString>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    completion_tokens: u64,
}

/// Client of one model engine.
#[derive(Clone, Debug)]
pub struct ModelEngine {
    url: CompactString,
    client: HttpClient,
}

impl ModelEngine {
    /// Creates a client of the engine at `url`, which has no trailing slash.
    pub fn new(url: &str, client: HttpClient) -> Self {
        Self { url: url.into(), client }
    }

    /// Sends a chat completion and returns its streamed answer.
    ///
    /// # Errors
    /// [`BackendError`] if the request fails before the engine's answer begins.
    pub async fn start_completion(
        &self,
        call: &EngineCall,
        body: RequestBody,
    ) -> Result<EngineAnswer, BackendError> {
        let stream_id = format_stream_id(call.stream_id);
        let uri = format!("{}/v1/chat/completions", self.url);
        let req = Request::builder()
            .method(Method::POST)
            .uri(uri)
            .header("content-type", "application/json")
            .header(STREAM_ID_HEADER, stream_id.as_str())
            .header(RESUME_HEADER, call.resume_tokens)
            .header(PRIORITY_HEADER, call.priority)
            .header("traceparent", call.traceparent.as_str())
            .body(body)
            .map_err(|e| invalid_request(&e))?;
        let response = self.client.request(req).await.map_err(|e| classify_error(&e))?;
        check_status(&response)?;
        Ok(EngineAnswer::new(stream_id, call.resume_tokens, response.into_body()))
    }

    /// Fetches the state of the engine.
    ///
    /// # Errors
    /// [`BackendError`] if the engine returns no valid answer.
    pub async fn fetch_state(&self) -> Result<EngineState, BackendError> {
        let response = self.send_control_request(Method::GET, "/v1/engine/state").await?;
        let body = Limited::new(response.into_body(), MAX_STATE_BYTES).collect().await;
        let body = body.map_err(|e| connection_lost(&e))?;
        serde_json::from_slice(&body.to_bytes()).map_err(|e| corrupt_answer(&e))
    }

    /// Cancels a stream so that the engine frees its memory; an unknown stream is no error.
    ///
    /// # Errors
    /// [`BackendError`] if the engine returns no answer or an error.
    pub async fn cancel_stream(&self, stream_id: EngineStreamId) -> Result<(), BackendError> {
        let path = format!("/v1/engine/streams/{}/cancel", format_stream_id(stream_id));
        self.send_control_request(Method::POST, &path).await?;
        Ok(())
    }

    async fn send_control_request(
        &self,
        method: Method,
        path: &str,
    ) -> Result<Response<Incoming>, BackendError> {
        let uri = format!("{}{path}", self.url);
        let req = Request::builder().method(method).uri(uri);
        let req = req.body(empty_body()).map_err(|e| invalid_request(&e))?;
        let response = self.client.request(req).await.map_err(|e| classify_error(&e))?;
        check_status(&response)?;
        Ok(response)
    }
}

/// Counts the bytes that were received since the last complete event, and fails beyond
/// [`MAX_EVENT_BYTES`].
fn limit_event(
    data: Result<Bytes, hyper::Error>,
    unfinished: &AtomicUsize,
) -> Result<Bytes, BodyError> {
    let data = data?;
    let before = unfinished.fetch_add(data.len(), Ordering::Relaxed);
    match before > MAX_EVENT_BYTES {
        true => Err(format!("over {MAX_EVENT_BYTES} bytes without a complete event").into()),
        false => Ok(data),
    }
}

type EventDataStream = Pin<Box<dyn Stream<Item = Result<CompactString, BackendError>> + Send>>;

/// Streamed answer of an engine, validated chunk by chunk.
pub struct EngineAnswer {
    stream_id: CompactString,
    offset: u64,
    finish_reason: Option<CompactString>,
    events: EventDataStream,
}

impl EngineAnswer {
    fn new(stream_id: CompactString, offset: u64, body: Incoming) -> Self {
        let unfinished = Arc::new(AtomicUsize::new(0));
        let received = Arc::clone(&unfinished);
        let frames = BodyStream::new(body).filter_map(move |frame| {
            let data = frame.map(|frame| frame.into_data().ok()).transpose();
            let limited = data.map(|data| limit_event(data, &received));
            std::future::ready(limited)
        });
        let events = frames.eventsource().map(move |event| match event {
            Ok(event) => {
                unfinished.store(0, Ordering::Relaxed);
                Ok(CompactString::from(event.data))
            }
            Err(e) => Err(BackendError::ConnectionLost { detail: format_compact!("{e}") }),
        });
        Self { stream_id, offset, finish_reason: None, events: Box::pin(events) }
    }

    /// Returns the next part of the answer.
    ///
    /// # Errors
    /// [`BackendError`] if the stream ends early or a chunk is invalid or of another request.
    pub async fn next(&mut self) -> Result<EngineChunk, BackendError> {
        loop {
            let Some(data) = self.events.next().await.transpose()? else {
                return Err(BackendError::ConnectionLost {
                    detail: "the event stream ended before [DONE]".into(),
                });
            };
            if data == DONE_DATA {
                return self.finish();
            }
            let chunk: Chunk = serde_json::from_str(&data).map_err(|e| corrupt_answer(&e))?;
            if let Some(tokens) = self.process_chunk(chunk)? {
                return Ok(tokens);
            }
        }
    }

    fn finish(&mut self) -> Result<EngineChunk, BackendError> {
        match self.finish_reason.take() {
            Some(finish_reason) => Ok(EngineChunk::End { total: self.offset, finish_reason }),
            None => Err(protocol_violation("[DONE] was received before a finish reason")),
        }
    }

    /// Validates a chunk and returns its tokens, or `None` if it has none.
    fn process_chunk(&mut self, chunk: Chunk) -> Result<Option<EngineChunk>, BackendError> {
        if chunk.id != self.stream_id {
            return Err(protocol_violation("a chunk has the id of another stream"));
        }
        let choice = chunk.choices.into_iter().next();
        let (content, finish_reason, token_ids) = match choice {
            Some(choice) => (choice.delta.content, choice.finish_reason, choice.token_ids),
            None => (None, None, None),
        };
        let text = content.unwrap_or_default();
        // A text without token ids counts as one token.
        let count = match (&token_ids, text.is_empty()) {
            (Some(ids), _) => ids.len() as u64,
            (None, true) => 0,
            (None, false) => 1,
        };
        let offset = self.offset;
        let end_offset = offset + count;
        let is_contiguous = chunk.usage.is_none_or(|usage| usage.completion_tokens == end_offset);
        if !is_contiguous {
            return Err(protocol_violation(
                "a chunk is repeated, missing or out of order: the token counts differ",
            ));
        }
        let is_after_finish = self.finish_reason.is_some() && count > 0;
        if is_after_finish {
            return Err(protocol_violation("a chunk has tokens after the finish reason"));
        }
        self.offset = end_offset;
        self.finish_reason = finish_reason.or(self.finish_reason.take());
        let count = u32::try_from(count).map_err(|e| corrupt_answer(&e))?;
        Ok((count > 0).then_some(EngineChunk::Tokens { offset, count, text }))
    }
}

/// Formats the id of a stream as the engine receives it: the request id in hexadecimal digits, a
/// dash and the attempt number.
pub fn format_stream_id(stream_id: EngineStreamId) -> CompactString {
    format_compact!("{}-{}", stream_id.id, stream_id.number)
}

/// Parses the id of a stream; returns `None` if it does not have the form of [`format_stream_id`],
/// such as the id of a stream of another client.
pub fn parse_stream_id(stream_id: &str) -> Option<EngineStreamId> {
    let (id, number) = stream_id.split_once('-')?;
    let id = RequestId(u128::from_str_radix(id, 16).ok()?);
    let number = AttemptNumber(number.parse().ok()?);
    Some(EngineStreamId { id, number })
}

/// Checks the HTTP status. A refusal is an error status with the not-run header, or status 429;
/// after any other error status the request may have run.
fn check_status(response: &Response<Incoming>) -> Result<(), BackendError> {
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    let is_not_run = response.headers().contains_key(NOT_RUN_HEADER);
    match is_not_run || status == StatusCode::TOO_MANY_REQUESTS {
        true => Err(BackendError::Refused { status: status.as_u16() }),
        false => Err(BackendError::Failed { status: status.as_u16() }),
    }
}

fn invalid_request(e: &hyper::http::Error) -> BackendError {
    BackendError::Unreachable { detail: format_compact!("invalid HTTP request: {e}") }
}

fn connection_lost(e: &impl std::fmt::Display) -> BackendError {
    BackendError::ConnectionLost { detail: format_compact!("{e}") }
}

fn corrupt_answer(e: &impl std::fmt::Display) -> BackendError {
    BackendError::Corrupt { detail: format_compact!("{e}") }
}

fn protocol_violation(detail: &str) -> BackendError {
    BackendError::Corrupt { detail: detail.into() }
}
