//! Calls to plain services: the forwarded request head and the idempotency key.

use axum::http::HeaderMap;
use axum::http::Method;
use bytes::Bytes;
use compact_str::CompactString;
use sha2::Digest;
use sha2::Sha256;
use snipespan_core::entry::event::Idempotency;
use snipespan_protocol::opening::HttpHead;

/// Header with the caller's idempotency key.
pub(super) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Maximum length of an idempotency key in bytes.
pub(super) const MAX_IDEMPOTENCY_KEY_BYTES: usize = 128;

/// Request headers that are not forwarded, as they concern the connection or this system.
const EXCLUDED_HEADERS: [&str; 12] = [
    "authorization",
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "traceparent",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "snipespan-timeout-ms",
];

/// Returns the request head that is sent to the service.
pub(super) fn http_head(method: &Method, path: &str, headers: &HeaderMap) -> HttpHead {
    let forwarded = headers.iter().filter(|(name, _)| !EXCLUDED_HEADERS.contains(&name.as_str()));
    let headers =
        forwarded.map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec())).collect();
    HttpHead { method: method.as_str().into(), path: path.into(), headers }
}

/// Returns whether a method is safe as HTTP defines it: it changes nothing at the service.
pub(super) fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

/// Returns the idempotency key of a call, if it has one, and a digest of service, method, path and
/// body.
///
/// # Errors
/// A message for the caller if the key is not valid.
pub(super) fn parse_idempotency(
    service: &str,
    head: &HttpHead,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Option<Idempotency>, &'static str> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    let key = value.to_str().unwrap_or_default();
    let has_valid_characters = key.bytes().all(|byte| byte.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES || !has_valid_characters {
        return Err("The header Idempotency-Key must be 1 to 128 visible ASCII characters.");
    }
    let mut hasher = Sha256::new();
    for part in [service, head.method.as_str(), head.path.as_str()] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(body);
    let digest = hasher.finalize();
    let mut half_digest = [0; 16];
    half_digest.copy_from_slice(&digest[..16]);
    Ok(Some(Idempotency {
        key: CompactString::from(key),
        digest: u128::from_le_bytes(half_digest),
    }))
}
