//! Clients that send requests all the time and keep what they see.

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

use crate::checks::Kind;
use crate::checks::Seen;
use crate::checks::TIME_LIMIT;
use crate::site::FIRST_KEY;
use crate::site::HOST;
use crate::site::SECOND_KEY;

/// Longest that a client waits for anything; beyond the time in which an answer is due.
const PATIENCE: Duration = Duration::from_secs(12);

/// Longest pause of a client between two requests.
const MAX_PAUSE_MS: u64 = 60;

/// A gateway as clients see it.
pub type Address = watch::Receiver<Option<SocketAddr>>;

/// One client.
pub struct Client {
    name: usize,
    rng: SmallRng,
    gateways: Vec<Address>,
    kept: Option<(usize, SocketAddr, Connection)>,
    sent: u64,
    seen: Vec<Seen>,
}

impl Client {
    /// A client of all gateways.
    pub fn new(seed: u64, name: usize, gateways: Vec<Address>) -> Self {
        let rng = SmallRng::seed_from_u64(seed.wrapping_mul(1000) + name as u64);
        Self { name, rng, gateways, kept: None, sent: 0, seen: Vec::new() }
    }

    /// Sends requests until `stop` turns true; returns what was seen.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> Vec<Seen> {
        while !*stop.borrow() {
            let pause = self.rng.random_range(0..MAX_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.send().await;
        }
        self.seen
    }

    /// What was seen so far.
    pub fn into_seen(self) -> Vec<Seen> {
        self.seen
    }

    /// Sends one request; false when it was not answered with success.
    pub async fn send(&mut self) -> bool {
        let index = self.rng.random_range(0..self.gateways.len());
        self.sent += 1;
        let id = self.last_id();
        let kind = match self.rng.random_range(0..10) {
            0..4 => Kind::Stream,
            4 => Kind::Span,
            5..8 => Kind::Unsafe,
            _ => Kind::Safe,
        };
        let has_second_key = self.rng.random_bool(0.3);
        let Some((gateway, connection)) = self.connection(index).await else { return false };
        let sent = Instant::now();
        let answer =
            tokio::time::timeout(PATIENCE, exchange(connection, kind, &id, has_second_key));
        let (status, body, is_whole, keeps) =
            answer.await.unwrap_or((None, Vec::new(), false, false));
        let ended = Instant::now();
        if !keeps {
            self.kept = None;
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let seen = Seen { id, kind, gateway, sent, ended, status, body, is_whole, has_second_key };
        let is_served = status == Some(200) && is_whole;
        self.seen.push(seen);
        is_served || (has_second_key && status == Some(401))
    }

    /// Id of the last request.
    pub fn last_id(&self) -> String {
        format!("r-{}-{}", self.name, self.sent)
    }

    /// The kept connection, or a new one to the gateway at `index`.
    async fn connection(&mut self, index: usize) -> Option<(usize, &mut Connection)> {
        let is_usable = |(gateway, _, connection): &(usize, SocketAddr, Connection)| {
            connection.is_open() && *gateway == index
        };
        if !self.kept.as_ref().is_some_and(is_usable) {
            let address = *self.gateways.get(index)?.borrow();
            let connection = Connection::open(address?, Duration::from_secs(1)).await.ok()?;
            self.kept = Some((index, address?, connection));
        }
        let (gateway, _, connection) = self.kept.as_mut()?;
        Some((*gateway, connection))
    }
}

/// Sends a request and reads its answer: status, body, whether it is whole, and whether the
/// connection may be used again.
async fn exchange(
    connection: &mut Connection,
    kind: Kind,
    id: &str,
    has_second_key: bool,
) -> (Option<u16>, Vec<u8>, bool, bool) {
    let path = match kind {
        Kind::Stream | Kind::Span => "/stream/1",
        Kind::Unsafe => "/order/1",
        Kind::Safe => "/look/1",
    };
    let tokens = if kind == Kind::Span { "400000,200" } else { "1000,200" };
    let key = if has_second_key { SECOND_KEY } else { FIRST_KEY };
    let method = if kind == Kind::Safe { Method::GET } else { Method::POST };
    let mut builder = Request::builder().method(method).uri(path).header("host", HOST);
    builder = builder.header("attempt-id", id).header("authorization", format!("Token {key}"));
    builder = builder.header("deadline-ms", TIME_LIMIT.as_millis().to_string());
    if matches!(kind, Kind::Stream | Kind::Span) {
        builder = builder.header("token-count", tokens);
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
