//! The answer of one attempt while it arrives.

use std::time::Duration;

use bytes::BytesMut;
use hyper::HeaderMap;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::systems::prompt_parts::BEGINNING;
use snipespan_core::time::Timestamp;
use snipespan_platform_adapter::byte_meter::ByteMeter;

use crate::gateway::events::EventFramer;

/// The part of an attempt's answer that was received so far. It is lost with the attempt, but for the
/// events that were appended to the client's answer.
pub(super) struct PartialAnswer {
    pub(super) is_success: bool,
    /// Its events.
    pub(super) events: EventFramer,
    /// Counts the bytes of the attempt.
    pub(super) meter: ByteMeter,
    /// When its first complete event arrived.
    pub(super) first_event: Option<Timestamp>,
    /// Whether it was reported that its events go on.
    pub(super) is_reported_sound: bool,
    /// Number of reads that completed events.
    pub(super) reads: u32,
    /// Time of the last report of its progress.
    pub(super) reported: Option<Timestamp>,
    pub(super) is_stream: bool,
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) body: BytesMut,
}

/// Time after its first event after which an answer is reported to go on: that of the decision, and a
/// margin for the way of the first report.
const SOUND_AFTER: Duration = BEGINNING.saturating_add(Duration::from_millis(25));

/// Minimum interval between reports of the progress of a stream; a small fraction of the shortest
/// silence that counts as a stall.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Number of bytes by which the buffer of an answer grows at least.
const MIN_GROWTH: usize = 4096;

impl PartialAnswer {
    /// Creates the answer of an attempt of which nothing was received, with a framer for its events and
    /// the meter of its bytes.
    pub(super) fn new(events: EventFramer, meter: ByteMeter) -> Self {
        Self {
            is_success: false,
            events,
            meter,
            first_event: None,
            is_reported_sound: false,
            reads: 0,
            reported: None,
            is_stream: false,
            status: 0,
            headers: HeaderMap::new(),
            body: BytesMut::new(),
        }
    }

    /// Records that events arrived; returns whether its progress is reported now.
    pub(super) fn record_events(&mut self, now: Timestamp) -> bool {
        self.first_event.get_or_insert(now);
        self.reads += 1;
        let is_due = self.reported.is_none_or(|at| now.since(at) >= PROGRESS_INTERVAL);
        let is_reported = self.take_soundness(now) || is_due;
        if is_reported {
            self.reported = Some(now);
        }
        is_reported
    }

    /// Returns the size of the body's buffer once further bytes are appended.
    pub(super) fn grown_capacity(&self, added: usize) -> usize {
        let (needed, capacity) = (self.body.len() + added, self.body.capacity());
        if needed <= capacity { capacity } else { needed.max(capacity * 2).max(MIN_GROWTH) }
    }

    /// Appends bytes to the body.
    pub(super) fn append(&mut self, bytes: &[u8]) {
        let capacity = self.grown_capacity(bytes.len());
        self.body.reserve(capacity - self.body.len());
        self.body.extend_from_slice(bytes);
    }

    /// Returns, once, whether its events go on for so long that its prompt does not crash the backend
    /// server.
    fn take_soundness(&mut self, now: Timestamp) -> bool {
        let goes_on = self.first_event.is_some_and(|first| now.since(first) >= SOUND_AFTER);
        goes_on && !std::mem::replace(&mut self.is_reported_sound, true)
    }

    /// Returns how far the answer has come.
    pub(super) const fn stage(&self, now: Timestamp) -> AnswerStage {
        match self.first_event {
            Some(first) => AnswerStage::Events { reads: self.reads, since_first: now.since(first) },
            None if self.is_success => AnswerStage::Begun,
            None => AnswerStage::Awaited,
        }
    }
}
