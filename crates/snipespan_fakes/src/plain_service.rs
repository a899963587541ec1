//! A plain service that counts each execution by its idempotency key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::StatusCode;
use axum::http::Uri;
use axum::response::IntoResponse;
use axum::response::Response;
use eyre::Result;
use serde_json::json;

use crate::server::Server;
use crate::sync::lock;

/// Faults that a service shows; tests set them while it runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceFaults {
    /// Time between execution and answer.
    pub delay: Duration,
    /// It executes calls and breaks the connection instead of answering.
    pub disconnects: bool,
}

#[derive(Debug, Default)]
struct Shared {
    faults: Mutex<ServiceFaults>,
    executions: Mutex<BTreeMap<String, u32>>,
}

/// A running service; it stops when it is dropped.
#[derive(Debug)]
pub struct FakeService {
    shared: Arc<Shared>,
    server: Server,
}

impl FakeService {
    /// Starts a service on a free port, or on `address` when one was there before.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(address: Option<SocketAddr>) -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let router = Router::new().fallback(execute).with_state(Arc::clone(&shared));
        let server = Server::start(router, address).await?;
        Ok(Self { shared, server })
    }

    /// Its URL.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Changes its faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// How often it executed a call, by idempotency key; calls without one by method and path.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        lock(&self.shared.executions).clone()
    }
}

impl Shared {
    /// Counts an execution; returns how many there are now.
    fn count_execution(&self, name: &str) -> u32 {
        let mut executions = lock(&self.executions);
        let count = executions.entry(name.to_owned()).or_default();
        *count += 1;
        *count
    }
}

async fn execute(
    State(shared): State<Arc<Shared>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: String,
) -> Response {
    if method == Method::HEAD {
        return StatusCode::OK.into_response();
    }
    let key = headers.get("idempotency-key").and_then(|value| value.to_str().ok());
    let name = key.map_or_else(|| format!("{method} {uri}"), str::to_owned);
    let execution = shared.count_execution(&name);
    let answer = json!({"name": name, "execution": execution, "bytes": body.len()});
    let faults = *lock(&shared.faults);
    tokio::time::sleep(faults.delay).await;
    match faults.disconnects {
        true => disconnect(),
        false => Json(answer).into_response(),
    }
}

/// An answer whose body breaks at once, and with it the connection.
fn disconnect() -> Response {
    let error = Err::<String, _>(std::io::Error::other("cut"));
    axum::body::Body::from_stream(futures_util::stream::iter([error])).into_response()
}
