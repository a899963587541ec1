//! Splits a stream of server-sent events into complete events, and checks their order.
//!
//! What was read of an attempt belongs to the attempt and is lost with it, until
//! [`AnswerEvents::append`] makes it a part of the answer. So an answer contains nothing of an attempt
//! that failed before its first event.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum number of bytes that are buffered: an incomplete event, and comments before the first
/// event.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Fields of events, which may be without a value.
const STANDARD_FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// Error of a stream in which an event is missing, too long or no event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidEventStream;

/// Whether bytes of a stream advance it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// They complete an event with an id that the client does not have.
    Advanced,
    /// They complete no event, or only comments, events without an id and events that the client has.
    None,
}

/// A complete event of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventKind {
    /// It has the next id.
    Next,
    /// It has an id that the client has.
    Known,
    /// It has content and no id.
    WithoutId,
    /// It has comments only, which a server may send for ever without going on with the answer.
    Comments,
}

/// The events of the answer to one request, over all attempts that contribute to it.
#[derive(Debug, Default)]
pub struct AnswerEvents {
    last_id: Option<u64>,
    undelivered: BytesMut,
}

impl AnswerEvents {
    /// Creates an answer that goes on after the event `last_id`, the last one that the client has, if
    /// any.
    pub fn new(last_id: Option<u64>) -> Self {
        Self { last_id, undelivered: BytesMut::new() }
    }

    /// Returns the id of the last event of the answer; before the first one, the id that the client
    /// has.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns a framer for an attempt that goes on after the last event of the answer.
    pub fn begin_attempt(&self) -> EventFramer {
        EventFramer { last_id: self.last_id, ..EventFramer::default() }
    }

    /// Moves the complete events of an attempt to the answer, but for those that another attempt, which
    /// goes on after the last id, would bring again.
    pub fn append(&mut self, attempt: &mut EventFramer) {
        self.undelivered.unsplit(attempt.complete.split_to(attempt.settled));
        attempt.settled = 0;
        self.last_id = attempt.last_id;
    }

    /// Moves all events of a complete attempt to the answer.
    pub fn append_last(&mut self, attempt: &mut EventFramer) {
        attempt.settled = attempt.complete.len();
        self.append(attempt);
    }

    /// Returns the events that were not taken yet, unchanged.
    pub fn undelivered(&self) -> &[u8] {
        &self.undelivered
    }

    /// Removes and returns the events that were not taken yet.
    pub fn take_undelivered(&mut self) -> Bytes {
        self.undelivered.split().freeze()
    }
}

/// Splits the events of one attempt.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    /// Number of bytes of `partial` in which no event ends.
    searched: usize,
    /// Start of the first line of `partial` whose end is not among the searched bytes.
    line_start: usize,
    /// Complete events that the answer does not have.
    complete: BytesMut,
    /// Number of bytes of `complete` up to the last event with an id, and comments after it.
    settled: usize,
    /// Id of the last event of the answer with those of this attempt.
    last_id: Option<u64>,
    /// Id of the last complete event of the attempt, which the answer may have already.
    attempt_id: Option<u64>,
    /// Whether the attempt has brought an event that the answer did not have.
    has_advanced: bool,
}

impl EventFramer {
    /// Returns whether the stream may end here: an event has an id, no incomplete event is buffered,
    /// and the attempt has not stopped before the last event that the client has.
    pub fn is_at_end(&self) -> bool {
        let has_stopped_before = self.attempt_id.is_some_and(|id| Some(id) < self.last_id);
        self.last_id.is_some() && self.partial.is_empty() && !has_stopped_before
    }

    /// Returns the number of bytes that are buffered: of the incomplete event, and of complete ones
    /// that the answer does not have.
    pub fn buffered_bytes(&self) -> usize {
        self.partial.len() + self.complete.len()
    }

    /// Appends bytes of the stream; returns whether they complete an event that advances the
    /// stream.
    ///
    /// # Errors
    /// [`InvalidEventStream`] when an event is missing, when a line is no field of an event, or when
    /// more than 1 MiB is buffered.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Progress, InvalidEventStream> {
        let mut progress = Progress::None;
        self.partial.extend_from_slice(bytes);
        while let Some(end) = self.find_event_end() {
            let event = self.partial.split_to(end);
            self.searched = 0;
            self.line_start = 0;
            if self.accept_event(&event)? == EventKind::Next {
                progress = Progress::Advanced;
            }
        }
        if self.buffered_bytes() > MAX_BUFFERED_BYTES {
            return Err(InvalidEventStream);
        }
        Ok(progress)
    }

    /// Returns the length of the first complete event, with the empty line at its end. Bytes are
    /// searched once, so that a long event in many parts costs no more than one in one part.
    fn find_event_end(&mut self) -> Option<usize> {
        for at in self.searched..self.partial.len() {
            if self.partial[at] != b'\n' {
                continue;
            }
            let line = &self.partial[self.line_start..at];
            // An empty line before any other line ends no event.
            if self.line_start > 0 && (line.is_empty() || line == b"\r") {
                return Some(at + 1);
            }
            self.line_start = at + 1;
        }
        self.searched = self.partial.len();
        None
    }

    /// Adds an event to the complete ones, unless the client has it. One without an id belongs to the
    /// next event with an id, and is known if that is.
    fn accept_event(&mut self, event: &[u8]) -> Result<EventKind, InvalidEventStream> {
        let kind = self.check_event(event)?;
        let is_settled = match kind {
            EventKind::Next => true,
            EventKind::Known => {
                self.complete.truncate(self.settled);
                return Ok(kind);
            }
            EventKind::WithoutId => false,
            EventKind::Comments => self.has_advanced && self.settled == self.complete.len(),
        };
        self.complete.extend_from_slice(event);
        if is_settled {
            self.settled = self.complete.len();
        }
        Ok(kind)
    }

    /// Checks an event and records its id as the last one. The first event may have any id if the client
    /// has none; each later id must be the next one.
    fn check_event(&mut self, event: &[u8]) -> Result<EventKind, InvalidEventStream> {
        if !lines_of(event).all(is_field) {
            return Err(InvalidEventStream);
        }
        let Some(id) = event_id(event)? else {
            let has_content = lines_of(event).any(|line| !line.starts_with(b":"));
            return Ok(if has_content { EventKind::WithoutId } else { EventKind::Comments });
        };
        self.attempt_id = Some(id);
        match self.last_id {
            Some(last) if id <= last => Ok(EventKind::Known),
            Some(last) if id > last + 1 => Err(InvalidEventStream),
            _ => {
                self.last_id = Some(id);
                self.has_advanced = true;
                Ok(EventKind::Next)
            }
        }
    }
}

/// Returns the lines of an event, without line ends and the empty line at its end.
fn lines_of(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = event.split(|byte| *byte == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line)).filter(|line| !line.is_empty())
}

/// Returns whether a line is a comment or a field, and not text such as that of an error, which a
/// server in trouble may write into its stream.
fn is_field(line: &[u8]) -> bool {
    match line.iter().position(|byte| *byte == b':') {
        Some(end) => line[..end].iter().all(|byte| matches!(byte, b'a'..=b'z' | b'-' | b'_')),
        None => STANDARD_FIELDS.contains(&line),
    }
}

/// Returns the id of an event; `None` if it has none.
fn event_id(event: &[u8]) -> Result<Option<u64>, InvalidEventStream> {
    let Some(id) = lines_of(event).find_map(|line| line.strip_prefix(b"id:")) else {
        return Ok(None);
    };
    let id = std::str::from_utf8(id).ok().and_then(|id| id.trim().parse().ok());
    id.map(Some).ok_or(InvalidEventStream)
}
