//! Tests of the checks. They guard against a check that misses a violation of its promise, or
//! reports one in a history without violations.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use snipespan_fakes::users_platform::replica::plain_body;
use snipespan_fakes::users_platform::replica::stream_event;
use snipespan_soak::checks::ExemptPeriod;
use snipespan_soak::checks::History;
use snipespan_soak::checks::ObservedRequest;
use snipespan_soak::checks::ObservedRun;
use snipespan_soak::checks::RequestKind;
use snipespan_soak::checks::STREAM_EVENTS;
use snipespan_soak::checks::StoreWrite;
use snipespan_soak::checks::check_history;

fn observed_request(start: Instant, id: &str, kind: RequestKind) -> ObservedRequest {
    let body = match kind {
        RequestKind::Stream | RequestKind::Span => (1..=STREAM_EVENTS).map(stream_event).collect(),
        RequestKind::Unsafe | RequestKind::Safe => plain_body(id),
    };
    ObservedRequest {
        id: id.to_owned(),
        kind,
        gateway: 0,
        sent: start + Duration::from_secs(20),
        ended: start + Duration::from_secs(21),
        status: Some(200),
        body,
        is_complete: true,
        has_revocable_key: false,
    }
}

fn observed_run(start: Instant, id: &str) -> ObservedRun {
    let began = start + Duration::from_secs(20);
    ObservedRun { id: id.to_owned(), origin: String::new(), replica: 0, began }
}

fn history_without_violation(start: Instant) -> History {
    let kinds = [
        (RequestKind::Stream, "a"),
        (RequestKind::Unsafe, "b"),
        (RequestKind::Safe, "c"),
        (RequestKind::Span, "d"),
    ];
    History {
        requests: kinds.iter().map(|(kind, id)| observed_request(start, id, *kind)).collect(),
        runs: kinds.iter().map(|(_, id)| observed_run(start, id)).collect(),
        ..History::default()
    }
}

#[test]
fn check_history_without_violation() {
    assert_eq!(check_history(&history_without_violation(Instant::now())), []);
}

#[rstest]
#[case::missing_event("an answer is complete and belongs to its request", |h: &mut History, _| {
    h.requests[0].body = (2..=STREAM_EVENTS).map(stream_event).collect();
})]
#[case::swapped_answer("an answer is complete and belongs to its request", |h: &mut History, _| {
    h.requests[1].body = plain_body("x");
})]
#[case::truncated_answer("an answer is complete and belongs to its request", |h: &mut History, _| {
    h.requests[0].body = stream_event(1);
})]
#[case::unsafe_twice("an unsafe request runs at most once", |h: &mut History, start| {
    h.runs.push(observed_run(start, "b"));
})]
#[case::too_many_runs(
    "a request runs no more often than its route allows",
    |h: &mut History, start| {
        h.runs.extend([observed_run(start, "c"), observed_run(start, "c")]);
    }
)]
#[case::false_refusal(
    "a request reported as not run did not run",
    |h: &mut History, _| h.requests[1].status = Some(503)
)]
#[case::late("a request ends within its time limit", |h: &mut History, _| {
    h.requests[1].ended = h.requests[1].sent + Duration::from_secs(8);
})]
#[case::unsent("only requests that a client sent run", |h: &mut History, start| {
    h.runs.push(observed_run(start, "x"));
})]
#[case::drained("a draining replica gets no new requests", |h: &mut History, start| {
    h.store_writes.push(StoreWrite { acknowledged: start, replica: Some(0), is_enabled: false });
})]
#[case::revoked_key("a configuration takes effect and persists", |h: &mut History, start| {
    h.store_writes.push(StoreWrite { acknowledged: start, replica: None, is_enabled: false });
    h.requests[1].has_revocable_key = true;
})]
#[case::denied_key("a configuration takes effect and persists", |h: &mut History, start| {
    h.store_writes.push(StoreWrite { acknowledged: start, replica: None, is_enabled: true });
    h.requests[1].has_revocable_key = true;
    h.requests[1].status = Some(401);
    h.runs.remove(1);
})]
#[case::memory("reserved memory is released", |h: &mut History, _| h.reserved_tokens = 5)]
#[case::stop("a planned stop ends in time", |h: &mut History, _| h.failed_stops = 1)]
#[case::recovery(
    "requests succeed after recovery",
    |h: &mut History, _| h.failed_after_recovery.push("r".to_owned())
)]
fn check_history_with_violation(
    #[case] promise: &str,
    #[case] break_promise: fn(&mut History, Instant),
) {
    let start = Instant::now();
    let mut history = history_without_violation(start);
    break_promise(&mut history, start);
    let broken: Vec<_> =
        check_history(&history).into_iter().map(|violation| violation.promise).collect();
    assert!(!broken.is_empty() && broken.iter().all(|broken| *broken == promise), "{broken:?}");
}

/// Guards against a report of a late request whose gateway had a fault while it ran.
#[test]
fn check_history_in_exempt_period() {
    let start = Instant::now();
    let mut history = history_without_violation(start);
    history.requests[1].ended = history.requests[1].sent + Duration::from_secs(8);
    let from = start + Duration::from_secs(20);
    history.exempt_periods.push(ExemptPeriod { gateway: Some(0), from, until: from });
    assert_eq!(check_history(&history), []);
}
