//! Tests of plain services that answer with other than a whole answer of HTTP.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use snipespan_backend::error::BackendError;
use snipespan_backend::http::body_of_stream;
use snipespan_backend::http::client;
use snipespan_backend::plain_service::PlainService;
use snipespan_backend::plain_service::ServiceCall;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Number of uploads; the kernel reports a reset to the write or to the read, whichever comes first.
const ROUNDS: usize = 40;

/// Chunks of an upload, of 32,768 bytes each.
const CHUNKS: usize = 100;

/// Starts a service that answers each request with these bytes once it has read its first bytes, and
/// resets the connection after `pause`.
async fn start_service(answer: &'static str, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 1024]).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            tokio::time::sleep(pause).await;
            let _ = stream.set_zero_linger();
        }
    });
    address
}

/// Uploads to the service and returns the body of its answer.
async fn upload(address: SocketAddr) -> Result<Bytes, BackendError> {
    let call = ServiceCall {
        method: "POST".into(),
        path: "/order".into(),
        headers: Vec::new(),
        traceparent: "".into(),
    };
    let chunk = Bytes::from(vec![b'x'; 32_768]);
    let body = body_of_stream(stream::iter((0..CHUNKS).map(move |_| Ok(chunk.clone()))));
    let service = PlainService::new(&format!("http://{address}"), client());
    let response = service.call(&call, body).await?;
    let collected = response.into_body().collect().await;
    let lost = |e: hyper::Error| BackendError::ConnectionLost { detail: e.to_string().into() };
    Ok(collected.map_err(lost)?.to_bytes())
}

/// Guards against a part of an answer that counts as a whole one, because its connection was reset
/// while the upload was written.
#[tokio::test]
async fn upload_that_is_reset_has_no_whole_answer() {
    for pause in [0, 1, 20] {
        let address =
            start_service("HTTP/1.1 200 OK\r\n\r\na part", Duration::from_millis(pause)).await;
        for round in 0..ROUNDS {
            let answer = upload(address).await;
            assert!(answer.is_err(), "round {round} after {pause} ms: {answer:?}");
        }
    }
}

/// Guards against a status that HTTP does not have and that reaches the caller as one of an answer.
#[tokio::test]
async fn status_that_does_not_exist_is_no_answer() {
    for answer in [
        "HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 099 X\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 600 X\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 999 X\r\ncontent-length: 2\r\n\r\nok",
    ] {
        let address = start_service(answer, Duration::from_millis(20)).await;
        let result = upload(address).await;
        assert!(result.is_err(), "{answer:?}: {result:?}");
    }
}
