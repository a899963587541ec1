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
use crate::entry::request_task::RequestKind;
use crate::entry::request_task::RequestTask;
use crate::entry::shell::Input;
use crate::entry::shell::MAX_QUEUED_ORDERS;
use crate::error_body;
use crate::process::wait_for_stop;

/// Serves callers until `closing` turns true; returns the bound address.
///
/// # Errors
/// If the address cannot be bound.
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
        .route("/v1/chat/completions", post(handle_chat_completion))
        .route("/services/{service}", any(handle_service_call))
        .route("/services/{service}/{*path}", any(handle_service_call))
        .with_state(Arc::clone(&cx));
    let listener = listener.tap_io(|stream| {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("could not set TCP_NODELAY on a caller's connection: {e}");
        }
    });
    let server = axum::serve(listener, router).with_graceful_shutdown(wait_for_stop(closing));
    cx.tasks.spawn(async move {
        if let Err(e) = server.await {
            log::error!("the HTTP server for callers failed: {e}");
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

async fn handle_chat_completion(
    State(cx): State<Arc<EntryContext>>,
    req: Request,
) -> Response<Body> {
    handle_request(&cx, req, RequestKind::Chat).await
}

async fn handle_service_call(State(cx): State<Arc<EntryContext>>, req: Request) -> Response<Body> {
    let path = req.uri().path();
    let path = path.strip_prefix("/services/").unwrap_or(path);
    let (service, path) = path.split_once('/').unwrap_or((path, ""));
    let query = req.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let kind = RequestKind::Service {
        service: service.into(),
        path: format!("/{path}{query}").into(),
        method: req.method().clone(),
    };
    handle_request(&cx, req, kind).await
}

/// Starts a task for the request and waits for the head of its answer.
async fn handle_request(cx: &Arc<EntryContext>, req: Request, kind: RequestKind) -> Response<Body> {
    let id = RequestId(Uuid::new_v4().as_u128());
    let (parts, body) = req.into_parts();
    let arrival = Arrival {
        // The control thread assigns the key.
        caller: CallerKey::default(),
        id,
        credential: credential_digest(&parts.headers),
        body_bytes: content_length(&parts.headers),
    };
    let (orders_tx, orders) = mpsc::channel(MAX_QUEUED_ORDERS);
    if cx.control.try_send(Input::RequestArrived(arrival, orders_tx)).is_err() {
        return refuse_overloaded(id);
    }
    let (head, answer) = oneshot::channel();
    let inbound = Inbound { kind, headers: parts.headers, body: Some(body) };
    let task = RequestTask::new(Arc::clone(cx), id, inbound, orders, head);
    cx.tasks.spawn(task.run());
    match answer.await {
        Ok(response) => response,
        // The task ends without an answer only while the process terminates.
        Err(_) => error_body::response(id, ResultCode::OutcomeUnknown, None, None),
    }
}

/// Refuses a request for which the input queue of the control thread has no free slot.
fn refuse_overloaded(id: RequestId) -> Response<Body> {
    let code = ResultCode::Overloaded;
    error_body::response(id, code, code.row().retry.delay(), None)
}

fn credential_digest(headers: &HeaderMap) -> Option<CredentialDigest> {
    let value = headers.get("authorization")?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(CredentialDigest(Sha256::digest(key).into()))
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}
