//! A stand-in for the platform's store: rows in tables, and feeds of their changes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::json::base64;

/// Maximum number of rows in an answer.
const MAX_ROWS: usize = 500;

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It answers.
    None,
    /// It does nothing and never answers.
    Silent,
    /// It answers 503 and does nothing.
    Busy,
}

#[derive(Default)]
struct Rows {
    ver: u64,
    rows: BTreeMap<(String, String), (u64, String)>,
    history: Vec<(u64, String, String, Option<String>)>,
}

struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    fault: Mutex<Fault>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            rows: Mutex::default(),
            changed: Condvar::new(),
            fault: Mutex::new(Fault::None),
        });
        let store = Self { shared, address };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault.
    pub fn set_fault(&self, fault: Fault) {
        *self.shared.fault.lock().expect("no panic") = fault;
        self.shared.changed.notify_all();
    }

    pub fn fault(&self) -> Fault {
        *self.shared.fault.lock().expect("no panic")
    }

    /// Writes a row with a JSON value.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.shared.rows.lock().expect("no panic");
        rows.ver += 1;
        let ver = rows.ver;
        let name = (table.to_owned(), key.to_owned());
        match &value {
            Some(value) => drop(rows.rows.insert(name, (ver, value.clone()))),
            None => drop(rows.rows.remove(&name)),
        }
        rows.history.push((ver, table.to_owned(), key.to_owned(), value));
        drop(rows);
        self.shared.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            let Some((status, body)) = self.answer(&req) else { return };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns status and body of the answer; `None` if there is none.
    fn answer(&self, req: &Message) -> Option<(u16, String)> {
        match self.fault() {
            Fault::None => {}
            Fault::Busy => return Some((503, "{}".to_owned())),
            Fault::Silent => return self.stay_silent(),
        }
        let target = req.start.get(1)?;
        let query = http::query(target);
        let value = |name: &str| {
            let found = query.iter().find(|(known, _)| known == name);
            found.map(|(_, value)| value.clone())
        };
        match target.split('?').next()? {
            "/snipespan/rows-get" => Some(self.get(&value)),
            "/snipespan/rows-feed" => self.feed(&value),
            "/snipespan/rows-tx" => Some(self.transact(&req.body)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Waits until the fault is over; the connection then ends without an answer.
    fn stay_silent(&self) -> Option<(u16, String)> {
        while self.fault() == Fault::Silent {
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }

    fn get(&self, value: &impl Fn(&str) -> Option<String>) -> (u16, String) {
        let table = value("table").unwrap_or_default();
        let from = value("from").unwrap_or_default();
        let target = value("target");
        let limit = value("limit").and_then(|text| text.parse().ok()).unwrap_or(MAX_ROWS);
        let rows = self.shared.rows.lock().expect("no panic");
        let is_wanted = |key: &String| *key >= from && target.as_ref().is_none_or(|t| key < t);
        let found = rows.rows.iter().filter(|((t, key), _)| *t == table && is_wanted(key));
        let mut found: Vec<_> =
            found.map(|((t, key), (ver, value))| row_text(t, key, *ver, Some(value))).collect();
        let has_more = found.len() > limit.min(MAX_ROWS);
        found.truncate(limit.min(MAX_ROWS));
        let rows_text = found.join(",");
        let ver = rows.ver;
        (
            200,
            format!(
                "{{\"rows\":[{rows_text}],\"has_more\":{has_more},\"ver\":{ver},\"now_ms\":1}}"
            ),
        )
    }

    fn feed(&self, value: &impl Fn(&str) -> Option<String>) -> Option<(u16, String)> {
        let table = value("table")?;
        let after: u64 = value("after_rev")?.parse().ok()?;
        let wait: u64 = value("wait_ms")?.parse().ok()?;
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.shared.rows.lock().expect("no panic");
        loop {
            if self.fault() == Fault::Silent {
                drop(rows);
                return self.stay_silent();
            }
            let changes = rows.history.iter().filter(|(ver, t, ..)| *ver > after && *t == table);
            let changes: Vec<_> = changes
                .map(|(ver, t, key, value)| row_text(t, key, *ver, value.as_ref()))
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let (text, ver) = (changes.join(","), rows.ver);
                return Some((200, format!("{{\"rows\":[{text}],\"ver\":{ver},\"now_ms\":1}}")));
            }
            let waited =
                self.shared.changed.wait_timeout(rows, left.min(Duration::from_millis(50)));
            rows = waited.expect("no panic").0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = json::parse(body) else { return (400, "{}".to_owned()) };
        let text = |entry: &json::Json, name: &str| {
            entry.get(name).map(|value| value.text().to_owned()).unwrap_or_default()
        };
        for entry in call.get("writes").map(json::Json::items).unwrap_or_default() {
            self.write(&text(entry, "table"), &text(entry, "key"), Some(text(entry, "value")));
        }
        for entry in call.get("remove").map(json::Json::items).unwrap_or_default() {
            self.write(&text(entry, "table"), &text(entry, "key"), None);
        }
        let ver = self.shared.rows.lock().expect("no panic").ver;
        (200, format!("{{\"ver\":{ver},\"now_ms\":1}}"))
    }
}

fn row_text(table: &str, key: &str, ver: u64, value: Option<&String>) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{ver},{value}}}")
}
