//! Tests of odd rows that another writer left in the tables that a gateway follows.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use snipespan_fakes::users_platform::store::FakeStore;

use crate::harness::Gateway;
use crate::harness::PLAIN;
use crate::harness::TestPlatform;
use crate::harness::configuration;
use crate::harness::wait_until;

/// Tables that a gateway follows.
const TABLES: [&str; 3] = ["servers", "gateways", "op"];

/// Returns JSON arrays in each other.
fn nested() -> String {
    "[".repeat(20_000) + &"]".repeat(20_000)
}

/// Returns a listing of a plain replica with one field replaced by JSON.
fn listing_with(field: &str, json: &str) -> String {
    let mut listing = json!({
        "service": PLAIN, "address": "127.0.0.1:1", "zone": "graz-a", "version": "v1",
        "slots": 16, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": 1,
    });
    listing[field] = json!("REPLACED");
    listing.to_string().replace("\"REPLACED\"", json)
}

/// An odd row.
enum OddRow {
    /// A row whose value has these bytes.
    Value(Vec<u8>),
    /// JSON that the store's answers contain in place of a row.
    Text(String),
}

fn value(bytes: impl Into<Vec<u8>>) -> OddRow {
    OddRow::Value(bytes.into())
}

fn text(json: impl Into<String>) -> OddRow {
    OddRow::Text(json.into())
}

fn put_in_all_tables(store: &FakeStore, row: &OddRow) {
    for table in TABLES {
        match row {
            OddRow::Value(bytes) => store.put_bytes(table, "odd", bytes),
            OddRow::Text(json) => store.put_row_text(table, "odd", json),
        }
    }
}

/// Fails unless the gateway follows the listings and serves requests.
async fn assert_follows(platform: &TestPlatform, gateway: &Gateway, drained: usize) {
    let (from, to) = (&platform.plain[drained], &platform.plain[1 - drained]);
    platform.set_state(to, "ready");
    platform.set_state(from, "draining");
    let is_draining = |line: &Value| line["backend_server"] == from.id();
    let lines = || gateway.log_lines("backend server changed", Some(("standing", "draining")));
    wait_until("the drained replica is known", || lines().iter().any(is_draining)).await;
    for number in 0..3 {
        let id = format!("request-{drained}-{number}");
        let answer = gateway.call(Method::POST, "/order/1", &id).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.headers["server-stamp"], format!("stamp.{}", to.id()));
    }
}

/// Guards against a gateway that ends, or no longer follows the store, because of one odd row.
#[rstest]
#[case::empty(value(""))]
#[case::invalid_utf_8(value(*b"\xff\xfe{"))]
#[case::nested(value(nested()))]
#[case::nested_known_field(value(listing_with("slots", &nested())))]
#[case::nested_unknown_field(value(listing_with("x", &nested())))]
#[case::nested_row(text(nested()))]
#[case::nested_value(text(format!("{{\"key\":\"odd\",\"value\":{}}}", nested())))]
#[case::value_is_a_large_number(text("{\"key\":\"odd\",\"value\":1e999}"))]
#[case::value_is_not_base64(text("{\"key\":\"odd\",\"value\":\"%\"}"))]
#[case::number_too_large(value(listing_with("seq", "1e999")))]
#[case::slots_too_large(value(listing_with("slots", "4294967296")))]
#[case::largest_slots(value(listing_with("slots", "4294967295")))]
#[case::slots_0(value(listing_with("slots", "0")))]
#[case::largest_born(value(listing_with("born", "18446744073709551615")))]
#[case::field_twice(value(listing_with("slots", "1,\"slots\":2")))]
#[case::port_out_of_range(value(listing_with("address", "\"127.0.0.1:65536\"")))]
#[case::port_0(value(listing_with("address", "\"0.0.0.0:0\"")))]
#[case::unspecified_peer(value("{\"peers\":\"0.0.0.0:0\"}"))]
#[case::peer_port_out_of_range(value("{\"peers\":\"127.0.0.1:65536\"}"))]
#[case::long_text(value(listing_with("zone", &format!("\"{}\"", "z".repeat(60_000)))))]
#[tokio::test]
async fn odd_row_of_another_writer_stops_no_gateway(
    #[case] row: OddRow,
    #[values(true, false)] is_first_read: bool,
) {
    let platform = TestPlatform::start(2).await;
    if is_first_read {
        put_in_all_tables(&platform.store, &row);
    }
    let gateway = platform.gateway("gateway-1").await;
    put_in_all_tables(&platform.store, &row);
    assert_follows(&platform, &gateway, 0).await;
    drop(gateway);
    let gateway = platform.gateway("gateway-1").await;
    assert_follows(&platform, &gateway, 1).await;
    put_in_all_tables(&platform.store, &row);
    platform.store.put("op", "config", &configuration(2));
    gateway.wait_for_log("configuration in force", None).await;
}

/// Guards against a gateway that no longer follows the operator because of a number in a
/// configuration.
#[tokio::test]
async fn number_too_large_in_a_configuration_stops_no_gateway() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let mut odd = configuration(2);
    odd["routes"][3]["timeout_ms"] = json!(1e300);
    odd["routes"][2]["gap_goal_ms"] = json!(1e300);
    platform.store.put("op", "config", &odd);
    tokio::time::sleep(Duration::from_millis(500)).await;
    platform.store.put("op", "config", &configuration(3));
    wait_until("the newest configuration is in force", || {
        let lines = gateway.log_lines("configuration in force", None);
        lines.last().is_some_and(|line| line["to"] == 3)
    })
    .await;
    assert_eq!(gateway.call(Method::POST, "/order/1", "request-1").await.status, 200);
}

/// Guards against requests that a gateway sends to itself because a listing has its address.
#[rstest]
#[case::clients(|gateway: &Gateway| gateway.clients)]
#[case::ready(|gateway: &Gateway| gateway.ready)]
#[case::peers(|gateway: &Gateway| gateway.peers)]
#[tokio::test]
async fn listing_with_the_address_of_a_gateway_fails_no_request(
    #[case] address: fn(&Gateway) -> SocketAddr,
) {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let address = format!("\"{}\"", address(&gateway));
    let mut listing = listing_with("address", &address);
    listing = listing.replace("\"slots\":16", "\"slots\":100000");
    platform.store.put_bytes("servers", "odd", listing.as_bytes());
    gateway.wait_for_log("backend server changed", Some(("backend_server", "odd"))).await;
    for number in 0..6 {
        let id = format!("request-{number}");
        assert_eq!(gateway.call(Method::POST, "/order/1", &id).await.status, 200);
    }
}

/// Guards against a gateway that a client's token counts end.
#[rstest]
#[case::plain("/order/1")]
#[case::stream("/stream/1")]
#[tokio::test]
async fn token_counts_of_a_client_that_are_too_large_stop_no_gateway(#[case] path: &str) {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    for tokens in ["18446744073709551615,1", "18446744073709551615,18446744073709551615"] {
        let fields = [("token-count", tokens), ("deadline-ms", "1000")];
        gateway.call_with(Method::POST, path, "request-1", &fields).await;
    }
    let fields = [("token-count", "1000,100")];
    let answer = gateway.call_with(Method::POST, "/stream/1", "request-2", &fields).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
}
