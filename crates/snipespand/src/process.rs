//! What every role of the daemon shares: where it listens, and how it is asked to stop.

use serde::Serialize;
use tokio::sync::watch;

/// Where a process listens; printed as one line of JSON once it does.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Addresses {
    /// Addresses of an entry.
    Entry {
        /// For callers.
        callers: String,
        /// For operators.
        operators: String,
    },
    /// Addresses of a side process.
    Side {
        /// For entries.
        entries: String,
        /// For liveness and readiness.
        health: String,
    },
    /// Addresses of a gateway.
    Gateway {
        /// For clients.
        clients: String,
        /// For readiness.
        ready: String,
        /// For peers, and for those who read metrics.
        peers: String,
    },
}

/// Waits until a planned stop is asked for.
pub async fn wait_for_stop(mut stopping: watch::Receiver<bool>) {
    let is_sender_dropped = stopping.wait_for(|is_stopping| *is_stopping).await.is_err();
    if is_sender_dropped {
        std::future::pending::<()>().await;
    }
}
