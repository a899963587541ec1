//! The HTTP server for clients.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::systems::ending;
use snipespan_core::gateway::tables::memory_budget::RECEIVE_BUFFER;
use snipespan_core::result_code::ResultCode;
use snipespan_core::time::Timestamp;
use snipespan_platform_adapter::headers;
use snipespan_platform_adapter::headers::RequestFields;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::gateway::ConnectionPolicy;
use crate::gateway::GatewayContext;
use crate::gateway::answer;
use crate::gateway::answer::AnswerBody;
use crate::gateway::body;
use crate::gateway::body::BodyError;
use crate::gateway::client_stream::ClientStream;
use crate::gateway::request_task::InboundRequest;
use crate::gateway::request_task::RequestTask;
use crate::gateway::shell::Input;

/// Maximum number of connections that wait to be accepted. The kernel drops the SYNs of further
/// ones, and clients retransmit these only after a second.
const LISTEN_BACKLOG: u32 = 1024;

/// Delay after an error on accepting a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Minimum buffer size for a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8192;

/// Starts the server for clients, which runs until no more connections are accepted, and returns
/// the address that it listens at.
pub(super) async fn serve(address: SocketAddr, cx: Arc<GatewayContext>) -> Result<SocketAddr> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if cx.memory.is_limited() {
        // Accepted connections have the same buffer, which then does not grow.
        socket.set_recv_buffer_size(RECEIVE_BUFFER as u32)?;
    }
    socket.bind(address)?;
    let listener = socket.listen(LISTEN_BACKLOG)?;
    let address = listener.local_addr()?;
    tokio::spawn(accept_connections(listener, cx));
    Ok(address)
}

async fn accept_connections(listener: TcpListener, cx: Arc<GatewayContext>) {
    let mut policy = cx.connection_policy.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = policy.wait_for(|policy| *policy == ConnectionPolicy::StopAccepting) => return,
        };
        match accepted {
            Ok((stream, _)) => drop(cx.tasks.spawn(serve_connection(stream, Arc::clone(&cx)))),
            Err(e) => {
                // The usual cause is a lack of file descriptors; open connections free some.
                log::error!("could not accept a client's connection: {e}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, cx: Arc<GatewayContext>) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("could not set TCP_NODELAY on a client's connection: {e}");
    }
    let limits = *cx.limits.borrow();
    let write_limit = cx.memory.is_limited().then_some(limits.idle_timeout);
    let stream = ClientStream::new(stream, write_limit);
    let mut policy = cx.connection_policy.clone();
    let service = service_fn(move |req| handle_request(req, Arc::clone(&cx)));
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new());
    // The library measures this time from the end of the previous request on the connection.
    server.header_read_timeout(limits.idle_timeout + limits.header_timeout);
    server.max_buf_size(limits.header_bytes.max(MIN_HEAD_BYTES));
    let serving = server.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let is_stopping = tokio::select! {
        served = serving.as_mut() => {
            log_connection_end(served);
            false
        }
        _ = policy.wait_for(|policy| *policy == ConnectionPolicy::StopAccepting) => true,
    };
    if is_stopping {
        serving.as_mut().graceful_shutdown();
        log_connection_end(serving.await);
    }
}

fn log_connection_end(served: Result<(), hyper::Error>) {
    if let Err(e) = served {
        log::debug!("a client's connection ended with an error: {e}");
    }
}

async fn handle_request(
    req: Request<Incoming>,
    cx: Arc<GatewayContext>,
) -> Result<Response<AnswerBody>, Infallible> {
    let mut response = answer_request(req, &cx).await;
    if *cx.connection_policy.borrow() != ConnectionPolicy::KeepAlive {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Reads a complete request, starts a task for it and waits for the head of its answer.
async fn answer_request(req: Request<Incoming>, cx: &Arc<GatewayContext>) -> Response<AnswerBody> {
    let received = cx.clock.now();
    let (parts, body) = req.into_parts();
    let fields = headers::parse_request_fields(&parts.headers);
    if headers::is_from_gateway(&parts.headers) {
        log::warn!(request = fields.id.as_str(); "rejected: a listing has this gateway's address");
        return answer::misdirected_response(&fields.id);
    }
    let (read, rest) = body::read(cx, body, received, &fields).await;
    let body = match read {
        Ok(body) => body,
        Err(e) => return refuse_unread(cx, &fields, received, e, rest).await,
    };
    let id = fields.id.clone();
    let inbound = InboundRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        fields,
        received,
        body: body.bytes,
        _overhead: body.overhead,
    };
    let (head_tx, head_rx) = oneshot::channel();
    let task = RequestTask::start(Arc::clone(cx), inbound, head_tx);
    if let Err(code) = task {
        log::warn!(request = id.as_str(), code:% = code; "rejected: control queue is full");
        return answer::error_response(&id, code, code.row().retry.delay());
    }
    match head_rx.await {
        Ok(response) => response,
        // The task ends without an answer only when the process is shutting down.
        Err(_) => answer::error_response(&id, ResultCode::OutcomeUnknown, None),
    }
}

/// Answers a request whose body was not read to its end, and so did not run.
async fn refuse_unread(
    cx: &GatewayContext,
    fields: &RequestFields,
    received: Timestamp,
    error: BodyError,
    rest: Incoming,
) -> Response<AnswerBody> {
    let (id, code) = (&fields.id, error.code());
    let limit = fields.time_limit.unwrap_or(body::DEFAULT_TIME_LIMIT);
    let remaining = limit.saturating_sub(cx.clock.now().since(received));
    let (refusal, bytes, waited) = match error {
        BodyError::Refused { refusal, bytes, waited } => (refusal, bytes, waited),
        BodyError::TooLong | BodyError::TimedOut | BodyError::Broken => {
            log::info!(request = id.as_str(), code:% = code; "rejected: body unread");
            if error == BodyError::TooLong {
                tokio::spawn(body::discard(rest, remaining));
            }
            return answer::error_response(id, code, None);
        }
    };
    tokio::spawn(body::discard(rest, remaining));
    let event = Event::BodyRefused { id: id.clone(), refusal, bytes, waited };
    // Sending fails only after the control thread has ended, when nothing needs the event.
    let _ = cx.control.send(Input::Event(event)).await;
    answer::error_response(id, code, Some(ending::retry_after(code, remaining)))
}
