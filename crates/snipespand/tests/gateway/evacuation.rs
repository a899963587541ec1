//! Tests of gateways while the operator evacuates a data centre.

use std::time::Duration;

use hyper::Method;
use rstest::rstest;
use serde_json::json;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::store::StoreFault;

use crate::harness::Gateway;
use crate::harness::TestPlatform;
use crate::harness::wait_until;

const LOG_MESSAGE: &str = "evacuation of a data centre";
const KEY: &str = "evacuate/graz-b";

/// Time from the store's acknowledgement until an evacuation must be in force, that of the users'
/// first deployment.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// Starts a platform whose second plain replica is in `graz-b`.
async fn start_platform() -> TestPlatform {
    let platform = TestPlatform::start(2).await;
    list_in(&platform, &platform.plain[1], "graz-b");
    platform
}

fn list_in(platform: &TestPlatform, replica: &FakeReplica, data_centre: &str) {
    let mut listing = replica.listing(replica.address(), "ready");
    listing["zone"] = json!(data_centre);
    platform.store.put("servers", replica.id(), &listing);
}

/// Sends requests one by one; returns how many of them the replica in `graz-b` ran.
async fn runs_in_graz_b(platform: &TestPlatform, gateway: &Gateway, name: &str) -> usize {
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

/// Guards against gateways that learn of an evacuation only from the store's feed, which most of them
/// do not call.
#[tokio::test]
async fn evacuation_reaches_gateways_that_do_not_call_the_store() {
    let platform = start_platform().await;
    let names = (0..10).map(|number| format!("gateway-{number}"));
    let starts = names.map(|name| {
        let platform = &platform;
        async move { platform.gateway(&name).await }
    });
    let gateways = futures_util::future::join_all(starts).await;
    let mode = |gateway: &Gateway, mode: &str| {
        let lines = gateway.log_lines("following of the store's feeds changed", None);
        lines.last().is_some_and(|line| line["operator"] == mode)
    };
    wait_until("six gateways rely on others", || {
        gateways.iter().filter(|gateway| mode(gateway, "Relayed")).count() == 6
    })
    .await;
    // Gateways that start call the feeds again for a moment; calls that are open when they rely on the
    // followers for good end within 3.5 s.
    tokio::time::sleep(Duration::from_secs(8)).await;
    platform.store.put("op", KEY, &json!({}));
    tokio::time::sleep(EVACUATION_LIMIT).await;
    for (number, gateway) in gateways.iter().enumerate() {
        let name = format!("during-{number}");
        assert_eq!(runs_in_graz_b(&platform, gateway, &name).await, 0, "gateway {number}");
    }
    let relayed: Vec<_> = gateways.iter().filter(|gateway| mode(gateway, "Relayed")).collect();
    assert_eq!(relayed.len(), 6, "the evacuation makes no gateway call the store");
    for gateway in relayed {
        let line = gateway.wait_for_log(LOG_MESSAGE, Some(("step", "began"))).await;
        assert_eq!(line["source"], "peer");
    }
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

/// Guards against requests that wait for a data centre that nobody knows the return of, and against a
/// refusal that does not say why.
#[tokio::test]
async fn evacuation_of_all_data_centres_refuses_at_once() {
    let platform = start_platform().await;
    let gateway = platform.gateway("gateway-1").await;
    for name in ["graz-a", "graz-b"] {
        platform.store.put("op", &format!("evacuate/{name}"), &json!({}));
    }
    wait_until("both evacuations are known", || {
        gateway.log_lines(LOG_MESSAGE, Some(("step", "began"))).len() == 2
    })
    .await;
    let began = std::time::Instant::now();
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert!(began.elapsed() < Duration::from_millis(500), "after {:?}", began.elapsed());
    assert_eq!(answer.status, 503);
    assert_eq!(answer.headers["retry-after"], "1.00");
    let line = gateway.wait_for_log("unservable", Some(("request", "request-1"))).await;
    assert_eq!(line["reason"], "evacuated");
    assert_eq!(platform.plain_runs(), 0);
}
