//! The answer of one attempt while it arrives.

use std::time::Duration;

use bytes::BytesMut;
use hyper::HeaderMap;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::systems::prompt_parts::BEGINNING;
use snipespan_core::time::Timestamp;

/// The part of an attempt's answer that was received so far.
#[derive(Default)]
pub(super) struct PartialAnswer {
    pub(super) is_success: bool,
    /// When its first complete event arrived.
    pub(super) first_event: Option<Timestamp>,
    /// Whether it was reported that its events go on.
    pub(super) is_reported_sound: bool,
    /// Number of reads that completed events.
    pub(super) reads: u32,
    pub(super) is_stream: bool,
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) body: BytesMut,
}

/// Time after its first event after which an answer is reported to go on: that of the decision, and a
/// margin for the way of the first report.
const SOUND_AFTER: Duration = BEGINNING.saturating_add(Duration::from_millis(25));

/// Number of bytes by which the buffer of an answer grows at least.
const MIN_GROWTH: usize = 4096;

impl PartialAnswer {
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
    pub(super) fn take_soundness(&mut self, now: Timestamp) -> bool {
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
