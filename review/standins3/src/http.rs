//! HTTP/1.1 messages over blocking sockets.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::net::TcpStream;

/// The head and the body of a request, or the head of an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Header fields with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request with its query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns a parameter of the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'+' => bytes.push(b' '),
            b'%' => {
                let hex = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let hex = String::from_utf8_lossy(&hex).into_owned();
                bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
            }
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body; `None` if the connection ended before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    message.body = read_body(reader, &message, false)?;
    Ok(Some(message))
}

/// Reads a body to its end; `until_close` is whether one without a length ends with its connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Message,
    until_close: bool,
) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.field("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        while let Some(mut chunk) = read_chunk(reader)? {
            body.append(&mut chunk);
        }
        return Ok(body);
    }
    if let Some(length) = head.field("content-length").and_then(|text| text.parse().ok()) {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    } else if until_close {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads a chunk; `None` after the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    let length = line.trim().split(';').next().unwrap_or_default();
    let length =
        usize::from_str_radix(length, 16).map_err(|_| Error::from(ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    let mut end = String::new();
    if reader.read_line(&mut end)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    Ok((length > 0).then_some(chunk))
}
