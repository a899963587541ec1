//! Cuts a stream of server-sent events into whole events, and checks their order.

use bytes::Bytes;
use bytes::BytesMut;

/// Longest event that is kept until it is whole.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// The stream is not one of whole events in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidEventStream;

/// Events of one answer, over all attempts that contribute to it.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    undelivered: BytesMut,
    last_id: Option<u64>,
}

impl EventFramer {
    /// Events that follow the one with id `last`, if the client has any.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Id of the last whole event, whether it was taken or not.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Forgets the part of an event that a broken attempt has left.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Whether nothing is left of an event that is not whole.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Whole events that were not taken yet, as they came.
    pub fn undelivered(&self) -> &[u8] {
        &self.undelivered
    }

    /// Takes the whole events.
    pub fn take_undelivered(&mut self) -> Bytes {
        self.undelivered.split().freeze()
    }

    /// Takes in bytes.
    ///
    /// # Errors
    /// [`InvalidEventStream`] when an event is missing or too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), InvalidEventStream> {
        self.partial.extend_from_slice(bytes);
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            if self.accept_event(&event)? {
                self.undelivered.extend_from_slice(&event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(InvalidEventStream);
        }
        Ok(())
    }

    /// Whether an event is the next one; one that was passed on before is left out.
    fn accept_event(&mut self, event: &[u8]) -> Result<bool, InvalidEventStream> {
        let Some(id) = event_id(event) else { return Ok(true) };
        match self.last_id {
            Some(last) if id <= last => Ok(false),
            Some(last) if id > last + 1 => Err(InvalidEventStream),
            _ => {
                self.last_id = Some(id);
                Ok(true)
            }
        }
    }
}

/// Length of the first event with the empty line at its end.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line_start > 0 && (line.is_empty() || line == b"\r") {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
