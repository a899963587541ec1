//! Tests of the checks. They guard against a check that misses a violation of its promise, or
//! reports one in a history without violations.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use snipespan_fakes::users_platform::replica::plain_body;
use snipespan_fakes::users_platform::replica::stream_event;
use snipespan_soak::checks::Cause;
use snipespan_soak::checks::ExemptPeriod;
use snipespan_soak::checks::History;
use snipespan_soak::checks::ObservedRefusal;
use snipespan_soak::checks::ObservedRequest;
use snipespan_soak::checks::ObservedRun;
use snipespan_soak::checks::RequestKind;
use snipespan_soak::checks::STREAM_EVENTS;
use snipespan_soak::checks::StoreWrite;
use snipespan_soak::checks::check_history;

fn observed_request(start: Instant, id: &str, kind: RequestKind) -> ObservedRequest {
    let body = match kind {
        RequestKind::Stream | RequestKind::Span | RequestKind::Deadly => {
            (1..=STREAM_EVENTS).map(stream_event).collect()
        }
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
        is_timed_out: false,
        leaving: None,
        has_revocable_key: false,
    }
}

fn observed_run(start: Instant, id: &str) -> ObservedRun {
    let began = start + Duration::from_secs(20);
    ObservedRun {
        id: id.to_owned(),
        origin: String::new(),
        replica: 0,
        incarnation: "replica".to_owned(),
        is_deadly: false,
        began,
    }
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
#[case::unanswered("a request that was read is answered", |h: &mut History, _| {
    h.requests[1].status = None;
    h.requests[1].is_complete = false;
})]
#[case::cut("a request that was read is answered", |h: &mut History, _| {
    h.requests[0].is_complete = false;
})]
#[case::unanswered_at_once("a request that was read is answered", |h: &mut History, start| {
    h.runs.remove(1);
    h.requests[1].status = None;
    h.requests[1].ended = start + Duration::from_millis(20_300);
})]
#[case::cut_in_planned_stop("a request that was read is answered", |h: &mut History, start| {
    h.requests[0].is_complete = false;
    let until = start + Duration::from_secs(30);
    let stop = ExemptPeriod { cause: Cause::Planned, gateway: Some(0), from: start, until };
    h.exempt_periods.push(stop);
})]
#[case::leaving("a replica that says it is leaving gets no new requests", |h: &mut History, start| {
    let told = start + Duration::from_secs(17);
    h.requests[2].leaving = Some(("replica".to_owned(), told));
    h.runs.retain(|run| run.id == "c");
    h.runs[0].incarnation = "replica".to_owned();
})]
#[case::refusing("a replica that refuses for a time gets nothing", |h: &mut History, start| {
    let at = start + Duration::from_millis(18_500);
    let retry_after = Duration::from_secs(2);
    h.refusals.push(ObservedRefusal { id: "a".to_owned(), replica: 0, at, retry_after });
})]
#[case::deadly("a deadly part reaches few replicas", |h: &mut History, start| {
    h.crashes = (1..=5).map(|second| start + Duration::from_secs(second)).collect();
    h.runs.iter_mut().for_each(|run| run.is_deadly = true);
})]
#[case::beside_deadly("sound requests are served beside a deadly part", |h: &mut History, start| {
    h.crashes = vec![start + Duration::from_secs(1)];
    h.deadly_from = Some(start);
    h.deadly_until = Some(start + Duration::from_secs(60));
    for number in 0..40 {
        let mut request = observed_request(start, &format!("n{number}"), RequestKind::Stream);
        if number < 20 {
            request.sent = start - Duration::from_millis(number + 1);
            request.ended = start;
        } else {
            request.status = Some(503);
        }
        h.requests.push(request);
    }
})]
#[case::exit("a gateway does not end by itself", |h: &mut History, _| h.unplanned_exits.push(1))]
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
    history.exempt_periods.push(ExemptPeriod {
        cause: Cause::Store,
        gateway: Some(0),
        from,
        until: from,
    });
    assert_eq!(check_history(&history), []);
}
