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
    /// Whether calls that arrive now get no response.
    is_silent: bool,
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

    /// Sets whether calls that arrive from now on get no response; a connection on which one is lost
    /// delivers nothing further.
    pub fn set_silent(&self, is_silent: bool) {
        self.shared.rows.lock().expect("no panic").is_silent = is_silent;
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
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(req)) = http::read_message(&mut reader) {
        if shared.rows.lock().expect("no panic").is_silent {
            // The connection stays open, and nothing further is read or written on it.
            loop {
                thread::sleep(Duration::from_secs(3600));
            }
        }
        let (_, target) = req.target();
        let (status, body) = match target.split('?').next().unwrap_or_default() {
            "/snipespan/rows-get" => rows_get(shared, target),
            "/snipespan/rows-feed" => rows_feed(shared, target),
            "/snipespan/rows-tx" => rows_tx(shared, &req.body),
            _ => (404, "{}".to_owned()),
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

/// Waits for a change.
fn rows_feed(shared: &Shared, target: &str) -> (u16, String) {
    let table = http::query(target, "table").unwrap_or_default();
    let number = |name| http::query(target, name).and_then(|text| text.parse::<u64>().ok());
    let after = number("after_rev").unwrap_or_default();
    let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
    let mut rows = shared.rows.lock().expect("no panic");
    loop {
        let changed = rows.history.iter().filter(|(ver, known, _)| *ver > after && known == table);
        let changed: Vec<_> = changed.map(|(_, _, row)| row.as_str()).collect();
        let left = until.saturating_duration_since(Instant::now());
        if !changed.is_empty() || left.is_zero() {
            return (200, answer(&changed, rows.version));
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
