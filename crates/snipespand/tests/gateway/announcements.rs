//! Tests of replicas that say in their answers that they are leaving or want no requests.

use std::net::SocketAddr;

use hyper::Method;
use rstest::rstest;
use serde_json::json;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::ReplicaNotice;
use snipespan_fakes::users_platform::replica::Run;
use snipespan_fakes::users_platform::store::StoreFault;

use crate::harness::Gateway;
use crate::harness::TestPlatform;
use crate::harness::wait_until;

/// Number of calls of which each of two idle replicas gets some.
const CALLS: usize = 16;

/// Token counts of a prompt of 400,000 tokens, which takes the memory of several engines.
const LONG_PROMPT: [(&str, &str); 1] = [("token-count", "400000,258")];

/// Returns the notice of a replica that is leaving.
fn leaving() -> ReplicaNotice {
    ReplicaNotice { is_leaving: true, ..ReplicaNotice::default() }
}

/// Sends requests one after the other, which all must be served; `name` is part of their ids.
async fn call_in_turn(gateway: &Gateway, path: &str, name: &str) {
    for number in 0..CALLS {
        let answer = gateway.call(Method::POST, path, &format!("{name}-{number}")).await;
        assert_eq!(answer.status, 200, "{name}-{number}");
        assert!(answer.is_complete, "{name}-{number}");
    }
}

/// Sends requests until one has run at `replica`; `name` is part of their ids.
async fn call_until_run_at(gateway: &Gateway, replica: &FakeReplica, path: &str, name: &str) {
    let before = replica.runs().len();
    for number in 0..4 * CALLS {
        let answer = gateway.call(Method::POST, path, &format!("{name}-{number}")).await;
        assert_eq!(answer.status, 200, "{name}-{number}");
        if replica.runs().len() > before {
            return;
        }
    }
    panic!("no request ran at {}", replica.id());
}

/// Guards against new requests to a replica whose answer says that it is leaving, as long as the
/// store cannot say so; the answer itself is passed on complete.
#[rstest]
#[case::plain_answer("/order/1", StoreFault::Silent)]
#[case::stream("/stream/1", StoreFault::Silent)]
#[case::store_busy("/order/1", StoreFault::Busy)]
#[tokio::test]
async fn leaving_in_an_answer_ends_new_work_without_the_store(
    #[case] path: &str,
    #[case] fault: StoreFault,
) {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.store.set_fault(fault);
    let replicas = if path == "/order/1" { &platform.plain } else { &platform.engines };
    replicas[0].set_notice(leaving());
    let mut passed_on = 0;
    for number in 0..2 * CALLS {
        let answer = gateway.call(Method::POST, path, &format!("request-{number}")).await;
        assert!(answer.status == 200 && answer.is_complete, "request-{number}");
        passed_on += usize::from(answer.headers.contains_key("server-leaving"));
    }
    assert_eq!(replicas[0].runs().len(), 1);
    assert_eq!(passed_on, 1, "the answer is passed on as it is");
}

/// Guards against a listing that brings a leaving replica back, changed or removed and added again,
/// and against a later incarnation that is taken for it.
#[tokio::test]
async fn leaving_replica_listed_as_ready_stays_out_of_use_until_it_restarts() {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    let replica = &platform.plain[0];
    replica.set_notice(leaving());
    call_until_run_at(&gateway, replica, "/order/1", "first").await;
    let mut listing = replica.listing(replica.address(), "ready");
    listing["slots"] = json!(17);
    platform.store.put("servers", replica.id(), &listing);
    gateway.wait_for_log("backend server changed", Some(("cause", "listing changed"))).await;
    call_in_turn(&gateway, "/order/1", "changed").await;
    platform.store.remove("servers", replica.id());
    gateway.wait_for_log("backend server changed", Some(("standing", "gone"))).await;
    let listed = |gateway: &Gateway| {
        let lines = gateway.log_lines("backend server changed", Some(("cause", "listed")));
        lines.iter().filter(|line| line["backend_server"] == "orders-0").count()
    };
    let before = listed(&gateway);
    platform.store.put("servers", replica.id(), &listing);
    wait_until("it is listed again", || listed(&gateway) > before).await;
    call_in_turn(&gateway, "/order/1", "listed").await;
    assert_eq!(replica.runs().len(), 1);
    replica.set_notice(ReplicaNotice::default());
    listing["born"] = json!(2);
    platform.store.put("servers", replica.id(), &listing);
    call_until_run_at(&gateway, replica, "/order/1", "restarted").await;
}

/// Guards against a gateway that takes up a leaving replica again because of what its peers report,
/// and against a restarted one that sends more than the request by which it learns of the leaving.
#[tokio::test]
async fn leaving_replica_beside_peers_and_restarts_gets_one_request_of_each_process() {
    let platform = TestPlatform::start(2).await;
    let first = platform.gateway("gateway-1").await;
    let second = platform.gateway("gateway-2").await;
    let replica = &platform.plain[0];
    replica.set_notice(leaving());
    call_until_run_at(&first, replica, "/order/1", "first").await;
    call_until_run_at(&second, replica, "/order/1", "second").await;
    call_in_turn(&first, "/order/1", "first-again").await;
    assert_eq!(replica.runs().len(), 2);
    drop(first);
    let restarted = platform.gateway("gateway-1").await;
    call_until_run_at(&restarted, replica, "/order/1", "restarted").await;
    call_in_turn(&restarted, "/order/1", "restarted-again").await;
    call_in_turn(&second, "/order/1", "second-again").await;
    assert_eq!(replica.runs().len(), 3);
}

/// Returns the addresses of the engines that took part in a run.
fn engines_of(run: &Run) -> Vec<SocketAddr> {
    let helpers = run.headers["helpers"].to_str().expect("text").split(',');
    let address = |helper: &str| helper.split('/').next().and_then(|text| text.parse().ok());
    helpers.map(|helper| address(helper).expect("an address")).collect()
}

/// Returns the only run of a request at any engine.
fn run_of(platform: &TestPlatform, request: &str) -> Run {
    let runs = platform.engines.iter().flat_map(|engine| engine.runs());
    let mut runs: Vec<_> = runs.filter(|run| run.request == request).collect();
    assert_eq!(runs.len(), 1, "{request}");
    runs.remove(0)
}

/// Guards against a span with an engine whose answer to the reservation says that it is leaving,
/// and against memory that stays reserved there.
#[tokio::test]
async fn leaving_in_the_answer_to_a_reservation_keeps_the_engine_out_of_the_span() {
    let platform = TestPlatform::start(10).await;
    let gateway = platform.gateway("gateway-1").await;
    let answer = gateway.call_with(Method::POST, "/stream/1", "before", &LONG_PROMPT).await;
    assert_eq!(answer.status, 200);
    let engines = engines_of(&run_of(&platform, "before"));
    let is_leaving = |engine: &&FakeReplica| engines.contains(&engine.address());
    let all = platform.engines.iter();
    all.clone().filter(is_leaving).for_each(|engine| engine.set_notice(leaving()));
    for number in 0..3 {
        let id = format!("after-{number}");
        let answer = gateway.call_with(Method::POST, "/stream/1", &id, &LONG_PROMPT).await;
        assert!(answer.status == 200 && answer.is_complete);
        let used = engines_of(&run_of(&platform, &id));
        assert!(!used.iter().any(|address| engines.contains(address)), "{id}: {used:?}");
    }
    wait_until("the memory is free", || {
        platform.engines.iter().all(|engine| engine.reserved_tokens() == 0)
    })
    .await;
}
