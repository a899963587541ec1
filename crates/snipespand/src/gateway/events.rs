//! Splits a stream of server-sent events into complete events, and checks their order.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an incomplete event, which is buffered until the rest of it arrives.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Error of a stream in which an event is missing or too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidEventStream;

/// Splits the events of one answer, over all attempts that contribute to it.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    undelivered: BytesMut,
    last_id: Option<u64>,
}

impl EventFramer {
    /// Creates a framer for the events after `last_id`, the last one that the client has, if any.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Returns the id of the last complete event, whether it was taken or not; before the first
    /// one, the id that the client has.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the part of an event that a failed attempt has left.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the complete events that were not taken yet, unchanged.
    pub fn undelivered(&self) -> &[u8] {
        &self.undelivered
    }

    /// Removes and returns the complete events that were not taken yet.
    pub fn take_undelivered(&mut self) -> Bytes {
        self.undelivered.split().freeze()
    }

    /// Appends bytes of the stream.
    ///
    /// # Errors
    /// [`InvalidEventStream`] when an event is missing or an incomplete event exceeds 1 MiB.
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

    /// Returns whether an event is to be forwarded, and if so records its id as the last one. An
    /// event without an id is always forwarded, one that the client already has never. The first
    /// event may have any id if the client has none; each later id must be the next one.
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

/// Returns the length of the first complete event, with the empty line at its end.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        // An empty line before any other line ends no event.
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
