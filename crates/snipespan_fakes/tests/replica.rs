//! Tests of the fake replica of the users' platform.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::time::Duration;

use rstest::rstest;
use snipespan_fakes::fault_proxy::Fault;
use snipespan_fakes::fault_proxy::FaultProxy;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::HeadTiming;
use snipespan_fakes::users_platform::replica::ReplicaConfig;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn start(fault: ReplicaFault) -> (FakeReplica, FaultProxy) {
    let config = ReplicaConfig {
        id: "replica".to_owned(),
        service: "service".to_owned(),
        events: 3,
        pause: Duration::from_millis(20),
        slots: 4,
        memory_tokens: 1000,
        head_timing: HeadTiming::default(),
    };
    let replica = FakeReplica::start(config, None).await.expect("the replica starts");
    replica.set_fault(fault);
    let proxy = FaultProxy::start(replica.address()).await.expect("the proxy starts");
    (replica, proxy)
}

async fn send(proxy: &FaultProxy, path: &str, field: &str) -> TcpStream {
    let mut stream = TcpStream::connect(proxy.address()).await.expect("the proxy accepts");
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nattempt-id: a\r\n{field}\r\n");
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    stream
}

/// Guards against an unframed answer that is sent in chunks, which a caller would check by them.
#[rstest]
#[case::plain("/look/1", "the answer to a")]
#[case::stream("/stream/1", "id: 3\ndata: piece 3\n\n")]
#[tokio::test]
async fn unframed_answer_ends_with_connection(#[case] path: &str, #[case] end: &str) {
    let (_replica, proxy) = start(ReplicaFault::Unframed).await;
    let mut answer = String::new();
    let read = send(&proxy, path, "").await.read_to_string(&mut answer).await;
    read.expect("the connection ends in order");
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let head = head.to_lowercase();
    assert!(!head.contains("content-length") && !head.contains("transfer-encoding"), "{head}");
    assert!(body.ends_with(end), "{body:?}");
}

/// Guards against a proxy that ends connections in order, which would complete an unframed answer.
#[rstest]
#[case::disconnect(Fault::Disconnect)]
#[case::down(Fault::Down)]
#[tokio::test]
async fn proxy_fault_resets_connection(#[case] fault: Fault) {
    let (_replica, proxy) = start(ReplicaFault::NeverAnswers).await;
    let mut stream = send(&proxy, "/look/1", "").await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    proxy.set_fault(fault);
    let error = stream.read_to_end(&mut Vec::new()).await.expect_err("a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    let listens = TcpStream::connect(proxy.address()).await.is_ok();
    assert_eq!(listens, fault == Fault::Disconnect);
    proxy.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(200)).await;
    TcpStream::connect(proxy.address()).await.expect("the proxy listens again");
}

/// Guards against a replica that answers on after a deadly part has ended it.
#[tokio::test]
async fn deadly_part_ends_replica() {
    let (replica, proxy) = start(ReplicaFault::None).await;
    let _deadly = send(&proxy, "/stream/1", "prompt-prefix: a1:5,dead:2,b2:1\r\n").await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert!(replica.ended().is_some());
    let mut stream = send(&proxy, "/look/1", "").await;
    let mut buf = [0; 1];
    let read = tokio::time::timeout(Duration::from_millis(300), stream.read(&mut buf)).await;
    assert!(read.is_err(), "the replica answered after its end");
}
