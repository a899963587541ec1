//! Tests of the log lines and metrics of a gateway.

use std::time::Duration;
use std::time::Instant;

use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_platform_adapter::connection::AnswerLimits;
use snipespan_platform_adapter::connection::Connection;

use crate::harness::Gateway;
use crate::harness::TestPlatform;

/// Returns the metrics of a gateway as text.
pub(crate) async fn metrics(gateway: &Gateway) -> String {
    let limit = Duration::from_secs(2);
    let mut connection = Connection::open(gateway.peers, limit).await.expect("it connects");
    let req =
        Request::get("/metrics").header("host", "x").body(Full::default()).expect("a request");
    let answer = connection.call(req, AnswerLimits::new(limit)).await.expect("metrics");
    String::from_utf8(answer.body.to_vec()).expect("text")
}

/// Guards against log lines of a failed request that lack its id, or the account, configuration,
/// backend server and reason that explain the failure.
#[tokio::test]
async fn failed_request_can_be_followed_by_its_id() {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.plain.iter().for_each(|replica| replica.set_fault(ReplicaFault::Errors));
    gateway.call(Method::POST, "/order/1", "request-1").await;
    let request = Some(("request", "request-1"));
    let ended = gateway.wait_for_log("ended", request).await;
    assert_eq!(ended["code"], "backend_failed");
    assert_eq!(ended["account"], "account-1");
    let placed = gateway.wait_for_log("placed", request).await;
    assert_eq!(placed["configuration"], 1);
    let failed = gateway.wait_for_log("attempt failed", request).await;
    assert_eq!(failed["backend_server"], placed["backend_server"]);
    assert_eq!(failed["reason"], "ServerError");
}

/// Guards against a start of which the log does not show the store, the configuration and the
/// listed backend servers, here one engine and one replica of the plain service.
#[tokio::test]
async fn start_dependencies_and_view_changes_are_logged() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    for message in ["gateway started", "store regained", "configuration in force"] {
        gateway.wait_for_log(message, None).await;
    }
    let listed = gateway.log_lines("backend server changed", Some(("standing", "ready")));
    assert_eq!(listed.len(), 2);
}

/// Guards against requests that the counters or the latency histograms miss.
#[tokio::test]
async fn metrics_count_requests_and_latencies() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    gateway.call(Method::POST, "/order/1", "request-1").await;
    gateway.call(Method::POST, "/stream/1", "request-2").await;
    gateway.wait_for_log("ended", Some(("request", "request-2"))).await;
    let began = Instant::now();
    let mut text = metrics(&gateway).await;
    while !text.contains("snipespan_events_total{kind=\"requests_whole\"} 2") {
        assert!(began.elapsed() < Duration::from_secs(5), "{text}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        text = metrics(&gateway).await;
    }
    assert!(text.contains("snipespan_first_byte_seconds_count{kind=\"streaming\"} 1"), "{text}");
    assert!(text.contains("snipespan_request_seconds_count{kind=\"ok\"} 2"), "{text}");
}

/// Guards against bytes that the counters miss, or count for another place: all backend servers of
/// this platform are in the gateway's data centre.
#[tokio::test]
async fn metrics_count_bytes_by_kind_and_place() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let other = platform.gateway("gateway-2").await;
    gateway.call(Method::POST, "/order/1", "request-1").await;
    other.wait_for_log("peer regained", None).await;
    tokio::time::sleep(Duration::from_millis(1200)).await;
    let text = metrics(&gateway).await;
    for (kind, place) in [
        ("backend_requests", "same"),
        ("backend_answers", "same"),
        ("store_requests", "unknown"),
        ("store_answers", "unknown"),
        ("work_changes", "unknown"),
        ("snapshots", "unknown"),
    ] {
        let name = format!("snipespan_bytes_total{{kind=\"{kind}\",place=\"{place}\"}}");
        let line = text.lines().find_map(|line| line.strip_prefix(&name));
        let bytes: u64 = line.and_then(|line| line.trim().parse().ok()).expect("a count of bytes");
        assert!(bytes > 50, "{bytes} bytes of {kind}");
    }
    assert!(!text.contains("place=\"other\""), "no traffic left the data centre");
}
