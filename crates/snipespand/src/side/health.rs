//! Liveness and readiness endpoints of a side process over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use eyre::Result;
use tokio::net::TcpListener;

use crate::side::SideContext;

/// Starts to serve `/healthz` and `/readyz` at `listen`; returns the bound address.
pub(super) async fn serve_health(listen: SocketAddr, cx: Arc<SideContext>) -> Result<SocketAddr> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let router = Router::new()
        .route("/healthz", get(StatusCode::OK))
        .route("/readyz", get(readiness))
        .with_state(cx);
    tokio::spawn(async move {
        if let Err(e) = axum::serve(listener, router).await {
            log::error!("health endpoints stopped: {e}");
        }
    });
    Ok(address)
}

async fn readiness(State(cx): State<Arc<SideContext>>) -> StatusCode {
    match cx.announcements.load() {
        Some(load) if !load.is_leaving => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
