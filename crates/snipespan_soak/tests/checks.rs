//! Each check objects when its promise is broken.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use snipespan_fakes::users_platform::replica::plain_body;
use snipespan_fakes::users_platform::replica::stream_event;
use snipespan_soak::checks::EVENTS;
use snipespan_soak::checks::Excused;
use snipespan_soak::checks::History;
use snipespan_soak::checks::Kind;
use snipespan_soak::checks::Ran;
use snipespan_soak::checks::Seen;
use snipespan_soak::checks::Written;
use snipespan_soak::checks::check;

fn seen(start: Instant, id: &str, kind: Kind) -> Seen {
    let body = match kind {
        Kind::Stream | Kind::Span => (1..=EVENTS).map(stream_event).collect(),
        Kind::Unsafe | Kind::Safe => plain_body(id),
    };
    Seen {
        id: id.to_owned(),
        kind,
        gateway: 0,
        sent: start + Duration::from_secs(20),
        ended: start + Duration::from_secs(21),
        status: Some(200),
        body,
        is_whole: true,
        has_second_key: false,
    }
}

fn ran(start: Instant, id: &str) -> Ran {
    Ran { id: id.to_owned(), replica: 0, began: start + Duration::from_secs(20) }
}

fn sound(start: Instant) -> History {
    let kinds = [(Kind::Stream, "a"), (Kind::Unsafe, "b"), (Kind::Safe, "c"), (Kind::Span, "d")];
    History {
        seen: kinds.iter().map(|(kind, id)| seen(start, id, *kind)).collect(),
        ran: kinds.iter().map(|(_, id)| ran(start, id)).collect(),
        ..History::default()
    }
}

#[test]
fn check_sound_history() {
    assert_eq!(check(&sound(Instant::now())), []);
}

#[rstest]
#[case::missing_event("an answer is whole and the caller's own", |h: &mut History, _| {
    h.seen[0].body = (2..=EVENTS).map(stream_event).collect();
})]
#[case::anothers_answer("an answer is whole and the caller's own", |h: &mut History, _| {
    h.seen[1].body = plain_body("x");
})]
#[case::short_that_looks_whole("an answer is whole and the caller's own", |h: &mut History, _| {
    h.seen[0].body = stream_event(1);
})]
#[case::unsafe_twice("an unsafe request runs at most once", |h: &mut History, start| {
    h.ran.push(ran(start, "b"));
})]
#[case::too_many_runs("no more runs than the route allows", |h: &mut History, start| {
    h.ran.extend([ran(start, "c"), ran(start, "c")]);
})]
#[case::false_refusal("'not run' is true", |h: &mut History, _| h.seen[1].status = Some(503))]
#[case::late("a request ends in its time", |h: &mut History, _| {
    h.seen[1].ended = h.seen[1].sent + Duration::from_secs(8);
})]
#[case::unasked("only what a client sent runs", |h: &mut History, start| {
    h.ran.push(ran(start, "x"));
})]
#[case::drained("a draining replica gets nothing new", |h: &mut History, start| {
    h.written.push(Written { at: start, replica: Some(0), is_open: false });
})]
#[case::revoked_key("a configuration is in force and stays so", |h: &mut History, start| {
    h.written.push(Written { at: start, replica: None, is_open: false });
    h.seen[1].has_second_key = true;
})]
#[case::denied_key("a configuration is in force and stays so", |h: &mut History, start| {
    h.written.push(Written { at: start, replica: None, is_open: true });
    h.seen[1].has_second_key = true;
    h.seen[1].status = Some(401);
    h.ran.remove(1);
})]
#[case::memory("memory is freed", |h: &mut History, _| h.reserved_tokens = 5)]
#[case::stop("a planned stop ends in time", |h: &mut History, _| h.bad_stops = 1)]
#[case::recovery("it recovers", |h: &mut History, _| h.failed_after.push("r".to_owned()))]
fn check_objects(#[case] promise: &str, #[case] break_it: fn(&mut History, Instant)) {
    let start = Instant::now();
    let mut history = sound(start);
    break_it(&mut history, start);
    let broken: Vec<_> = check(&history).into_iter().map(|violation| violation.promise).collect();
    assert!(!broken.is_empty() && broken.iter().all(|broken| *broken == promise), "{broken:?}");
}

#[test]
fn check_excuses_a_gateway_in_trouble() {
    let start = Instant::now();
    let mut history = sound(start);
    history.seen[1].ended = history.seen[1].sent + Duration::from_secs(8);
    let from = start + Duration::from_secs(20);
    history.excused.push(Excused { gateway: Some(0), from, until: from });
    assert_eq!(check(&history), []);
}
