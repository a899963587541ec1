//! A client's request as its task receives it.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Uri;
use hyper::header;
use snipespan_core::gateway::event::Arrival;
use snipespan_core::keys::CallerKey;
use snipespan_core::time::Timestamp;
use snipespan_platform_adapter::headers::RequestFields;

use crate::gateway::memory::Lease;

/// A client's request with its complete body.
#[derive(Debug)]
pub(in crate::gateway) struct InboundRequest {
    pub(in crate::gateway) method: Method,
    pub(in crate::gateway) uri: Uri,
    pub(in crate::gateway) headers: HeaderMap,
    pub(in crate::gateway) fields: RequestFields,
    /// When its head was received.
    pub(in crate::gateway) received: Timestamp,
    pub(in crate::gateway) body: Bytes,
    /// Memory that the request takes besides its body.
    pub(in crate::gateway) _overhead: Lease,
}

impl InboundRequest {
    /// Returns the arrival of the request, without the key of its caller, which the shell sets. The parts
    /// of the prompt, which may be thousands, move to it.
    pub(super) fn arrival(&mut self) -> Arrival {
        let fields = &mut self.fields;
        let host = self.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let host = self.uri.host().or(host).unwrap_or_default();
        Arrival {
            caller: CallerKey::default(),
            id: fields.id.clone(),
            received: self.received,
            host: host.into(),
            path: self.uri.path().into(),
            body_bytes: self.body.len() as u64,
            api_key: fields.api_key.clone(),
            time_limit: fields.time_limit,
            prompt_tokens: fields.prompt_tokens,
            max_output_tokens: fields.max_output_tokens,
            output_hint: fields.output_hint,
            parts: std::mem::take(&mut fields.parts),
            own_part: fields.own_part,
        }
    }
}
