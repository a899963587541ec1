use std::time::Duration;

use hyper::Method;
use rstest::rstest;
use serde_json::json;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::fault_proxy::FaultProxy;
use snipespan_fakes::users_platform::store::StoreFault;

use crate::harness::Site;

#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::silent(StoreFault::Silent)]
#[case::slow(StoreFault::Slow(Duration::from_millis(300)))]
#[tokio::test]
async fn gateway_serves_while_the_store_is_away(#[case] fault: StoreFault) {
    let site = Site::start(1).await;
    let gateway = site.gateway("gateway-1").await;
    site.store.set_fault(fault);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, 200);
    assert!(gateway.is_ready().await);
}

#[tokio::test]
async fn gateway_is_not_ready_before_it_has_a_configuration() {
    let site = Site::start(1).await;
    site.store.set_fault(StoreFault::Busy);
    let gateway = site.start_gateway("gateway-1", site.store.address(), "");
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(!gateway.is_ready().await);
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, 503);
    site.store.set_fault(StoreFault::None);
    gateway.until_ready(true).await;
}

#[tokio::test]
async fn silent_connection_to_the_store_is_replaced() {
    let site = Site::start(1).await;
    let proxy = FaultProxy::start(site.store.address()).await.expect("a proxy");
    let gateway = site.gateway_at("gateway-1", proxy.address(), "feed_wait = 500ms\n").await;
    proxy.set_fault(Fault::Freeze);
    gateway.until_logged("store lost", None).await;
    proxy.set_fault(Fault::None);
    site.store.put(
        "servers",
        "orders-0",
        &site.plain[0].listing(site.plain[0].address(), "draining"),
    );
    gateway.until_logged("backend server changed", Some(("standing", "draining"))).await;
}

#[tokio::test]
async fn forgotten_history_is_read_anew() {
    let site = Site::start(1).await;
    let gateway = site.gateway_at("gateway-1", site.store.address(), "feed_wait = 300ms\n").await;
    site.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.set_state(&site.plain[0], "draining");
    site.store.forget_history();
    site.store.set_fault(StoreFault::None);
    gateway.until_logged("backend server changed", Some(("standing", "draining"))).await;
}

#[rstest]
#[case::not_json(b"\xff\xfe{".as_slice())]
#[case::missing_fields(b"{\"service\":\"orders\"}".as_slice())]
#[case::other_types(br#"{"service":7,"address":"x","zone":1}"#.as_slice())]
#[tokio::test]
async fn entry_of_another_writer_names_no_replica(#[case] bytes: &[u8]) {
    let site = Site::start(1).await;
    site.store.put_bytes("servers", "stranger", bytes);
    let gateway = site.gateway("gateway-1").await;
    for number in 0..3 {
        let answer = gateway.call(Method::POST, "/order/1", &format!("request-{number}")).await;
        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn entry_of_unknown_state_names_no_replica() {
    let site = Site::start(1).await;
    let mut entry = site.plain[0].listing(site.plain[0].address(), "sleeping");
    entry["slots"] = json!(100);
    site.store.put("servers", "stranger", &entry);
    let gateway = site.gateway("gateway-1").await;
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.headers["server-stamp"], "stamp.orders-0");
}

#[tokio::test]
async fn idle_gateway_makes_few_calls() {
    let site = Site::start(2).await;
    let gateway = site.gateway("gateway-1").await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let before = site.store.calls();
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(site.store.calls() - before <= 3, "one wait a table at most");
    drop(gateway);
}
