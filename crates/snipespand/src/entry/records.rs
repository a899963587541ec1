//! Durable records: creation with repeated tries, and the end, written in the background.

use std::time::Duration;

use snipespan_core::entry::effect::RecordSpec;
use snipespan_core::entry::event::RecordAnswer;
use snipespan_platform::idempotency::CreateReply;
use snipespan_platform::idempotency::RecordedOutcome;

use crate::entry::EntryContext;

/// First pause before a call to the store is tried again, doubled with each try.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause between tries.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// How long the end of a request is tried to be written.
const FINISH_LIMIT: Duration = Duration::from_secs(600);

/// Creates the record of `spec`, or takes it over at a version; keeps trying while its time
/// lasts.
pub(super) async fn write(
    cx: &EntryContext,
    spec: &RecordSpec,
    taken_over: Option<u64>,
) -> CreateReply {
    let started = cx.clock.now();
    let mut pause = FIRST_PAUSE;
    loop {
        let written = match taken_over {
            Some(version) => cx.records.take_over(spec, version, cx.clock.unix_ms()).await,
            None => cx.records.create(spec, cx.clock.unix_ms()).await,
        };
        match written {
            Ok(creation) => return creation,
            Err(e) => log::warn!("request={} its record was not written: {e}", spec.id),
        }
        if cx.clock.now().since(started) + pause >= spec.remaining {
            return CreateReply { answer: RecordAnswer::Unknown, stored: None, version: 0 };
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Writes how a request ended into its record; keeps trying for a while.
pub(super) async fn finish(cx: &EntryContext, spec: &RecordSpec, ending: &RecordedOutcome) {
    let started = cx.clock.now();
    let mut pause = FIRST_PAUSE;
    while let Err(e) = cx.records.finish(spec, ending).await {
        log::warn!("request={} its record was not finished: {e}", spec.id);
        if cx.clock.now().since(started) >= FINISH_LIMIT {
            log::error!("request={} its record stays as it is", spec.id);
            return;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}
