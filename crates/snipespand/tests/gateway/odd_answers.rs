//! Tests of backend servers that answer with refusals or errors where none is expected.

use hyper::Method;
use rstest::rstest;
use serde_json::json;
use snipespan_fakes::users_platform::replica::stream_event;
use snipespan_platform_adapter::connection::Connection;

use crate::harness::Answer;
use crate::harness::ENGINE;
use crate::harness::Gateway;
use crate::harness::PLAIN;
use crate::harness::TestPlatform;
use crate::harness::WAIT_TIMEOUT;
use crate::harness::configuration;
use crate::harness::read_answer;
use crate::harness::request;
use crate::scripted::Script;
use crate::scripted::ScriptedServer;

/// Start of the head of a valid stream without a length.
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-type: text/event-stream\r\n\r\n";

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

/// Guards against a second copy of an answer that the next request of the same client gets.
#[tokio::test]
async fn second_copy_of_an_answer_reaches_no_other_request() {
    let second = ANSWER.replace("ok", "no");
    let scripts = vec![Script::Close(ANSWER.repeat(2)), Script::Close(second)];
    let platform = TestPlatform::start(0).await;
    let server = ScriptedServer::start(scripts).await;
    platform.store.put("servers", "scripted", &server.listing(PLAIN));
    let gateway = platform.gateway("gateway-1").await;
    let mut client = Connection::open(gateway.clients, WAIT_TIMEOUT).await.expect("it connects");
    for body in ["ok", "no"] {
        let response = client.send(request(Method::POST, "/order/1", body, &[])).await;
        assert_eq!(read_answer(response.expect("an answer")).await.body, body);
    }
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

/// Guards against a success, framed as whole, that a gateway makes of an answer whose server stopped
/// in the middle of the head, at any byte.
#[rstest]
#[case::length(
    "/order/1",
    PLAIN,
    "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\n"
)]
#[case::chunked(
    "/order/1",
    PLAIN,
    "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n"
)]
#[case::no_length(
    "/order/1",
    PLAIN,
    "HTTP/1.1 200 OK\r\nserver-stamp: s\r\nconnection: close\r\n\r"
)]
#[case::line_feeds("/order/1", PLAIN, "HTTP/1.1 200 OK\nserver-stamp: s\nconnection: close\n")]
#[case::old_version("/order/1", PLAIN, "HTTP/1.0 200 OK\r\nserver-stamp: s\r\n\r")]
#[case::after_an_interim(
    "/order/1",
    PLAIN,
    "HTTP/1.1 103 X\r\nserver-stamp: s\r\n\r\nHTTP/1.1 200 OK\r\nserver-stamp: s\r\n"
)]
#[case::stream(
    "/stream/1",
    ENGINE,
    "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-type: text/event-stream\r\n\r\n"
)]
#[case::chunked_stream(
    "/stream/1",
    ENGINE,
    "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
)]
#[tokio::test]
async fn head_that_stops_midway_is_no_answer(
    #[case] path: &str,
    #[case] service: &str,
    #[case] head: &str,
) {
    let platform = TestPlatform::start(0).await;
    let server = ScriptedServer::start(vec![Script::Cut(head.to_owned())]).await;
    // One listing for each request, so that no failure suspends the server for the next one.
    for number in 0..head.len() {
        platform.store.put("servers", &format!("s-{number}"), &server.listing(service));
    }
    let gateway = platform.gateway("gateway-1").await;
    let cuts = (0..=head.len()).map(|at| {
        let gateway = &gateway;
        async move { (at, gateway.call(Method::POST, path, &format!("cut-{at}")).await) }
    });
    for (at, answer) in futures_util::future::join_all(cuts).await {
        assert!(answer.status >= 400, "{} after {:?}", answer.status, &head[..at]);
    }
    assert!(server.connections() > head.len(), "{} sends", server.connections());
}

/// Guards against bytes that are no answer and reach the client as one, or count as the end of their
/// server, which goes on.
#[rstest]
#[case::text("the server is in trouble\r\n\r\n")]
#[case::status_0("HTTP/1.1 000 X\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok")]
#[case::status_99("HTTP/1.1 099 X\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok")]
#[case::status_600("HTTP/1.1 600 X\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok")]
#[case::status_999("HTTP/1.1 999 X\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok")]
#[case::status_without_number("HTTP/1.1 OK\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok")]
#[case::status_1000("HTTP/1.1 1000 X\r\nserver-stamp: s\r\ncontent-length: 2\r\n\r\nok")]
#[tokio::test]
async fn bytes_that_are_no_answer_are_corrupt(
    #[values("/order/1", "/stream/1")] path: &str,
    #[case] script: &str,
) {
    let service = if path == "/stream/1" { ENGINE } else { PLAIN };
    let platform = TestPlatform::start(0).await;
    let server = ScriptedServer::start(vec![Script::Close(script.to_owned())]).await;
    platform.store.put("servers", "scripted", &server.listing(service));
    let gateway = platform.gateway("gateway-1").await;
    let prompt = [("prompt-prefix", "a1:600,b2:400,c3:400")];
    let answer = gateway.call_with(Method::POST, path, "request-1", &prompt).await;
    assert_eq!((answer.status, answer.body.contains("answer_corrupt")), (502, true), "{answer:?}");
    let failed = gateway.wait_for_log("attempt failed", None).await;
    assert_eq!((&failed["reason"], &failed["evidence"]), (&json!("Corrupt"), &json!("no crash")));
}

/// Returns an answer that is neither the rest of a stream nor a refusal.
fn error(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nserver-stamp: s\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Returns the events from one to another, both included.
fn events(from: u64, to: u64) -> String {
    (from..=to).map(stream_event).collect()
}

/// Calls for a stream whose first server breaks it off after two of six events; the other three
/// servers play the scripts in order.
async fn call_broken_stream(scripts: Vec<Script>) -> (Answer, usize) {
    let platform = TestPlatform::start(1).await;
    let mut serving = configuration(2);
    serving["routes"][0]["max_attempts"] = json!(4);
    platform.store.put("op", "config", &serving);
    let broken = Script::Reset(format!("{STREAM_HEAD}{}", events(1, 2)));
    let server = ScriptedServer::start([vec![broken], scripts].concat()).await;
    for number in 0..4 {
        platform.store.put("servers", &format!("s-{number}"), &server.listing(ENGINE));
    }
    platform.store.remove("servers", platform.engines[0].id());
    let gateway = platform.gateway("gateway-1").await;
    let answer = gateway.call(Method::POST, "/stream/1", "request-1").await;
    (answer, server.connections())
}

/// Guards against an error of a later server that ends up in a stream, or ends it as if it were
/// complete; the server after that continues the stream.
#[rstest]
#[case::not_found(&error(404, "gone\n\n"))]
#[case::own_failure(&error(500, "broken\n\n"))]
#[case::unsigned_failure("HTTP/1.1 502 X\r\n\r\nbroken\n\n")]
#[case::refusal("HTTP/1.1 503 X\r\nnot-executed: 1\r\n\r\nbusy\n\n")]
#[case::head_that_stops_midway("HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-type: text/ev")]
#[case::head_without_its_end(STREAM_HEAD.trim_end())]
#[case::no_content("HTTP/1.1 204 X\r\nserver-stamp: s\r\n\r\n")]
#[case::not_modified("HTTP/1.1 304 X\r\nserver-stamp: s\r\n\r\n")]
#[case::partial_content(&error(206, &events(3, 4)))]
#[case::switching_protocols("HTTP/1.1 101 X\r\nserver-stamp: s\r\nupgrade: x\r\n\r\n")]
#[case::other_type(
    "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-type: application/json\r\n\r\n{\"id\":3}\n\n"
)]
#[case::unsigned_stream(&format!("HTTP/1.1 200 OK\r\n\r\n{}", events(3, 6)))]
#[case::head_as_text(&format!("{STREAM_HEAD}HTTP/1.1 503 X\r\nRetry-After: 1\r\n\r\nbusy\r\n\r\n"))]
#[case::error_text(&format!("{STREAM_HEAD}the server is overloaded\n\n"))]
#[case::error_object(&format!("{STREAM_HEAD}{{\"error\": \"overloaded\"}}\n\n"))]
#[case::goes_back(&format!("{STREAM_HEAD}{}", events(1, 1)))]
#[case::leaves_out(&format!("{STREAM_HEAD}{}", events(4, 6)))]
#[tokio::test]
async fn error_after_a_broken_stream_stays_out_of_it(#[case] script: &str) {
    let rest = Script::Close(format!("{STREAM_HEAD}{}", events(3, 6)));
    let (answer, connections) =
        call_broken_stream(vec![Script::Close(script.to_owned()), rest]).await;
    assert_eq!(answer.body, events(1, 6));
    assert!(answer.is_complete);
    assert_eq!(connections, 3);
}

/// Guards against a stream that looks complete although its connection was reset after a complete
/// event.
#[tokio::test]
async fn reset_after_a_complete_event_is_no_end_of_a_stream() {
    let scripts = vec![
        Script::Reset(format!("{STREAM_HEAD}{}", events(3, 3))),
        Script::Close(format!("{STREAM_HEAD}{}", events(4, 6))),
    ];
    let (answer, connections) = call_broken_stream(scripts).await;
    assert_eq!((answer.body, answer.is_complete, connections), (events(1, 6), true, 3));
}

/// Guards against a broken stream that looks complete because all other servers answer with errors.
#[rstest]
#[case::not_found(&error(404, "gone\n\n"))]
#[case::own_failure(&error(500, "broken\n\n"))]
#[case::no_content("HTTP/1.1 204 X\r\nserver-stamp: s\r\n\r\n")]
#[case::head_as_text(&format!("{STREAM_HEAD}HTTP/1.1 503 X\r\nRetry-After: 1\r\n\r\nbusy\r\n\r\n"))]
#[case::goes_back(&format!("{STREAM_HEAD}{}", events(1, 1)))]
#[tokio::test]
async fn broken_stream_before_errors_only_does_not_look_whole(#[case] script: &str) {
    let (answer, connections) = call_broken_stream(vec![Script::Close(script.to_owned())]).await;
    assert_eq!(answer.body, events(1, 2));
    assert!(!answer.is_complete);
    assert_eq!(connections, 4);
}
