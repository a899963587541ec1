//! A fake plain service that counts its executions by idempotency key.

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

/// Faults of a service, which tests may change while it runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceFaults {
    /// Delay between the execution of a call and its answer.
    pub delay: Duration,
    /// Whether it breaks the connection instead of answering, after it has executed the call.
    pub disconnects: bool,
}

#[derive(Debug, Default)]
struct Shared {
    faults: Mutex<ServiceFaults>,
    executions: Mutex<BTreeMap<String, u32>>,
}

/// A running service, which stops when it is dropped.
#[derive(Debug)]
pub struct FakeService {
    shared: Arc<Shared>,
    server: Server,
}

impl FakeService {
    /// Starts a service on `address`, for example that of a service that was stopped, or on a free
    /// port of 127.0.0.1 if it is `None`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start(address: Option<SocketAddr>) -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let router = Router::new().fallback(execute).with_state(Arc::clone(&shared));
        let server = Server::start(router, address).await?;
        Ok(Self { shared, server })
    }

    /// Returns its URL, without a trailing slash.
    pub fn url(&self) -> String {
        self.server.url()
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Returns the number of executions by idempotency key, or by `METHOD URI` for calls that had
    /// no key.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        lock(&self.shared.executions).clone()
    }
}

impl Shared {
    /// Counts an execution under `name`, an idempotency key or `METHOD URI`, and returns the number
    /// of executions under it so far.
    fn count_execution(&self, name: &str) -> u32 {
        let mut executions = lock(&self.executions);
        let count = executions.entry(name.to_owned()).or_default();
        *count += 1;
        *count
    }
}

/// Executes a call: counts it and answers with the count. HEAD requests are probes and not counted.
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

/// Returns an answer whose body fails at once, which breaks the connection.
fn disconnect() -> Response {
    let error = Err::<String, _>(std::io::Error::other("the fake breaks the connection"));
    axum::body::Body::from_stream(futures_util::stream::iter([error])).into_response()
}
