//! Listening addresses of a process, and the wait for a planned stop; shared by all roles.

use serde::Serialize;
use tokio::sync::watch;

/// Addresses at which a process listens, printed as one line of JSON once it does.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Addresses {
    /// Addresses of an entry.
    Entry {
        /// Address for callers.
        callers: String,
        /// Address for operators.
        operators: String,
    },
    /// Addresses of a side process.
    Side {
        /// Address for entries (QUIC).
        entries: String,
        /// Address of the liveness and readiness endpoints.
        health: String,
    },
    /// Addresses of a gateway.
    Gateway {
        /// Address for clients.
        clients: String,
        /// Address of the readiness endpoint.
        ready: String,
        /// Address for peer gateways and for readers of metrics.
        peers: String,
    },
}

/// Waits until a planned stop is requested; never returns if the sender is dropped before.
pub async fn wait_for_stop(mut stopping: watch::Receiver<bool>) {
    let is_sender_dropped = stopping.wait_for(|is_stopping| *is_stopping).await.is_err();
    if is_sender_dropped {
        std::future::pending::<()>().await;
    }
}
