//! A sound replica of a plain service.

use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    pub at: Instant,
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    address: SocketAddr,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Replica {
    /// Starts a replica that answers after `work` with `bytes` bytes.
    pub fn start(id: &str, service: &str, work: Duration, bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let replica =
            Self { id: id.to_owned(), service: service.to_owned(), address, runs: Arc::default() };
        let accepting = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = accepting.clone();
                thread::spawn(move || replica.serve(stream, work, bytes));
            }
        });
        replica
    }

    /// Returns the value of its entry in the store.
    pub fn listing(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"graz-a","version":"v1","slots":64,"state":"{state}","cold_left_ms":0,"stage":"both","models":[],"seq":0,"born":1}}"#,
            self.service, self.address
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no panic").clone()
    }

    fn serve(&self, stream: TcpStream, work: Duration, bytes: usize) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(req)) = http::read_message(&mut reader) {
            if self.answer(&mut out, &req, work, bytes).is_err() {
                return;
            }
        }
    }

    fn answer(
        &self,
        out: &mut TcpStream,
        req: &Message,
        work: Duration,
        bytes: usize,
    ) -> std::io::Result<()> {
        let id = req.field("attempt-id").unwrap_or_default();
        if req.field("expect-instance").is_some_and(|expected| expected != self.id) {
            return http::write_answer(out, 421, &[("attempt-id", id), ("not-executed", "1")], b"");
        }
        self.runs.lock().expect("no panic").push(Run { id: id.to_owned(), at: Instant::now() });
        thread::sleep(work);
        let stamp = format!("{}.{bytes}.0.c9f2a4d1", self.id);
        let fields = [("attempt-id", id), ("server-stamp", stamp.as_str())];
        http::write_answer(out, 200, &fields, &vec![b'x'; bytes])
    }
}
