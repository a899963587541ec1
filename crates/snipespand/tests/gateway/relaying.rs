//! Tests of gateways that follow the store's feeds for each other.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use snipespan_fakes::users_platform::store::StoreFault;

use crate::evacuation;
use crate::harness::Gateway;
use crate::harness::TestPlatform;
use crate::harness::configuration;
use crate::harness::configuration_with_other_key;
use crate::harness::wait_until;
use crate::harness::wait_until_denied;

/// Number of gateways; with nine or more, four of them follow the feeds.
const GATEWAYS: usize = 10;

/// Shortest time in which a deployment requires that a draining backend server gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

fn is_in_mode(gateway: &Gateway, mode: &str) -> bool {
    let lines = gateway.log_lines("following of the store's feeds changed", None);
    lines.last().is_some_and(|line| line["listings"] == mode)
}

/// Starts the gateways and waits until four follow the feeds and the others rely on them.
async fn start_gateways(platform: &TestPlatform) -> Vec<Gateway> {
    let names = (0..GATEWAYS).map(|number| format!("gateway-{number}"));
    let starts = names.map(|name| async move { platform.gateway(&name).await });
    let gateways = futures_util::future::join_all(starts).await;
    wait_until("four gateways follow for the others", || {
        let count = |mode| gateways.iter().filter(|gateway| is_in_mode(gateway, mode)).count();
        count("ForPeers") == 4 && count("Relayed") == GATEWAYS - 4
    })
    .await;
    gateways
}

/// Drains the first plain replica, and returns how many requests it runs that the gateways get
/// after the limit.
async fn runs_after_draining(platform: &TestPlatform, gateways: &[Gateway]) -> usize {
    platform.set_state(&platform.plain[0], "draining");
    tokio::time::sleep(DRAIN_LIMIT).await;
    let before = platform.plain[0].runs().len();
    for (number, gateway) in gateways.iter().enumerate() {
        for call in 0..4 {
            let id = format!("request-{number}-{call}");
            let answer = gateway.call(Method::POST, "/order/1", &id).await;
            assert_eq!(answer.status, 200);
        }
    }
    platform.plain[0].runs().len() - before
}

/// Guards against a withdrawn key that gateways accept for seconds after a short silence of the store,
/// in which the followers' calls are lost.
#[tokio::test]
async fn silent_store_delays_no_relayed_configuration() {
    let platform = TestPlatform::start(2).await;
    let gateways = start_gateways(&platform).await;
    platform.store.put("op", "config", &configuration(2));
    tokio::time::sleep(Duration::from_millis(100)).await;
    platform.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.store.set_fault(StoreFault::None);
    let returned = Instant::now();
    platform.store.put("op", "config", &configuration_with_other_key(3));
    futures_util::future::join_all(gateways.iter().map(wait_until_denied)).await;
    let took = returned.elapsed();
    assert!(took < Duration::from_secs(3), "in force {took:?} after the store's return");
}

/// Guards against a relayed change that a gateway does not apply.
#[tokio::test]
async fn draining_is_relayed_to_all_gateways() {
    let platform = TestPlatform::start(2).await;
    let gateways = start_gateways(&platform).await;
    assert_eq!(runs_after_draining(&platform, &gateways).await, 0);
}

/// Guards against gateways that miss a change because all that follow the feeds for them have
/// stopped or are suspended.
#[rstest]
#[case::killed(Signal::SIGKILL)]
#[case::suspended(Signal::SIGSTOP)]
#[tokio::test]
async fn draining_is_known_in_time_without_the_followers(#[case] signal: Signal) {
    let platform = TestPlatform::start(2).await;
    let gateways = start_gateways(&platform).await;
    let (followers, others): (Vec<_>, Vec<_>) =
        gateways.into_iter().partition(|gateway| is_in_mode(gateway, "ForPeers"));
    followers.iter().for_each(|gateway| gateway.signal(signal));
    assert_eq!(runs_after_draining(&platform, &others).await, 0);
}

/// Guards against calls to the store that grow with the number of gateways while nothing changes.
/// Four followers call two feeds each 0.8 s; without relaying, ten gateways call them each 3.5 s.
#[tokio::test]
async fn gateways_that_rely_on_followers_do_not_call_the_store() {
    let platform = TestPlatform::start(1).await;
    let gateways = start_gateways(&platform).await;
    let (followers, others): (Vec<_>, Vec<_>) =
        gateways.into_iter().partition(|gateway| is_in_mode(gateway, "ForPeers"));
    // Calls that were open when the gateways began to rely on the followers end within 3.5 s.
    tokio::time::sleep(Duration::from_millis(4000)).await;
    let before = platform.store.calls();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = platform.store.calls() - before;
    assert!(calls <= 4 * 2 * 6 + 2, "{calls} calls in 4 s");
    assert!(others.iter().all(|gateway| is_in_mode(gateway, "Relayed")));
    drop(followers);
}

/// Guards against gateways that miss a change because it is relayed beside a listing that is longer
/// than a datagram or cannot be decoded, and against gateways that then no longer rely on others.
#[rstest]
#[case::long_text(json!({ "zone": "z".repeat(40_000) }))]
#[case::longer_than_any_datagram(json!({ "zone": "z".repeat(48_000), "service": "s".repeat(48_000) }))]
#[case::number_too_large(json!({ "slots": 4_294_967_296u64 }))]
#[tokio::test]
async fn draining_is_known_in_time_beside_an_odd_listing(#[case] more: Value) {
    let platform = TestPlatform::start(2).await;
    let gateways = start_gateways(&platform).await;
    let mut odd = platform.plain[1].listing(platform.plain[1].address(), "ready");
    for (name, value) in more.as_object().expect("fields") {
        odd[name] = value.clone();
    }
    platform.store.put("servers", "odd", &odd);
    assert_eq!(runs_after_draining(&platform, &gateways).await, 0);
    wait_until("the others rely on the followers again", || {
        let count = |mode| gateways.iter().filter(|gateway| is_in_mode(gateway, mode)).count();
        count("ForPeers") == 4 && count("Relayed") == GATEWAYS - 4
    })
    .await;
}

/// Guards against gateways that learn of an evacuation only from the store's feed, which most of them
/// do not call. It must be in force within 5 s in the users' first deployment.
#[tokio::test]
async fn evacuation_is_relayed_to_all_gateways() {
    let platform = evacuation::start_platform().await;
    let gateways = start_gateways(&platform).await;
    // Gateways that start call the feeds again for a moment, and calls that are open when they rely
    // on the followers for good end within 3.5 s.
    tokio::time::sleep(Duration::from_secs(8)).await;
    platform.store.put("op", evacuation::KEY, &json!({}));
    tokio::time::sleep(Duration::from_secs(5)).await;
    for (number, gateway) in gateways.iter().enumerate() {
        let name = format!("during-{number}");
        assert_eq!(evacuation::runs_in_graz_b(&platform, gateway, &name).await, 0, "{number}");
    }
    let others = gateways.iter().filter(|gateway| is_in_mode(gateway, "Relayed"));
    let lines = others.flat_map(|gateway| gateway.log_lines(evacuation::LOG_MESSAGE, None));
    let sources: Vec<_> = lines.map(|line| line["source"].clone()).collect();
    assert_eq!(sources, vec!["peer"; GATEWAYS - 4]);
}
