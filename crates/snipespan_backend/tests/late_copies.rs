//! Tests of a backend server that sends a second copy of an answer or a refusal.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use http_body_util::BodyExt;
use snipespan_backend::error::BackendError;
use snipespan_backend::http::client;
use snipespan_backend::http::empty_body;
use snipespan_backend::model_engine::EngineCall;
use snipespan_backend::model_engine::ModelEngine;
use snipespan_backend::plain_service::PlainService;
use snipespan_backend::plain_service::ServiceCall;
use snipespan_core::identity::AttemptNumber;
use snipespan_core::identity::RequestId;
use snipespan_core::side::event::EngineStreamId;
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

/// Serves a connection, and answers each request on it as the first one of all connections was
/// answered: the first connection refuses, and the others do not.
async fn serve_with_late_refusals(mut stream: TcpStream, is_first: bool) {
    let mut buf = [0; 4096];
    while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
        let head = match is_first {
            true => "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1",
            false => "HTTP/1.1 200 OK",
        };
        let answer = format!("{head}\r\ncontent-length: 0\r\n\r\n");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against a request that is taken for refused, and repeated elsewhere while it runs, because
/// an earlier refusal is sent once more on its connection.
#[tokio::test]
async fn completion_after_a_late_refusal_is_not_taken_for_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut is_first = true;
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_with_late_refusals(stream, is_first));
            is_first = false;
        }
    });
    let engine = ModelEngine::new(&format!("http://{address}"), client());
    let call = EngineCall {
        stream_id: EngineStreamId { id: RequestId(1), number: AttemptNumber(1) },
        priority: 0,
        resume_tokens: 0,
        traceparent: "".into(),
    };
    let refused = engine.start_completion(&call, empty_body()).await;
    assert!(matches!(refused.err(), Some(BackendError::Refused { status: 503 })));
    assert!(engine.start_completion(&call, empty_body()).await.is_ok());
}
