//! Client of a plain service: one call, whose answer is passed on as it comes.

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

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The method.
    pub method: CompactString,
    /// Path and query.
    pub path: CompactString,
    /// Headers that are passed on.
    pub headers: Vec<(CompactString, Vec<u8>)>,
    /// W3C trace context, empty without one.
    pub traceparent: CompactString,
}

/// A plain service behind an HTTP address.
#[derive(Clone, Debug)]
pub struct PlainService {
    url: CompactString,
    client: HttpClient,
}

impl PlainService {
    /// The service at `url`, without a slash at the end.
    pub fn new(url: &str, client: HttpClient) -> Self {
        Self { url: url.into(), client }
    }

    /// Makes a call; any HTTP status is an answer.
    ///
    /// # Errors
    /// [`BackendError`] when no answer begins.
    pub async fn call(
        &self,
        call: &ServiceCall,
        body: RequestBody,
    ) -> Result<Response<Incoming>, BackendError> {
        let method = Method::from_bytes(call.method.as_bytes());
        let method = method.map_err(|e| BackendError::Unreachable {
            detail: format_compact!("not a method: {e}"),
        })?;
        let mut req = Request::builder().method(method).uri(format!("{}{}", self.url, call.path));
        for (name, value) in &call.headers {
            req = req.header(name.as_str(), value.as_slice());
        }
        let req = req.header("traceparent", call.traceparent.as_str()).body(body);
        let req = req.map_err(|e| BackendError::Unreachable {
            detail: format_compact!("not a request: {e}"),
        })?;
        self.client.request(req).await.map_err(|e| classify_error(&e))
    }

    /// Whether the service accepts connections.
    ///
    /// # Errors
    /// [`BackendError`] when it gives no answer.
    pub async fn probe(&self) -> Result<(), BackendError> {
        let req = Request::builder().method(Method::HEAD).uri(format!("{}/", self.url));
        let req = req.body(empty_body()).map_err(|e| BackendError::Unreachable {
            detail: format_compact!("not a request: {e}"),
        })?;
        self.client.request(req).await.map(drop).map_err(|e| classify_error(&e))
    }
}
