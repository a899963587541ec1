//! Requests pass from a caller to a backend server and back unchanged, with spans, metrics and
//! reports, and only authenticated callers, operators and entries are served.

use std::time::Duration;

use hyper::Method;
use nix::sys::signal::Signal;
use snipespan_caller::caller::Caller;
use snipespan_caller::caller::ServiceCall;
use snipespan_core::result_code::ResultCode;
use snipespan_fakes::model_engine::expected_answer;
use snipespan_fakes::trace_collector::TraceCollector;

use crate::harness::Fleet;
use crate::harness::SERVICE;
use crate::harness::TestEnv;
use crate::harness::caller;
use crate::harness::charge;
use crate::harness::chat;
use crate::harness::engine_backend;
use crate::harness::generate_prompt;
use crate::harness::start_engine;
use crate::harness::wait_until;

/// Guards against answers that are cut or altered on the way: streamed and unstreamed chat answers
/// have the text that the engine generated, through each entry.
#[tokio::test(flavor = "multi_thread")]
async fn chat_streamed_and_unstreamed() {
    let fleet = Fleet::start(2, 2).await;
    for entry in &fleet.entries {
        for (tokens, is_stream) in [(1_000, true), (1_000, false), (50_000, true)] {
            let prompt = generate_prompt(tokens, 7);
            let mut call = chat(&prompt, 20);
            call.is_stream = is_stream;
            let outcome = caller(entry).chat(&call).await;
            assert_eq!(outcome.code, Some(ResultCode::Ok), "{outcome:?}");
            assert!(outcome.is_complete, "{outcome:?}");
            assert_eq!(outcome.text, expected_answer(&prompt, 20));
        }
    }
}

/// Guards against size limits on the path: a prompt of a million tokens is answered completely.
#[tokio::test(flavor = "multi_thread")]
async fn chat_million_tokens() {
    let fleet = Fleet::start(2, 2).await;
    let prompt = generate_prompt(1_000_000, 1);
    let outcome = caller(&fleet.entries[0]).chat(&chat(&prompt, 5)).await;
    assert!(outcome.is_complete, "{outcome:?}");
    assert_eq!(outcome.text, expected_answer(&prompt, 5));
}

/// A charge runs once, and a retry through another entry gets the recorded answer.
#[tokio::test(flavor = "multi_thread")]
async fn service_call_and_replay() {
    let fleet = Fleet::start(2, 2).await;
    let call = ServiceCall {
        method: Method::POST,
        service: SERVICE,
        path: "/charge",
        idempotency_key: Some("order-1"),
        body: "{\"amount\":1}",
        time_limit: None,
    };
    let first = caller(&fleet.entries[0]).call(&call).await;
    assert_eq!(first.status, 200, "{first:?}");
    // The answer is recorded after it has been sent to the caller; until then a retry is reported
    // as in progress.
    let mut again = caller(&fleet.entries[1]).call(&call).await;
    while again.code == Some(ResultCode::InProgress) {
        again = caller(&fleet.entries[1]).call(&call).await;
    }
    assert!(again.is_replayed, "{again:?}");
    assert_eq!(again.body, first.body);
    assert_eq!(fleet.service.executions().get("order-1"), Some(&1));
}

/// Calls with an unknown API key are refused and never run.
#[tokio::test(flavor = "multi_thread")]
async fn caller_unknown_key() {
    let fleet = Fleet::start(1, 1).await;
    let url = format!("http://{}", fleet.entries[0].address("entry", "callers"));
    let outcome = Caller::new(&url, "wrong").chat(&chat("hello", 5)).await;
    assert_eq!((outcome.status, outcome.code), (401, Some(ResultCode::Unauthenticated)));
    let outcome = Caller::new(&url, "wrong").call(&charge("never")).await;
    assert_eq!((outcome.status, outcome.code), (401, Some(ResultCode::Unauthenticated)));
    assert!(fleet.service.executions().is_empty());
}

/// Invalid chat bodies are refused with a code and a detail, and reach no engine.
#[tokio::test(flavor = "multi_thread")]
async fn chat_invalid_bodies() {
    let fleet = Fleet::start(1, 1).await;
    let caller = caller(&fleet.entries[0]);
    let cases = [
        ("{", ResultCode::InvalidRequest, "not a chat completion"),
        ("{\"model\":\"drafts\"}", ResultCode::InvalidRequest, "messages"),
        ("{\"messages\":[{}]}", ResultCode::InvalidRequest, "model"),
        ("{\"model\":\"drafts\",\"messages\":[]}", ResultCode::InvalidRequest, "at least one"),
        ("{\"model\":\"none\",\"messages\":[{}]}", ResultCode::UnknownModel, "model"),
        (
            "{\"model\":\"drafts\",\"messages\":[{}],\"max_tokens\":0}",
            ResultCode::InvalidRequest,
            "max_tokens",
        ),
    ];
    for (body, code, detail) in cases {
        let outcome = caller.chat_body(body.to_owned(), true, None).await;
        assert_eq!(outcome.code, Some(code), "{body}");
        assert!(outcome.detail.as_ref().is_some_and(|text| text.contains(detail)), "{outcome:?}");
    }
    assert!(fleet.engines[0].log().started.is_empty());
}

/// Only requests that may be repeated run without an idempotency key.
#[tokio::test(flavor = "multi_thread")]
async fn service_call_without_key() {
    let fleet = Fleet::start(1, 1).await;
    let call = ServiceCall { idempotency_key: None, ..charge("unused") };
    let outcome = caller(&fleet.entries[0]).call(&call).await;
    assert_eq!(outcome.code, Some(ResultCode::IdempotencyKeyMissing));
    let search = ServiceCall { path: "/search/all?q=1", ..call };
    let outcome = caller(&fleet.entries[0]).call(&search).await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    let read = ServiceCall { method: Method::GET, path: "/stock", body: "", ..search };
    let outcome = caller(&fleet.entries[0]).call(&read).await;
    assert_eq!(outcome.status, 200, "{outcome:?}");
    let executions = fleet.service.executions();
    assert_eq!(executions.get("POST /search/all?q=1"), Some(&1));
    assert_eq!(executions.get("GET /stock"), Some(&1));
}

/// Entry, attempt, side process and engine have one span each, nested below the caller's span.
#[tokio::test(flavor = "multi_thread")]
async fn spans_one_per_hop() {
    let collector = TraceCollector::start().await.expect("the collector starts");
    let mut env = TestEnv::start().await;
    env.deployment.add_lines(&format!("[telemetry]\ntraces = {}", collector.url()));
    let engine = start_engine(Default::default()).await;
    let mut side = env.start_side("vm-0", &engine_backend(&engine), "");
    let mut entry = env.start_entry("vm-entry-0", "stop_grace = 1ms");
    env.configure(&entry).await;
    env.connect_operator(&entry).await.wait_for_ready(1).await;
    let traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let outcome = caller(&entry).with_traceparent(traceparent).chat(&chat("hello", 3)).await;
    assert!(outcome.is_complete, "{outcome:?}");
    for process in [&mut entry, &mut side] {
        process.send_signal(Signal::SIGTERM);
        assert!(process.wait_for_exit().await.success());
    }
    let spans = collector.spans();
    let span =
        |name: &str| spans.iter().find(|span| span.name == name).expect("the hop has a span");
    let trace_id = hex::decode("0af7651916cd43dd8448eb211c80319c").expect("the id is hexadecimal");
    let chain = ["entry", "attempt", "side", "engine"];
    for name in chain {
        assert_eq!(span(name).trace_id, trace_id, "{name}");
    }
    assert_eq!(
        span("entry").parent_span_id,
        hex::decode("b7ad6b7169203331").expect("the id is hexadecimal")
    );
    for (parent, child) in chain.iter().zip(&chain[1..]) {
        assert_eq!(span(child).parent_span_id, span(parent).span_id, "{child}");
    }
}

/// An entry sends its metrics as StatsD datagrams.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_over_udp() {
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let address = socket.local_addr().expect("the socket has an address");
    let mut env = TestEnv::start().await;
    env.deployment.add_lines(&format!("[telemetry]\nmetrics = {address}"));
    let engine = start_engine(Default::default()).await;
    let _side = env.start_side("vm-0", &engine_backend(&engine), "");
    let entry = env.start_entry("vm-entry-0", "");
    env.configure(&entry).await;
    env.connect_operator(&entry).await.wait_for_ready(1).await;
    let outcome = caller(&entry).chat(&chat("hello", 3)).await;
    assert!(outcome.is_complete, "{outcome:?}");
    let mut buf = vec![0; 65_536];
    let expected = "snipespan.entry.requests.whole:1|c";
    let received = tokio::time::timeout(Duration::from_secs(60), async {
        loop {
            let read = socket.recv(&mut buf).await.expect("a datagram");
            if String::from_utf8_lossy(&buf[..read]).contains(expected) {
                return;
            }
        }
    });
    received.await.expect("the metric arrives");
}

/// Guards against a report that lacks the requests of other entries: it has the length classes and
/// the long jobs of all entries, each counted once.
#[tokio::test(flavor = "multi_thread")]
async fn report_classes_and_long_jobs() {
    let fleet = Fleet::start(2, 2).await;
    let long = generate_prompt(120_000, 3);
    let outcomes = [
        caller(&fleet.entries[0]).chat(&chat(&long, 8)).await,
        caller(&fleet.entries[1]).chat(&chat("short", 8)).await,
    ];
    assert!(outcomes.iter().all(|outcome| outcome.is_complete), "{outcomes:?}");
    let mut operator = fleet.env.connect_operator(&fleet.entries[1]).await;
    let mut report = operator.report().await;
    // Each entry writes its counts to the store every five seconds.
    while report.classes.len() < 2 || report.long_jobs.iter().all(|job| job.state != "whole") {
        tokio::time::sleep(Duration::from_millis(100)).await;
        report = operator.report().await;
    }
    assert_eq!(report.long_jobs.len(), 1);
    let job = &report.long_jobs[0];
    assert_eq!((job.account.as_str(), job.output_tokens), ("desk", 8));
    assert_eq!(Some(job.request_id.as_str()), outcomes[0].request_id.as_deref());
    assert!(report.classes.iter().all(|class| class.first_tokens == 1), "{report:?}");
}

/// A change with an unknown token is refused with result code 101.
#[tokio::test(flavor = "multi_thread")]
async fn operator_unknown_token() {
    let fleet = Fleet::start(1, 1).await;
    let mut operator = fleet.env.connect_operator_with_token(&fleet.entries[0], "wrong").await;
    let change = snipespan_admin::v1::change::Change::Drain("vm".to_owned());
    let refused =
        operator.apply_change("sneaky", None, change).await.expect_err("the change is refused");
    assert_eq!(refused.code(), tonic::Code::Unauthenticated);
    let number = refused.metadata().get("snipespan-result-code");
    assert_eq!(number.and_then(|value| value.to_str().ok()), Some("101"));
}

/// An entry whose certificate is of another CA reaches no side process.
#[tokio::test(flavor = "multi_thread")]
async fn entry_with_certificate_of_other_ca() {
    let fleet = Fleet::start(1, 1).await;
    let mut other = TestEnv::with_platform(
        snipespan_fakes::platform::FakePlatform::start().await.expect("the platform starts"),
        &fleet.env.platform.url(),
    );
    other.deployment.add_lines("");
    // The other environment has its own CA; its entry reads the VM list of the fleet's platform.
    let foreign_entry = other.start_entry("vm-stranger", "");
    let mut operator = other.connect_operator(&foreign_entry).await;
    // This condition always holds. The sleep covers ten reads of the VM list, which has an interval
    // of 200 ms, and gives a connection that is wrongly accepted time to show as ready.
    wait_until("the VM list is read", || async { true }).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let servers = operator.backend_servers().await;
    let ready = i32::from(snipespan_admin::v1::BackendServerState::Ready);
    assert!(!servers.is_empty() && servers.iter().all(|s| s.state != ready), "{servers:?}");
}
