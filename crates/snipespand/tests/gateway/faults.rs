use hyper::Method;
use rstest::rstest;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_fakes::users_platform::replica::stream_event;

use crate::harness::PLAIN;
use crate::harness::Site;
use crate::harness::shape;

fn whole_stream() -> String {
    (1..=6).map(stream_event).collect()
}

#[rstest]
#[case::unsafe_call("/order/1")]
#[case::safe_call("/look/1")]
#[tokio::test]
async fn refused_call_goes_to_another_replica(#[case] path: &str) {
    let site = Site::start(2).await;
    let gateway = site.gateway("gateway-1").await;
    site.plain[0].set_fault(ReplicaFault::Refuses);
    for number in 0..4 {
        let answer = gateway.call(Method::POST, path, &format!("request-{number}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(site.plain[1].runs().len(), 4);
}

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
    let site = Site::start(2).await;
    let gateway = site.gateway("gateway-1").await;
    site.plain.iter().for_each(|replica| replica.set_fault(fault));
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, status);
    assert_eq!(site.plain_runs(), 1);
    assert_eq!(answer.headers.contains_key("server-stamp"), fault == ReplicaFault::Errors);
}

#[rstest]
#[case::errors(ReplicaFault::Errors)]
#[case::cuts(ReplicaFault::Disconnects(0))]
#[case::foreign(ReplicaFault::WrongAttemptId)]
#[case::unsigned(ReplicaFault::Unsigned)]
#[case::mute(ReplicaFault::NeverAnswers)]
#[tokio::test]
async fn safe_call_is_repeated_elsewhere(#[case] fault: ReplicaFault) {
    let site = Site::start(2).await;
    let gateway = site.gateway("gateway-1").await;
    site.plain[0].set_fault(fault);
    for number in 0..4 {
        let answer = gateway.call(Method::GET, "/look/1", &format!("request-{number}")).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["server-stamp"], "stamp.orders-1");
    }
}

#[rstest]
#[case::before_the_first_event(ReplicaFault::Disconnects(0))]
#[case::within_an_event(ReplicaFault::Disconnects(3))]
#[case::mute(ReplicaFault::NeverAnswers)]
#[case::missing_event(ReplicaFault::SkipsEvent)]
#[tokio::test]
async fn stream_goes_on_at_another_replica(#[case] fault: ReplicaFault) {
    let site = Site::start(2).await;
    let gateway = site.gateway("gateway-1").await;
    site.engines[0].set_fault(fault);
    for number in 0..3 {
        let id = format!("request-{number}");
        let answer = gateway.call(Method::POST, "/stream/1", &id).await;
        assert!(answer.is_whole);
        assert_eq!(answer.body, whole_stream());
    }
}

#[tokio::test]
async fn stream_that_nobody_can_finish_does_not_look_whole() {
    let site = Site::start(2).await;
    let gateway = site.gateway("gateway-1").await;
    site.engines.iter().for_each(|engine| engine.set_fault(ReplicaFault::Disconnects(2)));
    let answer = gateway.call(Method::POST, "/stream/1", "request-1").await;
    assert!(!answer.is_whole);
    assert!(whole_stream().starts_with(&answer.body));
    let runs: usize = site.engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 2, "no more than the route's attempts");
}

#[tokio::test]
async fn address_of_another_incarnation_runs_nothing() {
    let site = Site::start(1).await;
    let gateway = site.gateway("gateway-1").await;
    let address = site.plain[0].address();
    let mut entry = site.plain[0].listing(address, "ready");
    entry["born"] = serde_json::json!(2);
    site.store.put("servers", "orders-old", &entry);
    site.store.remove("servers", site.plain[0].id());
    gateway.until_logged("backend server changed", Some(("backend_server", "orders-old"))).await;
    gateway.until_logged("backend server changed", Some(("standing", "gone"))).await;
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, 503);
    assert_eq!(site.plain_runs(), 0);
}

#[tokio::test]
async fn dead_replica_costs_no_request() {
    let mut site = Site::start(2).await;
    let gateway = site.gateway("gateway-1").await;
    drop(site.plain.remove(0));
    for number in 0..4 {
        let answer = gateway.call(Method::POST, "/order/1", &format!("request-{number}")).await;
        assert_eq!(answer.status, 200);
    }
    let fresh = FakeReplica::start(shape(PLAIN, 7), None).await.expect("it starts");
    site.set_state(&fresh, "ready");
    gateway.until_logged("backend server changed", Some(("backend_server", "orders-7"))).await;
}
