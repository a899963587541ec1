//! Clients that send requests at a fixed rate to all gateways in turn.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::Outcome;
use crate::client::Request;
use crate::record::Record;

/// A request, when it was sent, and how it ended.
#[derive(Clone, Debug)]
pub struct Call {
    pub attempt: String,
    pub sent_ms: u64,
    pub outcome: Outcome,
}

/// Clients that send until they are stopped.
pub struct Load {
    is_over: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    sender: JoinHandle<Vec<JoinHandle<()>>>,
}

impl Load {
    /// Starts to send `per_s` requests a second that `make` builds from their number.
    pub fn start(
        gateways: Vec<SocketAddr>,
        per_s: f64,
        record: &Record,
        make: impl Fn(usize) -> Request + Send + 'static,
    ) -> Load {
        let is_over = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (over, all, record) = (is_over.clone(), calls.clone(), record.clone());
        let sender = std::thread::spawn(move || {
            let began = Instant::now();
            let mut threads = Vec::new();
            for number in 0.. {
                let due = began + Duration::from_secs_f64(number as f64 / per_s);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                if over.load(Ordering::SeqCst) {
                    break;
                }
                let (request, record, all) = (make(number), record.clone(), all.clone());
                let gateway = number % gateways.len();
                let to = gateways[gateway];
                threads.push(std::thread::spawn(move || {
                    let sent_ms = record.now_ms();
                    record.add(format!("sent {} to gateway {gateway}", request.attempt));
                    let outcome = client::call(to, &request);
                    record.add(format!(
                        "answered {}: {} signed {} complete {}",
                        request.attempt, outcome.status, outcome.is_signed, outcome.is_complete
                    ));
                    let attempt = request.attempt;
                    let call = Call { attempt, sent_ms, outcome };
                    all.lock().expect("no panic").push(call);
                }));
            }
            threads
        });
        Load { is_over, calls, sender }
    }

    /// Stops sending, waits for all answers and returns the calls.
    pub fn finish(self) -> Vec<Call> {
        self.is_over.store(true, Ordering::SeqCst);
        for thread in self.sender.join().expect("no panic") {
            thread.join().expect("no panic");
        }
        let calls = self.calls.lock().expect("no panic").clone();
        calls
    }
}

/// Returns a line that counts calls by how they ended.
pub fn summary(calls: &[Call]) -> String {
    let count = |status: u16| calls.iter().filter(|call| call.outcome.status == status).count();
    let success = calls.iter().filter(|call| call.outcome.is_success()).count();
    format!(
        "{} requests: {success} with success, {} without an answer, {} with 502, {} with 503, {} \
         with 504",
        calls.len(),
        count(0),
        count(502),
        count(503),
        count(504)
    )
}
