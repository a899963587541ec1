//! A fake backend server (replica) of the users' platform: a plain service, or an engine that
//! streams events and reserves memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::ConnectInfo;
use axum::extract::DefaultBodyLimit;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::http::Version;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use eyre::Result;
use futures_util::stream;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::server::Server;
use crate::sync::lock;

/// Prefix of the paths that are answered with a stream of events.
pub const STREAM_PATH_PREFIX: &str = "/stream/";

/// Part of a prompt that ends each replica that begins to write an answer to it, for good.
pub const DEADLY_PART: u64 = 0xdead;

/// When a replica sends the head of a stream; [`DEADLY_PART`] ends it as its first event is due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HeadTiming {
    /// As soon as the request is admitted.
    #[default]
    AtOnce,
    /// Together with the first event, as if it waited for that in a buffer.
    WithFirstEvent,
}

/// Time for which a replica that has crashed runs nothing.
const DOWN_TIME: Duration = Duration::from_millis(500);

/// Identity, speed and capacity of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// Id of the replica.
    pub id: String,
    /// Name of the service that it serves.
    pub service: String,
    /// Number of events in a stream.
    pub events: u64,
    /// Delay before each event of a stream, and before a plain answer.
    pub pause: Duration,
    /// Maximum number of requests that run at the same time; further ones are refused.
    pub slots: usize,
    /// Memory that can be reserved, in tokens.
    pub memory_tokens: u64,
    /// When it sends the heads of streams.
    pub head_timing: HeadTiming,
}

/// Fault of a replica, which tests may change while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplicaFault {
    /// No fault.
    #[default]
    None,
    /// Refuses all requests without running them.
    Refuses,
    /// Runs requests and answers 500.
    Errors,
    /// Runs requests and never answers.
    NeverAnswers,
    /// Runs requests and breaks the connection within the event that follows this number of events.
    /// Plain answers break after 4 bytes.
    Disconnects(u64),
    /// Echoes the id of another attempt in its answers.
    WrongAttemptId,
    /// Sends its answers without the header `server-stamp`.
    Unsigned,
    /// Skips the second event of a stream.
    SkipsEvent,
    /// Crashes when it is about to write the first event of an answer to a prompt with this part:
    /// all its streams break, and for half a second it runs nothing, as one that starts again under
    /// another id.
    CrashesOnPart(u64),
    /// Neither answers orders to reserve or release memory nor carries them out.
    OrdersUnanswered,
    /// Sends answers without length or chunks, which end with their connection.
    Unframed,
    /// Streams nothing for this time after the second event, and then goes on.
    Pauses(Duration),
    /// Spreads each event of a stream over this time, some bytes at a time.
    Trickles(Duration),
    /// Streams comments and never an event.
    SendsComments,
}

impl ReplicaFault {
    /// Returns whether a replica with this fault serves its requests completely.
    pub const fn is_sound(self) -> bool {
        matches!(self, Self::None | Self::Unframed | Self::Pauses(_) | Self::Trickles(_))
    }
}

/// What a replica says of itself in its answers, which tests may change while it runs.
#[derive(Clone, Debug, Default)]
pub struct ReplicaNotice {
    /// Whether all its answers say that it is leaving.
    pub is_leaving: bool,
    /// Values of the field `retry-after`, a line each, with which it refuses all requests and
    /// orders; it refuses none if there are none.
    pub retry_after: Vec<String>,
    /// Value of the field `server-limit` in all its answers, if there is one.
    pub limit: Option<String>,
}

/// One execution of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request, from the header `attempt-id`; empty without one.
    pub request: String,
    /// Method and URI, separated by a space.
    pub target: String,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Address from which it came.
    pub peer: SocketAddr,
    /// Start of the execution.
    pub began: Instant,
    /// Time at which the caller disconnected before the execution had ended.
    pub cancelled: Option<Instant>,
    /// Whether the execution has ended.
    pub is_done: bool,
}

/// A refusal with the field `retry-after`.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Id of the request, from the header `attempt-id`; empty without one.
    pub request: String,
    /// Time at which it arrived.
    pub at: Instant,
    /// Value of the field, in seconds; 0 if it is no number.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct Shared {
    config: ReplicaConfig,
    fault: Mutex<ReplicaFault>,
    notice: Mutex<ReplicaNotice>,
    /// Times at which requests and orders arrived.
    arrivals: Mutex<Vec<Instant>>,
    refusals: Mutex<Vec<Refusal>>,
    /// Time at which the replica ended; it answers nothing since.
    ended: watch::Sender<Option<Instant>>,
    /// Time of the last crash by [`ReplicaFault::CrashesOnPart`].
    crashed: watch::Sender<Option<Instant>>,
    runs: Mutex<Vec<Run>>,
    /// Reserved tokens and time of expiry of each reservation, by id.
    reservations: Mutex<BTreeMap<String, (u64, Instant)>>,
}

/// A running replica, which stops when it is dropped.
#[derive(Debug)]
pub struct FakeReplica {
    shared: Arc<Shared>,
    server: Server,
}

impl FakeReplica {
    /// Starts a replica on `address`, for example that of a replica that was stopped, or on a free
    /// port of 127.0.0.1 if it is `None`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(config: ReplicaConfig, address: Option<SocketAddr>) -> Result<Self> {
        let shared = Arc::new(Shared {
            config,
            fault: Mutex::default(),
            notice: Mutex::default(),
            arrivals: Mutex::default(),
            refusals: Mutex::default(),
            ended: watch::Sender::default(),
            crashed: watch::Sender::default(),
            runs: Mutex::default(),
            reservations: Mutex::default(),
        });
        let router = Router::new()
            .route("/snipespan/order", post(handle_order))
            .fallback(handle_request)
            .layer(middleware::from_fn_with_state(Arc::clone(&shared), add_notice))
            // The platform's limit of a body is 4 MiB, above the default of the HTTP library.
            .layer(DefaultBodyLimit::disable())
            .with_state(Arc::clone(&shared));
        let server = Server::start(router, address).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address on which it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its id.
    pub fn id(&self) -> &str {
        &self.shared.config.id
    }

    /// Returns its listing, which is the value of its row in the store, with a state such as
    /// `ready` or `draining`. Gateways shall reach it at `address`.
    pub fn listing(&self, address: SocketAddr, state: &str) -> Value {
        json!({
            "service": self.shared.config.service, "address": address.to_string(),
            "zone": "graz-a", "version": "v1", "slots": self.shared.config.slots, "state": state,
            "cold_left_ms": 0, "stage": "both", "models": [], "seq": 0, "born": 1,
        })
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: ReplicaFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Sets what it says of itself.
    pub fn set_notice(&self, notice: ReplicaNotice) {
        *lock(&self.shared.notice) = notice;
    }

    /// Returns the times at which requests and orders arrived, refused ones included.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.arrivals).clone()
    }

    /// Returns the refusals with the field `retry-after`.
    pub fn refusals(&self) -> Vec<Refusal> {
        lock(&self.shared.refusals).clone()
    }

    /// Returns the time at which [`DEADLY_PART`] or [`Self::end`] ended it.
    pub fn ended(&self) -> Option<Instant> {
        *self.shared.ended.borrow()
    }

    /// Waits until it has ended.
    pub async fn wait_until_ended(&self) {
        // The sender lives as long as the replica.
        let _ = self.shared.ended.subscribe().wait_for(Option::is_some).await;
    }

    /// Ends it: it answers nothing any more. The caller closes its connections.
    pub fn end(&self) {
        self.shared.end();
    }

    /// Returns the time of its last crash by [`ReplicaFault::CrashesOnPart`].
    pub fn crashed(&self) -> Option<Instant> {
        *self.shared.crashed.borrow()
    }

    /// Returns all executions so far, in the order of their start.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.shared.runs).clone()
    }

    /// Returns the memory reserved now, in tokens.
    pub fn reserved_tokens(&self) -> u64 {
        let now = Instant::now();
        let reservations = lock(&self.shared.reservations);
        let open = reservations.values().filter(|(_, expires)| *expires > now);
        open.map(|(tokens, _)| tokens).sum()
    }
}

impl Shared {
    /// Records the start of an execution with these headers and body. The guard records its end.
    fn start_run(
        self: &Arc<Self>,
        request: &str,
        target: String,
        peer: SocketAddr,
        headers_and_body: (HeaderMap, Bytes),
    ) -> RunGuard {
        let (headers, body) = headers_and_body;
        let mut runs = lock(&self.runs);
        runs.push(Run {
            request: request.to_owned(),
            target,
            body: body.to_vec(),
            headers,
            peer,
            began: Instant::now(),
            cancelled: None,
            is_done: false,
        });
        RunGuard { shared: Arc::clone(self), index: runs.len() - 1 }
    }
}

impl Shared {
    /// Records the end of the replica, once.
    fn end(&self) {
        self.ended.send_if_modified(|ended| match ended {
            Some(_) => false,
            None => ended.replace(Instant::now()).is_none(),
        });
    }

    fn record_refusal(&self, headers: &HeaderMap) {
        let request = headers.get("attempt-id").and_then(|value| value.to_str().ok());
        let seconds = lock(&self.notice).retry_after.first().and_then(|text| text.parse().ok());
        lock(&self.refusals).push(Refusal {
            request: request.unwrap_or_default().to_owned(),
            at: Instant::now(),
            retry_after: Duration::from_secs(seconds.unwrap_or_default()),
        });
    }
}

/// Records how an execution ends: as done by [`Self::finish`], or as cancelled if it is dropped
/// before that because the caller disconnected.
struct RunGuard {
    shared: Arc<Shared>,
    index: usize,
}

impl RunGuard {
    fn finish(&self) {
        if let Some(run) = lock(&self.shared.runs).get_mut(self.index) {
            run.is_done = true;
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if let Some(run) = lock(&self.shared.runs).get_mut(self.index)
            && !run.is_done
        {
            run.cancelled = Some(Instant::now());
        }
    }
}

/// Records the arrival of a request or an order, refuses it if the notice says so, and adds the
/// notice to the answer.
async fn add_notice(State(shared): State<Arc<Shared>>, req: Request, next: Next) -> Response {
    lock(&shared.arrivals).push(Instant::now());
    if shared.ended.borrow().is_some() {
        std::future::pending::<()>().await;
    }
    let is_refused = !lock(&shared.notice).retry_after.is_empty();
    if is_refused {
        shared.record_refusal(req.headers());
    }
    let mut response = match is_refused {
        true => empty_response(StatusCode::SERVICE_UNAVAILABLE, &[("not-executed", "1")]),
        false => next.run(req).await,
    };
    let notice = lock(&shared.notice).clone();
    let fields = response.headers_mut();
    if notice.is_leaving {
        fields.insert("server-leaving", HeaderValue::from_static("1"));
    }
    if let Some(limit) = notice.limit.and_then(|text| HeaderValue::from_str(&text).ok()) {
        fields.insert("server-limit", limit);
    }
    if is_refused {
        let values = notice.retry_after.iter().filter_map(|text| HeaderValue::from_str(text).ok());
        for value in values {
            fields.append("retry-after", value);
        }
    }
    response
}

/// Reserves or releases memory. Answers 400 to an unknown operation or a reservation larger than
/// the total memory, and 409 if the free memory is insufficient. The answer to a release gives the
/// free memory as 0, whatever it is.
async fn handle_order(State(shared): State<Arc<Shared>>, Json(order): Json<Value>) -> Response {
    let fault = *lock(&shared.fault);
    if fault == ReplicaFault::OrdersUnanswered {
        std::future::pending::<()>().await;
    }
    let id = order["id"].as_str().unwrap_or_default().to_owned();
    let now = Instant::now();
    let mut reservations = lock(&shared.reservations);
    reservations.retain(|_, (_, expires)| *expires > now);
    match order["op"].as_str() {
        Some("reserve") => {
            let tokens = order["token_count"].as_u64().unwrap_or_default();
            let ttl = Duration::from_millis(order["hold_ms"].as_u64().unwrap_or_default());
            let others = reservations.iter().filter(|(known, _)| **known != id);
            let reserved: u64 = others.map(|(_, (tokens, _))| tokens).sum();
            if tokens > shared.config.memory_tokens {
                return StatusCode::BAD_REQUEST.into_response();
            }
            if reserved + tokens > shared.config.memory_tokens {
                return StatusCode::CONFLICT.into_response();
            }
            reservations.insert(id, (tokens, now + ttl));
            let free = shared.config.memory_tokens - reserved - tokens;
            Json(json!({ "free": free })).into_response()
        }
        Some("release") => {
            reservations.remove(&id);
            Json(json!({ "free": 0 })).into_response()
        }
        _ => StatusCode::BAD_REQUEST.into_response(),
    }
}

/// Answers health checks, refuses requests that it must not run, and runs the others.
async fn handle_request(
    State(shared): State<Arc<Shared>>,
    ConnectInfo(peer): ConnectInfo<SocketAddr>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if uri.path() == "/healthz" {
        return empty_response(StatusCode::OK, &[("instance-id", &shared.config.id)])
            .into_response();
    }
    let is_down = shared.crashed.borrow().is_some_and(|crashed| crashed.elapsed() < DOWN_TIME);
    if is_down || text("expect-instance").is_some_and(|expected| expected != shared.config.id) {
        return empty_response(
            StatusCode::MISDIRECTED_REQUEST,
            &[("instance-id", &shared.config.id)],
        );
    }
    let fault = *lock(&shared.fault);
    let running =
        lock(&shared.runs).iter().filter(|run| !run.is_done && run.cancelled.is_none()).count();
    if fault == ReplicaFault::Refuses || running >= shared.config.slots {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE, &[("not-executed", "1")]);
    }
    let request = text("attempt-id").unwrap_or_default().to_owned();
    let last: u64 = text("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let run = shared.start_run(&request, format!("{method} {uri}"), peer, (headers.clone(), body));
    let is_stream = uri.path().starts_with(STREAM_PATH_PREFIX);
    let sends_head_at_once = is_stream && shared.config.head_timing == HeadTiming::AtOnce;
    if has_part(&headers, DEADLY_PART) && !sends_head_at_once {
        tokio::time::sleep(shared.config.pause).await;
        shared.end();
        std::future::pending::<()>().await;
    }
    let attempt_id = if fault == ReplicaFault::WrongAttemptId { "another" } else { &request };
    let mut response = match fault {
        ReplicaFault::NeverAnswers => std::future::pending().await,
        ReplicaFault::Errors => {
            tokio::time::sleep(shared.config.pause).await;
            run.finish();
            (StatusCode::INTERNAL_SERVER_ERROR, "broken").into_response()
        }
        _ if is_stream => {
            if !sends_head_at_once {
                tokio::time::sleep(shared.config.pause).await;
            }
            stream_response(&shared, run, fault, (last, &headers))
        }
        _ => plain_response(&shared, run, fault, &request).await,
    };
    if fault == ReplicaFault::Unframed {
        // The HTTP library then sends neither a length nor chunks.
        *response.version_mut() = Version::HTTP_10;
    }
    let fields = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(attempt_id) {
        fields.insert("attempt-id", value);
    }
    if fault != ReplicaFault::Unsigned
        && let Ok(value) = HeaderValue::from_str(&format!("stamp.{}", shared.config.id))
    {
        fields.insert("server-stamp", value);
    }
    response
}

/// Returns whether a prompt with these headers has a part.
pub fn has_part(headers: &HeaderMap, part: u64) -> bool {
    let parts = headers.get("prompt-prefix").and_then(|value| value.to_str().ok());
    let ids = parts.into_iter().flat_map(|parts| parts.split(','));
    let mut ids = ids.filter_map(|entry| entry.split(':').next());
    ids.any(|id| u64::from_str_radix(id, 16) == Ok(part))
}

/// Answers a request to a plain service after the pause.
async fn plain_response(
    shared: &Shared,
    run: RunGuard,
    fault: ReplicaFault,
    request: &str,
) -> Response {
    tokio::time::sleep(shared.config.pause).await;
    run.finish();
    let body = plain_body(request);
    match fault {
        ReplicaFault::Disconnects(_) => {
            let partial = Bytes::from(body.into_bytes()[..4].to_vec());
            let parts = [Ok(partial), Err(std::io::Error::other("the fake breaks the connection"))];
            Body::from_stream(stream::iter(parts)).into_response()
        }
        ReplicaFault::Unframed => {
            let parts = [Ok::<_, std::io::Error>(Bytes::from(body))];
            Body::from_stream(stream::iter(parts)).into_response()
        }
        _ => body.into_response(),
    }
}

/// Returns the body of the complete answer of a plain service to a request.
pub fn plain_body(request: &str) -> String {
    format!("the answer to {request}")
}

/// Returns the event with this id, from 1, of the stream that answers a request.
pub fn stream_event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// Number of parts in which [`ReplicaFault::Trickles`] sends an event.
const TRICKLE_PARTS: u32 = 8;

/// Answers with the events after the one with the id `last`, each after the pause.
fn stream_response(
    shared: &Arc<Shared>,
    run: RunGuard,
    fault: ReplicaFault,
    (last, headers): (u64, &HeaderMap),
) -> Response {
    let (tx, rx) = mpsc::channel(1);
    let is_crashing = matches!(fault, ReplicaFault::CrashesOnPart(part) if has_part(headers, part));
    let is_ending = has_part(headers, DEADLY_PART);
    let mut crashed = shared.crashed.subscribe();
    let shared = Arc::clone(shared);
    let (events, pause) = (shared.config.events, shared.config.pause);
    let first_pause = match shared.config.head_timing {
        HeadTiming::AtOnce => pause,
        HeadTiming::WithFirstEvent => Duration::ZERO,
    };
    // Ends when the caller disconnects, as the channel then takes no more parts.
    tokio::spawn(async move {
        let sending = async {
            if is_ending {
                // The head of the answer is on its way by then.
                tokio::time::sleep(pause).await;
                shared.end();
                std::future::pending::<()>().await;
            }
            if is_crashing {
                tokio::time::sleep(pause).await;
                shared.crashed.send_replace(Some(Instant::now()));
            }
            send_events(&tx, &run, fault, (last, events), (first_pause, pause)).await
        };
        tokio::select! {
            biased;
            _ = crashed.changed() => {
                run.finish();
                let error = std::io::Error::other("the fake crashed");
                // Nobody receives it if the caller has left.
                let _ = tx.send(Err(error)).await;
            }
            _ = sending => {}
            () = tx.closed() => {}
        }
    });
    let parts = stream::unfold(rx, |mut rx| async move { Some((rx.recv().await?, rx)) });
    let mut response = Body::from_stream(parts).into_response();
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert("content-type", kind);
    response
}

type PartSender = mpsc::Sender<std::io::Result<Bytes>>;

/// Sends the events after the first number up to the second one, with the first pause before the
/// first event and the other one before each further event; `None` if nobody receives them.
async fn send_events(
    tx: &PartSender,
    run: &RunGuard,
    fault: ReplicaFault,
    (last, events): (u64, u64),
    (first_pause, pause): (Duration, Duration),
) -> Option<()> {
    let send = async |part: &[u8]| tx.send(Ok(Bytes::copy_from_slice(part))).await.ok();
    for (sent, id) in (last + 1..=events).enumerate() {
        tokio::time::sleep(if sent == 0 { first_pause } else { pause }).await;
        let event = stream_event(id).into_bytes();
        match fault {
            ReplicaFault::Disconnects(after) if sent as u64 >= after => {
                run.finish();
                send(&event[..5]).await?;
                tokio::time::sleep(pause).await;
                let error = std::io::Error::other("the fake breaks the connection");
                return tx.send(Err(error)).await.ok();
            }
            ReplicaFault::SkipsEvent if id == 2 => {}
            ReplicaFault::SendsComments => loop {
                send(b":\n\n").await?;
                tokio::time::sleep(pause).await;
            },
            ReplicaFault::Trickles(duration) => {
                for part in event.chunks(event.len().div_ceil(TRICKLE_PARTS as usize)) {
                    send(part).await?;
                    tokio::time::sleep(duration / TRICKLE_PARTS).await;
                }
            }
            ReplicaFault::Pauses(duration) if id == 3 => {
                tokio::time::sleep(duration).await;
                send(&event).await?;
            }
            _ => send(&event).await?,
        }
        if id == events {
            run.finish();
        }
    }
    tokio::time::sleep(pause).await;
    run.finish();
    Some(())
}

/// Returns a response with the headers `fields` and without a body.
fn empty_response(status: StatusCode, fields: &[(&'static str, &str)]) -> Response {
    let mut response = status.into_response();
    for (name, value) in fields {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(*name, value);
        }
    }
    response
}
