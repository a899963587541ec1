//! Tests of the answers that a gateway gives to clients.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use nix::sys::signal::Signal;
use rstest::rstest;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::ReplicaConfig;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_fakes::users_platform::replica::plain_body;
use snipespan_fakes::users_platform::replica::stream_event;
use snipespan_platform_adapter::connection::Connection;

use crate::harness::ENGINE;
use crate::harness::TestPlatform;
use crate::harness::WAIT_TIMEOUT;
use crate::harness::replica_config;
use crate::harness::request;
use crate::harness::wait_until;

/// Guards against a request or plain answer that is altered on its way, and against an API key that
/// reaches a backend server.
#[tokio::test]
async fn plain_answer_is_the_replicas_own() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let answer = gateway.call(Method::POST, "/order/1?a=b", "request-1").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, plain_body("request-1"));
    assert_eq!(answer.headers["server-stamp"], "stamp.orders-0");
    let runs = platform.plain[0].runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].target, "POST /order/1?a=b");
    assert_eq!(runs[0].body, b"the body");
    assert_eq!(runs[0].headers["tenant"], "account-1");
    assert_eq!(runs[0].headers["expect-instance"], "orders-0");
    assert!(!runs[0].headers.contains_key("authorization"));
    let remaining: u64 =
        runs[0].headers["deadline-ms"].to_str().expect("text").parse().expect("ms");
    assert!((7000..=8000).contains(&remaining));
}

/// Guards against a streamed answer with missing, repeated or altered events.
#[tokio::test]
async fn stream_is_forwarded_as_it_arrives() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let fields = [("token-count", "1000,258")];
    let answer = gateway.call_with(Method::POST, "/stream/1", "request-1", &fields).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_complete);
    assert_eq!(answer.body, (1..=6).map(stream_event).collect::<String>());
}

/// Guards against events that the client receives twice when it resumes a stream with the id of its
/// last event.
#[tokio::test]
async fn stream_goes_on_after_the_event_that_the_client_has() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let fields = [("last-event-id", "4")];
    let answer = gateway.call_with(Method::POST, "/stream/1", "request-1", &fields).await;
    assert_eq!(answer.body, (5..=6).map(stream_event).collect::<String>());
}

/// Guards against an error for a client that resumes a stream after its last event, so that no
/// event is left to send.
#[tokio::test]
async fn stream_of_which_the_client_has_all_events_is_whole_and_empty() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let fields = [("last-event-id", "6")];
    let answer = gateway.call_with(Method::POST, "/stream/1", "request-1", &fields).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_complete);
    assert_eq!(answer.body, "");
}

/// Guards against a request that reaches a replica although its path has no route or its API key is
/// not valid.
#[rstest]
#[case::unknown_path("/nowhere/", "Token key-1", 404)]
#[case::unknown_key("/look/1", "Token key-9", 401)]
#[case::other_scheme("/look/1", "Bearer key-1", 401)]
#[tokio::test]
async fn request_denied(#[case] path: &str, #[case] key: &str, #[case] status: u16) {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let fields = [("authorization", key)];
    let answer = gateway.call_with(Method::GET, path, "request-1", &fields).await;
    assert_eq!(answer.status, status);
    assert!(!answer.headers.contains_key("server-stamp"));
    assert_eq!(platform.plain_runs(), 0);
}

/// Guards against a request that is forwarded although its body of 70,000 bytes exceeds the limit
/// of 65,536 bytes.
#[tokio::test]
async fn body_over_the_limit_is_refused_unread() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let mut connection =
        Connection::open(gateway.clients, WAIT_TIMEOUT).await.expect("it connects");
    let mut req = request(Method::POST, "/order/1", "request-1", &[]);
    *req.body_mut() = vec![b'x'; 70_000].into();
    let response = connection.send(req).await.expect("an answer");
    assert_eq!(response.status(), 413);
    assert_eq!(platform.plain_runs(), 0);
}

/// Guards against a replica that goes on with a stream for more than 500 ms after the client has
/// disconnected.
#[tokio::test]
async fn client_that_leaves_stops_the_replica() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let mut connection =
        Connection::open(gateway.clients, WAIT_TIMEOUT).await.expect("it connects");
    let req = request(Method::POST, "/stream/1", "request-1", &[]);
    let response = connection.send(req).await.expect("a head");
    drop(response);
    drop(connection);
    let engine = &platform.engines[0];
    wait_until("the run is cancelled", || engine.runs().iter().all(|run| run.cancelled.is_some()))
        .await;
    let run = engine.runs().remove(0);
    let took = run.cancelled.expect("cancelled") - run.began;
    assert!(took < Duration::from_millis(500), "{took:?}");
}

/// Guards against a client that waits much longer than the timeout of its route, 400 ms, for a
/// replica that never answers.
#[tokio::test]
async fn route_timeout_is_answered_in_time_as_not_known() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.plain[0].set_fault(ReplicaFault::NeverAnswers);
    let began = Instant::now();
    let answer = gateway.call(Method::POST, "/brief/1", "request-1").await;
    assert_eq!(answer.status, 504);
    let took = began.elapsed();
    assert!((Duration::from_millis(400)..Duration::from_millis(900)).contains(&took), "{took:?}");
}

/// Guards against streams that are moved, or cut over the retry budget, because their own gateway
/// was paused: what arrived meanwhile waits at its sockets. The stall limit is 4.8 s.
#[tokio::test]
async fn stream_through_a_paused_gateway_stays_where_it_is() {
    let mut platform = TestPlatform::start(0).await;
    for number in 0..2 {
        let config = replica_config(ENGINE, number);
        let config = ReplicaConfig { events: 20, pause: Duration::from_millis(100), ..config };
        let engine = FakeReplica::start(config, None).await.expect("it starts");
        platform.set_state(&engine, "ready");
        platform.engines.push(engine);
    }
    let gateway = platform.gateway("gateway-1").await;
    let fields = [("token-count", "1000,258")];
    let pause = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        gateway.signal(Signal::SIGSTOP);
        tokio::time::sleep(Duration::from_millis(5200)).await;
        gateway.signal(Signal::SIGCONT);
    };
    let call = gateway.call_with(Method::POST, "/stream/1", "request-1", &fields);
    let (answer, ()) = tokio::join!(call, pause);
    assert!(answer.is_complete);
    assert_eq!(gateway.log_lines("attempt stalled", None).len(), 0);
    let runs: usize = platform.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 1);
}
