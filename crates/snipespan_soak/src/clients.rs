//! Clients that send requests continuously and record the answers.

use std::collections::BTreeMap;
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
use snipespan_fakes::users_platform::replica::DEADLY_PART;
use snipespan_platform_adapter::connection::Connection;
use tokio::sync::watch;

use crate::checks::ObservedRequest;
use crate::checks::REQUEST_TIMEOUT;
use crate::checks::RequestKind;
use crate::site::HOST;
use crate::site::IDLE_TIMEOUT;
use crate::site::PERMANENT_KEY;
use crate::site::REVOCABLE_KEY;

/// Maximum duration of an exchange; longer than the time within which an answer is due.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(12);

/// Upper bound (exclusive) of the pause before each request of a client.
const MAX_PAUSE_MS: u64 = 60;

/// Probability that a client goes on with the same gateway.
const STAY_PROBABILITY: f64 = 0.8;

/// Probability of an idle pause before a request, of up to four fifths of the idle timeout.
const IDLE_PROBABILITY: f64 = 0.04;

/// Probability that a stream's prompt has a deadly part, while clients send such prompts.
const DEADLY_PROBABILITY: f64 = 0.05;

/// Receiver of a gateway's address for clients; `None` while the gateway is down.
pub type AddressReceiver = watch::Receiver<Option<SocketAddr>>;

/// A client that sends one request at a time, mostly several in a row to one gateway. It keeps a
/// connection to each gateway until the gateway closes it.
pub struct Client {
    number: usize,
    rng: SmallRng,
    gateways: Vec<AddressReceiver>,
    /// Whether some prompts have a deadly part.
    sends_deadly: watch::Receiver<bool>,
    /// Index of the last gateway.
    gateway: usize,
    /// Open connections, by index of the gateway.
    connections: BTreeMap<usize, Connection>,
    sent_count: u64,
    requests: Vec<ObservedRequest>,
}

impl Client {
    /// Creates a client of all gateways, whose random draws depend on `seed` and `number` only.
    pub fn new(
        seed: u64,
        number: usize,
        gateways: Vec<AddressReceiver>,
        sends_deadly: watch::Receiver<bool>,
    ) -> Self {
        Self {
            number,
            rng: SmallRng::seed_from_u64(seed.wrapping_mul(1000) + number as u64),
            gateways,
            sends_deadly,
            gateway: number,
            connections: BTreeMap::new(),
            sent_count: 0,
            requests: Vec::new(),
        }
    }

    /// Sends requests until `stop` is true and returns them as observed.
    pub async fn send_until_stopped(mut self, stop: watch::Receiver<bool>) -> Vec<ObservedRequest> {
        while !*stop.borrow() {
            let is_idle = self.rng.random_bool(IDLE_PROBABILITY);
            let pause = match is_idle {
                true => (IDLE_TIMEOUT * 4 / 5).mul_f64(self.rng.random_range(0.0..1.0)),
                false => Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS)),
            };
            tokio::time::sleep(pause).await;
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
        let count = self.gateways.len();
        let stays = self.rng.random_bool(STAY_PROBABILITY);
        let drawn = self.rng.random_range(0..count);
        let gateway = if stays { self.gateway % count } else { drawn };
        self.sent_count += 1;
        let id = self.last_request_id();
        let kind = match self.rng.random_range(0..10) {
            0..4 => RequestKind::Stream,
            4 => RequestKind::Span,
            5..8 => RequestKind::Unsafe,
            _ => RequestKind::Safe,
        };
        let is_deadly = self.rng.random_bool(DEADLY_PROBABILITY) && *self.sends_deadly.borrow();
        let kind = match kind {
            RequestKind::Stream if is_deadly => RequestKind::Deadly,
            kind => kind,
        };
        let has_revocable_key = self.rng.random_bool(0.3);
        // A client that could not reach a gateway goes on with another one.
        self.gateway = drawn;
        let Some(connection) = self.connection_to(gateway).await else { return false };
        let sent = Instant::now();
        let answer = tokio::time::timeout(
            EXCHANGE_TIMEOUT,
            exchange(connection, kind, &id, has_revocable_key),
        );
        let exchanged = answer.await;
        let is_timed_out = exchanged.is_err();
        let answer = exchanged.unwrap_or_default();
        let ended = Instant::now();
        if answer.is_reusable {
            self.gateway = gateway;
        } else {
            self.connections.remove(&gateway);
        }
        let is_served = answer.status == Some(200) && answer.is_complete;
        let is_denied = answer.status == Some(401);
        self.requests.push(ObservedRequest {
            id,
            kind,
            gateway,
            sent,
            ended,
            status: answer.status,
            body: String::from_utf8_lossy(&answer.body).into_owned(),
            is_complete: answer.is_complete,
            is_timed_out,
            leaving: answer.leaving,
            has_revocable_key,
        });
        is_served || (has_revocable_key && is_denied)
    }

    /// Returns the id of the last request.
    pub fn last_request_id(&self) -> String {
        format!("r-{}-{}", self.number, self.sent_count)
    }

    /// Returns the kept connection to a gateway if it is open, or a new one.
    async fn connection_to(&mut self, gateway: usize) -> Option<&mut Connection> {
        if !self.connections.get(&gateway).is_some_and(Connection::is_open) {
            self.connections.remove(&gateway);
            let address = *self.gateways.get(gateway)?.borrow();
            let connection = Connection::open(address?, Duration::from_secs(1)).await.ok()?;
            self.connections.insert(gateway, connection);
        }
        self.connections.get_mut(&gateway)
    }
}

/// An answer, as far as it was received.
#[derive(Debug, Default)]
struct ReceivedAnswer {
    status: Option<u16>,
    body: Vec<u8>,
    /// Whether the body was received to its end.
    is_complete: bool,
    /// Whether the connection may be used again.
    is_reusable: bool,
    /// Id of the replica that says in the head that it is leaving, and time of the head.
    leaving: Option<(String, Instant)>,
}

/// Sends a request and reads its answer.
async fn exchange(
    connection: &mut Connection,
    kind: RequestKind,
    id: &str,
    has_revocable_key: bool,
) -> ReceivedAnswer {
    let path = match kind {
        RequestKind::Stream | RequestKind::Span | RequestKind::Deadly => "/stream/1",
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
    if matches!(kind, RequestKind::Stream | RequestKind::Span | RequestKind::Deadly) {
        builder = builder.header("token-count", token_counts);
    }
    // All prompts but those of spans begin with the same part.
    builder = match kind {
        RequestKind::Stream => {
            builder.header("prompt-prefix", format!("a1:600,{}:400", own_part(id)))
        }
        RequestKind::Deadly => builder
            .header("prompt-prefix", format!("a1:600,{DEADLY_PART:x}:200,{}:200", own_part(id))),
        RequestKind::Span | RequestKind::Unsafe | RequestKind::Safe => builder,
    };
    let mut answer = ReceivedAnswer::default();
    let Ok(req) = builder.body(Full::new(Bytes::from_static(b"body"))) else { return answer };
    let Ok(response) = connection.send(req).await else { return answer };
    let (head, mut body) = response.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
    answer.status = Some(head.status.as_u16());
    if text("server-leaving").is_some() {
        let stamp = text("server-stamp").and_then(|stamp| stamp.strip_prefix("stamp."));
        answer.leaving = stamp.map(|replica| (replica.to_owned(), Instant::now()));
    }
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return answer };
        answer.body.extend(frame.data_ref().into_iter().flatten());
    }
    answer.is_complete = true;
    answer.is_reusable = text("connection") != Some("close");
    answer
}

/// Returns the id of the last part of a request's prompt, which no other request has.
fn own_part(id: &str) -> String {
    id.bytes().map(|byte| format!("{byte:02x}")).collect()
}
