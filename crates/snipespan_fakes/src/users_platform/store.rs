//! A fake of the store of the users' platform: rows in tables, and a feed of their changes.

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

/// Maximum number of rows in one answer, that of the platform.
const MAX_ROWS_PER_PAGE: usize = 500;

/// Fault of the store, which tests may change while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Answers 503 and does nothing.
    Busy,
    /// Does nothing and never answers; feed calls that wait already get no more changes.
    Silent,
    /// Handles each call after this delay.
    Slow(Duration),
}

/// Table and key of a row.
type RowKey = (String, String);

/// All rows with their versions, and the history of changes.
#[derive(Debug, Default)]
struct Rows {
    /// Version of the last change of any table; 0 before the first one.
    version: u64,
    /// Each row as JSON.
    rows: BTreeMap<RowKey, String>,
    /// Changes in order: version, table, and the row or its removal as JSON.
    history: Vec<(u64, String, String)>,
    /// Version up to which the history has been dropped.
    forgotten_version: u64,
    calls: u64,
}

#[derive(Debug)]
struct Shared {
    /// When its clock began.
    started: Instant,
    rows: Mutex<Rows>,
    fault: Mutex<StoreFault>,
    changed: Notify,
}

/// A running store, which stops and loses its rows when it is dropped.
#[derive(Debug)]
pub struct FakeStore {
    shared: Arc<Shared>,
    server: Server,
}

/// Query for at most `limit` rows of a table whose key is at least `from` and less than `target`.
#[derive(Deserialize)]
struct GetQuery {
    table: String,
    #[serde(default)]
    from: String,
    target: Option<String>,
    limit: Option<usize>,
}

/// Query for the changes of a table after the version `after_rev`, with the maximum wait for one.
#[derive(Deserialize)]
struct FeedQuery {
    table: String,
    after_rev: u64,
    wait_ms: u64,
}

impl FakeStore {
    /// Starts an empty store on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start() -> Result<Self> {
        Self::start_at(None).await
    }

    /// Starts an empty store on `address`, or on a free port of 127.0.0.1 if it is `None`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start_at(address: Option<SocketAddr>) -> Result<Self> {
        let shared = Arc::new(Shared {
            started: Instant::now(),
            rows: Mutex::default(),
            fault: Mutex::default(),
            changed: Notify::new(),
        });
        let router = Router::new()
            .route("/snipespan/rows-get", get(rows_get))
            .route("/snipespan/rows-feed", get(rows_feed))
            .route("/snipespan/rows-tx", post(rows_tx))
            .with_state(Arc::clone(&shared));
        let server = Server::start(router, address).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address on which it listens.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes a row whose value is JSON.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row whose value is any bytes.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        lock(&self.shared.rows).write_row(table, key, Some(STANDARD.encode(value)));
        self.shared.changed.notify_waiters();
    }

    /// Writes a row that answers contain as this JSON text, which need not be a row.
    pub fn put_row_text(&self, table: &str, key: &str, row: &str) {
        lock(&self.shared.rows).write_row_text(table, key, row.to_owned());
        self.shared.changed.notify_waiters();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        lock(&self.shared.rows).write_row(table, key, None);
        self.shared.changed.notify_waiters();
    }

    /// Drops the history, so that feeds from an older version are answered with 410.
    pub fn forget_history(&self) {
        let mut rows = lock(&self.shared.rows);
        rows.history.clear();
        rows.forgotten_version = rows.version;
    }

    /// Returns the keys of a table, sorted.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = lock(&self.shared.rows);
        let of_table = rows.rows.keys().filter(|(known, _)| known == table);
        of_table.map(|(_, key)| key.clone()).collect()
    }

    /// Returns the number of calls so far, including those refused.
    pub fn calls(&self) -> u64 {
        lock(&self.shared.rows).calls
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: StoreFault) {
        *lock(&self.shared.fault) = fault;
    }
}

impl Rows {
    /// Writes a row, or removes it if `value` is `None`, under the next version.
    fn write_row(&mut self, table: &str, key: &str, value: Option<String>) {
        let ver = self.version + 1;
        let mut row = json!({ "table": table, "part": "", "key": key, "ver": ver });
        match value {
            Some(value) => {
                row["value"] = value.into();
                self.write_row_text(table, key, row.to_string());
            }
            None => {
                row["deleted"] = true.into();
                self.version = ver;
                self.rows.remove(&(table.to_owned(), key.to_owned()));
                self.history.push((ver, table.to_owned(), row.to_string()));
            }
        }
    }

    fn write_row_text(&mut self, table: &str, key: &str, row: String) {
        self.version += 1;
        self.rows.insert((table.to_owned(), key.to_owned()), row.clone());
        self.history.push((self.version, table.to_owned(), row));
    }

    /// Returns the version of a row; 0 if it does not exist.
    fn version_of(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        let row = row.and_then(|row| serde_json::from_str::<Value>(row).ok());
        row.and_then(|row| row["ver"].as_u64()).unwrap_or(0)
    }

    /// Returns an answer with these rows, and more fields as JSON.
    fn respond(&self, now_ms: u64, rows: &[&str], more: &str) -> Response {
        let rows = rows.join(",");
        let ver = self.version;
        let body = format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now_ms\":{now_ms}{more}}}");
        ([("content-type", "application/json")], body).into_response()
    }
}

impl Shared {
    /// Returns the time of its steady clock.
    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// Counts a call and applies the fault. Returns whether the call shall be refused.
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

/// Returns the first rows of a table from a key on.
async fn rows_get(State(shared): State<Arc<Shared>>, Query(query): Query<GetQuery>) -> Response {
    if apply_fault(&shared).await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let rows = lock(&shared.rows);
    let is_wanted = |key: &String| {
        *key >= query.from && query.target.as_ref().is_none_or(|target| key < target)
    };
    let found =
        rows.rows.iter().filter(|((table, key), _)| *table == query.table && is_wanted(key));
    let mut found: Vec<_> = found.map(|(_, row)| row.as_str()).collect();
    let most = query.limit.map_or(MAX_ROWS_PER_PAGE, |limit| limit.min(MAX_ROWS_PER_PAGE));
    let has_more = found.len() > most;
    found.truncate(most);
    rows.respond(shared.now_ms(), &found, &format!(",\"has_more\":{has_more}"))
}

/// Returns the changes of a table after a version, or none after the maximum wait.
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
            return lock(&shared.rows).respond(shared.now_ms(), &[], "");
        }
        if *lock(&shared.fault) == StoreFault::Silent {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns the answer to a feed call: the changes, 410 if the history no longer reaches back to the
/// version, or `None` if there is no change yet.
fn changes_response(shared: &Shared, query: &FeedQuery) -> Option<Response> {
    let rows = lock(&shared.rows);
    if query.after_rev < rows.forgotten_version {
        return Some(StatusCode::GONE.into_response());
    }
    let changes = rows
        .history
        .iter()
        .filter(|(version, table, _)| *version > query.after_rev && *table == query.table);
    let changes: Vec<_> = changes.map(|(_, _, row)| row.as_str()).collect();
    (!changes.is_empty()).then(|| rows.respond(shared.now_ms(), &changes, ""))
}

/// Writes the rows in `writes` and removes those in `remove`, if those in `expected_rev` have the versions
/// that it names.
async fn rows_tx(State(shared): State<Arc<Shared>>, Json(call): Json<Value>) -> Response {
    if apply_fault(&shared).await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let mut rows = lock(&shared.rows);
    let text = |entry: &Value, field: &str| entry[field].as_str().unwrap_or_default().to_owned();
    let mut expected = call["expected_rev"].as_array().into_iter().flatten();
    let is_expected = |entry: &Value| {
        entry["ver"].as_u64() == Some(rows.version_of(&text(entry, "table"), &text(entry, "key")))
    };
    if !expected.all(is_expected) {
        let body = json!({ "rows": [], "ver": rows.version, "now_ms": shared.now_ms() });
        return (StatusCode::PRECONDITION_FAILED, Json(body)).into_response();
    }
    for entry in call["writes"].as_array().into_iter().flatten() {
        rows.write_row(&text(entry, "table"), &text(entry, "key"), Some(text(entry, "value")));
    }
    for entry in call["remove"].as_array().into_iter().flatten() {
        rows.write_row(&text(entry, "table"), &text(entry, "key"), None);
    }
    let version = rows.version;
    drop(rows);
    shared.changed.notify_waiters();
    Json(json!({ "ver": version, "now_ms": shared.now_ms() })).into_response()
}
