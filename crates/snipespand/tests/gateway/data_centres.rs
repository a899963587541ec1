//! Tests of gateways in two data centres, between which traffic has a cost.

use std::time::Duration;

use hyper::Method;

use crate::harness::Gateway;
use crate::harness::TestPlatform;
use crate::observing::metrics;

/// Returns the bytes that a gateway sent to peers in a place, by its metrics.
async fn bytes_to_peers(gateway: &Gateway, place: &str) -> u64 {
    let text = metrics(gateway).await;
    let is_to_peers = |line: &&str| {
        let kinds = ["work_changes", "snapshots"];
        line.contains(&format!("place=\"{place}\"")) && kinds.iter().any(|kind| line.contains(kind))
    };
    let lines = text.lines().filter(|line| line.starts_with("snipespan_bytes_total"));
    let counts = lines.filter(is_to_peers).filter_map(|line| line.rsplit(' ').next());
    counts.filter_map(|count| count.parse::<u64>().ok()).sum()
}

/// Guards against routes of messages that the datagrams lose: the gateway alone in its data centre
/// relays to the three of another one, and they pass its messages on.
#[tokio::test]
async fn reports_are_relayed_to_another_data_centre() {
    let platform = TestPlatform::start(1).await;
    let store = platform.store.address();
    let gateway = platform.gateway_at("gateway-1", store, "remote_mb_cost = 1.7\n").await;
    let text = std::fs::read_to_string(&gateway.config).expect("settings");
    let start_there = |number: usize| {
        let name = format!("gateway-{number}");
        let config = gateway.config.with_file_name(format!("{name}.ini"));
        let text = text.replace("graz-a", "graz-b").replace("gateway-1", &name);
        std::fs::write(&config, text).expect("the settings are written");
        Gateway::start(config)
    };
    let there: Vec<_> = (2..5).map(start_there).collect();
    for other in &there {
        other.wait_until_ready(true).await;
    }
    let change = "relaying of messages to a data centre changed";
    let line = gateway.wait_for_log(change, Some(("data_centre", "graz-b"))).await;
    assert_eq!(line["is_relayed"], true);
    for number in 0..5 {
        gateway.call(Method::POST, "/order/1", &format!("request-{number}")).await;
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert!(bytes_to_peers(&gateway, "other").await > 0);
    assert_eq!(bytes_to_peers(&gateway, "same").await, 0);
    let placed = there[0].call(Method::POST, "/order/1", "request-5").await;
    assert_eq!(placed.status, 200);
    let line = there[0].wait_for_log("placed", Some(("request", "request-5"))).await;
    assert_eq!(line["left_data_centre"], "none here");
}
