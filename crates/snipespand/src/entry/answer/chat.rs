//! Answers to chat completions, streamed as server-sent events or sent as one JSON object.

use axum::body::Body;
use axum::http::HeaderValue;
use axum::http::Response;
use bytes::Bytes;
use compact_str::CompactString;
use serde::Serialize;
use snipespan_core::identity::RequestId;
use snipespan_core::result_code::ResultCode;
use snipespan_protocol::relay::AnswerEnd;

use crate::entry::answer::CallerOutput;
use crate::entry::answer::CorruptAnswer;
use crate::entry::chat::ChatRequest;
use crate::error_body::ErrorBody;

/// The last event of a complete stream.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// An answer to a chat completion.
pub(super) struct ChatAnswer {
    request: RequestId,
    id: String,
    model: CompactString,
    is_stream: bool,
    wants_usage: bool,
    prompt_tokens: u64,
    /// Number of answer tokens received so far, over all attempts.
    tokens: u64,
    text: String,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: &'a [ChunkChoice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Default, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

impl ChatAnswer {
    pub(super) fn new(request: RequestId, req: &ChatRequest) -> Self {
        Self {
            request,
            id: format!("chatcmpl-{request}"),
            model: req.model.clone(),
            is_stream: req.is_stream,
            wants_usage: req.wants_usage,
            prompt_tokens: req.prompt_tokens,
            tokens: 0,
            text: String::new(),
        }
    }

    pub(super) const fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(super) async fn forward(
        &mut self,
        output: &mut CallerOutput,
        offset: u64,
        count: u32,
        text: &str,
    ) -> Result<(), CorruptAnswer> {
        if offset != self.tokens {
            return Err(CorruptAnswer);
        }
        self.tokens += u64::from(count);
        if !self.is_stream {
            self.text.push_str(text);
            return Ok(());
        }
        let role = output.head.is_some().then_some("assistant");
        self.start_stream(output);
        let delta = Delta { role, content: Some(text) };
        output.send_part(self.delta_event(delta, None)).await;
        Ok(())
    }

    pub(super) async fn finish(
        &mut self,
        output: &mut CallerOutput,
        end: &AnswerEnd,
    ) -> Result<u64, CorruptAnswer> {
        if end.total != self.tokens {
            return Err(CorruptAnswer);
        }
        if !self.is_stream {
            output.send_response(json_response(self.completion_json(&end.finish_reason)));
            return Ok(self.tokens);
        }
        self.start_stream(output);
        output.send_part(self.delta_event(Delta::default(), Some(&end.finish_reason))).await;
        if self.wants_usage {
            output.send_part(self.chunk_event(&[], Some(self.usage()))).await;
        }
        output.send_part(Bytes::from_static(DONE_EVENT)).await;
        output.body = None;
        Ok(self.tokens)
    }

    /// Ends a started stream with an error event, without the [`DONE_EVENT`] of a complete stream.
    pub(super) async fn fail(&self, output: &mut CallerOutput, code: ResultCode) {
        let error = ErrorBody::new(self.request, code, None).to_json();
        output.send_part(Bytes::from(format!("data: {error}\n\n"))).await;
    }

    fn start_stream(&self, output: &mut CallerOutput) {
        if output.head.is_none() {
            return;
        }
        output.start_body(|body| {
            let mut response = Response::new(body);
            let headers = response.headers_mut();
            headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
            headers.insert("cache-control", HeaderValue::from_static("no-cache"));
            response
        });
    }

    fn delta_event(&self, delta: Delta<'_>, finish_reason: Option<&str>) -> Bytes {
        self.chunk_event(&[ChunkChoice { index: 0, delta, finish_reason }], None)
    }

    fn chunk_event(&self, choices: &[ChunkChoice<'_>], usage: Option<Usage>) -> Bytes {
        let object = "chat.completion.chunk";
        let chunk = Chunk { id: &self.id, object, model: &self.model, choices, usage };
        let mut event = Vec::with_capacity(256);
        event.extend_from_slice(b"data: ");
        // Serializing these structs into memory cannot fail.
        let _ = serde_json::to_writer(&mut event, &chunk);
        event.extend_from_slice(b"\n\n");
        Bytes::from(event)
    }

    fn completion_json(&self, finish_reason: &str) -> String {
        let message = Message { role: "assistant", content: &self.text };
        let completion = Completion {
            id: &self.id,
            object: "chat.completion",
            model: &self.model,
            choices: [CompletionChoice { index: 0, message, finish_reason }],
            usage: self.usage(),
        };
        serde_json::to_string(&completion).unwrap_or_default()
    }

    const fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.tokens,
            total_tokens: self.prompt_tokens + self.tokens,
        }
    }
}

fn json_response(body: String) -> Response<Body> {
    let mut response = Response::new(Body::from(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}
