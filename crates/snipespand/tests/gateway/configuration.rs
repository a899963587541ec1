//! Tests of changes of the serving configuration and of the settings.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use nix::sys::signal::Signal;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::fault_proxy::FaultProxy;

use crate::harness::Gateway;
use crate::harness::TestPlatform;
use crate::harness::configuration;
use crate::harness::configuration_with_other_key;
use crate::harness::wait_until_denied;

/// Guards against a changed configuration in the store that is applied too late.
#[tokio::test]
async fn change_is_in_force_within_two_seconds() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let began = Instant::now();
    platform.store.put("op", "config", &configuration_with_other_key(4));
    wait_until_denied(&gateway).await;
    assert!(began.elapsed() < Duration::from_secs(2));
}

/// Guards against a gateway that returns to an older configuration when the store offers one after
/// a newer one.
#[tokio::test]
async fn older_version_never_comes_back() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.store.put("op", "config", &configuration_with_other_key(9));
    wait_until_denied(&gateway).await;
    platform.store.put("op", "config", &configuration(3));
    gateway.wait_for_log("older configuration ignored", None).await;
    assert_eq!(gateway.call(Method::GET, "/look/1", "request-1").await.status, 401);
}

/// Guards against a gateway that misses a change of the configuration because its connections to
/// the store are frozen, although a peer has the change.
#[tokio::test]
async fn gateway_without_the_store_takes_the_configuration_of_a_peer() {
    let platform = TestPlatform::start(1).await;
    let proxy = FaultProxy::start(platform.store.address()).await.expect("a proxy");
    let first = platform.gateway("gateway-1").await;
    let second = platform.gateway_at("gateway-2", proxy.address(), "").await;
    second.wait_for_log("peer regained", Some(("peer", "gateway-1"))).await;
    proxy.set_fault(Fault::Freeze);
    platform.store.put("op", "config", &configuration_with_other_key(7));
    wait_until_denied(&first).await;
    wait_until_denied(&second).await;
}

/// Guards against settings that SIGHUP does not reload, and against a gateway that stops serving
/// when the reloaded settings file is invalid.
#[tokio::test]
async fn settings_are_read_again_on_a_signal() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let text = std::fs::read_to_string(&gateway.config).expect("the settings");
    std::fs::write(&gateway.config, text.replace("retry_slack = 100", "retry_slack = 50"))
        .expect("the settings are written");
    gateway.signal(Signal::SIGHUP);
    let line = gateway.wait_for_log("settings reloaded", None).await;
    assert_eq!(line["is_changed"], true);
    std::fs::write(&gateway.config, "[process]\nrole = gate").expect("it is written");
    gateway.signal(Signal::SIGHUP);
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(gateway.call(Method::GET, "/look/1", "request-1").await.status, 200);
}

/// Guards against a gateway that cannot start again after its settings have changed to a fraction
/// without a signal.
#[tokio::test]
async fn gateway_starts_again_after_a_limit_became_a_fraction() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let text = std::fs::read_to_string(&gateway.config).expect("the settings");
    let text = text.replace("stop_limit = 8s", "stop_limit = 7.5s");
    std::fs::write(&gateway.config, text).expect("the settings are written");
    gateway.wait_for_log("settings reloaded", None).await;
    gateway.signal(Signal::SIGKILL);
    let again = Gateway::start(gateway.config.clone());
    again.wait_until_ready(true).await;
    assert_eq!(again.call(Method::GET, "/look/1", "request-1").await.status, 200);
}
