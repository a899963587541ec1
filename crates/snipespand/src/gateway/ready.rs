//! HTTP server for the readiness checks of the platform's load balancer.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use eyre::Result;
use snipespan_platform_adapter::paths::READY_PATH;
use tokio::net::TcpListener;

use crate::gateway::GatewayContext;

/// Starts the server for readiness checks and returns the address that it listens at.
pub(super) async fn serve(address: SocketAddr, cx: Arc<GatewayContext>) -> Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let router = Router::new()
        .route(READY_PATH, get(get_readiness))
        // Nothing else is run here, also if a listing of a backend server has this address.
        .fallback(async || StatusCode::MISDIRECTED_REQUEST)
        .with_state(cx);
    tokio::spawn(async move {
        if let Err(e) = axum::serve(listener, router).await {
            log::error!("the HTTP server for readiness failed: {e}");
        }
    });
    Ok(address)
}

async fn get_readiness(State(cx): State<Arc<GatewayContext>>) -> StatusCode {
    match *cx.readiness.borrow() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}
