//! A stand-in of a replica: a plain service, or one that streams events.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::site;

/// What a replica is, and how it works.
#[derive(Clone, Debug)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Time to the answer, or to the first event of a stream.
    pub work: Duration,
    /// Number of events of a stream and the pause between them; `None` for a plain service.
    pub events: Option<(u32, Duration)>,
    /// Number of bytes of text in each event.
    pub event_bytes: usize,
    /// Whether the head of a stream is sent before its first event is ready, and a resumed stream has neither
    /// a length nor chunks.
    pub has_early_head: bool,
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub ms: u64,
    pub attempt: String,
    /// Whether the replica ran it, rather than rejected it.
    pub is_run: bool,
}

struct Shared {
    kind: Kind,
    record: Record,
    is_leaving: AtomicBool,
    is_down: AtomicBool,
    /// Start of the current life in Unix ms.
    born: AtomicU64,
    /// Number of lives; work of an earlier one ends without an answer.
    life: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    connection_count: AtomicU64,
    /// Time until which it is cold, in ms of the record.
    cold_until: AtomicU64,
    /// Number of requests in a second at which it crashes while it is cold; 0 if it does not.
    cold_crash_at: AtomicU64,
    /// Number of streams that it is working on.
    running: Mutex<u32>,
}

/// A running replica.
#[derive(Clone)]
pub struct Replica {
    shared: Arc<Shared>,
    address: SocketAddr,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Replica {
    pub fn start(kind: Kind, record: &Record) -> Replica {
        let listener = site::listen();
        let address = listener.local_addr().expect("an address");
        let shared = Arc::new(Shared {
            kind,
            record: record.clone(),
            is_leaving: AtomicBool::new(false),
            is_down: AtomicBool::new(false),
            born: AtomicU64::new(unix_ms()),
            life: AtomicU64::new(1),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
            connection_count: AtomicU64::new(0),
            cold_until: AtomicU64::new(0),
            cold_crash_at: AtomicU64::new(0),
            running: Mutex::new(0),
        });
        let replica = Replica { shared, address };
        replica.accept(listener);
        replica
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        let replica = self.clone();
        let life = self.shared.life.load(Ordering::SeqCst);
        std::thread::spawn(move || {
            while replica.shared.life.load(Ordering::SeqCst) == life {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let replica = replica.clone();
                std::thread::spawn(move || {
                    let number = replica.shared.connection_count.fetch_add(1, Ordering::SeqCst);
                    if let Ok(kept) = stream.try_clone() {
                        replica.connections().insert(number, kept);
                    }
                    // An error means that the caller or this replica ended the connection.
                    let _ = replica.serve(stream, life);
                    replica.connections().remove(&number);
                });
            }
        });
    }

    fn connections(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, TcpStream>> {
        self.shared.connections.lock().expect("no panic")
    }

    pub fn id(&self) -> &str {
        &self.shared.kind.id
    }

    pub fn zone(&self) -> &str {
        &self.shared.kind.zone
    }

    pub fn is_leaving(&self) -> bool {
        self.shared.is_leaving.load(Ordering::SeqCst)
    }

    pub fn is_down(&self) -> bool {
        self.shared.is_down.load(Ordering::SeqCst)
    }

    /// From now on each answer says that it leaves.
    pub fn leave(&self) {
        self.shared.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Ends it: its connections end, and further ones are refused.
    pub fn end(&self) {
        self.shared.is_down.store(true, Ordering::SeqCst);
        self.shared.life.fetch_add(1, Ordering::SeqCst);
        *self.shared.running.lock().expect("no panic") = 0;
        for (_, stream) in std::mem::take(&mut *self.connections()) {
            // An error means that the connection has ended.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts it again at the same address and under the same id, cold for `cold`.
    pub fn start_again(&self, cold: Duration) {
        let until = self.shared.record.now_ms() + cold.as_millis() as u64;
        self.shared.cold_until.store(until, Ordering::SeqCst);
        self.shared.born.store(unix_ms(), Ordering::SeqCst);
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        };
        self.shared.is_down.store(false, Ordering::SeqCst);
        self.accept(listener);
    }

    /// Makes it crash when it gets so many requests in a second while it is cold.
    pub fn crash_when_cold_at(&self, per_s: u64) {
        self.shared.cold_crash_at.store(per_s, Ordering::SeqCst);
    }

    /// Crashes if it is cold and has got too many requests in the last second.
    fn crash_if_overrun(&self, now_ms: u64) {
        let limit = self.shared.cold_crash_at.load(Ordering::SeqCst);
        if limit == 0 || self.cold_left_ms() == 0 {
            return;
        }
        let count = {
            let arrivals = self.shared.arrivals.lock().expect("no panic");
            let last = arrivals.iter().rev().take_while(|a| a.ms + 1000 > now_ms);
            last.filter(|arrival| arrival.is_run).count() as u64
        };
        if count >= limit && !self.shared.is_down.swap(true, Ordering::SeqCst) {
            let id = self.id();
            self.shared
                .record
                .report(format!("{id} crashes: {count} requests in a second while cold"));
            self.end();
        }
    }

    pub fn cold_left_ms(&self) -> u64 {
        let until = self.shared.cold_until.load(Ordering::SeqCst);
        until.saturating_sub(self.shared.record.now_ms())
    }

    /// Returns its entry in the store.
    pub fn entry(&self) -> String {
        let kind = &self.shared.kind;
        let state = if self.is_leaving() { "draining" } else { "ready" };
        let born = self.shared.born.load(Ordering::SeqCst);
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_left_ms\":{},\"seq\":0,\"born\":{born}}}",
            kind.service,
            self.address,
            kind.zone,
            kind.slots,
            self.cold_left_ms(),
        )
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().expect("no panic").clone()
    }

    fn serve(&self, stream: TcpStream, life: u64) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = http::read_request(&mut reader)? {
            if self.shared.life.load(Ordering::SeqCst) != life {
                return Ok(());
            }
            self.answer(&request, &mut writer, life)?;
        }
        Ok(())
    }

    /// Streams events; the head comes at once.
    fn answer_early(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        life: u64,
        (events, pause): (u32, Duration),
        fields: String,
    ) -> std::io::Result<()> {
        let kind = &self.shared.kind;
        let attempt = request.field("attempt-id").unwrap_or_default();
        let resumed = request.field("last-event-id").and_then(|id| id.parse::<u32>().ok());
        let (framing, is_chunked) = match resumed {
            Some(_) => ("Connection: close\r\n", false),
            None => ("Transfer-Encoding: chunked\r\n", true),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Server-Stamp: {}.{attempt}\r\n\
             Content-Type: text/event-stream\r\n{framing}\r\n",
            kind.id
        );
        writer.write_all(head.as_bytes())?;
        let is_alive = || self.shared.life.load(Ordering::SeqCst) == life;
        let first = resumed.unwrap_or(0) + 1;
        *self.shared.running.lock().expect("no panic") += 1;
        let mut sent = 0;
        for number in first..=events {
            std::thread::sleep(if number == first { kind.work } else { pause });
            if !is_alive() {
                self.shared.record.add(format!(
                    "broken off {attempt} at {} from event {first}, after {sent} events: it ended",
                    kind.id
                ));
                return Ok(());
            }
            let event = format!("id: {number}\ndata: {attempt} {number}\n\n");
            match is_chunked {
                true => write!(writer, "{:x}\r\n{event}\r\n", event.len())?,
                false => writer.write_all(event.as_bytes())?,
            }
            sent += 1;
        }
        let mut running = self.shared.running.lock().expect("no panic");
        *running = running.saturating_sub(1);
        drop(running);
        if is_chunked {
            writer.write_all(b"0\r\n\r\n")?;
        }
        self.shared.record.add(format!("done {attempt} at {}", kind.id));
        if !is_chunked {
            writer.shutdown(Shutdown::Write)?;
        }
        Ok(())
    }

    /// Returns the number of streams that it is working on.
    pub fn running(&self) -> u32 {
        *self.shared.running.lock().expect("no panic")
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream, life: u64) -> std::io::Result<()> {
        let kind = &self.shared.kind;
        let attempt = request.field("attempt-id").unwrap_or_default().to_owned();
        let mut fields = format!("Attempt-Id: {attempt}\r\nInstance-Id: {}\r\n", kind.id);
        if self.is_leaving() {
            fields += "Server-Leaving: 1\r\n";
        }
        if request.target() == "/healthz" {
            let cold = self.cold_left_ms();
            let status = if self.is_leaving() { 503 } else { 200 };
            let head = format!(
                "HTTP/1.1 {status} X\r\n{fields}Cold-Ms: {cold}\r\nContent-Length: 0\r\n\r\n"
            );
            return writer.write_all(head.as_bytes());
        }
        let is_expected = request.field("expect-instance").is_none_or(|id| id == kind.id);
        let ms = self.shared.record.now_ms();
        let arrival = Arrival { ms, attempt: attempt.clone(), is_run: is_expected };
        self.shared.arrivals.lock().expect("no panic").push(arrival);
        if !is_expected {
            let head = format!(
                "HTTP/1.1 421 X\r\nNot-Executed: 1\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                kind.id
            );
            return writer.write_all(head.as_bytes());
        }
        self.shared.record.add(format!("run {attempt} at {}", kind.id));
        self.crash_if_overrun(ms);
        if let (true, Some(stream)) = (kind.has_early_head, kind.events) {
            return self.answer_early(request, writer, life, stream, fields);
        }
        let is_alive = || self.shared.life.load(Ordering::SeqCst) == life;
        std::thread::sleep(kind.work);
        if !is_alive() {
            self.shared.record.add(format!("broken off {attempt} at {}, which ended", kind.id));
            return Ok(());
        }
        fields += &format!("Server-Stamp: {}.{attempt}\r\n", kind.id);
        let Some((events, pause)) = kind.events else {
            let body = format!("{} answers {attempt}", kind.id);
            let length = body.len();
            let answer =
                format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {length}\r\n\r\n{body}");
            writer.write_all(answer.as_bytes())?;
            self.shared.record.add(format!("done {attempt} at {}", kind.id));
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{fields}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let last: u32 = request.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for number in last + 1..=events {
            let text = "x".repeat(kind.event_bytes);
            let event = format!("id: {number}\ndata: {attempt} {number} {text}\n\n");
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if number < events {
                std::thread::sleep(pause);
            }
            if !is_alive() {
                self.shared.record.add(format!("broken off {attempt} at {}, which ended", kind.id));
                return Ok(());
            }
        }
        writer.write_all(b"0\r\n\r\n")?;
        self.shared.record.add(format!("done {attempt} at {}", kind.id));
        Ok(())
    }
}
