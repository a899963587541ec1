//! Chat completions: parsing of a request and the body that an engine receives.

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

/// Fields that an entry sets itself in the body for an engine; the others are copied.
const OVERWRITTEN_FIELDS: [&str; 5] =
    ["messages", "stream", "stream_options", "max_tokens", "max_completion_tokens"];

/// Error for a body that is not an acceptable chat completion.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(super) enum ChatError {
    /// The body is not a JSON object with fields of the expected types.
    #[display("The body is not a chat completion: {detail}.")]
    InvalidJson {
        /// The message of the JSON parser.
        detail: CompactString,
    },
    /// A required field is missing.
    #[display("The required field {field:?} is missing.")]
    MissingField {
        /// The name of the field.
        field: &'static str,
    },
    /// The value of a field is not supported.
    #[display("The field {field:?} must be {allowed}.")]
    InvalidValue {
        /// The name of the field.
        field: &'static str,
        /// The allowed values.
        allowed: &'static str,
    },
}

/// A chat completion. The messages are a slice of the caller's body, not a copy.
#[derive(Clone, Debug)]
pub(super) struct ChatRequest {
    pub(super) model: CompactString,
    pub(super) is_stream: bool,
    pub(super) wants_usage: bool,
    pub(super) max_tokens: Option<u64>,
    /// Number of prompt tokens, estimated from the length of the messages.
    pub(super) prompt_tokens: u64,
    pub(super) prefix_digests: PrefixDigests,
    messages: Bytes,
    other_fields: Bytes,
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

type Fields<'a> = BTreeMap<Cow<'a, str>, &'a RawValue>;

impl ChatRequest {
    /// Parses a body; all fields but the messages are copied.
    ///
    /// # Errors
    /// [`ChatError`] if the body is not an acceptable chat completion.
    pub(super) fn parse(body: &Bytes) -> Result<Self, ChatError> {
        let fields: Fields = serde_json::from_slice(body).map_err(|e| invalid_json(&e))?;
        let messages =
            fields.get("messages").ok_or(ChatError::MissingField { field: "messages" })?;
        validate_messages(messages)?;
        let model: CompactString =
            parse_field(&fields, "model")?.ok_or(ChatError::MissingField { field: "model" })?;
        if parse_field::<u64>(&fields, "n")?.is_some_and(|n| n != 1) {
            return Err(ChatError::InvalidValue { field: "n", allowed: "1" });
        }
        let max_tokens = match parse_field(&fields, "max_completion_tokens")? {
            Some(max_tokens) => Some(max_tokens),
            None => parse_field(&fields, "max_tokens")?,
        };
        if max_tokens == Some(0) {
            return Err(ChatError::InvalidValue { field: "max_tokens", allowed: "at least 1" });
        }
        let options: Option<StreamOptions> = parse_field(&fields, "stream_options")?;
        let messages = messages.get().as_bytes();
        Ok(Self {
            model,
            is_stream: parse_field(&fields, "stream")?.unwrap_or(false),
            wants_usage: options.unwrap_or_default().include_usage,
            max_tokens,
            prompt_tokens: Cost::tokens_of_text(messages.len()),
            prefix_digests: prefix_digests(messages),
            messages: body.slice_ref(messages),
            other_fields: other_fields(&fields),
        })
    }

    /// Returns the body for an engine, in parts. It requests a stream with running token counts
    /// and at most `max_tokens` tokens.
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
            self.other_fields.clone(),
            Bytes::from_static(b"}"),
        ]
    }
}

fn parse_field<'a, T: Deserialize<'a>>(
    fields: &Fields<'a>,
    name: &'static str,
) -> Result<Option<T>, ChatError> {
    let Some(value) = fields.get(name).filter(|value| value.get() != "null") else {
        return Ok(None);
    };
    let value = serde_json::from_str(value.get());
    value.map(Some).map_err(|e| ChatError::InvalidJson { detail: format_compact!("{name}: {e}") })
}

fn validate_messages(messages: &RawValue) -> Result<(), ChatError> {
    let items: Vec<&RawValue> = serde_json::from_str(messages.get()).map_err(|_| {
        ChatError::InvalidValue { field: "messages", allowed: "an array of messages" }
    })?;
    match items.is_empty() {
        true => Err(ChatError::InvalidValue { field: "messages", allowed: "at least one message" }),
        false => Ok(()),
    }
}

/// Returns the fields that an entry copies unchanged as JSON text, with a comma before each.
fn other_fields(fields: &Fields<'_>) -> Bytes {
    let others = fields.iter().filter(|(name, _)| !OVERWRITTEN_FIELDS.contains(&name.as_ref()));
    let mut text = String::new();
    for (name, value) in others {
        let name = serde_json::Value::from(name.as_ref());
        text.push_str(&format!(",{name}:{value}"));
    }
    Bytes::from(text)
}

/// Returns the digest of each prefix of the prompt; 0 stands for "no digest" where the prompt is
/// shorter, so a digest of 0 becomes 1.
fn prefix_digests(prompt: &[u8]) -> PrefixDigests {
    let mut digests = [0; PREFIX_DIGESTS];
    let mut hasher = Xxh3::new();
    let mut hashed = 0;
    for (index, digest) in digests.iter_mut().enumerate() {
        let Some(next) = prompt.get(hashed..prefix_digest_bytes(index)) else { break };
        hasher.update(next);
        hashed += next.len();
        *digest = hasher.digest().max(1);
    }
    digests
}

fn invalid_json(e: &serde_json::Error) -> ChatError {
    ChatError::InvalidJson { detail: format_compact!("{e}") }
}
