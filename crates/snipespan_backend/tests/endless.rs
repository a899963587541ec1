//! Tests of engines that send bytes without end.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use snipespan_backend::http;
use snipespan_backend::model_engine::EngineCall;
use snipespan_backend::model_engine::ModelEngine;
use snipespan_core::identity::AttemptNumber;
use snipespan_core::identity::RequestId;
use snipespan_core::side::event::EngineStreamId;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Bytes that a side process may read of an answer that is none: far less than the memory of its VM
/// for each of hundreds of streams.
const MAX_READ_BYTES: usize = 8 << 20;

/// Time after which an answer counts as one without end; each of the fake's sends ends sooner.
const LIMIT: Duration = Duration::from_secs(20);

/// Starts an engine that answers each connection with `start`, and then with `rest` until the
/// connection is closed; returns its URL and the number of bytes that it has sent.
async fn start_engine(
    start: &'static str,
    rest: &'static str,
) -> (CompactString, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sent);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counter = Arc::clone(&counter);
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                let _ = stream.read(&mut buf).await;
                let block = rest.repeat(16_384 / rest.len());
                let mut bytes = start;
                // A reader that never stops would fill the memory of the test.
                while counter.load(Ordering::Relaxed) < 8 * MAX_READ_BYTES
                    && stream.write_all(bytes.as_bytes()).await.is_ok()
                {
                    counter.fetch_add(bytes.len(), Ordering::Relaxed);
                    bytes = &block;
                }
                std::future::pending::<()>().await;
            });
        }
    });
    (format_compact!("http://{address}"), sent)
}

/// Guards against a side process that keeps all bytes of an answer without end.
#[tokio::test]
async fn state_without_end_fails_with_bounded_memory() {
    let (url, sent) = start_engine("HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef").await;
    let engine = ModelEngine::new(&url, http::client());
    let answer = timeout(LIMIT, engine.fetch_state()).await.expect("an end");
    assert!(answer.is_err());
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_READ_BYTES, "{sent} bytes were read");
}

/// Guards against a side process that keeps all bytes of an event, or reads comments, without end.
async fn check_stream_without_end(start: &'static str, rest: &'static str) {
    let (url, sent) = start_engine(start, rest).await;
    let engine = ModelEngine::new(&url, http::client());
    let call = EngineCall {
        stream_id: EngineStreamId { id: RequestId(1), number: AttemptNumber(1) },
        priority: 0,
        resume_tokens: 0,
        traceparent: CompactString::default(),
    };
    let started = engine.start_completion(&call, http::empty_body()).await;
    let mut answer = started.expect("the head of an answer");
    let chunk = timeout(LIMIT, answer.next()).await.expect("an end");
    assert!(chunk.is_err());
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_READ_BYTES, "{sent} bytes were read");
}

#[tokio::test]
async fn event_without_end_fails_with_bounded_memory() {
    check_stream_without_end("HTTP/1.1 200 OK\r\n\r\ndata: ", "0123456789abcdef").await;
}

#[tokio::test]
async fn comments_without_end_fail() {
    check_stream_without_end("HTTP/1.1 200 OK\r\n\r\n", ": wait a little\n\n").await;
}
