//! Tests of planned stops of gateways and of draining replicas.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use nix::sys::signal::Signal;
use rstest::rstest;
use snipespan_platform_adapter::connection::Connection;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::harness::API_KEY;
use crate::harness::ENGINE;
use crate::harness::HOST;
use crate::harness::PLAIN;
use crate::harness::TestPlatform;
use crate::harness::WAIT_TIMEOUT;
use crate::harness::read_answer;
use crate::harness::request;
use crate::scripted::Script;
use crate::scripted::ScriptedServer;

/// Bytes of a long answer; more than the kernel buffers for a connection, and less than the maximum
/// of 16 MiB.
const ANSWER_BYTES: usize = 14 << 20;

/// Bytes of the data of one event of a long answer.
const EVENT_BYTES: usize = 64 << 10;

/// Bytes that a slow client reads in a second: 14 MiB take six seconds.
const CLIENT_BYTES_PER_S: f64 = 2.4e6;

/// Guards against a planned stop that cuts off an answer in progress, or refuses the requests that
/// the load balancer still sends because it has not yet seen that the gateway is not ready.
#[tokio::test]
async fn planned_stop_cuts_off_nothing() {
    let platform = TestPlatform::start(1).await;
    let mut gateway = platform.gateway("gateway-1").await;
    let mut connection =
        Connection::open(gateway.clients, WAIT_TIMEOUT).await.expect("it connects");
    let req = request(Method::POST, "/stream/1", "request-1", &[]);
    let response = connection.send(req).await.expect("a head");
    gateway.signal(Signal::SIGTERM);
    gateway.wait_until_ready(false).await;
    // The load balancer sends requests until it sees that the gateway is not ready.
    let late = gateway.call(Method::POST, "/order/1", "request-2").await;
    assert_eq!(late.status, 200);
    assert_eq!(late.headers["connection"], "close");
    let answer = read_answer(response).await;
    assert!(answer.is_complete);
    assert!(gateway.wait_for_exit().await.success());
}

/// Guards against a planned stop that cuts off a request of which a part has arrived.
#[rstest]
#[case::nothing("")]
#[case::part_of_the_head("POST /order/1 HTT")]
#[case::head_and_part_of_the_body("the ")]
#[tokio::test]
async fn planned_stop_answers_a_request_that_is_half_read(#[case] sent_until: &str) {
    let platform = TestPlatform::start(1).await;
    let mut gateway = platform.gateway("gateway-1").await;
    let request = format!(
        "POST /order/1 HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: request-1\r\ndeadline-ms: 5000\r\n\
         authorization: Token {API_KEY}\r\ncontent-length: 8\r\n\r\nthe body"
    );
    let at = request.find(sent_until).expect("a part") + sent_until.len();
    let mut stream = TcpStream::connect(gateway.clients).await.expect("it connects");
    stream.write_all(&request.as_bytes()[..at]).await.expect("it is written");
    tokio::time::sleep(Duration::from_millis(100)).await;
    gateway.signal(Signal::SIGTERM);
    gateway.wait_until_ready(false).await;
    stream.write_all(&request.as_bytes()[at..]).await.expect("it is written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.ends_with("the answer to request-1"), "{answer}");
    assert!(gateway.wait_for_exit().await.success());
}

/// Guards against a planned stop that ends before the load balancer has noticed it, for which it
/// needs 2 s, or that an idle connection delays beyond the limit of 8 s.
#[tokio::test]
async fn planned_stop_serves_a_kept_connection_until_it_is_idle() {
    let platform = TestPlatform::start(1).await;
    let mut gateway = platform.gateway("gateway-1").await;
    let mut connection =
        Connection::open(gateway.clients, WAIT_TIMEOUT).await.expect("it connects");
    let req = request(Method::POST, "/order/1", "request-1", &[]);
    assert!(read_answer(connection.send(req).await.expect("an answer")).await.is_complete);
    let began = Instant::now();
    gateway.signal(Signal::SIGTERM);
    assert!(gateway.wait_for_exit().await.success());
    let took = began.elapsed();
    assert!(
        took > Duration::from_secs(2),
        "the load balancer needs 2 s to notice the stop: {took:?}"
    );
    assert!(took < Duration::from_secs(8), "the stop takes less than its limit of 8 s: {took:?}");
}

/// Guards against a planned stop that ends while clients are still reading answers, because the
/// gateway has handed them to the HTTP library.
#[rstest]
#[case::whole_answer("/order/1", PLAIN, "")]
#[case::stream("/stream/1", ENGINE, "content-type: text/event-stream\r\n")]
#[tokio::test]
async fn planned_stop_waits_until_a_slow_client_has_its_answer(
    #[case] path: &str,
    #[case] service: &str,
    #[case] field: &str,
) {
    let platform = TestPlatform::start(0).await;
    let data = "x".repeat(EVENT_BYTES);
    let events = 1..=ANSWER_BYTES / EVENT_BYTES;
    let text: String = events.map(|id| format!("id: {id}\ndata: {data}\n\n")).collect();
    let head = format!("HTTP/1.1 200 OK\r\nserver-stamp: s\r\n{field}content-length: ");
    let script = Script::Close(format!("{head}{}\r\n\r\n{text}", text.len()));
    let server = ScriptedServer::start(vec![script]).await;
    platform.store.put("servers", "scripted", &server.listing(service));
    let mut gateway = platform.gateway("gateway-1").await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(64 << 10).expect("a small buffer");
    let mut stream = socket.connect(gateway.clients).await.expect("it connects");
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: request-1\r\ndeadline-ms: 15000\r\n\
         authorization: Token {API_KEY}\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("it is written");
    let mut buf = vec![0; 128 << 10];
    let mut read = stream.read(&mut buf).await.expect("the start of an answer");
    gateway.signal(Signal::SIGTERM);
    let began = Instant::now();
    loop {
        let due = Duration::from_secs_f64(read as f64 / CLIENT_BYTES_PER_S);
        tokio::time::sleep(due.saturating_sub(began.elapsed())).await;
        match stream.read(&mut buf).await.expect("the rest of the answer") {
            0 => break,
            bytes => read += bytes,
        }
    }
    assert!(read >= ANSWER_BYTES, "the client has {read} bytes of more than {ANSWER_BYTES}");
    assert!(gateway.wait_for_exit().await.success());
    let took = began.elapsed();
    assert!(took < Duration::from_secs(8), "the stop takes less than its limit of 8 s: {took:?}");
}

/// Guards against a planned stop that waits for a client that takes nothing for longer than its
/// limit of 8 s.
#[tokio::test]
async fn planned_stop_does_not_wait_for_a_client_that_takes_nothing() {
    let platform = TestPlatform::start(0).await;
    let text = "x".repeat(ANSWER_BYTES);
    let head = format!("HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-length: {ANSWER_BYTES}");
    let server = ScriptedServer::start(vec![Script::Close(format!("{head}\r\n\r\n{text}"))]).await;
    platform.store.put("servers", "scripted", &server.listing(PLAIN));
    let mut gateway = platform.gateway("gateway-1").await;
    let mut connection =
        Connection::open(gateway.clients, WAIT_TIMEOUT).await.expect("it connects");
    let req = request(Method::POST, "/order/1", "request-1", &[]);
    let _unread = connection.send(req).await.expect("a head");
    let began = Instant::now();
    gateway.signal(Signal::SIGTERM);
    assert!(gateway.wait_for_exit().await.success());
    let took = began.elapsed();
    assert!(took < Duration::from_secs(8), "the stop takes less than its limit of 8 s: {took:?}");
}

/// Guards against a planned stop that is still accepting requests when its limit ends, if that is
/// shorter than the load balancer needs to notice it.
#[tokio::test]
async fn planned_stop_with_a_short_limit_answers_each_request() {
    let platform = TestPlatform::start(1).await;
    let mut gateway = platform.gateway("gateway-1").await;
    let text = std::fs::read_to_string(&gateway.config).expect("the settings");
    let text = text.replace("stop_limit = 8s", "stop_limit = 1.5s");
    std::fs::write(&gateway.config, text).expect("the settings are written");
    gateway.signal(Signal::SIGHUP);
    gateway.wait_for_log("settings reloaded", None).await;
    let began = Instant::now();
    gateway.signal(Signal::SIGTERM);
    let mut served = 0;
    for number in 0.. {
        let Ok(mut client) = Connection::open(gateway.clients, WAIT_TIMEOUT).await else { break };
        let req = request(Method::POST, "/order/1", &format!("request-{number}"), &[]);
        // A connection that is established as the listener closes is reset with its request unread.
        let Ok(response) = client.send(req).await else { break };
        let answer = read_answer(response).await;
        assert!(answer.is_complete && [200, 503].contains(&answer.status), "{}", answer.status);
        served += usize::from(answer.status == 200);
    }
    assert_eq!(platform.plain_runs(), served, "each request that ran is answered");
    assert!(gateway.wait_for_exit().await.success());
    let took = began.elapsed();
    assert!(took < Duration::from_millis(1500), "the stop takes {took:?}");
}

/// Guards against new requests that are sent to a draining replica.
#[tokio::test]
async fn draining_replica_gets_nothing_new_and_keeps_what_it_runs() {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    let first = gateway.call(Method::POST, "/stream/1", "request-1").await;
    assert!(first.is_complete);
    platform.set_state(&platform.engines[0], "draining");
    gateway.wait_for_log("backend server changed", Some(("standing", "draining"))).await;
    let before = platform.engines[0].runs().len();
    for number in 0..4 {
        let id = format!("late-{number}");
        assert_eq!(gateway.call(Method::POST, "/stream/1", &id).await.status, 200);
    }
    assert_eq!(platform.engines[0].runs().len(), before);
}

/// Guards against log lines of a stopping gateway that are still queued when the process ends.
#[tokio::test]
async fn stopped_gateway_logs_its_last_line() {
    let platform = TestPlatform::start(1).await;
    let mut gateways = Vec::new();
    for number in 0..8 {
        gateways.push(platform.gateway(&format!("gateway-{number}")).await);
    }
    gateways.iter().for_each(|gateway| gateway.signal(Signal::SIGTERM));
    for gateway in &mut gateways {
        gateway.wait_for_exit().await;
        gateway.wait_for_log("gateway stopped", None).await;
    }
}
