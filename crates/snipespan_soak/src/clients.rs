//! Clients that send requests continuously and record the answers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snipespan_platform_adapter::connection::Connection;
use tokio::sync::watch;

use crate::checks::ObservedRequest;
use crate::checks::REQUEST_TIMEOUT;
use crate::checks::RequestKind;
use crate::site::HOST;
use crate::site::PERMANENT_KEY;
use crate::site::REVOCABLE_KEY;

/// Maximum duration of an exchange; longer than the time within which an answer is due.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(12);

/// Upper bound (exclusive) of the pause before each request of a client.
const MAX_PAUSE_MS: u64 = 60;

/// Receiver of a gateway's address for clients; `None` while the gateway is down.
pub type AddressReceiver = watch::Receiver<Option<SocketAddr>>;

/// A client that sends one request at a time to randomly chosen gateways.
pub struct Client {
    number: usize,
    rng: SmallRng,
    gateways: Vec<AddressReceiver>,
    /// Index and address of the gateway to which the connection leads, and the connection.
    kept_connection: Option<(usize, SocketAddr, Connection)>,
    sent_count: u64,
    requests: Vec<ObservedRequest>,
}

impl Client {
    /// Creates a client of all gateways, whose random draws depend on `seed` and `number` only.
    pub fn new(seed: u64, number: usize, gateways: Vec<AddressReceiver>) -> Self {
        let rng = SmallRng::seed_from_u64(seed.wrapping_mul(1000) + number as u64);
        Self { number, rng, gateways, kept_connection: None, sent_count: 0, requests: Vec::new() }
    }

    /// Sends requests until `stop` is true and returns them as observed.
    pub async fn send_until_stopped(mut self, stop: watch::Receiver<bool>) -> Vec<ObservedRequest> {
        while !*stop.borrow() {
            let pause = self.rng.random_range(0..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.send_request().await;
        }
        self.requests
    }

    /// Returns the requests observed so far.
    pub fn into_requests(self) -> Vec<ObservedRequest> {
        self.requests
    }

    /// Sends one request. Returns whether it was answered with success, or with status 401 when it
    /// carried the revocable API key. If the gateway cannot be reached, the request is not sent and
    /// not recorded, and the result is false.
    pub async fn send_request(&mut self) -> bool {
        let index = self.rng.random_range(0..self.gateways.len());
        self.sent_count += 1;
        let id = self.last_request_id();
        let kind = match self.rng.random_range(0..10) {
            0..4 => RequestKind::Stream,
            4 => RequestKind::Span,
            5..8 => RequestKind::Unsafe,
            _ => RequestKind::Safe,
        };
        let has_revocable_key = self.rng.random_bool(0.3);
        let Some((gateway, connection)) = self.connection_to(index).await else { return false };
        let sent = Instant::now();
        let answer = tokio::time::timeout(
            EXCHANGE_TIMEOUT,
            exchange(connection, kind, &id, has_revocable_key),
        );
        let (status, body, is_complete, is_reusable) =
            answer.await.unwrap_or((None, Vec::new(), false, false));
        let ended = Instant::now();
        if !is_reusable {
            self.kept_connection = None;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let request = ObservedRequest {
            id,
            kind,
            gateway,
            sent,
            ended,
            status,
            body,
            is_complete,
            has_revocable_key,
        };
        let is_served = status == Some(200) && is_complete;
        self.requests.push(request);
        is_served || (has_revocable_key && status == Some(401))
    }

    /// Returns the id of the last request.
    pub fn last_request_id(&self) -> String {
        format!("r-{}-{}", self.number, self.sent_count)
    }

    /// Returns the kept connection if it is usable, or a new one to the gateway at `index`.
    async fn connection_to(&mut self, index: usize) -> Option<(usize, &mut Connection)> {
        let is_usable = |(gateway, _, connection): &(usize, SocketAddr, Connection)| {
            connection.is_open() && *gateway == index
        };
        if !self.kept_connection.as_ref().is_some_and(is_usable) {
            let address = *self.gateways.get(index)?.borrow();
            let connection = Connection::open(address?, Duration::from_secs(1)).await.ok()?;
            self.kept_connection = Some((index, address?, connection));
        }
        let (gateway, _, connection) = self.kept_connection.as_mut()?;
        Some((*gateway, connection))
    }
}

/// Sends a request and reads its answer. Returns the status, the body, whether the body is
/// complete, and whether the connection may be reused.
async fn exchange(
    connection: &mut Connection,
    kind: RequestKind,
    id: &str,
    has_revocable_key: bool,
) -> (Option<u16>, Vec<u8>, bool, bool) {
    let path = match kind {
        RequestKind::Stream | RequestKind::Span => "/stream/1",
        RequestKind::Unsafe => "/order/1",
        RequestKind::Safe => "/look/1",
    };
    // Numbers of prompt and answer tokens. The prompt of a span exceeds the memory of one replica.
    let token_counts = if kind == RequestKind::Span { "400000,200" } else { "1000,200" };
    let key = if has_revocable_key { REVOCABLE_KEY } else { PERMANENT_KEY };
    let method = if kind == RequestKind::Safe { Method::GET } else { Method::POST };
    let mut builder = Request::builder().method(method).uri(path).header("host", HOST);
    builder = builder.header("attempt-id", id).header("authorization", format!("Token {key}"));
    builder = builder.header("deadline-ms", REQUEST_TIMEOUT.as_millis().to_string());
    if matches!(kind, RequestKind::Stream | RequestKind::Span) {
        builder = builder.header("token-count", token_counts);
    }
    let Ok(req) = builder.body(Full::new(Bytes::from_static(b"body"))) else {
        return (None, Vec::new(), false, false);
    };
    let Ok(response) = connection.send(req).await else { return (None, Vec::new(), false, false) };
    let (head, mut body) = response.into_parts();
    let closes = head.headers.get("connection").is_some_and(|value| value == "close");
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return (Some(head.status.as_u16()), bytes, false, false) };
        bytes.extend(frame.data_ref().into_iter().flatten());
    }
    (Some(head.status.as_u16()), bytes, true, !closes)
}
