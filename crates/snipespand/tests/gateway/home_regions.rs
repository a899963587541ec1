//! Tests of gateways whose configuration binds requests to regions.

use hyper::Method;
use nix::sys::signal::Signal;
use serde_json::json;

use crate::evacuation;
use crate::harness::configuration;

/// Guards against requests that leave their home region, against regions that SIGHUP does not read
/// again, and against a wait for a region that has no data centre.
#[tokio::test]
async fn home_regions_follow_the_settings() {
    let platform = evacuation::start_platform().await;
    let mut serving = configuration(2);
    for route in serving["routes"].as_array_mut().expect("routes") {
        route["home_regions"] = json!(["east", "north"]);
    }
    serving["tenants"][0]["home_regions"] = json!(["east", "south"]);
    platform.store.put("op", "config", &serving);
    let settings = "[data_centres]\ngraz-a = east\ngraz-b = west\n";
    let gateway = platform.gateway_at("gateway-1", platform.store.address(), settings).await;
    gateway.wait_for_log("region of a data centre changed", Some(("region", "west"))).await;
    let requests = async |name: &str| {
        for number in 0..10 {
            let id = format!("{name}-{number}");
            let answer = gateway.call(Method::POST, "/order/1", &id).await;
            assert_eq!(answer.status, 200);
        }
        platform.plain.iter().map(|replica| replica.runs().len()).collect::<Vec<_>>()
    };
    assert_eq!(requests("in-graz-a").await, [10, 0]);

    let change_settings = |from: &str, to: &str| {
        let text = std::fs::read_to_string(&gateway.config).expect("the settings");
        std::fs::write(&gateway.config, text.replace(from, to)).expect("they are written");
        gateway.signal(Signal::SIGHUP);
    };
    change_settings("graz-a = east\ngraz-b = west", "graz-a = north\ngraz-b = east");
    gateway.wait_for_log("region of a data centre changed", Some(("region", "north"))).await;
    assert_eq!(requests("in-graz-b").await, [10, 10]);

    change_settings("graz-b = east", "graz-b = south");
    gateway.wait_for_log("region of a data centre changed", Some(("region", "south"))).await;
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.headers["retry-after"], "1.00");
    let line = gateway.wait_for_log("unservable", Some(("request", "request-1"))).await;
    assert_eq!(line["reason"], "outside home regions");
}
