//! The platform's store: rows in tables and a feed of their changes, as the protocol page tells.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

#[derive(Default)]
struct Rows {
    version: u64,
    /// Row as JSON by table and key.
    rows: BTreeMap<(String, String), String>,
    /// Version, table, and the row or its removal as JSON.
    history: Vec<(u64, String, String)>,
    /// Connections that were opened before this generation are silent.
    generation: u64,
    /// Feed calls that wait now, by table.
    waiting: BTreeMap<String, usize>,
}

#[derive(Default)]
struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared::default());
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || serve(&shared, stream));
            }
        });
        Self { shared, address }
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes a row; the change is acknowledged when this returns.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(value));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<&str>) {
        write_row(
            &mut self.shared.rows.lock().expect("no panic"),
            table,
            key,
            value.map(|text| base64(text.as_bytes())),
        );
        self.shared.changed.notify_all();
    }

    /// Makes all open connections silent for good, without a reset; new ones work.
    pub fn silence_open_connections(&self) {
        self.shared.rows.lock().expect("no panic").generation += 1;
    }

    /// Returns how many feed calls for a table wait for a change.
    pub fn waiting(&self, table: &str) -> usize {
        self.shared.rows.lock().expect("no panic").waiting.get(table).copied().unwrap_or_default()
    }
}

fn write_row(rows: &mut Rows, table: &str, key: &str, value: Option<String>) {
    rows.version += 1;
    let ver = rows.version;
    let head = format!(r#"{{"table":"{table}","part":"","key":"{key}","ver":{ver}"#);
    let id = (table.to_owned(), key.to_owned());
    let row = match value {
        Some(value) => {
            let row = format!(r#"{head},"value":"{value}"}}"#);
            rows.rows.insert(id, row.clone());
            row
        }
        None => {
            rows.rows.remove(&id);
            format!(r#"{head},"deleted":true}}"#)
        }
    };
    rows.history.push((ver, table.to_owned(), row));
}

fn serve(shared: &Shared, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let generation = shared.rows.lock().expect("no panic").generation;
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(req)) = http::read_message(&mut reader) {
        let (_, target) = req.target();
        let answer = match target.split('?').next().unwrap_or_default() {
            "/snipespan/rows-get" => Some(rows_get(shared, target)),
            "/snipespan/rows-feed" => rows_feed(shared, target, generation),
            "/snipespan/rows-tx" => Some(rows_tx(shared, &req.body)),
            _ => Some((404, "{}".to_owned())),
        };
        let is_silent = shared.rows.lock().expect("no panic").generation != generation;
        let Some((status, body)) = answer.filter(|_| !is_silent) else {
            // The connection stays open, and nothing further is read or written on it.
            loop {
                thread::sleep(Duration::from_secs(3600));
            }
        };
        let fields = [("content-type", "application/json")];
        if http::write_answer(&mut out, status, &fields, body.as_bytes()).is_err() {
            return;
        }
    }
}

fn rows_get(shared: &Shared, target: &str) -> (u16, String) {
    let table = http::query(target, "table").unwrap_or_default();
    let rows = shared.rows.lock().expect("no panic");
    let of_table = rows.rows.iter().filter(|((known, _), _)| known == table);
    let of_table: Vec<_> = of_table.map(|(_, row)| row.as_str()).collect();
    (200, answer(&of_table, rows.version))
}

/// Waits for a change; `None` if the connection became silent meanwhile.
fn rows_feed(shared: &Shared, target: &str, generation: u64) -> Option<(u16, String)> {
    let table = http::query(target, "table").unwrap_or_default();
    let number = |name| http::query(target, name).and_then(|text| text.parse::<u64>().ok());
    let after = number("after_rev").unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
    let mut rows = shared.rows.lock().expect("no panic");
    *rows.waiting.entry(table.to_owned()).or_default() += 1;
    loop {
        let changed = rows.history.iter().filter(|(ver, known, _)| *ver > after && known == table);
        let changed: Vec<_> = changed.map(|(_, _, row)| row.clone()).collect();
        let left = until.saturating_duration_since(Instant::now());
        let is_silent = rows.generation != generation;
        if is_silent || !changed.is_empty() || left.is_zero() {
            *rows.waiting.entry(table.to_owned()).or_default() -= 1;
            let changed: Vec<_> = changed.iter().map(String::as_str).collect();
            return (!is_silent).then(|| (200, answer(&changed, rows.version)));
        }
        rows = shared.changed.wait_timeout(rows, left).expect("no panic").0;
    }
}

/// Carries out the only transaction that gateways send, which writes one row under no condition.
fn rows_tx(shared: &Shared, body: &[u8]) -> (u16, String) {
    let text = String::from_utf8_lossy(body);
    let field = |name: &str| {
        let (_, rest) = text.split_once(&format!("\"{name}\":\""))?;
        rest.split('"').next().map(str::to_owned)
    };
    let (Some(table), Some(key), Some(value)) = (field("table"), field("key"), field("value"))
    else {
        return (400, "{}".to_owned());
    };
    let mut rows = shared.rows.lock().expect("no panic");
    write_row(&mut rows, &table, &key, Some(value));
    let version = rows.version;
    drop(rows);
    shared.changed.notify_all();
    (200, answer(&[], version))
}

fn answer(rows: &[&str], version: u64) -> String {
    format!(r#"{{"rows":[{}],"ver":{version},"now_ms":1,"has_more":false}}"#, rows.join(","))
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or_default());
        let word = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let digit = (word >> (18 - 6 * index)) & 63;
            text.push(if index <= chunk.len() { char::from(DIGITS[digit as usize]) } else { '=' });
        }
    }
    text
}
