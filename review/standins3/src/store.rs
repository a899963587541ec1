//! A stand-in of the platform's store: rows in tables, and a feed of their changes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json::Json;
use crate::site;

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It closes all connections without an answer.
    Away,
}

#[derive(Clone, Debug)]
struct Row {
    /// Base64; `None` if the row was removed.
    value: Option<String>,
    version: u64,
}

type RowKey = (String, String);

/// All that a copy of the store contains.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    version: u64,
    rows: BTreeMap<RowKey, Row>,
    /// Each change with its key, oldest first.
    history: Vec<(RowKey, Row)>,
    /// Version up to which the history is dropped.
    forgotten: u64,
}

struct State {
    data: Copy,
    era: u64,
    mode: Mode,
    connections: Vec<TcpStream>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = site::listen();
        let address = listener.local_addr().expect("an address");
        let state =
            State { data: Copy::default(), era: 1, mode: Mode::Up, connections: Vec::new() };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let store = Store { shared, address };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                if let Ok(kept) = stream.try_clone() {
                    store.lock().connections.push(kept);
                }
                std::thread::spawn(move || drop(store.serve(stream)));
            }
        });
        store
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no panic")
    }

    /// Returns the newest version.
    pub fn version(&self) -> u64 {
        self.lock().data.version
    }

    pub fn era(&self) -> u64 {
        self.lock().era
    }

    /// Writes a row as the operator or a server does; returns its version.
    pub fn put(&self, table: &str, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        state.data.write(table, key, Some(base64(value.as_bytes())));
        let version = state.data.version;
        drop(state);
        self.shared.changed.notify_all();
        version
    }

    /// Writes a row unless it has this value; returns whether it was written.
    pub fn put_if_changed(&self, table: &str, key: &str, value: &str) -> bool {
        let encoded = base64(value.as_bytes());
        let state = self.lock();
        let row = state.data.rows.get(&(table.to_owned(), key.to_owned()));
        let is_same = row.is_some_and(|row| row.value.as_ref() == Some(&encoded));
        drop(state);
        if !is_same {
            self.put(table, key, value);
        }
        !is_same
    }

    /// Removes a row as the operator or a server does; returns the version of that.
    pub fn remove(&self, table: &str, key: &str) -> u64 {
        let mut state = self.lock();
        state.data.write(table, key, None);
        let version = state.data.version;
        drop(state);
        self.shared.changed.notify_all();
        version
    }

    pub fn copy(&self) -> Copy {
        self.lock().data.clone()
    }

    /// Sets what it does with calls; in [`Mode::Away`] open connections are closed.
    pub fn set_mode(&self, mode: Mode) {
        let mut state = self.lock();
        state.mode = mode;
        if mode == Mode::Away {
            for stream in state.connections.drain(..) {
                // An error means that the connection has ended.
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Comes back from a copy, with the next era.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.lock();
        state.data = copy;
        state.era += 1;
        state.mode = Mode::Up;
        drop(state);
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = http::read_request(&mut reader)? {
            if self.lock().mode == Mode::Away {
                break;
            }
            let Some((status, body)) = self.answer(&request) else { break };
            let era = self.lock().era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all(body.as_bytes())?;
        }
        let _ = writer.shutdown(std::net::Shutdown::Both);
        Ok(())
    }

    fn now_ms(&self) -> u128 {
        self.shared.started.elapsed().as_millis()
    }

    /// Returns the status and the body; `None` if the connection ends without an answer.
    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        std::thread::sleep(Duration::from_millis(2));
        let path = request.target().split('?').next().unwrap_or_default();
        match path {
            "/snipespan/rows-get" => Some(self.get(request)),
            "/snipespan/rows-feed" => self.feed(request),
            "/snipespan/rows-tx" => Some(self.transact(request)),
            _ => Some((404, String::new())),
        }
    }

    fn get(&self, request: &Message) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let target = request.query("target");
        let limit = request.query("limit").and_then(|text| text.parse().ok()).unwrap_or(500);
        let state = self.lock();
        let is_wanted = |key: &str| {
            key >= from.as_str() && target.as_ref().is_none_or(|target| key < target.as_str())
        };
        let rows = state.data.rows.iter();
        let mut rows: Vec<_> = rows.filter(|((t, key), _)| *t == table && is_wanted(key)).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        let rows: Vec<_> = rows.into_iter().map(|(key, row)| row_text(key, row)).collect();
        let (rows, version) = (rows.join(","), state.data.version);
        let now = self.now_ms();
        let body = format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{now}}}"
        );
        (200, body)
    }

    fn feed(&self, request: &Message) -> Option<(u16, String)> {
        let table = request.query("table").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let after = number("after_rev").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.lock();
        let era = state.era;
        loop {
            // A call that waited when the store went away is not answered.
            if state.mode != Mode::Up || state.era != era {
                return None;
            }
            if after > state.data.version || after < state.data.forgotten {
                return Some((410, String::new()));
            }
            let history = state.data.history.iter();
            let changes = history.filter(|((t, _), row)| *t == table && row.version > after);
            let changes: Vec<_> = changes.map(|(key, row)| row_text(key, row)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let (rows, version) = (changes.join(","), state.data.version);
                let now = self.now_ms();
                return Some((
                    200,
                    format!("{{\"rows\":[{rows}],\"ver\":{version},\"now_ms\":{now}}}"),
                ));
            }
            state = self.shared.changed.wait_timeout(state, left).expect("no panic").0;
        }
    }

    fn transact(&self, request: &Message) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return (400, String::new());
        };
        let mut state = self.lock();
        let now = self.now_ms();
        let key_of = |entry: &Json| (entry.text("table"), entry.text("key"));
        let is_expected = |entry: &Json| {
            let row = state.data.rows.get(&key_of(entry));
            entry.number("ver").unwrap_or(-1.0) as i64 == row.map_or(0, |row| row.version) as i64
        };
        if !call.list("expected_rev").iter().all(is_expected) {
            let version = state.data.version;
            return (412, format!("{{\"rows\":[],\"ver\":{version},\"now_ms\":{now}}}"));
        }
        let tables = call.list("writes").iter().chain(call.list("remove"));
        if tables.into_iter().any(|entry| ["op", "servers"].contains(&&*entry.text("table"))) {
            return (403, String::new());
        }
        for entry in call.list("writes") {
            let (table, key) = key_of(entry);
            state.data.write(&table, &key, Some(entry.text("value")));
        }
        for entry in call.list("remove") {
            let (table, key) = key_of(entry);
            state.data.write(&table, &key, None);
        }
        let version = state.data.version;
        drop(state);
        self.shared.changed.notify_all();
        (200, format!("{{\"ver\":{version},\"now_ms\":{now}}}"))
    }
}

impl Copy {
    pub fn version(&self) -> u64 {
        self.version
    }

    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        self.version += 1;
        let key = (table.to_owned(), key.to_owned());
        let row = Row { value, version: self.version };
        match row.value {
            Some(_) => drop(self.rows.insert(key.clone(), row.clone())),
            None => drop(self.rows.remove(&key)),
        }
        self.history.push((key, row));
    }
}

fn row_text((table, key): &RowKey, row: &Row) -> String {
    let version = row.version;
    let head = format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version}");
    match &row.value {
        Some(value) => format!("{head},\"value\":\"{value}\"}}"),
        None => format!("{head},\"deleted\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
