//! The HTTP client that all backend servers share.

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

/// Idle connections kept to one backend server.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Errors of a body that is being sent.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A request body, streamed.
pub type RequestBody = UnsyncBoxBody<Bytes, BodyError>;

/// The client.
pub type HttpClient = Client<HttpConnector, RequestBody>;

/// A client that never sends a request twice of its own accord.
pub fn client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new())
        .retry_canceled_requests(false)
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// A body of the chunks of a stream.
pub fn body_of_stream<S>(chunks: S) -> RequestBody
where
    S: Stream<Item = Result<Bytes, BodyError>> + Send + 'static,
{
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// A body without bytes.
pub fn empty_body() -> RequestBody {
    body_of_stream(futures_util::stream::empty())
}

/// Sorts a client error by whether a byte of the request may have been sent.
pub fn classify_error(error: &Error) -> BackendError {
    let detail = format_compact!("{error:?}");
    match error.is_connect() {
        true => BackendError::Unreachable { detail },
        false => BackendError::ConnectionLost { detail },
    }
}
