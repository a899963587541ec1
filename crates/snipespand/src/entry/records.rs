//! Durable idempotency records: creation, takeover and completion, with retries.

use std::time::Duration;

use snipespan_core::entry::effect::RecordSpec;
use snipespan_core::entry::event::RecordAnswer;
use snipespan_platform::idempotency::CreateReply;
use snipespan_platform::idempotency::RecordedOutcome;

use crate::entry::EntryContext;

/// Delay before the first retry of a call to the store, doubled with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time after which completing a record is no longer retried.
const FINISH_RECORD_TIMEOUT: Duration = Duration::from_secs(600);

/// Creates the record of `spec`, or takes over the existing record if `taken_over` is the version
/// of its row. Retries while the request has time left; if no call has succeeded by then, the
/// answer is [`RecordAnswer::Unknown`].
pub(super) async fn create_or_take_over(
    cx: &EntryContext,
    spec: &RecordSpec,
    taken_over: Option<u64>,
) -> CreateReply {
    let started = cx.clock.now();
    let mut delay = INITIAL_RETRY_DELAY;
    loop {
        let written = match taken_over {
            Some(version) => cx.records.take_over(spec, version, cx.clock.unix_ms()).await,
            None => cx.records.create(spec, cx.clock.unix_ms()).await,
        };
        match written {
            Ok(reply) => return reply,
            Err(e) => log::warn!("request={} could not write its record: {e}", spec.id),
        }
        if cx.clock.now().since(started) + delay >= spec.remaining {
            return CreateReply { answer: RecordAnswer::Unknown, stored: None, version: 0 };
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Writes the outcome of a request into its record, with retries for [`FINISH_RECORD_TIMEOUT`].
pub(super) async fn finish_record(cx: &EntryContext, spec: &RecordSpec, outcome: &RecordedOutcome) {
    let started = cx.clock.now();
    let mut delay = INITIAL_RETRY_DELAY;
    while let Err(e) = cx.records.finish(spec, outcome).await {
        log::warn!("request={} could not write the outcome into its record: {e}", spec.id);
        if cx.clock.now().since(started) >= FINISH_RECORD_TIMEOUT {
            log::error!(
                "request={} its record stays as it is after {FINISH_RECORD_TIMEOUT:?} of retries",
                spec.id
            );
            return;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RETRY_DELAY);
    }
}
