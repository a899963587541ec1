//! One attempt: sends a request to a backend server and receives its answer.
//!
//! Each attempt has a connection of its own. Therefore bytes of another answer cannot be mistaken
//! for this one, no request is lost on a connection that was closed while idle, and closing the
//! connection cancels the request.

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
use snipespan_core::gateway::event::Announcement;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::time::Timestamp;
use snipespan_platform_adapter::byte_meter::ByteMeter;
use snipespan_platform_adapter::connection::Connection;
use snipespan_platform_adapter::error::CallError;
use snipespan_platform_adapter::headers;
use snipespan_platform_adapter::headers::AnswerClass;

use crate::clock::Clock;

/// Maximum time to connect to a backend server: several round trips between data centres of a
/// region, and less than the second after which a lost SYN is retransmitted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of the body of an answer in bytes. It applies to streamed answers and to those that
/// are buffered until they are complete, such as the answers of plain services; the sum of the
/// latter is limited as well.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Maximum number of bytes that are received and not yet processed, for each attempt. It bounds the
/// head of an answer, and with 200 backend servers that send without end it takes 3.2 MB.
const MAX_BUFFERED_BYTES: usize = 16 << 10;

/// A request as sent to a backend server.
#[derive(Clone, Debug)]
pub(super) struct OutboundRequest {
    pub(super) address: SocketAddr,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    /// Time by which the answer must be complete; the request is not sent after it.
    pub(super) deadline: Timestamp,
    /// The client's id of the request; an answer that echoes another id is invalid.
    pub(super) id: String,
}

/// Why an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptError {
    /// The request did not run.
    NotRun(NotRunReason),
    /// The request may have run.
    Failed(FailReason),
}

/// The next event of an attempt.
#[derive(Debug)]
pub(super) enum ExchangeEvent {
    /// The head of the backend server's answer.
    Head { status: u16, headers: HeaderMap },
    /// Bytes of the body.
    Bytes(Bytes),
    /// The body is complete.
    End,
    /// The attempt ended without a complete answer.
    Error(AttemptError),
}

type ConnectResult = Result<(Connection, OutboundRequest), AttemptError>;

type SendResult = Result<(Connection, Response<Incoming>), AttemptError>;

enum Phase {
    Connecting(Pin<Box<dyn Future<Output = ConnectResult> + Send>>),
    Sending(Pin<Box<dyn Future<Output = SendResult> + Send>>),
    Receiving { _connection: Connection, body: Incoming, bytes: usize },
    Done,
}

/// An attempt in progress; dropping it closes its connection.
pub(super) struct Exchange {
    phase: Phase,
    id: String,
    clock: Clock,
    announcement: Announcement,
}

impl Exchange {
    /// Creates an attempt, which connects on the first call of [`Self::next`]; `meter` counts its
    /// bytes.
    pub(super) fn new(outbound: OutboundRequest, clock: Clock, meter: ByteMeter) -> Self {
        let id = outbound.id.clone();
        let phase = Phase::Connecting(Box::pin(connect(outbound, meter)));
        Self { phase, id, clock, announcement: Announcement::default() }
    }

    /// Returns whether nothing of the request was sent yet.
    pub(super) const fn is_unsent(&self) -> bool {
        matches!(self.phase, Phase::Connecting(_))
    }

    /// Returns what the backend server announced in the head of its answer, once.
    pub(super) fn take_announcement(&mut self) -> Announcement {
        std::mem::take(&mut self.announcement)
    }

    /// Waits for the next event; no event is lost if the returned future is dropped.
    pub(super) async fn next(&mut self) -> ExchangeEvent {
        if let Phase::Connecting(connecting) = &mut self.phase {
            match connecting.await {
                Ok((connection, outbound)) => {
                    let sending = send(connection, outbound, self.clock);
                    self.phase = Phase::Sending(Box::pin(sending));
                }
                Err(e) => {
                    self.phase = Phase::Done;
                    return ExchangeEvent::Error(e);
                }
            }
        }
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
            Phase::Connecting(_) | Phase::Done => std::future::pending().await,
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
        self.announcement = headers::parse_announcement(status, &head.headers);
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
        // Trailers belong to the connection to the backend server and are not forwarded.
        let Ok(data) = frame.into_data() else { continue };
        *bytes += data.len();
        if *bytes > MAX_ANSWER_BYTES {
            return ExchangeEvent::Error(AttemptError::Failed(FailReason::Corrupt));
        }
        return ExchangeEvent::Bytes(data);
    }
}

async fn connect(outbound: OutboundRequest, meter: ByteMeter) -> ConnectResult {
    let address = outbound.address;
    let opened =
        Connection::open_bounded(address, CONNECT_TIMEOUT, MAX_BUFFERED_BYTES, meter).await;
    match opened {
        Ok(connection) => Ok((connection, outbound)),
        Err(e) => {
            log::debug!(request = outbound.id.as_str(); "could not send an attempt: {e}");
            Err(AttemptError::NotRun(NotRunReason::Unreachable))
        }
    }
}

async fn send(mut connection: Connection, outbound: OutboundRequest, clock: Clock) -> SendResult {
    let mut req = Request::new(Full::new(outbound.body));
    *req.method_mut() = outbound.method;
    *req.uri_mut() = outbound.uri;
    *req.headers_mut() = outbound.headers;
    // A process that was suspended since the decision may have passed the deadline meanwhile.
    let remaining = outbound.deadline.since(clock.now());
    if remaining.is_zero() {
        return Err(AttemptError::NotRun(NotRunReason::Expired));
    }
    headers::insert_time_limit(req.headers_mut(), remaining);
    match connection.send(req).await {
        Ok(response) => Ok((connection, response)),
        Err(e @ CallError::Unreachable { .. }) => {
            log::debug!(request = outbound.id.as_str(); "could not send an attempt: {e}");
            Err(AttemptError::NotRun(NotRunReason::Unreachable))
        }
        Err(e @ CallError::InvalidHead { .. }) => {
            log::debug!(request = outbound.id.as_str(); "an attempt got no valid answer: {e}");
            Err(AttemptError::Failed(FailReason::Corrupt))
        }
        Err(e) => {
            log::debug!(request = outbound.id.as_str(); "an attempt failed on its connection: {e}");
            Err(AttemptError::Failed(FailReason::Broken))
        }
    }
}
