//! QUIC endpoints between entries and side processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use quinn::ClientConfig;
use quinn::Endpoint;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use tokio_util::task::TaskTracker;

use crate::tls::Identity;

/// A connection on which nothing arrives for this long is dead.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// How often a quiet connection is kept alive.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Attempts that one connection carries at once.
const MAX_STREAMS: u32 = 65_536;

/// Bytes in flight on one stream.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Bytes in flight on one connection.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// Code of a stream that its opener has given up.
pub const ABANDONED_CODE: VarInt = VarInt::from_u32(1);

/// Code of a connection that is closed because the process stops.
const STOPPING_CODE: VarInt = VarInt::from_u32(2);

fn transport_config() -> Result<Arc<TransportConfig>> {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT)?))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES));
    Ok(Arc::new(transport))
}

/// The endpoint from which an entry connects. Needs a running tokio runtime.
///
/// # Errors
/// When the address cannot be bound.
pub fn client_endpoint(bind: SocketAddr, identity: &Identity) -> Result<Endpoint> {
    let mut endpoint = Endpoint::client(bind)?;
    let crypto = QuicClientConfig::try_from(identity.client_config()?)?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport_config()?);
    endpoint.set_default_client_config(config);
    Ok(endpoint)
}

/// The endpoint at which a side process listens. Needs a running tokio runtime.
///
/// # Errors
/// When the address cannot be bound.
pub fn server_endpoint(listen: SocketAddr, identity: &Identity) -> Result<Endpoint> {
    let crypto = QuicServerConfig::try_from(identity.server_config()?)?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport_config()?);
    Ok(Endpoint::server(config, listen)?)
}

/// Waits for `tasks`, at most `limit`, and closes all connections.
pub async fn close_after_tasks(tasks: &TaskTracker, endpoint: &Endpoint, limit: Duration) {
    tasks.close();
    if tokio::time::timeout(limit, tasks.wait()).await.is_err() {
        log::warn!("{} tasks were still at work after {limit:?}", tasks.len());
    }
    endpoint.close(STOPPING_CODE, b"planned stop");
    endpoint.wait_idle().await;
}
