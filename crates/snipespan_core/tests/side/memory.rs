//! Tests of the ledger of engine memory.

use std::time::Duration;

use snipespan_core::identity::AttemptNumber;
use snipespan_core::identity::RequestId;
use snipespan_core::side::event::EngineStreamId;
use snipespan_core::side::event::Event;
use snipespan_core::side::systems::reclaim::CANCEL_RETRY_INTERVAL;
use snipespan_core::side::systems::reclaim::ORPHAN_GRACE;

use crate::kit::Kit;
use crate::kit::MEMORY_TOKENS;
use crate::kit::REPORT_LAG;
use crate::kit::cancels;
use crate::kit::held;

/// The memory of an abandoned stream must stay reserved until the engine no longer holds it. The
/// default offer reserves 1,100 tokens: 1,000 of the prompt and 100 of the answer.
#[test]
fn release_only_when_engine_confirms() {
    let mut kit = Kit::new();
    let offer = kit.new_offer();
    let stream = kit.start_offer(&offer);
    assert_eq!(kit.world.free_memory_tokens(), MEMORY_TOKENS - 1_100);
    let effects = kit.tick(&[Event::Abandoned { stream }]);
    assert_eq!(cancels(&effects), [held(&offer)]);
    kit.advance(REPORT_LAG);
    kit.report(vec![held(&offer)]);
    assert_eq!(kit.world.free_memory_tokens(), MEMORY_TOKENS - 1_100);
    kit.report(Vec::new());
    assert_eq!(kit.world.free_memory_tokens(), MEMORY_TOKENS);
    assert!(kit.world.streams.is_empty());
}

/// A report may show an engine state older than the stream; it must not free its memory.
#[test]
fn report_lags_behind_stream() {
    let mut kit = Kit::new();
    let offer = kit.new_offer();
    let stream = kit.start_offer(&offer);
    kit.tick(&[Event::Abandoned { stream }]);
    kit.report(Vec::new());
    assert_eq!(kit.world.free_memory_tokens(), MEMORY_TOKENS - 1_100);
    kit.advance(REPORT_LAG);
    kit.report(Vec::new());
    assert_eq!(kit.world.free_memory_tokens(), MEMORY_TOKENS);
}

/// A stream whose answer ended is cancelled only if the engine still holds it.
#[test]
fn end_without_cancel() {
    let mut kit = Kit::new();
    let offer = kit.new_offer();
    let stream = kit.start_offer(&offer);
    assert!(cancels(&kit.tick(&[Event::Ended { stream }])).is_empty());
    assert!(cancels(&kit.report(Vec::new())).is_empty());
    assert_eq!(cancels(&kit.report(vec![held(&offer)])), [held(&offer)]);
}

/// A cancel without effect must be repeated, but not within the retry interval: one cancel is sent
/// when the stream is abandoned and one after each of the first two intervals.
#[test]
fn cancel_again_until_freed() {
    let mut kit = Kit::new();
    let offer = kit.new_offer();
    let stream = kit.start_offer(&offer);
    let mut sent = cancels(&kit.tick(&[Event::Abandoned { stream }])).len();
    for _ in 0..3 {
        sent += cancels(&kit.report(vec![held(&offer)])).len();
        sent += cancels(&kit.report(vec![held(&offer)])).len();
        kit.advance(CANCEL_RETRY_INTERVAL);
    }
    assert_eq!(sent, 3);
    assert_eq!(kit.world.counters.cancels_repeated, 2);
}

/// A report requested before the stream ended does not show that its memory is free.
#[test]
fn report_requested_before_release() {
    let mut kit = Kit::new();
    let offer = kit.new_offer();
    let stream = kit.start_offer(&offer);
    let early = kit.now;
    kit.now = kit.now.after(Duration::from_millis(10));
    kit.tick(&[Event::Ended { stream }]);
    let report = snipespan_core::side::event::BackendReport {
        memory_tokens: MEMORY_TOKENS,
        prefill_tokens_per_s: 10_000,
        held_streams: Vec::new(),
        requested_at: early,
    };
    kit.tick(&[Event::BackendReported(report)]);
    assert_eq!(kit.world.free_memory_tokens(), MEMORY_TOKENS - 1_100);
}

/// A stream without a row in the table must be cancelled, but only after the grace time.
#[test]
fn orphan_after_grace() {
    let mut kit = Kit::new();
    let orphan = EngineStreamId { id: RequestId(99), number: AttemptNumber(1) };
    assert!(cancels(&kit.report(vec![orphan])).is_empty());
    kit.advance(ORPHAN_GRACE);
    assert_eq!(cancels(&kit.report(vec![orphan])), [orphan]);
    kit.report(Vec::new());
    assert!(kit.world.orphans.is_empty());
}
