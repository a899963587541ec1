//! Serving configurations: decodes them, gives the newest to peers, and fetches those of peers.

use std::convert::Infallible;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use eyre::Result;
use eyre::ensure;
use eyre::eyre;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::read::ZlibEncoder;
use futures_util::stream;
use http_body_util::Full;
use hyper::Request;
use hyper::header;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::serving::ServingVersion;
use snipespan_platform_adapter::configuration;
use snipespan_platform_adapter::connection::AnswerLimits;
use snipespan_platform_adapter::connection::Connection;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::gateway::GatewayContext;
use crate::gateway::byte_meters::Place;
use crate::gateway::shell::Input;

/// Path at which a gateway gives its configuration to peers.
pub(super) const SERVING_PATH: &str = "/serving";

/// Maximum time to connect to a peer, and its maximum silence before and within an answer, which it
/// has in memory.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum number of peers that are given a configuration at the same time; further ones are refused,
/// so that they ask another gateway.
const MAX_ANSWERS: usize = 8;

/// Maximum length of a configuration in bytes, that of an answer of the store.
const MAX_CONFIGURATION_BYTES: u64 = 8 << 20;

/// Length of the parts in which a configuration is sent.
const PART_BYTES: usize = 32 << 10;

/// The coding in which gateways exchange configurations, which is zlib in HTTP.
const CODING: &str = "deflate";

/// The newest serving configuration as its writer encoded it; empty until one is received.
#[derive(Clone, Debug, Default)]
struct EncodedServing {
    version: ServingVersion,
    bytes: Bytes,
    /// Compressed bytes, once a peer has asked for them.
    compressed: Arc<OnceLock<Bytes>>,
}

/// What this gateway gives to peers.
#[derive(Debug)]
pub(super) struct ServingOffer {
    newest: watch::Sender<EncodedServing>,
    /// Permits for answers to peers.
    answers: Arc<Semaphore>,
}

impl ServingOffer {
    /// Creates an offer without a configuration.
    pub(super) fn new() -> Self {
        let (newest, _) = watch::channel(EncodedServing::default());
        Self { newest, answers: Arc::new(Semaphore::new(MAX_ANSWERS)) }
    }

    /// Replaces the configuration unless it is newer.
    fn update(&self, version: ServingVersion, bytes: &Bytes, compressed: Option<Bytes>) {
        self.newest.send_if_modified(|newest| {
            let is_newer = newest.bytes.is_empty() || newest.version < version;
            if is_newer {
                let compressed = compressed.map(OnceLock::from).unwrap_or_default();
                let compressed = Arc::new(compressed);
                *newest = EncodedServing { version, bytes: bytes.clone(), compressed };
            }
            is_newer
        });
    }
}

impl EncodedServing {
    /// Returns the compressed configuration; the first call compresses it.
    fn compressed(&self) -> Result<Bytes> {
        if let Some(compressed) = self.compressed.get() {
            return Ok(compressed.clone());
        }
        let mut compressed = Vec::new();
        ZlibEncoder::new(&*self.bytes, Compression::fast()).read_to_end(&mut compressed)?;
        Ok(self.compressed.get_or_init(|| compressed.into()).clone())
    }
}

/// Decompresses a configuration of at most [`MAX_CONFIGURATION_BYTES`].
fn decompress(compressed: &[u8]) -> Result<Bytes> {
    let mut bytes = Vec::new();
    ZlibDecoder::new(compressed).take(MAX_CONFIGURATION_BYTES + 1).read_to_end(&mut bytes)?;
    let is_in_limit = bytes.len() as u64 <= MAX_CONFIGURATION_BYTES;
    ensure!(is_in_limit, "the configuration has more than {MAX_CONFIGURATION_BYTES} bytes");
    Ok(bytes.into())
}

/// Gives the newest configuration to a peer, compressed if it accepts that.
pub(super) async fn get_serving(
    State(cx): State<Arc<GatewayContext>>,
    headers: HeaderMap,
) -> Result<Response, StatusCode> {
    let serving = cx.serving_offer.newest.borrow().clone();
    if serving.bytes.is_empty() {
        return Err(StatusCode::NOT_FOUND);
    }
    let Ok(permit) = Arc::clone(&cx.serving_offer.answers).try_acquire_owned() else {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    };
    let accepted = headers.get(header::ACCEPT_ENCODING).and_then(|value| value.to_str().ok());
    let is_compressed = accepted.is_some_and(|codings| codings.split(',').any(is_coding));
    let bytes = match is_compressed {
        true => compress(serving).await?,
        false => serving.bytes,
    };
    cx.metrics.add_bytes("configurations", Place::Unknown, bytes.len() as u64);
    let mut response = body_in_parts(bytes, permit).into_response();
    if is_compressed {
        let coding = header::HeaderValue::from_static(CODING);
        response.headers_mut().insert(header::CONTENT_ENCODING, coding);
    }
    Ok(response)
}

fn is_coding(name: &str) -> bool {
    name.trim().eq_ignore_ascii_case(CODING)
}

/// Compresses a configuration on a thread of its own, as that takes as long as many requests.
async fn compress(serving: EncodedServing) -> Result<Bytes, StatusCode> {
    let compressed = tokio::task::spawn_blocking(move || serving.compressed()).await;
    compressed.map_err(eyre::Report::from).flatten().map_err(|e| {
        log::error!("could not compress the configuration: {e}");
        StatusCode::INTERNAL_SERVER_ERROR
    })
}

/// Returns a body that holds the permit until its last part is taken.
fn body_in_parts(bytes: Bytes, permit: OwnedSemaphorePermit) -> Body {
    let parts = stream::unfold((bytes, permit), |(mut rest, permit)| async move {
        if rest.is_empty() {
            return None;
        }
        let part = rest.split_to(rest.len().min(PART_BYTES));
        Some((Ok::<_, Infallible>(part), (rest, permit)))
    });
    Body::from_stream(parts)
}

/// Fetches and applies the serving configuration of a peer that has a newer one.
pub(super) async fn fetch_serving(
    from: SocketAddr,
    version: ServingVersion,
    cx: Arc<GatewayContext>,
) {
    let called = cx.clock.now();
    let fetched = request_serving(from).await;
    let took_ms = cx.clock.now().since(called).as_secs_f64() * 1e3;
    let is_applied = match fetched {
        Ok((bytes, compressed)) => {
            let sent_bytes = compressed.as_ref().unwrap_or(&bytes).len();
            log::info!(
                peer:% = from, configuration = version.0, bytes = sent_bytes, took_ms;
                "configuration of a peer fetched"
            );
            apply(&bytes, compressed, false, &cx).await
        }
        Err(e) => {
            log::info!(
                peer:% = from, configuration = version.0, took_ms;
                "could not fetch a peer's configuration: {e}"
            );
            false
        }
    };
    if !is_applied {
        cx.metrics.count("configuration_fetches_failed");
        // Sending fails only after the control thread has ended, when nothing needs the event.
        let _ = cx.control.send(Input::Event(Event::ServingFetchFailed { from })).await;
    }
}

/// Returns the configuration of a peer, and how it was compressed if it was.
async fn request_serving(from: SocketAddr) -> Result<(Bytes, Option<Bytes>)> {
    let mut connection = Connection::open(from, PEER_CALL_TIMEOUT).await?;
    let req = Request::get(SERVING_PATH)
        .header(header::HOST, from.to_string())
        .header(header::ACCEPT_ENCODING, CODING);
    let limits = AnswerLimits::new(PEER_CALL_TIMEOUT);
    let answer = connection.call(req.body(Full::default())?, limits).await?;
    if answer.status != 200 {
        return Err(eyre!("the peer answered with status {}, 200 is expected", answer.status));
    }
    match answer.headers.get(header::CONTENT_ENCODING) {
        None => Ok((answer.body, None)),
        Some(coding) if coding.to_str().is_ok_and(is_coding) => {
            Ok((decompress(&answer.body)?, Some(answer.body)))
        }
        Some(coding) => Err(eyre!("the peer answered with the unknown coding {coding:?}")),
    }
}

/// Applies a configuration that was read from the store.
pub(super) async fn apply_from_store(bytes: &Bytes, cx: &GatewayContext) {
    apply(bytes, None, true, cx).await;
}

/// Decodes a serving configuration, offers it to peers if it is the newest and sends it to the
/// control thread; returns whether it could be decoded.
async fn apply(
    bytes: &Bytes,
    compressed: Option<Bytes>,
    is_from_store: bool,
    cx: &GatewayContext,
) -> bool {
    let began = cx.clock.now();
    match configuration::decode(bytes) {
        Ok(serving) => {
            let version = serving.version();
            let took_ms = cx.clock.now().since(began).as_secs_f64() * 1e3;
            log::info!(
                configuration = version.0, bytes = bytes.len(), took_ms; "configuration decoded"
            );
            cx.serving_offer.update(version, bytes, compressed);
            let event = Event::ServingReceived { serving: Box::new(serving), is_from_store };
            // Sending fails only after the control thread has ended, when nothing needs the event.
            let _ = cx.control.send(Input::Event(event)).await;
            true
        }
        Err(e) => {
            log::error!(is_from_store; "could not decode a serving configuration: {e}");
            false
        }
    }
}
