//! A client: sends one request on a new connection and reads the answer to its end.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;

/// How a request ended for its client.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Status of the answer; 0 without one.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer has ended as its framing says.
    pub is_complete: bool,
}

impl Outcome {
    /// Returns the first value of a header field, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// A request.
#[derive(Clone, Debug, Default)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub host: String,
    pub id: String,
    pub key: String,
    pub deadline: Duration,
    /// Silence after which the client leaves; `None` for its deadline.
    pub patience: Option<Duration>,
    /// Further header lines, each with its line end.
    pub more: String,
    pub body: Vec<u8>,
}

/// Sends a request and reads its answer.
pub fn send(gateway: SocketAddr, call: &Call) -> Outcome {
    let mut outcome = Outcome::default();
    let _ = exchange(gateway, call, &mut outcome);
    outcome
}

fn exchange(gateway: SocketAddr, call: &Call, outcome: &mut Outcome) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream
        .set_read_timeout(Some(call.patience.unwrap_or(call.deadline + Duration::from_secs(1))))?;
    let Call { method, path, host, id, key, deadline, more, body, .. } = call;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Token {key}\r\n{more}Content-Length: {}\r\n\r\n",
        deadline.as_millis(),
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())?;
    let mut reader = BufReader::new(stream);
    let Some(answer) = http::read_head(&mut reader)? else { return Ok(()) };
    outcome.status = answer.start.get(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    outcome.headers.clone_from(&answer.headers);
    if answer.header("transfer-encoding") == Some("chunked") {
        loop {
            let chunk = http::read_chunk(&mut reader)?;
            if chunk.is_empty() {
                break;
            }
            outcome.body.extend(chunk);
        }
    } else {
        let length = answer.header("content-length").and_then(|text| text.parse().ok());
        outcome.body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut outcome.body)?;
    }
    outcome.is_complete = true;
    Ok(())
}
