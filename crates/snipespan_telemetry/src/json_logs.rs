//! Structured logs of gateways: one JSON object per line on standard output.
//!
//! Lines pass through a bounded queue to a thread that writes them, so that a log call never
//! blocks. Lines beyond the queue length or the rate limit are dropped, and their number is logged
//! after the next line.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use env_logger::Builder;
use env_logger::Env;
use env_logger::Target;
use env_logger::fmt::Formatter;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::Value as Json;

/// Maximum number of lines in the queue to the writer thread.
const MAX_QUEUED_LINES: usize = 4096;

/// Pause before a full queue is tried again at the end of the process.
const FLUSH_PAUSE: Duration = Duration::from_millis(5);

/// Maximum number of lines that are accepted per second, ten times the rate of a gateway under
/// normal load.
const MAX_LINES_PER_S: u64 = 4000;

/// What the logger sends to the writer thread.
enum Message {
    /// A complete line.
    Line(Vec<u8>),
    /// All lines before this one shall be written; dropped when they are.
    Flush(SyncSender<()>),
}

/// Queue to the writer thread, for [`finish`].
static QUEUE: OnceLock<SyncSender<Message>> = OnceLock::new();

/// Starts logging with `filters`, which the environment variable `RUST_LOG` overrides.
///
/// A second call in the same process has no effect.
///
/// # Errors
/// If the writer thread cannot be started.
pub fn start(filters: &str) -> io::Result<()> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    // Fails on a second call, whose queue is not used.
    let _ = QUEUE.set(lines.clone());
    let dropped = Arc::new(AtomicU64::new(0));
    let sender = LineSender {
        lines,
        dropped: Arc::clone(&dropped),
        window_start: Instant::now(),
        lines_in_window: 0,
    };
    thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&queue, &dropped))?;
    let env = Env::default().default_filter_or(filters);
    let target = Target::Pipe(Box::new(sender));
    let started = Builder::from_env(env).target(target).format(format_record).try_init();
    if started.is_err() {
        log::debug!("logging is already started");
    }
    Ok(())
}

/// Waits until all lines so far are written, for `limit` at most: the writer thread ends with the
/// process, whatever is queued. Does nothing if logging was not started.
pub fn finish(limit: Duration) {
    let Some(queue) = QUEUE.get() else { return };
    let (written, done) = sync_channel(0);
    let end = Instant::now() + limit;
    let mut message = Message::Flush(written);
    while let Err(TrySendError::Full(unsent)) = queue.try_send(message) {
        if Instant::now() >= end {
            return;
        }
        message = unsent;
        thread::sleep(FLUSH_PAUSE);
    }
    // The writer drops the sender, which ends the wait with an error.
    let _ = done.recv_timeout(end.saturating_duration_since(Instant::now()));
}

fn format_record(buf: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let mut fields = Map::new();
    fields.insert("time".into(), buf.timestamp_millis().to_string().into());
    fields.insert("level".into(), record.level().as_str().into());
    fields.insert("message".into(), record.args().to_string().into());
    // Only warnings and errors name their module; `Error` is the lowest level.
    if record.level() <= log::Level::Warn {
        fields.insert("module".into(), record.target().into());
    }
    let visited = record.key_values().visit(&mut FieldCollector(&mut fields));
    visited.map_err(io::Error::other)?;
    let mut line = serde_json::to_vec(&Json::Object(fields))?;
    line.push(b'\n');
    buf.write_all(&line)
}

struct FieldCollector<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            // Rounded to three decimals, more than the precision of any logged value.
            Json::from((number * 1e3).round() / 1e3)
        } else if let Some(flag) = value.to_bool() {
            flag.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Output of the logger, which sends each complete line to the writer thread or drops it.
struct LineSender {
    lines: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
    window_start: Instant,
    lines_in_window: u64,
}

impl LineSender {
    fn is_over_rate(&mut self) -> bool {
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.lines_in_window = 0;
        }
        self.lines_in_window += 1;
        self.lines_in_window > MAX_LINES_PER_S
    }
}

impl Write for LineSender {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.is_over_rate() || self.lines.try_send(Message::Line(line.to_vec())).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Message>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(first) = queue.recv() {
        let (mut lines, mut flushes) = (Vec::new(), Vec::new());
        for message in std::iter::once(first).chain(queue.try_iter()) {
            match message {
                Message::Line(line) => lines.extend(line),
                Message::Flush(written) => flushes.push(written),
            }
        }
        let dropped_lines = dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            lines.extend(
                format!("{{\"message\":\"log lines dropped\",\"lines\":{dropped_lines}}}\n")
                    .bytes(),
            );
        }
        // If standard output is closed, the error cannot be logged either.
        if out.write_all(&lines).is_err() {
            return;
        }
    }
}
