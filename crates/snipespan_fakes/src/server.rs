//! The HTTP server that the fakes share.

use std::net::SocketAddr;

use axum::Router;
use axum::serve::ListenerExt;
use eyre::Result;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A running HTTP server, which stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server for `router` on `address`, or on a free port of 127.0.0.1 if it is `None`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(router: Router, address: Option<SocketAddr>) -> Result<Self> {
        let address = address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let listener = listener.tap_io(move |stream| {
            if let Err(e) = stream.set_nodelay(true) {
                log::debug!(
                    "could not set TCP_NODELAY on a connection to the fake at {address}: {e}"
                );
            }
        });
        let task = tokio::spawn(async move {
            let service = router.into_make_service_with_connect_info::<SocketAddr>();
            let served = axum::serve(listener, service).await;
            if let Err(e) = served {
                log::warn!("the HTTP server of the fake at {address} failed: {e}");
            }
        });
        Ok(Self { address, task })
    }

    /// Returns the address on which it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}
