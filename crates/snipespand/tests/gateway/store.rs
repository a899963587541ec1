//! Tests of a gateway whose store fails or holds invalid rows.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use rstest::rstest;
use serde_json::json;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::fault_proxy::FaultProxy;
use snipespan_fakes::users_platform::store::StoreFault;

use crate::harness::TestPlatform;
use crate::harness::configuration;
use crate::harness::configuration_with_other_key;
use crate::harness::wait_until_denied;

/// Shortest time after which a deployment counts a gateway as connected to the store again.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Shortest time in which a deployment requires a change of the listings to be in force.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Guards against a gateway that fails requests or is not ready because the store fails after the
/// gateway has read it.
#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::silent(StoreFault::Silent)]
#[case::slow(StoreFault::Slow(Duration::from_millis(300)))]
#[tokio::test]
async fn gateway_serves_while_the_store_is_unreachable(#[case] fault: StoreFault) {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.store.set_fault(fault);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, 200);
    assert!(gateway.is_ready().await);
}

/// Guards against a gateway that reports ready before it has a configuration, and one that does not
/// become ready once the store has recovered.
#[tokio::test]
async fn gateway_is_not_ready_before_it_has_a_configuration() {
    let platform = TestPlatform::start(1).await;
    platform.store.set_fault(StoreFault::Busy);
    let gateway = platform.start_gateway("gateway-1", platform.store.address(), "");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!gateway.is_ready().await);
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, 503);
    platform.store.set_fault(StoreFault::None);
    gateway.wait_until_ready(true).await;
}

/// Guards against a gateway that waits forever for the answer on a frozen connection and misses the
/// changes made meanwhile.
#[tokio::test]
async fn silent_connection_to_the_store_is_replaced() {
    let platform = TestPlatform::start(1).await;
    let proxy = FaultProxy::start(platform.store.address()).await.expect("a proxy");
    let gateway = platform.gateway_at("gateway-1", proxy.address(), "feed_wait = 500ms\n").await;
    proxy.set_fault(Fault::Freeze);
    gateway.wait_for_log("store lost", None).await;
    proxy.set_fault(Fault::None);
    platform.store.put(
        "servers",
        "orders-0",
        &platform.plain[0].listing(platform.plain[0].address(), "draining"),
    );
    gateway.wait_for_log("backend server changed", Some(("standing", "draining"))).await;
}

/// Guards against a change that is missed because the store has dropped it from the history of the
/// feed during an outage.
#[tokio::test]
async fn table_is_read_again_when_the_feed_history_is_gone() {
    let platform = TestPlatform::start(1).await;
    let gateway =
        platform.gateway_at("gateway-1", platform.store.address(), "feed_wait = 300ms\n").await;
    platform.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(500)).await;
    platform.set_state(&platform.plain[0], "draining");
    platform.store.forget_history();
    platform.store.set_fault(StoreFault::None);
    gateway.wait_for_log("backend server changed", Some(("standing", "draining"))).await;
}

/// Guards against a gateway that never reads a list of backend servers which takes several pages.
#[tokio::test]
async fn list_of_several_pages_is_read() {
    let platform = TestPlatform::start(1).await;
    for number in 0..1200 {
        let mut listing = platform.plain[0].listing(platform.plain[0].address(), "ready");
        listing["service"] = json!("another");
        platform.store.put("servers", &format!("another-{number}"), &listing);
    }
    let gateway = platform.gateway("gateway-1").await;
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, 200);
}

/// Guards against a listing that a backend server cannot have written: requests that are sent to
/// it, or a gateway that no longer reads the other listings.
#[rstest]
#[case::not_json(b"\xff\xfe{".as_slice())]
#[case::missing_fields(b"{\"service\":\"orders\"}".as_slice())]
#[case::other_types(br#"{"service":7,"address":"x","zone":1}"#.as_slice())]
#[tokio::test]
async fn entry_of_another_writer_names_no_replica(#[case] bytes: &[u8]) {
    let platform = TestPlatform::start(1).await;
    platform.store.put_bytes("servers", "stranger", bytes);
    let gateway = platform.gateway("gateway-1").await;
    for number in 0..3 {
        let answer = gateway.call(Method::POST, "/order/1", &format!("request-{number}")).await;
        assert_eq!(answer.status, 200);
    }
}

/// Guards against a request that is sent to a listing in an unknown state. Its 100 slots would
/// make it preferable to the valid one, which has 16.
#[tokio::test]
async fn entry_of_unknown_state_names_no_replica() {
    let platform = TestPlatform::start(1).await;
    let mut listing = platform.plain[0].listing(platform.plain[0].address(), "sleeping");
    listing["slots"] = json!(100);
    platform.store.put("servers", "stranger", &listing);
    let gateway = platform.gateway("gateway-1").await;
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.headers["server-stamp"], "stamp.orders-0");
}

/// Guards against a gateway without requests that polls the store instead of waiting for changes.
#[tokio::test]
async fn idle_gateway_makes_few_calls() {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = platform.store.calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(platform.store.calls() - before <= 3, "at most one call per table in 2 s");
    drop(gateway);
}

/// Guards against a withdrawn key that is accepted for seconds after a short silence of the store,
/// because the gateway waits for the answer to a call that it sent meanwhile.
#[rstest]
#[case::call_sent_in_the_silence(100)]
#[case::call_sent_before_the_silence(1500)]
#[tokio::test]
async fn silent_store_delays_no_configuration(#[case] silent_after_ms: u64) {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    // The gateway calls again soon after a change.
    platform.store.put("op", "config", &configuration(2));
    tokio::time::sleep(Duration::from_millis(silent_after_ms)).await;
    platform.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.store.set_fault(StoreFault::None);
    let returned = Instant::now();
    platform.store.put("op", "config", &configuration_with_other_key(3));
    wait_until_denied(&gateway).await;
    let took = returned.elapsed();
    assert!(took < CONTACT_TIME, "in force {took:?} after the store's return");
}

/// Guards against a change that is missed for seconds because the gateway's connections to the store
/// are silent for good while new ones work.
#[tokio::test]
async fn silent_connections_delay_no_configuration() {
    let platform = TestPlatform::start(1).await;
    let proxy = FaultProxy::start(platform.store.address()).await.expect("a proxy");
    let gateway = platform.gateway_at("gateway-1", proxy.address(), "").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    proxy.silence_connections();
    let silenced = Instant::now();
    platform.store.put("op", "config", &configuration_with_other_key(2));
    wait_until_denied(&gateway).await;
    let took = silenced.elapsed();
    assert!(took < CONTACT_TIME, "in force {took:?} after the connections fell silent");
}

/// Guards against a replica that is used for seconds after its listing was removed, because it
/// counts as lapsed in a short silence of the store that is over for long.
#[tokio::test]
async fn silent_store_delays_no_removal() {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    // The gateway calls again soon after a change.
    platform.set_state(&platform.engines[0], "draining");
    tokio::time::sleep(Duration::from_millis(200)).await;
    platform.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.store.set_fault(StoreFault::None);
    tokio::time::sleep(CONTACT_TIME + Duration::from_millis(200)).await;
    platform.store.remove("servers", platform.plain[0].id());
    tokio::time::sleep(DRAIN_LIMIT).await;
    for number in 0..8 {
        let answer = gateway.call(Method::POST, "/order/1", &format!("request-{number}")).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(platform.plain[0].runs().len(), 0);
}
