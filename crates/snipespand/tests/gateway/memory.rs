//! Tests of the memory that bodies of requests and answers to slow clients take.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hyper::Method;
use rstest::rstest;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::harness::API_KEY;
use crate::harness::ENGINE;
use crate::harness::Gateway;
use crate::harness::HOST;
use crate::harness::PLAIN;
use crate::harness::TestPlatform;
use crate::harness::configuration;
use crate::harness::wait_until;
use crate::observing::metrics;
use crate::scripted::Script;
use crate::scripted::ScriptedServer;

/// Greatest body that clients of the users' deployments may send.
const GREATEST_BODY: usize = 4 << 20;

/// Memory of the smallest gateways, in KiB, and the setting for it.
const MEMORY_KIB: u64 = 160_000;
const MEMORY_LIMIT: &str = "memory_limit = 160MB\n";

/// Bytes that an upload sends at once.
const PIECE: usize = 16 << 10;

/// Starts a platform with bodies of up to [`GREATEST_BODY`], and a gateway with further settings.
async fn start(settings: &str) -> (TestPlatform, Gateway) {
    let platform = TestPlatform::start(2).await;
    let mut config = configuration(2);
    config["limits"]["body_bytes"] = json!(GREATEST_BODY);
    platform.store.put("op", "config", &config);
    let gateway = platform.gateway_at("gateway-1", platform.store.address(), settings).await;
    (platform, gateway)
}

fn head(path: &str, id: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nattempt-id: {id}\r\ndeadline-ms: 8000\r\n\
         authorization: Token {API_KEY}\r\n{framing}\r\n\r\n"
    )
}

/// Waits until a gateway uses this much memory for bodies and answers; fails after 2.5 s.
async fn wait_for_memory_use(gateway: &Gateway, bytes: usize) {
    for _ in 0..50 {
        let text = metrics(gateway).await;
        let mut levels = text.lines().filter(|line| line.contains("kind=\"memory_used_bytes\""));
        let used = levels.next().and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        if used.is_some_and(|used| used >= bytes as f64) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the gateway did not use {bytes} bytes");
}

/// Sends a body of [`GREATEST_BODY`] over `duration` with a time limit of 8 s and returns the answer
/// as text, empty if the connection ended without one.
async fn upload(address: SocketAddr, id: &str, duration: Duration) -> String {
    upload_within(address, id, duration, 8000).await
}

async fn upload_within(
    address: SocketAddr,
    id: &str,
    duration: Duration,
    time_limit_ms: u32,
) -> String {
    let pause = duration / (GREATEST_BODY / PIECE) as u32;
    let Ok(stream) = TcpStream::connect(address).await else { return String::new() };
    let (mut reader, mut writer) = stream.into_split();
    let head = head("/order/upload", id, &format!("content-length: {GREATEST_BODY}"));
    let head = head.replace("deadline-ms: 8000", &format!("deadline-ms: {time_limit_ms}"));
    let sending = tokio::spawn(async move {
        let mut sent = writer.write_all(head.as_bytes()).await;
        for _ in 0..GREATEST_BODY / PIECE {
            if sent.is_err() {
                return;
            }
            tokio::time::sleep(pause).await;
            sent = writer.write_all(&[b'b'; PIECE]).await;
        }
        // Keeps the connection open until the answer was read.
        std::future::pending::<()>().await;
    });
    let answer = read_answer(&mut reader).await;
    sending.abort();
    answer
}

/// Reads an answer with a length, or as much of it as arrives.
async fn read_answer(reader: &mut (impl AsyncReadExt + Unpin)) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(Ok(read @ 1..)) =
        tokio::time::timeout(Duration::from_secs(20), reader.read(&mut buf)).await
    {
        text.extend_from_slice(&buf[..read]);
        let so_far = String::from_utf8_lossy(&text);
        let length = so_far.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
        let body = so_far.split_once("\r\n\r\n").map(|(_, body)| body.len());
        if let (Some(Ok(length)), Some(body)) = (length.map(str::parse::<usize>), body)
            && body >= length
        {
            break;
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Sends short requests one after the other until `until`; returns their statuses.
async fn send_short(gateway: &Gateway, client: usize, until: Instant) -> Vec<u16> {
    let mut statuses = Vec::new();
    while Instant::now() < until {
        let id = format!("short-{client}-{}", statuses.len());
        statuses.push(gateway.call(Method::POST, "/order/1", &id).await.status);
    }
    statuses
}

/// Guards against a gateway that is killed for its memory while it collects many long bodies, so
/// that short requests which ran get no answer, and against a refusal that is not true or that its
/// client cannot read.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn long_bodies_within_memory_limit() {
    let (platform, gateway) = start(MEMORY_LIMIT).await;
    let until = Instant::now() + Duration::from_secs(4);
    let uploads = (0..100).map(|number| {
        let id = format!("upload-{number}");
        let address = gateway.clients;
        tokio::spawn(async move { upload(address, &id, Duration::from_secs(3)).await })
    });
    let uploads: Vec<_> = uploads.collect();
    let short = join_all((0..10).map(|client| send_short(&gateway, client, until))).await.concat();
    let answers = join_all(uploads).await;
    let peak = gateway.peak_memory_kib();
    assert!(peak < MEMORY_KIB, "{peak} KiB");
    assert!(short.len() > 100 && short.iter().all(|status| *status == 200), "{short:?}");
    let answers: Vec<_> = answers.into_iter().map(|answer| answer.expect("no panic")).collect();
    let served = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 200")).count();
    assert!(served >= 10, "{served} uploads were served");
    let runs: usize = platform
        .plain
        .iter()
        .flat_map(|replica| replica.runs())
        .filter(|run| run.body.len() == GREATEST_BODY)
        .count();
    assert_eq!(runs, served);
    for answer in answers.iter().filter(|answer| !answer.starts_with("HTTP/1.1 200")) {
        assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after:"), "{answer}");
    }
}

/// Guards against senders that keep memory without sending, so that no long body is read any more.
#[tokio::test]
async fn stalled_bodies_give_memory_back() {
    let (_platform, gateway) = start(MEMORY_LIMIT).await;
    let mut stalled = Vec::new();
    for number in 0..11 {
        let mut stream = TcpStream::connect(gateway.clients).await.expect("a connection");
        let id = format!("stalled-{number}");
        let text = head("/order/1", &id, &format!("content-length: {GREATEST_BODY}\r\n\r\nbb"));
        stream.write_all(text.trim_end().as_bytes()).await.expect("it is sent");
        stalled.push(stream);
    }
    wait_for_memory_use(&gateway, stalled.len() * GREATEST_BODY).await;
    // It waits for a quarter of its limit, which ends before the others give their memory back.
    let refused = upload_within(gateway.clients, "refused", Duration::from_millis(500), 2000).await;
    assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
    let line = gateway.wait_for_log("rejected: no memory for the body", None).await;
    assert_eq!(line["request"], "refused");
    assert_eq!(line["reason"], "no memory in time");
    // The limit for a head or a pause of a body is 3 s.
    let answer = read_answer(&mut stalled[0]).await;
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    let served = upload(gateway.clients, "served", Duration::from_millis(500)).await;
    assert!(served.starts_with("HTTP/1.1 200"), "{served}");
}

/// Guards against bodies without a stated length that take more memory than there is, and against
/// one that is refused while there is enough.
#[tokio::test]
async fn chunked_bodies_grow_within_memory() {
    let (platform, gateway) = start(MEMORY_LIMIT).await;
    let uploads = (0..40).map(|number| {
        let address = gateway.clients;
        tokio::spawn(async move {
            let stream = TcpStream::connect(address).await.expect("a connection");
            let (mut reader, mut writer) = stream.into_split();
            let id = format!("chunked-{number}");
            let text = head("/order/1", &id, "transfer-encoding: chunked");
            tokio::spawn(async move {
                let mut sent = writer.write_all(text.as_bytes()).await;
                let chunk = format!("{PIECE:x}\r\n{}\r\n", "b".repeat(PIECE));
                for _ in 0..GREATEST_BODY / PIECE {
                    tokio::time::sleep(Duration::from_millis(4)).await;
                    sent = sent.and(writer.write_all(chunk.as_bytes()).await);
                }
                let _ = writer.write_all(b"0\r\n\r\n").await;
                std::future::pending::<()>().await;
            });
            read_answer(&mut reader).await
        })
    });
    let answers = join_all(uploads.collect::<Vec<_>>()).await;
    let answers: Vec<_> = answers.into_iter().map(|answer| answer.expect("no panic")).collect();
    let count = |status| answers.iter().filter(|answer| answer.starts_with(status)).count();
    let served = count("HTTP/1.1 200");
    assert!(served > 0 && served + count("HTTP/1.1 503") == 40, "{served} {answers:?}");
    assert_eq!(platform.plain_runs(), served);
    let peak = gateway.peak_memory_kib();
    assert!(peak < MEMORY_KIB, "{peak} KiB");
}

/// Starts clients that send a request and read nothing of its answer.
async fn silent_clients(gateway: &Gateway, path: &str, count: usize) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for number in 0..count {
        let mut stream = TcpStream::connect(gateway.clients).await.expect("a connection");
        let text = head(path, &format!("silent-{number}"), "content-length: 0");
        stream.write_all(text.as_bytes()).await.expect("it is sent");
        clients.push(stream);
        // Most answers are complete at the gateway before the next request.
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    clients
}

/// Lists a server that sends `answer` as the only one of a service.
async fn replace_servers(
    platform: &TestPlatform,
    gateway: &Gateway,
    service: &str,
    answer: String,
) -> ScriptedServer {
    let server = ScriptedServer::start(vec![Script::Close(answer)]).await;
    for replica in platform.engines.iter().chain(&platform.plain) {
        if replica.id().starts_with(service) {
            platform.store.remove("servers", replica.id());
        }
    }
    platform.store.put("servers", "scripted", &server.listing(service));
    gateway.wait_for_log("backend server changed", Some(("backend_server", "scripted"))).await;
    wait_until("the others are gone", || {
        gateway.log_lines("backend server changed", Some(("standing", "gone"))).len() == 2
    })
    .await;
    server
}

/// Guards against answers that take memory without bound while their clients do not read, and
/// against memory that is not given back once the clients have left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_plain_answers_within_memory() {
    let (platform, gateway) = start(MEMORY_LIMIT).await;
    let length = 8 << 20;
    let head = format!("HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-length: {length}\r\n\r\n");
    let server = replace_servers(&platform, &gateway, PLAIN, head + &"a".repeat(length)).await;
    let clients = silent_clients(&gateway, "/look/1", 40).await;
    wait_until("the requests are sent", || server.connections() >= 40).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let peak = gateway.peak_memory_kib();
    assert!(peak < MEMORY_KIB, "{peak} KiB");
    drop(clients);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = gateway.call(Method::GET, "/look/1", "reader").await;
    assert_eq!((answer.status, answer.body.len()), (200, length));
}

/// Guards against a stream that is read from its engine, or holds memory, for as long as its client
/// reads nothing, and against an end of it that the client takes for the end of the answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_stream_ends_incomplete() {
    let (platform, gateway) = start(MEMORY_LIMIT).await;
    let head = "HTTP/1.1 200 OK\r\nserver-stamp: s\r\ncontent-type: text/event-stream\r\n\r\n";
    let events: String =
        (1..=4000).map(|id| format!("id: {id}\ndata: {}\n\n", "a".repeat(4000))).collect();
    replace_servers(&platform, &gateway, ENGINE, head.to_owned() + &events).await;
    let mut clients = silent_clients(&gateway, "/stream/1", 10).await;
    let line = gateway.wait_for_log("answer cut off: its client does not read", None).await;
    assert!(line["waited_ms"].as_f64().is_some_and(|waited| waited <= 2000.0), "{line}");
    wait_until("all are cut off", || {
        gateway.log_lines("answer cut off: its client does not read", None).len() == 10
    })
    .await;
    let mut answer = Vec::new();
    // The connection may also end with an error.
    let _ = clients[0].read_to_end(&mut answer).await;
    assert!(answer.starts_with(b"HTTP/1.1 200") && !answer.ends_with(b"0\r\n\r\n"));
    let peak = gateway.peak_memory_kib();
    assert!(peak < MEMORY_KIB, "{peak} KiB");
}

/// Guards against memory that stays taken when a backend server does not read a long body: the
/// request ends with its deadline, and the gauge shows that nothing is left.
#[tokio::test]
async fn unread_body_is_given_up_at_deadline() {
    let (platform, gateway) = start(MEMORY_LIMIT).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let server = replace_servers(&platform, &gateway, PLAIN, String::new()).await;
    let mut listing = server.listing(PLAIN);
    // Connections to this address are accepted by the kernel, and never read.
    listing["address"] = json!(listener.local_addr().expect("an address").to_string());
    platform.store.put("servers", "scripted", &listing);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = upload(gateway.clients, "unread", Duration::from_millis(500)).await;
    assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let text = metrics(&gateway).await;
    assert!(text.contains("snipespan_level{kind=\"memory_used_bytes\"} 0"), "{text}");
}

/// Sends a short stream and returns the time to its first event.
async fn first_event(address: SocketAddr, id: &str) -> Duration {
    let began = Instant::now();
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(head("/stream/1", id, "content-length: 0").as_bytes()).await.expect("sent");
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    while !text.windows(6).any(|window| window == b"data: ") {
        let read = stream.read(&mut buf).await.expect("an answer");
        assert!(read > 0, "{}", String::from_utf8_lossy(&text));
        text.extend_from_slice(&buf[..read]);
    }
    began.elapsed()
}

/// Prints a row of the table of docs/CAPACITY.md: resident memory, and the time to the first event
/// of 100 short requests beside uploads of the greatest body. `MEMORY_SETTING` replaces the setting,
/// for a run without one.
#[rstest]
#[case::one(1)]
#[case::hundred(100)]
#[case::thousand(1000)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "a measurement that needs a quiet machine"]
async fn measured_memory(#[case] count: usize) {
    let setting = std::env::var("MEMORY_SETTING").unwrap_or("memory_limit = 260MB\n".to_owned());
    let (_platform, gateway) = start(&setting).await;
    let uploads = (0..count).map(|number| {
        let (address, id) = (gateway.clients, format!("upload-{number}"));
        tokio::spawn(async move { upload(address, &id, Duration::from_secs(6)).await })
    });
    let uploads: Vec<_> = uploads.collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut times = Vec::new();
    for number in 0..100 {
        times.push(first_event(gateway.clients, &format!("short-{number}")).await);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    times.sort();
    let answers = join_all(uploads).await;
    let served = answers.iter().flatten().filter(|text| text.starts_with("HTTP/1.1 200")).count();
    let refused = answers.iter().flatten().filter(|text| text.starts_with("HTTP/1.1 503")).count();
    println!(
        "| {count} | {} | {:.1} / {:.1} | {served} | {refused} |",
        gateway.peak_memory_kib(),
        times[49].as_secs_f64() * 1e3,
        times[98].as_secs_f64() * 1e3
    );
}
