//! Tests of replicas that answer a long upload before they have read it, and then reset its connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rstest::rstest;
use serde_json::json;
use snipespan_fakes::users_platform::replica::stream_event;
use snipespan_platform_adapter::connection::Connection;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::harness::Answer;
use crate::harness::ENGINE;
use crate::harness::Gateway;
use crate::harness::PLAIN;
use crate::harness::TestPlatform;
use crate::harness::WAIT_TIMEOUT;
use crate::harness::configuration;
use crate::harness::read_answer;
use crate::harness::request;

const BODY_BYTES: usize = 3_500_000;

/// Number of uploads of each case; the kernel reports a reset to the write or to the read, whichever
/// comes first.
const ROUNDS: usize = 40;

/// When the replica resets the connection after it has written a part of its answer.
#[derive(Clone, Copy, Debug)]
enum ResetAt {
    /// At once.
    Once,
    /// After a time, in which the upload fills the buffers.
    After(Duration),
    /// After it has read this many bytes of the upload, at the pace of the writer.
    Read(usize),
}

/// Starts a replica that writes `answer` when it has read the head of a request, and then resets the
/// connection.
async fn start_resetting(answer: String, reset_at: ResetAt) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_and_reset(stream, answer.clone(), reset_at));
        }
    });
    address
}

async fn answer_and_reset(mut stream: TcpStream, answer: String, reset_at: ResetAt) {
    let mut buf = [0; 1024];
    let _ = stream.read(&mut buf).await;
    let _ = stream.write_all(answer.as_bytes()).await;
    match reset_at {
        ResetAt::Once => {}
        ResetAt::After(time) => tokio::time::sleep(time).await,
        ResetAt::Read(bytes) => {
            let mut read = 0;
            while read < bytes {
                match stream.read(&mut buf).await {
                    Ok(count) if count > 0 => read += count,
                    _ => break,
                }
            }
        }
    }
    let _ = stream.set_zero_linger();
}

async fn upload(gateway: &Gateway, path: &str, id: &str) -> Answer {
    let opened = Connection::open(gateway.clients, WAIT_TIMEOUT).await;
    let mut connection = opened.expect("the gateway accepts a connection");
    let (head, _) = request(hyper::Method::POST, path, id, &[]).into_parts();
    let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
    let response = connection.send(Request::from_parts(head, body)).await;
    read_answer(response.expect("the gateway answers")).await
}

/// Guards against a part of an answer that a client gets as a whole one, because its connection was
/// reset while the upload was written.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn part_of_an_answer_is_not_whole(
    #[values("/order/1", "/look/1", "/stream/1")] path: &str,
    #[values(
        ResetAt::Once,
        ResetAt::After(Duration::from_millis(20)),
        ResetAt::Read(200_000),
        ResetAt::Read(3_000_000)
    )]
    reset_at: ResetAt,
    #[values("", "connection: close\r\n", "transfer-encoding: chunked\r\n")] framing: &str,
) {
    let is_stream = path.starts_with("/stream/");
    let (kind, part) = match is_stream {
        true => ("text/event-stream", stream_event(1)),
        false => ("text/plain", "a part of the answer".to_owned()),
    };
    let part = match framing.starts_with("transfer") {
        true => format!("{:x}\r\n{part}\r\n", part.len()),
        false => part,
    };
    let head =
        format!("HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-type: {kind}\r\n{framing}\r\n");
    let address = start_resetting(format!("{head}{part}"), reset_at).await;
    let platform = TestPlatform::start(0).await;
    let mut serving = configuration(2);
    serving["limits"]["body_bytes"] = json!(4 << 20);
    platform.store.put("op", "config", &serving);
    let service = if is_stream { ENGINE } else { PLAIN };
    for number in 0..ROUNDS {
        // One listing for each request, so that no failure suspends the replica for the next one.
        let listing = json!({
            "service": service, "address": address.to_string(), "zone": "graz-a", "version": "v1",
            "slots": 100_000, "state": "ready", "cold_left_ms": 0, "seq": 0,
        });
        platform.store.put("servers", &format!("resetting-{number}"), &listing);
    }
    let gateway = platform.gateway("gateway-1").await;
    for number in 0..ROUNDS {
        let answer = upload(&gateway, path, &format!("upload-{number}")).await;
        let is_whole = answer.status < 400 && answer.is_complete;
        assert!(!is_whole, "round {number}: {answer:?}");
    }
}
