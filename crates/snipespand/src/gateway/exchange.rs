//! One attempt: sends a request to a backend server and takes its answer apart.
//!
//! Each attempt has a connection of its own. So no byte of another answer can be taken for this
//! one, a connection that was closed while idle never loses a request, and closing it cancels
//! the request.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::Uri;
use hyper::body::Incoming;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_platform_adapter::connection::Connection;
use snipespan_platform_adapter::error::CallError;
use snipespan_platform_adapter::headers;
use snipespan_platform_adapter::headers::AnswerClass;

/// Longest wait for a connection to a backend server: some ways between data centres of a region,
/// and less than the second after which a lost opening packet is sent again.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest answer of a plain service, which is kept until it is whole.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// What is sent to a backend server.
#[derive(Clone, Debug)]
pub(super) struct OutboundRequest {
    pub(super) address: SocketAddr,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// The client's name for the request, which the answer must echo.
    pub(super) id: String,
}

/// How an attempt ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptError {
    /// It did not run.
    NotRun(NotRunReason),
    /// It may have run.
    Failed(FailReason),
}

/// What an attempt brings next.
#[derive(Debug)]
pub(super) enum ExchangeEvent {
    /// The head of the backend server's own answer.
    Head { status: u16, headers: HeaderMap },
    /// Some bytes of its body.
    Bytes(Bytes),
    /// Its body is whole.
    End,
    /// It ended early.
    Error(AttemptError),
}

type SendResult = Result<(Connection, Response<Incoming>), AttemptError>;

enum Phase {
    Sending(Pin<Box<dyn Future<Output = SendResult> + Send>>),
    Receiving { _connection: Connection, body: Incoming, bytes: usize },
    Done,
}

/// An attempt in progress; dropping it closes its connection.
pub(super) struct Exchange {
    phase: Phase,
    id: String,
}

impl Exchange {
    /// An attempt that begins with the first call of [`Self::next`].
    pub(super) fn new(outbound: OutboundRequest) -> Self {
        let id = outbound.id.clone();
        Self { phase: Phase::Sending(Box::pin(send(outbound))), id }
    }

    /// Waits for what comes next; nothing is lost when the wait is dropped.
    pub(super) async fn next(&mut self) -> ExchangeEvent {
        match &mut self.phase {
            Phase::Sending(sending) => {
                let sent = sending.await;
                self.handle_response(sent)
            }
            Phase::Receiving { body, bytes, .. } => {
                let event = next_bytes(body, bytes).await;
                if !matches!(event, ExchangeEvent::Bytes(_)) {
                    self.phase = Phase::Done;
                }
                event
            }
            Phase::Done => std::future::pending().await,
        }
    }

    fn handle_response(&mut self, sent: SendResult) -> ExchangeEvent {
        self.phase = Phase::Done;
        let (connection, response) = match sent {
            Ok(sent) => sent,
            Err(e) => return ExchangeEvent::Error(e),
        };
        let (head, body) = response.into_parts();
        let status = head.status.as_u16();
        match headers::classify_answer(status, &head.headers, &self.id) {
            AnswerClass::NotRun => {
                ExchangeEvent::Error(AttemptError::NotRun(NotRunReason::Refused))
            }
            AnswerClass::OtherInstance => {
                ExchangeEvent::Error(AttemptError::NotRun(NotRunReason::OtherInstance))
            }
            AnswerClass::Invalid => ExchangeEvent::Error(AttemptError::Failed(FailReason::Corrupt)),
            AnswerClass::Valid => {
                self.phase = Phase::Receiving { _connection: connection, body, bytes: 0 };
                ExchangeEvent::Head { status, headers: head.headers }
            }
        }
    }
}

async fn next_bytes(body: &mut Incoming, bytes: &mut usize) -> ExchangeEvent {
    loop {
        let Some(frame) = body.frame().await else { return ExchangeEvent::End };
        let Ok(frame) = frame else {
            return ExchangeEvent::Error(AttemptError::Failed(FailReason::Broken));
        };
        // Trailers concern the connection to the backend server only.
        let Ok(data) = frame.into_data() else { continue };
        *bytes += data.len();
        if *bytes > MAX_ANSWER_BYTES {
            return ExchangeEvent::Error(AttemptError::Failed(FailReason::Corrupt));
        }
        return ExchangeEvent::Bytes(data);
    }
}

async fn send(outbound: OutboundRequest) -> SendResult {
    let opened = Connection::open(outbound.address, CONNECT_TIMEOUT).await;
    let mut connection = opened.map_err(|e| {
        log::debug!(request = outbound.id.as_str(); "an attempt was not sent: {e}");
        AttemptError::NotRun(NotRunReason::Unreachable)
    })?;
    let mut req = Request::new(Full::new(outbound.body));
    *req.method_mut() = outbound.method;
    *req.uri_mut() = outbound.uri;
    *req.headers_mut() = outbound.headers;
    match connection.send(req).await {
        Ok(response) => Ok((connection, response)),
        Err(e @ CallError::Unreachable { .. }) => {
            log::debug!(request = outbound.id.as_str(); "an attempt was not sent: {e}");
            Err(AttemptError::NotRun(NotRunReason::Unreachable))
        }
        Err(e) => {
            log::debug!(request = outbound.id.as_str(); "an attempt broke: {e}");
            Err(AttemptError::Failed(FailReason::Broken))
        }
    }
}
