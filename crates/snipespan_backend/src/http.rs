//! HTTP client that is shared by the clients of all backend servers.

use bytes::Bytes;
use compact_str::format_compact;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::Error;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

use crate::error::BackendError;

/// Error of the source of a request body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Streamed request body.
pub type RequestBody = UnsyncBoxBody<Bytes, BodyError>;

/// HTTP client with streamed request bodies.
pub type HttpClient = Client<HttpConnector, RequestBody>;

/// Creates a client that never retries a request, so that it sends each request at most once, and
/// that uses each connection for one request. On a connection that is used again, a second copy of
/// an earlier answer would be taken for the answer to the next request.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_max_idle_per_host(0)
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// Creates a request body from a stream of chunks.
pub fn body_of_stream<S>(chunks: S) -> RequestBody
where
    S: Stream<Item = Result<Bytes, BodyError>> + Send + 'static,
{
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Creates an empty request body.
pub fn empty_body() -> RequestBody {
    body_of_stream(futures_util::stream::empty())
}

/// Classifies a client error by whether bytes of the request may have been sent.
pub fn classify_error(error: &Error) -> BackendError {
    let detail = format_compact!("{error:?}");
    match error.is_connect() {
        true => BackendError::Unreachable { detail },
        false => BackendError::ConnectionLost { detail },
    }
}
