//! The HTTP server for callers.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Response;
use axum::http::StatusCode;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use axum::serve::ListenerExt;
use eyre::Result;
use sha2::Digest;
use sha2::Sha256;
use snipespan_core::entry::event::Arrival;
use snipespan_core::identity::CredentialDigest;
use snipespan_core::identity::RequestId;
use snipespan_core::keys::CallerKey;
use snipespan_core::result_code::ResultCode;
use snipespan_settings::daemon::EntryRole;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use uuid::Uuid;

use crate::entry::EntryContext;
use crate::entry::request_task::Inbound;
use crate::entry::request_task::RequestTask;
use crate::entry::request_task::Wanted;
use crate::entry::shell::Input;
use crate::entry::shell::MAX_ORDERS;
use crate::error_body;
use crate::process::wait_for_stop;

/// Serves callers until `closing` turns true; returns where.
pub(super) async fn serve(
    role: &EntryRole,
    cx: Arc<EntryContext>,
    closing: watch::Receiver<bool>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind(role.callers_listen).await?;
    let address = listener.local_addr()?;
    let router = Router::new()
        .route("/healthz", get(StatusCode::OK))
        .route("/readyz", get(readiness))
        .route("/v1/chat/completions", post(complete))
        .route("/services/{service}", any(call))
        .route("/services/{service}/{*path}", any(call))
        .with_state(Arc::clone(&cx));
    let listener = listener.tap_io(|stream| {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("a caller's connection keeps its delay: {e}");
        }
    });
    let server = axum::serve(listener, router).with_graceful_shutdown(wait_for_stop(closing));
    cx.tasks.spawn(async move {
        if let Err(e) = server.await {
            log::error!("the server for callers ended: {e}");
        }
    });
    Ok(address)
}

async fn readiness(State(cx): State<Arc<EntryContext>>) -> StatusCode {
    match *cx.readiness.borrow() {
        true => StatusCode::OK,
        false => StatusCode::SERVICE_UNAVAILABLE,
    }
}

async fn complete(State(cx): State<Arc<EntryContext>>, req: Request) -> Response<Body> {
    handle(&cx, req, Wanted::Chat).await
}

async fn call(State(cx): State<Arc<EntryContext>>, req: Request) -> Response<Body> {
    let path = req.uri().path();
    let path = path.strip_prefix("/services/").unwrap_or(path);
    let (service, path) = path.split_once('/').unwrap_or((path, ""));
    let query = req.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let wanted = Wanted::Service {
        service: service.into(),
        path: format!("/{path}{query}").into(),
        method: req.method().clone(),
    };
    handle(&cx, req, wanted).await
}

/// Hands a request to a task of its own and waits for the head of its answer.
async fn handle(cx: &Arc<EntryContext>, req: Request, wanted: Wanted) -> Response<Body> {
    let id = RequestId(Uuid::new_v4().as_u128());
    let (parts, body) = req.into_parts();
    let arrival = Arrival {
        // The control thread knows the key.
        caller: CallerKey::default(),
        id,
        credential: credential(&parts.headers),
        body_bytes: content_length(&parts.headers),
    };
    let (orders_tx, orders) = mpsc::channel(MAX_ORDERS);
    if cx.control.try_send(Input::Arrive(arrival, orders_tx)).is_err() {
        return refuse_unqueued(id);
    }
    let (head, answer) = oneshot::channel();
    let inbound = Inbound { wanted, headers: parts.headers, body: Some(body) };
    let task = RequestTask::new(Arc::clone(cx), id, inbound, orders, head);
    cx.tasks.spawn(task.run());
    match answer.await {
        Ok(response) => response,
        // The task ends without an answer only when the process is being torn down.
        Err(_) => error_body::response(id, ResultCode::OutcomeUnknown, None, None),
    }
}

/// Answers a request that the control thread has no room for.
fn refuse_unqueued(id: RequestId) -> Response<Body> {
    let code = ResultCode::Overloaded;
    error_body::response(id, code, code.row().retry.delay(), None)
}

fn credential(headers: &HeaderMap) -> Option<CredentialDigest> {
    let value = headers.get("authorization")?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(CredentialDigest(Sha256::digest(key).into()))
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}
