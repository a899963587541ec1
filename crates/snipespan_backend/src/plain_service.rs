//! Client of a plain service: forwards one call and streams its answer.

use compact_str::CompactString;
use compact_str::format_compact;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::error::BackendError;
use crate::http::HttpClient;
use crate::http::RequestBody;
use crate::http::classify_error;
use crate::http::empty_body;

/// Call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: CompactString,
    /// Path and query, with a leading slash.
    pub path: CompactString,
    /// Names and values of the forwarded headers.
    pub headers: Vec<(CompactString, Vec<u8>)>,
    /// W3C trace context; empty if there is none.
    pub traceparent: CompactString,
}

/// Client of one plain service.
#[derive(Clone, Debug)]
pub struct PlainService {
    url: CompactString,
    client: HttpClient,
}

impl PlainService {
    /// Creates a client of the service at `url`, which has no trailing slash.
    pub fn new(url: &str, client: HttpClient) -> Self {
        Self { url: url.into(), client }
    }

    /// Sends a call and returns the streamed response; any status that HTTP has counts as an answer.
    ///
    /// # Errors
    /// [`BackendError`] if the call fails before the answer begins, or its status is over 599.
    pub async fn call(
        &self,
        call: &ServiceCall,
        body: RequestBody,
    ) -> Result<Response<Incoming>, BackendError> {
        let method = Method::from_bytes(call.method.as_bytes());
        let method = method.map_err(|e| BackendError::Unreachable {
            detail: format_compact!("invalid HTTP method: {e}"),
        })?;
        let mut req = Request::builder().method(method).uri(format!("{}{}", self.url, call.path));
        for (name, value) in &call.headers {
            req = req.header(name.as_str(), value.as_slice());
        }
        let req = req.header("traceparent", call.traceparent.as_str()).body(body);
        let req = req.map_err(|e| BackendError::Unreachable {
            detail: format_compact!("invalid HTTP request: {e}"),
        })?;
        let response = self.client.request(req).await.map_err(|e| classify_error(&e))?;
        match response.status().as_u16() {
            ..600 => Ok(response),
            status => Err(BackendError::Corrupt { detail: format_compact!("status {status}") }),
        }
    }

    /// Checks that the service answers a HEAD request of its root path, with any status.
    ///
    /// # Errors
    /// [`BackendError`] if the service returns no answer.
    pub async fn probe(&self) -> Result<(), BackendError> {
        let req = Request::builder().method(Method::HEAD).uri(format!("{}/", self.url));
        let req = req.body(empty_body()).map_err(|e| BackendError::Unreachable {
            detail: format_compact!("invalid HTTP request: {e}"),
        })?;
        self.client.request(req).await.map(drop).map_err(|e| classify_error(&e))
    }
}
