//! Tests of requests whose replica refuses, fails or is gone.

use hyper::Method;
use rstest::rstest;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_fakes::users_platform::replica::stream_event;

use crate::harness::PLAIN;
use crate::harness::TestPlatform;
use crate::harness::replica_config;

/// Returns the body of a stream with all its events.
fn complete_stream() -> String {
    (1..=6).map(stream_event).collect()
}

/// Guards against a refusal that reaches the client although another replica can run the request;
/// the refusing replica did not run it, so that an unsafe request may be repeated.
#[rstest]
#[case::unsafe_call("/order/1")]
#[case::safe_call("/look/1")]
#[tokio::test]
async fn refused_call_goes_to_another_replica(#[case] path: &str) {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.plain[0].set_fault(ReplicaFault::Refuses);
    for number in 0..4 {
        let answer = gateway.call(Method::POST, path, &format!("request-{number}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(platform.plain[1].runs().len(), 4);
}

/// Guards against an unsafe request that runs twice after a failure, and against a failure that is
/// hidden from the client. The client gets the answer of the replica only if it is complete and
/// valid, as that with status 500 is.
#[rstest]
#[case::errors(ReplicaFault::Errors, 500)]
#[case::cuts(ReplicaFault::Disconnects(0), 502)]
#[case::foreign(ReplicaFault::WrongAttemptId, 502)]
#[case::unsigned(ReplicaFault::Unsigned, 502)]
#[tokio::test]
async fn unsafe_call_runs_once_and_its_failure_is_told(
    #[case] fault: ReplicaFault,
    #[case] status: u16,
) {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.plain.iter().for_each(|replica| replica.set_fault(fault));
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, status);
    assert_eq!(platform.plain_runs(), 1);
    assert_eq!(answer.headers.contains_key("server-stamp"), fault == ReplicaFault::Errors);
}

/// Guards against a failure of one replica that reaches the client of a safe request.
#[rstest]
#[case::errors(ReplicaFault::Errors)]
#[case::cuts(ReplicaFault::Disconnects(0))]
#[case::foreign(ReplicaFault::WrongAttemptId)]
#[case::unsigned(ReplicaFault::Unsigned)]
#[case::mute(ReplicaFault::NeverAnswers)]
#[tokio::test]
async fn safe_call_is_repeated_elsewhere(#[case] fault: ReplicaFault) {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.plain[0].set_fault(fault);
    for number in 0..4 {
        let answer = gateway.call(Method::GET, "/look/1", &format!("request-{number}")).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["server-stamp"], "stamp.orders-1");
    }
}

/// Guards against missing or repeated events when a replica fails and another one continues the
/// stream. A replica with [`ReplicaFault::Disconnects`] breaks off after this number of events.
#[rstest]
#[case::before_the_first_event(ReplicaFault::Disconnects(0))]
#[case::within_an_event(ReplicaFault::Disconnects(3))]
#[case::mute(ReplicaFault::NeverAnswers)]
#[case::missing_event(ReplicaFault::SkipsEvent)]
#[tokio::test]
async fn stream_goes_on_at_another_replica(#[case] fault: ReplicaFault) {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.engines[0].set_fault(fault);
    for number in 0..3 {
        let id = format!("request-{number}");
        let answer = gateway.call(Method::POST, "/stream/1", &id).await;
        assert!(answer.is_complete);
        assert_eq!(answer.body, complete_stream());
    }
}

/// Guards against a client that takes a stream for complete although every replica broke it off.
#[tokio::test]
async fn stream_that_nobody_can_finish_does_not_look_whole() {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.engines.iter().for_each(|engine| engine.set_fault(ReplicaFault::Disconnects(2)));
    let answer = gateway.call(Method::POST, "/stream/1", "request-1").await;
    assert!(!answer.is_complete);
    assert!(complete_stream().starts_with(&answer.body));
    let runs: usize = platform.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 2, "no more than the route's attempts");
}

/// Guards against a request that runs at a replica other than the listed one. The store lists
/// `orders-old` at the address where `orders-0` now listens, so that the replica refuses the
/// request.
#[tokio::test]
async fn address_of_another_incarnation_runs_nothing() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let address = platform.plain[0].address();
    let mut listing = platform.plain[0].listing(address, "ready");
    listing["born"] = serde_json::json!(2);
    platform.store.put("servers", "orders-old", &listing);
    platform.store.remove("servers", platform.plain[0].id());
    gateway.wait_for_log("backend server changed", Some(("backend_server", "orders-old"))).await;
    gateway.wait_for_log("backend server changed", Some(("standing", "gone"))).await;
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, 503);
    assert_eq!(platform.plain_runs(), 0);
}

/// Guards against requests that fail because a replica has ended while the store still lists it. A
/// new replica then shows that the gateway still follows the listings.
#[tokio::test]
async fn dead_replica_costs_no_request() {
    let mut platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    drop(platform.plain.remove(0));
    for number in 0..4 {
        let answer = gateway.call(Method::POST, "/order/1", &format!("request-{number}")).await;
        assert_eq!(answer.status, 200);
    }
    let fresh = FakeReplica::start(replica_config(PLAIN, 7), None).await.expect("it starts");
    platform.set_state(&fresh, "ready");
    gateway.wait_for_log("backend server changed", Some(("backend_server", "orders-7"))).await;
}
