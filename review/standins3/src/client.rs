//! A client: sends a request on a connection of its own and reads the answer.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub attempt: String,
    pub deadline_ms: u64,
    /// Further header fields, each with a line end.
    pub fields: String,
    pub body: Vec<u8>,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// 0 if there was no answer.
    pub status: u16,
    /// Whether the answer has the signature of a replica.
    pub is_signed: bool,
    pub is_complete: bool,
    pub body: String,
}

impl Outcome {
    pub fn is_success(&self) -> bool {
        self.status == 200 && self.is_signed && self.is_complete
    }
}

/// Host of the routes.
pub const HOST: &str = "shop.example";

/// The key of the only tenant.
pub const KEY: &str = "key-1";

pub fn head_of(request: &Request) -> String {
    format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
         Authorization: Token {KEY}\r\n{}Content-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.attempt,
        request.deadline_ms,
        request.fields,
        request.body.len(),
    )
}

/// Sends a request and reads its answer, or the part of it that arrives until the deadline.
pub fn call(to: SocketAddr, request: &Request) -> Outcome {
    let mut outcome =
        Outcome { status: 0, is_signed: false, is_complete: false, body: String::new() };
    // An error ends the answer where it is.
    let _ = exchange(to, request, &mut outcome);
    outcome
}

fn exchange(to: SocketAddr, request: &Request, outcome: &mut Outcome) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(request.deadline_ms)))?;
    stream.write_all(head_of(request).as_bytes())?;
    stream.write_all(&request.body)?;
    let mut reader = BufReader::new(stream);
    let Some(head) = http::read_head(&mut reader)? else { return Ok(()) };
    outcome.status = head.status();
    outcome.is_signed = head.field("server-stamp").is_some();
    if head.field("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        while let Some(chunk) = http::read_chunk(&mut reader)? {
            outcome.body += &String::from_utf8_lossy(&chunk);
        }
    } else {
        let body = http::read_body(&mut reader, &head, true)?;
        outcome.body = String::from_utf8_lossy(&body).into_owned();
    }
    outcome.is_complete = true;
    Ok(())
}

/// Returns the status of the answer to a call without a key.
pub fn status_of(to: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).ok()?;
    http::read_head(&mut BufReader::new(stream)).ok()?.map(|head| head.status())
}
