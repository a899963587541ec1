//! Client of a model engine: chat completions as server-sent events, and its control calls.
//!
//! Each chunk must echo the request's identity, and its running count of tokens must continue
//! where the chunk before ended; the answer is whole only with a finish reason, the right count
//! and the closing mark.

use std::pin::Pin;

use compact_str::CompactString;
use compact_str::format_compact;
use eventsource_stream::Eventsource;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::BodyStream;
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
use crate::http::HttpClient;
use crate::http::RequestBody;
use crate::http::classify_error;
use crate::http::empty_body;

/// Header with the identity that the engine echoes in every chunk.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the tokens of the answer that are not to be sent again.
pub const RESUME_HEADER: &str = "x-resume-tokens";

/// Header with the priority, 0 first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header by which an engine states that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// The closing mark of a stream of chunks.
const DONE_DATA: &str = "[DONE]";

/// What to send with the body of a chat completion.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Its identity at the engine.
    pub stream_id: EngineStreamId,
    /// Priority, 0 first.
    pub priority: u16,
    /// Tokens of the answer that are not to be sent again.
    pub resume_tokens: u64,
    /// W3C trace context, empty without one.
    pub traceparent: CompactString,
}

/// Part of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineChunk {
    /// Tokens and their text.
    Tokens {
        /// Tokens of the whole answer before these.
        offset: u64,
        /// How many these are.
        count: u32,
        /// Their text.
        text: CompactString,
    },
    /// The answer is whole.
    End {
        /// Tokens of the whole answer.
        total: u64,
        /// Why the model stopped.
        finish_reason: CompactString,
    },
}

/// State of an engine as it reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Tokens of memory that it has.
    pub memory_tokens: u64,
    /// Tokens of memory that are in use.
    pub used_tokens: u64,
    /// Prompt tokens read in per second, as measured; 0 while unknown.
    pub prefill_tokens_per_s: u64,
    /// Identities of the streams that hold memory.
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

/// A model engine behind an HTTP address.
#[derive(Clone, Debug)]
pub struct ModelEngine {
    url: CompactString,
    client: HttpClient,
}

impl ModelEngine {
    /// The engine at `url`, without a slash at the end.
    pub fn new(url: &str, client: HttpClient) -> Self {
        Self { url: url.into(), client }
    }

    /// Sends a chat completion and returns its answer as it comes.
    ///
    /// # Errors
    /// [`BackendError`] when the engine does not begin an answer.
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
            .header(REQUEST_ID_HEADER, stream_id.as_str())
            .header(RESUME_HEADER, call.resume_tokens)
            .header(PRIORITY_HEADER, call.priority)
            .header("traceparent", call.traceparent.as_str())
            .body(body)
            .map_err(|e| invalid_request(&e))?;
        let response = self.client.request(req).await.map_err(|e| classify_error(&e))?;
        check_status(&response)?;
        Ok(EngineAnswer::new(stream_id, call.resume_tokens, response.into_body()))
    }

    /// Asks for the engine's state.
    ///
    /// # Errors
    /// [`BackendError`] when it gives no answer.
    pub async fn fetch_state(&self) -> Result<EngineState, BackendError> {
        let response = self.send_control_request(Method::GET, "/v1/engine/state").await?;
        let body = response.into_body().collect().await.map_err(|e| connection_lost(&e))?;
        serde_json::from_slice(&body.to_bytes()).map_err(|e| corrupt_answer(&e))
    }

    /// Tells the engine to free a stream; freeing one that it does not have is no error.
    ///
    /// # Errors
    /// [`BackendError`] when it gives no answer.
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

type EventDataStream = Pin<Box<dyn Stream<Item = Result<CompactString, BackendError>> + Send>>;

/// The answer of an engine, checked as it comes.
pub struct EngineAnswer {
    stream_id: CompactString,
    offset: u64,
    finish_reason: Option<CompactString>,
    events: EventDataStream,
}

impl EngineAnswer {
    fn new(stream_id: CompactString, offset: u64, body: Incoming) -> Self {
        let frames = BodyStream::new(body)
            .filter_map(|frame| async { frame.map(|frame| frame.into_data().ok()).transpose() });
        let events = frames.eventsource().map(|event| match event {
            Ok(event) => Ok(CompactString::from(event.data)),
            Err(e) => Err(BackendError::ConnectionLost { detail: format_compact!("{e}") }),
        });
        Self { stream_id, offset, finish_reason: None, events: Box::pin(events) }
    }

    /// The next part of the answer.
    ///
    /// # Errors
    /// [`BackendError`] when the answer breaks off or is not one to this request.
    pub async fn next(&mut self) -> Result<EngineChunk, BackendError> {
        loop {
            let Some(data) = self.events.next().await.transpose()? else {
                return Err(BackendError::ConnectionLost {
                    detail: "the stream ended early".into(),
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
            None => Err(protocol_violation("the closing mark came before a finish reason")),
        }
    }

    /// Checks a chunk and returns its tokens, if it has any.
    fn process_chunk(&mut self, chunk: Chunk) -> Result<Option<EngineChunk>, BackendError> {
        if chunk.id != self.stream_id {
            return Err(protocol_violation("a chunk of another request"));
        }
        let choice = chunk.choices.into_iter().next();
        let (content, finish_reason, token_ids) = match choice {
            Some(choice) => (choice.delta.content, choice.finish_reason, choice.token_ids),
            None => (None, None, None),
        };
        let text = content.unwrap_or_default();
        let count = match (&token_ids, text.is_empty()) {
            (Some(ids), _) => ids.len() as u64,
            (None, true) => 0,
            (None, false) => 1,
        };
        let offset = self.offset;
        let end_offset = offset + count;
        let is_contiguous = chunk.usage.is_none_or(|usage| usage.completion_tokens == end_offset);
        if !is_contiguous {
            return Err(protocol_violation("a chunk is repeated, missing or out of order"));
        }
        let is_after_finish = self.finish_reason.is_some() && count > 0;
        if is_after_finish {
            return Err(protocol_violation("tokens after the finish reason"));
        }
        self.offset = end_offset;
        self.finish_reason = finish_reason.or(self.finish_reason.take());
        let count = u32::try_from(count).map_err(|e| corrupt_answer(&e))?;
        Ok((count > 0).then_some(EngineChunk::Tokens { offset, count, text }))
    }
}

/// The identity of a stream at an engine.
pub fn format_stream_id(stream_id: EngineStreamId) -> CompactString {
    format_compact!("{}-{}", stream_id.id, stream_id.number)
}

/// The stream of an identity, `None` for identities that this system did not make.
pub fn parse_stream_id(stream_id: &str) -> Option<EngineStreamId> {
    let (id, number) = stream_id.split_once('-')?;
    let id = RequestId(u128::from_str_radix(id, 16).ok()?);
    let number = AttemptNumber(number.parse().ok()?);
    Some(EngineStreamId { id, number })
}

/// Tells a refusal that is proven not to have run from other errors.
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
    BackendError::Unreachable { detail: format_compact!("not a request: {e}") }
}

fn connection_lost(e: &hyper::Error) -> BackendError {
    BackendError::ConnectionLost { detail: format_compact!("{e}") }
}

fn corrupt_answer(e: &impl std::fmt::Display) -> BackendError {
    BackendError::Corrupt { detail: format_compact!("{e}") }
}

fn protocol_violation(detail: &str) -> BackendError {
    BackendError::Corrupt { detail: detail.into() }
}
