//! Tests of configurations that take long to read.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::fault_proxy::FaultProxy;

use crate::harness::TestPlatform;
use crate::harness::configuration_with_routes;
use crate::harness::wait_until_denied;

/// Number of further routes; with them a configuration has 0.8 MB in an answer of the store.
const ROUTES: usize = 2500;

/// Bytes a second of the narrowest link of a gateway in the users' deployments, 20 Mbit/s.
const NARROW: u32 = 2_500_000;

/// Time in which a change must be in force on the deployments with such links.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);

/// Guards against a gateway that lags ever more, as it reads each version of a configuration that
/// changes faster than its link carries it.
#[tokio::test]
async fn large_configuration_is_in_force_in_time_after_changes_in_series() {
    let platform = TestPlatform::start(1).await;
    let proxy = FaultProxy::start(platform.store.address()).await.expect("a proxy");
    proxy.set_fault(Fault::Narrow(NARROW));
    let gateway = platform.gateway_at("gateway-1", proxy.address(), "").await;
    for version in 2..22 {
        let configuration = configuration_with_routes(version, ROUTES);
        platform.store.put("op", "config", &configuration);
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let mut last = configuration_with_routes(22, ROUTES);
    last["tenants"][0]["api_keys"] = json!(["key-2"]);
    let written = Instant::now();
    platform.store.put("op", "config", &last);
    wait_until_denied(&gateway).await;
    let took = written.elapsed();
    assert!(took < CHANGE_LIMIT, "in force after {took:?}");
}

/// Guards against an evacuation that waits behind a long configuration in the same table.
#[tokio::test]
async fn large_configuration_does_not_hold_up_an_evacuation() {
    let platform = TestPlatform::start(1).await;
    let proxy = FaultProxy::start(platform.store.address()).await.expect("a proxy");
    let gateway = platform.gateway_at("gateway-1", proxy.address(), "").await;
    // Over this link the configuration takes 4 s.
    proxy.set_fault(Fault::Narrow(NARROW / 12));
    platform.store.put("op", "config", &configuration_with_routes(2, ROUTES));
    platform.store.put("op", "evacuate/graz-b", &json!({}));
    let written = Instant::now();
    gateway.wait_for_log("evacuation of a data centre", None).await;
    let took = written.elapsed();
    assert!(took < CHANGE_LIMIT, "known after {took:?}");
}

/// Guards against configurations that fill the links between gateways: 0.6 MB of JSON.
#[tokio::test]
async fn large_configuration_is_fetched_compressed() {
    let platform = TestPlatform::start(1).await;
    let proxy = FaultProxy::start(platform.store.address()).await.expect("a proxy");
    let first = platform.gateway("gateway-1").await;
    let second = platform.gateway_at("gateway-2", proxy.address(), "").await;
    second.wait_for_log("peer regained", Some(("peer", "gateway-1"))).await;
    proxy.set_fault(Fault::Freeze);
    let mut changed = configuration_with_routes(7, ROUTES);
    changed["tenants"][0]["api_keys"] = json!(["key-2"]);
    platform.store.put("op", "config", &changed);
    wait_until_denied(&first).await;
    wait_until_denied(&second).await;
    let line = second.wait_for_log("configuration of a peer fetched", None).await;
    assert!(line["bytes"].as_u64().is_some_and(|bytes| bytes < 100_000), "{line}");
}
