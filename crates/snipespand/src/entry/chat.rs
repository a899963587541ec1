//! The chat-completions shape: what a request says and what its body becomes for an engine.

use std::borrow::Cow;
use std::collections::BTreeMap;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde_json::value::RawValue;
use snipespan_core::cost::Cost;
use snipespan_core::entry::event::PREFIX_DIGESTS;
use snipespan_core::entry::event::PrefixDigests;
use snipespan_core::entry::event::prefix_digest_bytes;
use xxhash_rust::xxh3::Xxh3;

/// Fields that an entry sets itself when it passes a request on.
const OWN_FIELDS: [&str; 5] =
    ["messages", "stream", "stream_options", "max_tokens", "max_completion_tokens"];

/// Why a body is not a chat completion.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(super) enum ChatError {
    /// It is not a JSON object with the right fields.
    #[display("The body is not a chat completion: {detail}.")]
    Json {
        /// What the parser says.
        detail: CompactString,
    },
    /// A field is missing.
    #[display("The field {field:?} is missing.")]
    Missing {
        /// The field.
        field: &'static str,
    },
    /// A field has a value that is not served.
    #[display("The field {field:?} must be {allowed}.")]
    Value {
        /// The field.
        field: &'static str,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// A chat completion. The messages stay where they are in the caller's body.
#[derive(Clone, Debug)]
pub(super) struct ChatRequest {
    pub(super) model: CompactString,
    pub(super) is_stream: bool,
    pub(super) wants_usage: bool,
    pub(super) max_tokens: Option<u64>,
    pub(super) prompt_tokens: u64,
    pub(super) prefix: PrefixDigests,
    messages: Bytes,
    others: Bytes,
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

type Fields<'a> = BTreeMap<Cow<'a, str>, &'a RawValue>;

impl ChatRequest {
    /// Reads a body; only small fields are copied out of it.
    pub(super) fn parse(body: &Bytes) -> Result<Self, ChatError> {
        let fields: Fields = serde_json::from_slice(body).map_err(|e| json_error(&e))?;
        let messages = fields.get("messages").ok_or(ChatError::Missing { field: "messages" })?;
        check_messages(messages)?;
        let model: CompactString =
            field(&fields, "model")?.ok_or(ChatError::Missing { field: "model" })?;
        if field::<u64>(&fields, "n")?.is_some_and(|n| n != 1) {
            return Err(ChatError::Value { field: "n", allowed: "1" });
        }
        let max_tokens = match field(&fields, "max_completion_tokens")? {
            Some(max_tokens) => Some(max_tokens),
            None => field(&fields, "max_tokens")?,
        };
        if max_tokens == Some(0) {
            return Err(ChatError::Value { field: "max_tokens", allowed: "at least 1" });
        }
        let options: Option<StreamOptions> = field(&fields, "stream_options")?;
        let messages = messages.get().as_bytes();
        Ok(Self {
            model,
            is_stream: field(&fields, "stream")?.unwrap_or(false),
            wants_usage: options.unwrap_or_default().include_usage,
            max_tokens,
            prompt_tokens: Cost::tokens_of_text(messages.len()),
            prefix: prefix_marks(messages),
            messages: body.slice_ref(messages),
            others: other_fields(&fields),
        })
    }

    /// The body for an engine: streamed, with running counts of tokens, and at most
    /// `max_tokens` of them.
    pub(super) fn engine_body(&self, max_tokens: u64) -> Vec<Bytes> {
        let head = Bytes::from_static(b"{\"messages\":");
        let tail = format!(
            ",\"stream\":true,\"stream_options\":{{\"include_usage\":true,\
             \"continuous_usage_stats\":true}},\"max_tokens\":{max_tokens}"
        );
        vec![
            head,
            self.messages.clone(),
            Bytes::from(tail),
            self.others.clone(),
            Bytes::from_static(b"}"),
        ]
    }
}

fn field<'a, T: Deserialize<'a>>(
    fields: &Fields<'a>,
    name: &'static str,
) -> Result<Option<T>, ChatError> {
    let Some(value) = fields.get(name).filter(|value| value.get() != "null") else {
        return Ok(None);
    };
    let value = serde_json::from_str(value.get());
    value.map(Some).map_err(|e| ChatError::Json { detail: format_compact!("{name}: {e}") })
}

fn check_messages(messages: &RawValue) -> Result<(), ChatError> {
    let parts: Vec<&RawValue> = serde_json::from_str(messages.get())
        .map_err(|_| ChatError::Value { field: "messages", allowed: "an array of messages" })?;
    match parts.is_empty() {
        true => Err(ChatError::Value { field: "messages", allowed: "at least one message" }),
        false => Ok(()),
    }
}

/// The fields that an entry passes on as they are, each with a comma before it.
fn other_fields(fields: &Fields<'_>) -> Bytes {
    let others = fields.iter().filter(|(name, _)| !OWN_FIELDS.contains(&name.as_ref()));
    let mut text = String::new();
    for (name, value) in others {
        let name = serde_json::Value::from(name.as_ref());
        text.push_str(&format!(",{name}:{value}"));
    }
    Bytes::from(text)
}

fn prefix_marks(prompt: &[u8]) -> PrefixDigests {
    let mut marks = [0; PREFIX_DIGESTS];
    let mut hasher = Xxh3::new();
    let mut hashed = 0;
    for (index, mark) in marks.iter_mut().enumerate() {
        let Some(next) = prompt.get(hashed..prefix_digest_bytes(index)) else { break };
        hasher.update(next);
        hashed += next.len();
        *mark = hasher.digest().max(1);
    }
    marks
}

fn json_error(e: &serde_json::Error) -> ChatError {
    ChatError::Json { detail: format_compact!("{e}") }
}
