//! The platform's store: rows in tables, and a feed of their changes with a history.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use eyre::Result;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::server::Server;
use crate::sync::lock;

/// Faults that the store shows; tests set them while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// None.
    #[default]
    None,
    /// It answers 503 and does nothing.
    Busy,
    /// It does nothing and never answers.
    Silent,
    /// It answers this much later.
    Slow(Duration),
}

type RowKey = (String, String);

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Changes in order: version, table, key, and the value unless the row was removed.
    history: Vec<(u64, String, String, Option<String>)>,
    /// Changes up to this version are forgotten.
    forgotten_version: u64,
    calls: u64,
}

#[derive(Debug, Default)]
struct Shared {
    rows: Mutex<Rows>,
    fault: Mutex<StoreFault>,
    changed: Notify,
}

/// A running store; it stops when it is dropped.
#[derive(Debug)]
pub struct FakeStore {
    shared: Arc<Shared>,
    server: Server,
}

#[derive(Deserialize)]
struct GetQuery {
    table: String,
    #[serde(default)]
    from: String,
}

#[derive(Deserialize)]
struct FeedQuery {
    table: String,
    after_rev: u64,
    wait_ms: u64,
}

impl FakeStore {
    /// Starts an empty store on a free port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start() -> Result<Self> {
        let shared = Arc::new(Shared::default());
        let router = Router::new()
            .route("/snipespan/rows-get", get(rows_get))
            .route("/snipespan/rows-feed", get(rows_feed))
            .route("/snipespan/rows-tx", post(rows_tx))
            .with_state(Arc::clone(&shared));
        let server = Server::start(router, None).await?;
        Ok(Self { shared, server })
    }

    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row of any bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        lock(&self.shared.rows).write_row(table, key, Some(STANDARD.encode(value)));
        self.shared.changed.notify_waiters();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        lock(&self.shared.rows).write_row(table, key, None);
        self.shared.changed.notify_waiters();
    }

    /// Forgets the history of changes.
    pub fn forget_history(&self) {
        let mut rows = lock(&self.shared.rows);
        rows.history.clear();
        rows.forgotten_version = rows.version;
    }

    /// Keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = lock(&self.shared.rows);
        let of_table = rows.rows.keys().filter(|(known, _)| known == table);
        of_table.map(|(_, key)| key.clone()).collect()
    }

    /// Calls that were made, refused ones included.
    pub fn calls(&self) -> u64 {
        lock(&self.shared.rows).calls
    }

    /// Changes what is wrong with it.
    pub fn set_fault(&self, fault: StoreFault) {
        *lock(&self.shared.fault) = fault;
    }
}

impl Rows {
    fn write_row(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let at = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => drop(self.rows.insert(at, (value.clone(), self.version))),
            None => drop(self.rows.remove(&at)),
        }
        self.history.push((self.version, table.to_owned(), key.to_owned(), value));
    }
}

/// Counts a call and shows the fault; true if the call is to be refused.
async fn apply_fault(shared: &Shared) -> bool {
    lock(&shared.rows).calls += 1;
    let fault = *lock(&shared.fault);
    match fault {
        StoreFault::None => false,
        StoreFault::Busy => true,
        StoreFault::Silent => std::future::pending().await,
        StoreFault::Slow(delay) => {
            tokio::time::sleep(delay).await;
            false
        }
    }
}

async fn rows_get(State(shared): State<Arc<Shared>>, Query(query): Query<GetQuery>) -> Response {
    if apply_fault(&shared).await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let rows = lock(&shared.rows);
    let found =
        rows.rows.iter().filter(|((table, key), _)| *table == query.table && *key >= query.from);
    let found: Vec<_> = found
        .map(|((table, key), (value, ver))| {
            json!({ "table": table, "part": "", "key": key, "value": value, "ver": ver })
        })
        .collect();
    Json(json!({ "rows": found, "has_more": false, "ver": rows.version, "now_ms": 1 }))
        .into_response()
}

async fn rows_feed(State(shared): State<Arc<Shared>>, Query(query): Query<FeedQuery>) -> Response {
    if apply_fault(&shared).await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changed = shared.changed.notified();
        if let Some(answer) = changes_response(&shared, &query) {
            return answer;
        }
        if tokio::time::timeout_at(until, changed).await.is_err() {
            let version = lock(&shared.rows).version;
            return Json(json!({ "rows": [], "ver": version, "now_ms": 1 })).into_response();
        }
        if *lock(&shared.fault) == StoreFault::Silent {
            std::future::pending::<()>().await;
        }
    }
}

fn changes_response(shared: &Shared, query: &FeedQuery) -> Option<Response> {
    let rows = lock(&shared.rows);
    if query.after_rev < rows.forgotten_version {
        return Some(StatusCode::GONE.into_response());
    }
    let changes = rows
        .history
        .iter()
        .filter(|(version, table, _, _)| *version > query.after_rev && *table == query.table);
    let changes: Vec<_> = changes
        .map(|(ver, table, key, value)| match value {
            Some(value) => {
                json!({ "table": table, "part": "", "key": key, "value": value, "ver": ver })
            }
            None => json!({ "table": table, "part": "", "key": key, "ver": ver, "deleted": true }),
        })
        .collect();
    (!changes.is_empty())
        .then(|| Json(json!({ "rows": changes, "ver": rows.version, "now_ms": 1 })).into_response())
}

async fn rows_tx(State(shared): State<Arc<Shared>>, Json(call): Json<Value>) -> Response {
    if apply_fault(&shared).await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let mut rows = lock(&shared.rows);
    let text = |entry: &Value, field: &str| entry[field].as_str().unwrap_or_default().to_owned();
    for entry in call["writes"].as_array().into_iter().flatten() {
        rows.write_row(&text(entry, "table"), &text(entry, "key"), Some(text(entry, "value")));
    }
    for entry in call["remove"].as_array().into_iter().flatten() {
        rows.write_row(&text(entry, "table"), &text(entry, "key"), None);
    }
    let version = rows.version;
    drop(rows);
    shared.changed.notify_waiters();
    Json(json!({ "ver": version, "now_ms": 1 })).into_response()
}
