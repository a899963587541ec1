//! Tests of a backend server that sends a second copy of an answer.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use http_body_util::BodyExt;
use snipespan_backend::http::client;
use snipespan_backend::http::empty_body;
use snipespan_backend::plain_service::PlainService;
use snipespan_backend::plain_service::ServiceCall;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Serves a connection, and answers each further request on it with another copy of the first
/// answer, which names the path of the first request.
async fn serve_with_late_copies(mut stream: TcpStream) {
    let mut buf = [0; 4096];
    let mut first: Option<String> = None;
    loop {
        let read = stream.read(&mut buf).await.unwrap_or(0);
        if read == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&buf[..read]).into_owned();
        let path = head.split(' ').nth(1).expect("a path").to_owned();
        let body = first.get_or_insert(path);
        let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against a caller that gets the answer to an earlier request, because its own request was
/// sent on a connection on which a second copy of that answer was still to come.
#[tokio::test]
async fn call_after_a_late_copy_gets_its_own_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_with_late_copies(stream));
        }
    });
    let service = PlainService::new(&format!("http://{address}"), client());
    for path in ["/first", "/second", "/third"] {
        let call = ServiceCall {
            method: "GET".into(),
            path: path.into(),
            headers: Vec::new(),
            traceparent: "".into(),
        };
        let answer = service.call(&call, empty_body()).await.expect("an answer");
        let body = answer.into_body().collect().await.expect("a complete body").to_bytes();
        assert_eq!(body, path);
    }
}
