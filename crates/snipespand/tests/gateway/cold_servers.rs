//! Tests of a gateway process before a cold backend server.

use std::time::Duration;

use hyper::Method;
use rstest::rstest;
use serde_json::json;

use crate::harness::PLAIN;
use crate::harness::TestPlatform;
use crate::harness::configuration;
use crate::scripted::Script;
use crate::scripted::ScriptedServer;

/// Guards against a gateway process that does not apply what a backend server says of its cold time,
/// in its listing or in an answer.
#[rstest]
#[case::listing(60_000, "")]
#[case::answer(0, "cold-ms: 60000\r\n")]
#[tokio::test]
async fn cold_server_is_held_to_its_rate(#[case] cold_left_ms: u64, #[case] field: &str) {
    let platform = TestPlatform::start(0).await;
    let mut changed = configuration(2);
    changed["services"][1]["cold_per_s"] = json!(4);
    platform.store.put("op", "config", &changed);
    let answer =
        format!("HTTP/1.1 200 OK\r\nserver-stamp: s\r\n{field}content-length: 2\r\n\r\nok");
    let server = ScriptedServer::start(vec![Script::Close(answer)]).await;
    let mut listing = server.listing(PLAIN);
    listing["cold_left_ms"] = json!(cold_left_ms);
    platform.store.put("servers", "cold", &listing);
    let settings = "cold_excess = 1.5\ncold_slack = 5\n";
    let gateway = platform.gateway_at("gateway-1", platform.store.address(), settings).await;
    // The first seconds of a gateway have no share, so that a restart does not use one twice.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(gateway.call(Method::GET, "/look/1", "request-1").await.status, 200);
    gateway.wait_for_log("backend server cold", Some(("apportionment", "owner"))).await;
    let before = server.connections();
    let mut refused = 0;
    for number in 0..8 {
        let path = "/brief/1";
        let answer = gateway.call(Method::POST, path, &format!("request-2-{number}")).await;
        refused += usize::from(answer.status == 503);
    }
    let sent = server.connections() - before;
    assert!((1..8).contains(&sent) && refused == 8 - sent, "{sent} sent, {refused} refused");
    assert!(!gateway.log_lines("only cold backend servers left", None).is_empty());
}
