//! A replica of the platform: streams events, or answers plainly, and registers itself in the store.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::free_addresses;
use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Fault;
use crate::store::Store;
use crate::unix_ms;

/// Interval at which a replica writes to the store (`heartbeat_ms` of the pages' example).
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time for which a cold replica bears any rate.
const CRASH_AFTER: Duration = Duration::from_secs(2);

/// Pause between comments.
const COMMENT_PAUSE: Duration = Duration::from_millis(200);

/// Spoils the last one of each `EVERY` answers that several replicas give within the given times.
#[derive(Debug, Default)]
pub struct Spoiler {
    windows: Mutex<Vec<(Duration, Duration)>>,
    answers: AtomicUsize,
}

impl Spoiler {
    /// One in 34 is below the site's 0.03.
    const EVERY: usize = 34;

    /// Adds a time in which answers are spoiled.
    pub fn add_window(&self, from: Duration, length: Duration) {
        self.windows.lock().expect("no panic").push((from, from + length));
    }

    fn takes(&self, at: Duration) -> bool {
        let windows = self.windows.lock().expect("no panic");
        windows.iter().any(|(from, until)| at >= *from && at < *until)
            && self.answers.fetch_add(1, Ordering::Relaxed) % Self::EVERY == Self::EVERY - 1
    }
}

/// A replica's figures.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    /// Number of events of a stream.
    pub events: u64,
    /// Time before the first event, or before a plain answer.
    pub first: Duration,
    /// Time before each further event.
    pub gap: Duration,
    /// Whether it answers plainly.
    pub is_plain: bool,
    /// A part of prompts that crashes it as it begins to write an answer.
    pub deadly_part: Option<String>,
    /// Decides which of its answers are comments without end in place of events; `None` if none are.
    pub spoiler: Option<Arc<Spoiler>>,
    /// Time between the first event of an answer and the crash at the deadly part; without it the
    /// replica crashes before the first event.
    pub crash_delay: Option<Duration>,
    /// Time for which it is down after a crash.
    pub down: Duration,
    /// Requests in a second from which it crashes while it is cold.
    pub crash_rate: Option<usize>,
}

/// A request that has reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub id: String,
    pub replica: String,
    pub is_deadly: bool,
    pub is_cold: bool,
    /// 0 until the request is turned away or has ended.
    pub status: u16,
}

struct State {
    id: String,
    born: u64,
    generation: u32,
    seq: u64,
    is_draining: bool,
    is_listed: bool,
    cold_since: Option<Instant>,
    cold_until: Option<Instant>,
    down_until: Option<Instant>,
    running: usize,
    arrivals: Vec<Arrival>,
    crashes: Vec<Duration>,
    next_connection: u64,
    connections: BTreeMap<u64, TcpStream>,
}

/// A running replica.
#[derive(Clone)]
pub struct Replica {
    spec: Arc<Spec>,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

impl Replica {
    /// Starts a replica and lists it.
    pub fn start(spec: Spec, store: &Store, record: &Record) -> Self {
        let state = State {
            id: format!("{}-0", spec.name),
            born: unix_ms(),
            generation: 0,
            seq: 0,
            is_draining: false,
            is_listed: false,
            cold_since: None,
            cold_until: None,
            down_until: None,
            running: 0,
            arrivals: Vec::new(),
            crashes: Vec::new(),
            next_connection: 0,
            connections: BTreeMap::new(),
        };
        let [address] = free_addresses();
        let replica = Self {
            spec: Arc::new(spec),
            address,
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            record: record.clone(),
        };
        replica.beat();
        let listening = replica.clone();
        std::thread::spawn(move || listening.listen());
        let beating = replica.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        replica
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    /// Returns all arrivals so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Returns the times of its crashes.
    pub fn crashes(&self) -> Vec<Duration> {
        self.state().crashes.clone()
    }

    pub fn id(&self) -> String {
        self.state().id.clone()
    }

    /// Makes it cold for a time; the store learns it with the next heartbeat.
    pub fn make_cold(&self, time: Duration) {
        let mut state = self.state();
        state.cold_since = Some(Instant::now());
        state.cold_until = Some(Instant::now() + time);
        drop(state);
        self.record.note(&format!("{} is cold for {time:?}", self.id()));
    }

    /// Begins to drain, which the store learns at once.
    pub fn drain(&self) {
        self.state().is_draining = true;
        self.beat();
    }

    /// Writes its entry if it is up and the store answers.
    pub fn beat(&self) {
        let mut state = self.state();
        if state.down_until.is_some() || self.store.fault() != Fault::None {
            return;
        }
        state.seq += 1;
        state.is_listed = true;
        let cold = cold_ms(&state);
        let stage = if state.is_draining { "draining" } else { "ready" };
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{stage}\",\"cold_left_ms\":{cold},\"stage\":\"both\",\
             \"models\":[],\"seq\":{},\"born\":{}}}",
            self.spec.service, self.address, self.spec.zone, self.spec.slots, 0, state.born
        );
        let id = state.id.clone();
        drop(state);
        self.store.put("servers", &id, &value);
    }

    /// Crashes: all its connections break, and it comes back after its down time, under another id
    /// if `has_new_id`, cold for `cold`.
    pub fn crash(&self, has_new_id: bool, cold: Option<Duration>) {
        let mut state = self.state();
        if state.down_until.is_some() {
            return;
        }
        state.down_until = Some(Instant::now() + self.spec.down);
        state.crashes.push(self.record.now());
        let connections = std::mem::take(&mut state.connections);
        let old_id = state.id.clone();
        drop(state);
        self.record.note(&format!("{old_id} crashes, {} connections break", connections.len()));
        for connection in connections.values() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let replica = self.clone();
        std::thread::spawn(move || replica.come_back(&old_id, has_new_id, cold));
    }

    fn come_back(&self, old_id: &str, has_new_id: bool, cold: Option<Duration>) {
        std::thread::sleep(self.spec.down);
        let mut state = self.state();
        state.generation += 1;
        state.born = unix_ms();
        state.seq = 0;
        if has_new_id {
            state.id = format!("{}-{}", self.spec.name, state.generation);
        }
        state.cold_since = cold.map(|_| Instant::now());
        state.cold_until = cold.map(|cold| Instant::now() + cold);
        state.down_until = None;
        state.running = 0;
        self.record.note(&format!("{} is up, cold for {cold:?}", state.id));
        drop(state);
        self.beat();
        if has_new_id {
            // The old entry expires after three heartbeats.
            std::thread::sleep((HEARTBEAT * 3).saturating_sub(self.spec.down));
            if self.store.fault() == Fault::None {
                self.store.remove("servers", old_id);
            }
        }
    }

    /// Listens while it is up.
    fn listen(&self) {
        loop {
            while self.state().down_until.is_some() {
                std::thread::sleep(Duration::from_millis(2));
            }
            let Ok(listener) = TcpListener::bind(self.address) else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            listener.set_nonblocking(true).expect("it can be set");
            while self.state().down_until.is_none() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let replica = self.clone();
                        std::thread::spawn(move || replica.serve(stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let (Ok(writer), Ok(kept)) = (stream.try_clone(), stream.try_clone()) else { return };
        let number = {
            let mut state = self.state();
            state.next_connection += 1;
            let number = state.next_connection;
            state.connections.insert(number, kept);
            number
        };
        let mut reader = BufReader::new(stream);
        let mut writer = writer;
        while let Ok(Some(req)) = http::read_request(&mut reader) {
            if self.answer(&req, &mut writer).is_err() {
                break;
            }
        }
        self.state().connections.remove(&number);
    }

    fn answer(&self, req: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let target = req.start.get(1).map_or("", String::as_str);
        if target == "/healthz" {
            let state = self.state();
            let cold = cold_ms(&state);
            let line = if cold > 0 { format!("Cold-Ms: {cold}\r\n") } else { String::new() };
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\n{line}Content-Length: 0\r\n\r\n",
                state.id
            );
            drop(state);
            return writer.write_all(text.as_bytes());
        }
        let mut state = self.state();
        let expected = req.header("expect-instance");
        if expected.is_some_and(|expected| expected != state.id) {
            let text =
                format!("HTTP/1.1 421 X\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", state.id);
            drop(state);
            return writer.write_all(text.as_bytes());
        }
        let id = req.header("attempt-id").unwrap_or_default().to_owned();
        let deadly = self.spec.deadly_part.as_ref();
        let parts = req.header("prompt-prefix").unwrap_or_default();
        let is_deadly = deadly.is_some_and(|part| {
            parts.split(',').any(|entry| entry.split(':').next() == Some(part.as_str()))
        });
        let is_cold = state.cold_until.is_some_and(|until| Instant::now() < until);
        let at = self.record.now();
        let is_full = state.running >= self.spec.slots * 2;
        let index = state.arrivals.len();
        let replica = state.id.clone();
        state.arrivals.push(Arrival {
            at,
            id: id.clone(),
            replica,
            is_deadly,
            is_cold,
            status: if is_full { 503 } else { 0 },
        });
        let is_spoiled = self.spec.spoiler.as_ref().is_some_and(|spoiler| spoiler.takes(at));
        let this_life = state.generation;
        let name = state.id.clone();
        let begin = at.saturating_sub(Duration::from_secs(1));
        let lately = state.arrivals.iter().filter(|a| a.is_cold && a.at > begin).count();
        let is_cold_for_long = state.cold_since.is_some_and(|since| since.elapsed() > CRASH_AFTER);
        let is_overrun =
            is_cold && is_cold_for_long && self.spec.crash_rate.is_some_and(|rate| lately > rate);
        if is_full {
            drop(state);
            let text = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return writer.write_all(text.as_bytes());
        }
        state.running += 1;
        drop(state);
        let cold = if is_cold { " while cold" } else { "" };
        let deadly = if is_deadly { " with the deadly part" } else { "" };
        self.record.note(&format!("{name} gets {id}{deadly}{cold}"));
        if is_overrun {
            self.crash(false, Some(Duration::from_secs(3)));
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let written = match self.spec.is_plain {
            true => self.write_plain(&id, &name, writer),
            false if is_spoiled => self.write_comments(&id, &name, writer),
            false => self.write_stream(req, &id, &name, is_deadly, writer),
        };
        let mut state = self.state();
        if state.generation == this_life {
            state.running = state.running.saturating_sub(1);
        }
        state.arrivals[index].status = if written.is_ok() { 200 } else { 1 };
        written
    }

    fn write_plain(&self, id: &str, name: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        std::thread::sleep(self.spec.first);
        let body = format!("the answer to {id}");
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: stamp.{name}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(text.as_bytes())
    }

    /// Writes comments until the caller closes the connection.
    fn write_comments(&self, id: &str, name: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        self.record.note(&format!("{name} writes comments only to {id}"));
        writer.write_all(stream_head(id, name).as_bytes())?;
        loop {
            let text = format!(": {name} waits\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            std::thread::sleep(COMMENT_PAUSE);
        }
    }

    fn write_stream(
        &self,
        req: &Message,
        id: &str,
        name: &str,
        is_deadly: bool,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let last = req.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0u64);
        std::thread::sleep(self.spec.first);
        writer.write_all(stream_head(id, name).as_bytes())?;
        if is_deadly {
            if let Some(delay) = self.spec.crash_delay {
                write_event(writer, last + 1, id)?;
                std::thread::sleep(delay);
            }
            self.crash(true, None);
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        for event in last + 1..=self.spec.events {
            if event > last + 1 {
                std::thread::sleep(self.spec.gap);
            }
            write_event(writer, event, id)?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

fn stream_head(id: &str, name: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Stamp: stamp.{name}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

/// Returns an event of the answer to a request.
pub fn event_text(event: u64, id: &str) -> String {
    format!("id: {event}\ndata: piece {event} of {id}\n\n")
}

fn write_event(writer: &mut TcpStream, event: u64, id: &str) -> std::io::Result<()> {
    let text = event_text(event, id);
    writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

fn cold_ms(state: &State) -> u128 {
    let left = state.cold_until.map(|until| until.saturating_duration_since(Instant::now()));
    left.unwrap_or_default().as_millis()
}
