//! Tests of backend servers that answer with refusals or errors where none is expected.

use hyper::Method;
use rstest::rstest;
use serde_json::json;

use crate::harness::Gateway;
use crate::harness::PLAIN;
use crate::harness::TestPlatform;
use crate::scripted::Script;
use crate::scripted::ScriptedServer;

/// A complete answer of a plain service.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok";

/// Starts a gateway before a fake plain replica and a scripted server that is preferred to it.
async fn start_plain(script: &str) -> (TestPlatform, Gateway, ScriptedServer) {
    let platform = TestPlatform::start(1).await;
    let server = ScriptedServer::start(vec![Script::Close(script.to_owned())]).await;
    platform.store.put("servers", "scripted", &server.listing(PLAIN));
    // A server of another data centre is used after those of the own one.
    let mut listing = platform.plain[0].listing(platform.plain[0].address(), "ready");
    listing["zone"] = json!("graz-b");
    platform.store.put("servers", platform.plain[0].id(), &listing);
    let gateway = platform.gateway("gateway-1").await;
    (platform, gateway, server)
}

/// Guards against a request that is run at a second server, or refused as not run, because of a
/// refusal that is not the answer to it or that its own answer contradicts.
#[rstest]
#[case::of_another_request("HTTP/1.1 503 X\r\nnot-executed: 1\r\nattempt-id: x\r\n\r\n", 502)]
#[case::misdirected_of_another_request("HTTP/1.1 421 X\r\nattempt-id: x\r\n\r\n", 502)]
#[case::success("HTTP/1.1 200 OK\r\nnot-executed: 1\r\nserver-stamp: s\r\n\r\nok", 502)]
#[case::own_failure("HTTP/1.1 500 X\r\nnot-executed: 1\r\nserver-stamp: s\r\n\r\nno", 502)]
#[case::own_timeout("HTTP/1.1 504 X\r\nnot-executed: 1\r\nserver-stamp: s\r\n\r\nno", 502)]
#[case::unsigned_503("HTTP/1.1 503 X\r\nretry-after: 1\r\n\r\n", 502)]
#[case::interim(&format!("HTTP/1.1 103 X\r\nnot-executed: 1\r\n\r\n{ANSWER}"), 200)]
#[case::after_the_answer(&format!("{ANSWER}HTTP/1.1 503 X\r\nnot-executed: 1\r\n\r\n"), 200)]
#[tokio::test]
async fn refusal_that_is_no_answer_repeats_no_request(#[case] script: &str, #[case] status: u16) {
    let (platform, gateway, server) = start_plain(script).await;
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, status);
    assert_eq!((server.connections(), platform.plain_runs()), (1, 0));
}

/// Guards against a refusal that is not believed, so that its request fails: a refusal need not
/// echo the id, and bytes after it are not read.
#[rstest]
#[case::busy("HTTP/1.1 503 X\r\nnot-executed: 1\r\n\r\n")]
#[case::busy_before_an_answer(&format!(
    "HTTP/1.1 503 X\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n{ANSWER}"
))]
#[case::misdirected("HTTP/1.1 421 X\r\ninstance-id: i\r\n\r\n")]
#[case::too_many("HTTP/1.1 429 X\r\nnot-executed: 1\r\n\r\n")]
#[tokio::test]
async fn refused_request_runs_once_elsewhere(#[case] script: &str) {
    let (platform, gateway, server) = start_plain(script).await;
    let answer = gateway.call(Method::POST, "/order/1", "request-1").await;
    assert_eq!(answer.status, 200);
    assert_eq!((server.connections(), platform.plain_runs()), (1, 1));
}
