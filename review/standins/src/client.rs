//! Sound clients.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::http::Message;

/// Host of the routes in the configurations of the cases.
pub const HOST: &str = "ficu95.example";

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

impl Request<'_> {
    pub fn head(&self) -> String {
        format!(
            "{} {} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\n\
             Authorization: Token {}\r\nContent-Length: {}\r\n\r\n",
            self.method,
            self.path,
            self.id,
            self.deadline.as_millis(),
            self.key,
            self.body.len()
        )
    }
}

/// Opens a connection and sends a request.
pub fn send(address: SocketAddr, req: &Request<'_>) -> std::io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(req.deadline))?;
    stream.write_all(req.head().as_bytes())?;
    stream.write_all(req.body)?;
    Ok(BufReader::new(stream))
}

/// Sends a request on a new connection and returns its complete answer.
pub fn call(address: SocketAddr, req: &Request<'_>) -> std::io::Result<Option<Message>> {
    http::read_message(&mut send(address, req)?)
}

/// Gets a path without any header field of a client.
pub fn get(address: SocketAddr, path: &str, limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").ok()?;
    http::read_message(&mut BufReader::new(stream)).ok()?
}
