//! Tests of gateways while the operator evacuates a data centre.

use std::time::Duration;

use hyper::Method;
use rstest::rstest;
use serde_json::json;
use snipespan_fakes::users_platform::store::StoreFault;

use crate::harness::Gateway;
use crate::harness::TestPlatform;

pub(crate) const LOG_MESSAGE: &str = "evacuation of a data centre";
pub(crate) const KEY: &str = "evacuate/graz-b";

/// Starts a platform whose second plain replica is in `graz-b`.
pub(crate) async fn start_platform() -> TestPlatform {
    let platform = TestPlatform::start(2).await;
    let replica = &platform.plain[1];
    let mut listing = replica.listing(replica.address(), "ready");
    listing["zone"] = json!("graz-b");
    platform.store.put("servers", replica.id(), &listing);
    platform
}

/// Sends requests one by one; returns how many of them the replica in `graz-b` ran.
pub(crate) async fn runs_in_graz_b(
    platform: &TestPlatform,
    gateway: &Gateway,
    name: &str,
) -> usize {
    let before = platform.plain[1].runs().len();
    // Of two requests at the same time, one goes to the second replica.
    for number in 0..5 {
        let ids = [format!("{name}-{number}-a"), format!("{name}-{number}-b")];
        let calls = ids.iter().map(|id| gateway.call(Method::POST, "/order/1", id));
        for answer in futures_util::future::join_all(calls).await {
            assert_eq!(answer.status, 200);
        }
    }
    platform.plain[1].runs().len() - before
}

/// Guards against an evacuation that never ends because the store dropped the removal of its row
/// from the history of the feed, and against one that is not applied, or not read at the start.
#[rstest]
#[case::row_before_the_start(true)]
#[case::row_after_the_start(false)]
#[tokio::test]
async fn evacuation_ends_though_the_history_of_its_removal_is_gone(#[case] is_before: bool) {
    let platform = start_platform().await;
    if is_before {
        platform.store.put("op", KEY, &json!({}));
    }
    let settings = "feed_wait = 300ms\n";
    let gateway = platform.gateway_at("gateway-1", platform.store.address(), settings).await;
    if !is_before {
        assert!(runs_in_graz_b(&platform, &gateway, "before").await > 0);
        platform.store.put("op", KEY, &json!({}));
    }
    gateway.wait_for_log(LOG_MESSAGE, Some(("step", "began"))).await;
    assert_eq!(runs_in_graz_b(&platform, &gateway, "during").await, 0);

    platform.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(500)).await;
    platform.store.remove("op", KEY);
    platform.store.forget_history();
    platform.store.set_fault(StoreFault::None);
    let line = gateway.wait_for_log(LOG_MESSAGE, Some(("step", "ended"))).await;
    assert_eq!(line["source"], "read");
    assert!(runs_in_graz_b(&platform, &gateway, "after").await > 0);
}

/// Guards against a gateway that starts while the store is down, gets its configuration from a peer
/// and knows nothing of the evacuation.
#[tokio::test]
async fn evacuation_is_learnt_from_a_peer_while_the_store_is_down() {
    let platform = start_platform().await;
    let first = platform.gateway("gateway-1").await;
    platform.store.put("op", KEY, &json!({}));
    first.wait_for_log(LOG_MESSAGE, Some(("step", "began"))).await;
    platform.store.set_fault(StoreFault::Busy);
    let seeds = format!("seeds = {}\n", first.peers);
    let second = platform.start_gateway("gateway-2", platform.store.address(), &seeds);
    second.wait_for_log("configuration in force", None).await;
    let line = second.wait_for_log(LOG_MESSAGE, Some(("step", "began"))).await;
    assert_eq!(line["source"], "peer");
}
