//! Tests of placement and of attempts that are refused or fail.

use std::collections::BTreeSet;
use std::time::Duration;

use rstest::rstest;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::settings::RoutingPolicy;
use snipespan_core::result_code::ResultCode;

use crate::kit::Kit;
use crate::kit::TIME_LIMIT;
use crate::kit::answered_code;
use crate::kit::chat;

/// No policy may send two of four requests to the same engine while another one is idle.
#[rstest]
#[case::round_robin(RoutingPolicy::RoundRobin)]
#[case::fewest_open(RoutingPolicy::FewestOpen)]
#[case::earliest_first_token(RoutingPolicy::EarliestFirstToken)]
fn place_spreads(#[case] policy: RoutingPolicy) {
    let mut kit = Kit::with_policy(policy);
    kit.add_engines(4);
    let places: BTreeSet<_> = (0..4).map(|_| kit.dispatch_request().1.backend_server).collect();
    assert_eq!(places.len(), 4);
}

/// A request must go to the engine with the shortest backlog.
#[test]
fn place_earliest_first_token() {
    let mut kit = Kit::new();
    let keys = kit.add_engines(3);
    kit.report_load(keys[0], 50_000);
    kit.report_load(keys[1], 2_000);
    kit.report_load(keys[2], 90_000);
    assert_eq!(kit.dispatch_request().1.backend_server, keys[1]);
}

/// Requests with the same prompt prefix must go to the engine that has it in its prefix cache;
/// another one would prefill it again.
#[test]
fn place_cached_prefix() {
    let mut kit = Kit::new();
    let keys = kit.add_engines(3);
    let mut body = chat();
    body.cost.prompt_tokens = 20_000;
    body.prefix_digests = [11, 12, 13, 0, 0, 0];
    let mut places = Vec::new();
    for _ in 0..3 {
        let request = kit.arrive().expect("it is admitted");
        let effects = kit.tick(vec![Event::BodyRead { request, body: body.clone() }]);
        let dispatch = crate::kit::dispatched(&effects).expect("it is dispatched");
        places.push(dispatch.backend_server);
        let attempt = dispatch.attempt;
        kit.tick(vec![Event::AttemptCompleted { attempt, output_tokens: 1 }]);
        keys.iter().for_each(|key| kit.report_load(*key, 0));
    }
    assert_eq!(places[0], places[1]);
    assert_eq!(places[1], places[2]);
}

/// A request must not be dispatched if its first token is estimated after its deadline: the backlog
/// takes an hour at 10,000 tokens per second, and the time limit is 60 s.
#[test]
fn place_cannot_end_in_time() {
    let mut kit = Kit::new();
    let keys = kit.add_engines(1);
    kit.report_load(keys[0], 10_000 * 3_600);
    let request = kit.arrive().expect("it is admitted");
    let effects = kit.tick(vec![Event::BodyRead { request, body: chat() }]);
    assert_eq!(answered_code(&effects), Some(ResultCode::CannotEndInTime));
}

/// A request must not wait for a backend server longer than the placing limit of 5 s.
#[test]
fn place_no_backend_server() {
    let mut kit = Kit::new();
    let request = kit.arrive().expect("it is admitted");
    kit.tick(vec![Event::BodyRead { request, body: chat() }]);
    let refusal = (0..60).find_map(|_| answered_code(&kit.advance(Duration::from_millis(100))));
    assert_eq!(refusal, Some(ResultCode::NoBackendServer));
}

/// A refused request must be sent to another backend server if there is one.
#[test]
fn refused_goes_elsewhere() {
    let mut kit = Kit::with_engines(2);
    let (_, first) = kit.dispatch_request();
    let code = ResultCode::QueueFull;
    kit.tick(vec![Event::AttemptRefused { attempt: first.attempt, code, retry_after: None }]);
    let second = kit.next_dispatch().expect("it is dispatched again");
    assert_ne!(second.backend_server, first.backend_server);
    assert_eq!(second.spec.number.0, 2);
}

/// A request must end after the maximum of 4 attempts, with the code of the last refusal.
#[test]
fn refused_too_often() {
    let mut kit = Kit::with_engines(2);
    let (_, mut dispatch) = kit.dispatch_request();
    let mut last = None;
    for _ in 0..4 {
        let attempt = dispatch.attempt;
        let code = ResultCode::QueueFull;
        let event = Event::AttemptRefused { attempt, code, retry_after: None };
        last = answered_code(&kit.tick(vec![event]));
        dispatch = match kit.next_dispatch() {
            Some(next) => next,
            None => break,
        };
    }
    assert_eq!(last, Some(ResultCode::QueueFull));
}

/// The first attempt may have run, so refusals of later attempts must not end the request with a
/// code of the class "not run".
#[test]
fn failed_then_refused_is_not_told_not_run() {
    let mut kit = Kit::with_engines(2);
    let (_, first) = kit.dispatch_request();
    let attempt = first.attempt;
    let code = ResultCode::AnswerCut;
    kit.tick(vec![Event::AttemptFailed { attempt, code, resumable: true }]);
    let mut reported = None;
    while let Some(dispatch) = kit.next_dispatch() {
        let attempt = dispatch.attempt;
        let code = ResultCode::QueueFull;
        let event = Event::AttemptRefused { attempt, code, retry_after: None };
        reported = answered_code(&kit.tick(vec![event]));
    }
    assert_eq!(reported, Some(ResultCode::AnswerCut));
}

/// A failed request must not be retried once the retry budget is spent.
#[test]
fn failed_over_budget() {
    let mut kit = Kit::with_engines(2);
    kit.world.retry_budget = 0.0;
    let (_, dispatch) = kit.dispatch_request();
    let attempt = dispatch.attempt;
    let code = ResultCode::AnswerCut;
    let effects = kit.tick(vec![Event::AttemptFailed { attempt, code, resumable: true }]);
    assert_eq!(answered_code(&effects), Some(ResultCode::AnswerCut));
    assert_eq!(kit.world.counters.retries_over_budget, 1);
}

/// A request that expires while it runs must leave no row in the tables.
#[test]
fn expire_running() {
    let mut kit = Kit::with_engines(1);
    let (request, dispatch) = kit.dispatch_request();
    let effects = kit.advance(TIME_LIMIT);
    assert_eq!(answered_code(&effects), Some(ResultCode::DeadlineExceeded));
    assert!(kit.world.requests.get(request).is_none());
    assert!(kit.world.attempts.get(dispatch.attempt).is_none());
}

/// A late event of an ended attempt must not end the request whose rows took the place of the old
/// ones.
#[test]
fn key_of_ended_request_finds_nothing() {
    let mut kit = Kit::with_engines(1);
    let (_, old) = kit.dispatch_request();
    kit.tick(vec![Event::AttemptCompleted { attempt: old.attempt, output_tokens: 1 }]);
    let (_, new) = kit.dispatch_request();
    assert_ne!(old.attempt, new.attempt);
    let attempt = old.attempt;
    kit.tick(vec![Event::AttemptCompleted { attempt, output_tokens: 1 }]);
    assert_eq!(kit.world.requests.len(), 1);
}

/// A request whose caller has disconnected must leave no row in the tables.
#[test]
fn caller_disconnected_cancels() {
    let mut kit = Kit::with_engines(1);
    let (request, _) = kit.dispatch_request();
    kit.tick(vec![Event::CallerDisconnected { request }]);
    assert!(kit.world.requests.is_empty());
    assert!(kit.world.attempts.is_empty());
}

/// Tokens that were queued at a backend server earlier have been prefilled since and must not count
/// as backlog any longer: at 10,000 tokens per second, 20,000 tokens take 2 s.
#[test]
fn place_backlog_ages() {
    let mut kit = Kit::new();
    let keys = kit.add_engines(2);
    kit.report_load(keys[0], 20_000);
    kit.now = kit.now.after(Duration::from_secs(2));
    kit.report_load(keys[1], 5_000);
    assert_eq!(kit.dispatch_request().1.backend_server, keys[0]);
}

/// Guards against a stream that is cut because it began longer ago than a request may wait for a
/// backend server, 5 s, when its only one reconnects.
#[test]
fn begun_stream_waits_for_its_backend_server_to_return() {
    let mut kit = Kit::with_engines(1);
    let (_, dispatch) = kit.dispatch_request();
    let (attempt, backend_server) = (dispatch.attempt, dispatch.backend_server);
    kit.tick(vec![Event::FirstToken { attempt }]);
    kit.advance(Duration::from_secs(6));
    let code = ResultCode::AnswerCut;
    let effects = kit.tick(vec![
        Event::BackendServerLost { backend_server },
        Event::AttemptFailed { attempt, code, resumable: true },
    ]);
    assert_eq!(answered_code(&effects), None);
    let effects = kit.advance(Duration::from_millis(300));
    assert_eq!(answered_code(&effects), None);
}
