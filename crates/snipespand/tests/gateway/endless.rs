//! Tests of backend servers whose bytes are no answer, and that send them until the connection is
//! closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::harness::ENGINE;
use crate::harness::Gateway;
use crate::harness::PLAIN;
use crate::harness::TestPlatform;
use crate::harness::wait_until;

/// Number of connections that send without end at the same time.
const CONNECTIONS: usize = 200;

/// Memory of the smallest gateways of the users' deployments, in KiB.
const GATEWAY_MEMORY_KIB: u64 = 160 * 1000;

/// Head of a valid answer without a length.
const HEAD: &str = "HTTP/1.1 200 OK\r\nserver-stamp: s\r\n";

/// A backend server that answers each connection with `start`, and then with `rest` until the
/// connection is closed.
struct EndlessServer {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
}

impl EndlessServer {
    async fn start(start: String, rest: String, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let open = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&open);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (start, rest) = (start.clone(), rest.clone());
                let counter = Arc::clone(&counter);
                counter.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    send_without_end(stream, &start, &rest, pause).await;
                    counter.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self { address, open }
    }

    /// Lists it in the store as the only backend server of a service.
    async fn list(&self, platform: &TestPlatform, gateway: &Gateway, service: &str) {
        let listing = json!({
            "service": service, "address": self.address.to_string(), "zone": "graz-a",
            "version": "v1", "slots": 1000, "state": "ready", "cold_left_ms": 0, "seq": 0,
        });
        platform.store.put("servers", "endless", &listing);
        platform.store.remove("servers", &format!("{service}-0"));
        gateway.wait_for_log("backend server changed", Some(("standing", "gone"))).await;
        gateway.wait_for_log("backend server changed", Some(("backend_server", "endless"))).await;
    }

    async fn wait_until_closed(&self) {
        wait_until("the gateway closes the connections", || self.open.load(Ordering::SeqCst) == 0)
            .await;
    }
}

async fn send_without_end(mut stream: TcpStream, start: &str, rest: &str, pause: Duration) {
    let mut buf = [0; 4096];
    let _ = stream.read(&mut buf).await;
    let mut sent = stream.write_all(start.as_bytes()).await;
    while sent.is_ok() {
        tokio::time::sleep(pause).await;
        sent = stream.write_all(rest.as_bytes()).await;
    }
}

/// Guards against memory that grows with what a backend server sends, and against requests that do
/// not end. Requests below `/order/` may take 8 s, and those below `/brief/` 400 ms.
#[rstest]
#[case::header_lines("/order/1", "HTTP/1.1 200 OK\r\n", "x-more: 0123456789\r\n")]
#[case::header_line("/order/1", "HTTP/1.1 200 OK\r\nx-more: ", "0123456789")]
#[case::interim_answers("/brief/1", "", "HTTP/1.1 102 Processing\r\n\r\n")]
#[case::body("/order/1", &format!("{HEAD}\r\n"), "0123456789")]
#[case::chunk_extension(
    "/order/1",
    &format!("{HEAD}transfer-encoding: chunked\r\n\r\n5;x="),
    "0123456789"
)]
#[case::event_line("/stream/1", &format!("{HEAD}\r\ndata: "), "0123456789")]
#[case::comments("/stream/1", &format!("{HEAD}\r\n"), ": wait\n\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answers_fail_with_bounded_memory(
    #[case] path: &str,
    #[case] start: &str,
    #[case] rest: &str,
) {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let block = rest.repeat(4096 / rest.len());
    let server = EndlessServer::start(start.to_owned(), block, Duration::from_millis(1)).await;
    let service = if path.starts_with("/stream/") { ENGINE } else { PLAIN };
    server.list(&platform, &gateway, service).await;
    let began = Instant::now();
    let calls = (0..CONNECTIONS).map(|number| {
        let id = format!("request-{number}");
        let gateway = &gateway;
        async move { gateway.call(Method::POST, path, &id).await }
    });
    let answers = futures_util::future::join_all(calls).await;
    assert!(answers.iter().all(|answer| answer.status >= 500 || !answer.is_complete));
    assert!(began.elapsed() < Duration::from_secs(9), "{:?}", began.elapsed());
    server.wait_until_closed().await;
    let peak = gateway.peak_memory_kib();
    assert!(peak < GATEWAY_MEMORY_KIB, "{peak} KiB");
}

/// Guards against a stalled stream that lasts because a comment or a part of an event arrives now
/// and then; its client leaves after 2 s without an event, and the stream is moved before that.
#[rstest]
#[case::comment(": wait\n\n")]
#[case::part_of_an_event("data: x\n")]
#[case::byte("x")]
#[tokio::test]
async fn stream_that_only_trickles_is_moved_to_another_engine(#[case] rest: &str) {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let start = format!("{HEAD}\r\nid: 1\ndata: piece 1\n\n");
    let pause = Duration::from_millis(200);
    let server = EndlessServer::start(start, rest.to_owned(), pause).await;
    server.list(&platform, &gateway, ENGINE).await;
    let call = gateway.call(Method::POST, "/stream/1", "request-1");
    let relist = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        platform.set_state(&platform.engines[0], "ready");
    };
    let (answer, ()) = tokio::join!(call, relist);
    assert!(answer.is_complete);
    let pieces = answer.body.lines().filter(|line| line.starts_with("data: piece")).count();
    assert_eq!(pieces, 6);
    server.wait_until_closed().await;
}
