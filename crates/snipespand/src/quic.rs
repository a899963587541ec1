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

/// Time without any packet after which a connection is considered lost.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between keep-alive packets on an idle connection.
pub const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of concurrent streams, and so of attempts, on one connection.
const MAX_STREAMS: u32 = 65_536;

/// Flow-control window of one stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;

/// Flow-control window of one connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

/// Application error code with which an entry resets a stream or closes a connection that it has
/// abandoned.
pub const ABANDONED_CODE: VarInt = VarInt::from_u32(1);

/// Application error code of a connection that is closed because the process stops.
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

/// Creates the endpoint from which an entry connects to side processes. Requires a running tokio
/// runtime.
///
/// # Errors
/// If the address cannot be bound or the TLS settings are invalid.
pub fn client_endpoint(bind: SocketAddr, identity: &Identity) -> Result<Endpoint> {
    let mut endpoint = Endpoint::client(bind)?;
    let crypto = QuicClientConfig::try_from(identity.client_config()?)?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport_config()?);
    endpoint.set_default_client_config(config);
    Ok(endpoint)
}

/// Creates the endpoint at which a side process listens for entries. Requires a running tokio
/// runtime.
///
/// # Errors
/// If the address cannot be bound or the TLS settings are invalid.
pub fn server_endpoint(listen: SocketAddr, identity: &Identity) -> Result<Endpoint> {
    let crypto = QuicServerConfig::try_from(identity.server_config()?)?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport_config()?);
    Ok(Endpoint::server(config, listen)?)
}

/// Waits up to `limit` until `tasks` have ended, then closes all connections of `endpoint`.
pub async fn close_after_tasks(tasks: &TaskTracker, endpoint: &Endpoint, limit: Duration) {
    tasks.close();
    if tokio::time::timeout(limit, tasks.wait()).await.is_err() {
        log::warn!(
            "{} tasks still running after {limit:?}; closing their connections",
            tasks.len()
        );
    }
    endpoint.close(STOPPING_CODE, b"planned stop");
    endpoint.wait_idle().await;
}
