//! Tests of the fake engine: orders, cache events, and KV cache export and import.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::time::Duration;

use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use snipespan_caller::caller::Caller;
use snipespan_caller::caller::ChatCall;
use snipespan_fakes::model_engine::EngineConfig;
use snipespan_fakes::model_engine::EngineFaults;
use snipespan_fakes::model_engine::FakeEngine;

async fn start(config: EngineConfig) -> (FakeEngine, Caller) {
    let engine = FakeEngine::start(config, None).await.expect("the engine starts");
    let caller = Caller::new(&engine.url(), "");
    (engine, caller)
}

async fn get(caller: &Caller, path: &str) -> Value {
    let (status, body) = caller.get(path).await;
    assert_eq!(status, 200, "{path}: {body}");
    serde_json::from_str(&body).expect("the body is JSON")
}

/// Guards against an engine that replaces its models by those of an outdated order although it
/// checks fencing numbers, or that checks them although it is set not to.
#[rstest]
#[case::checked(true, 409, "new")]
#[case::ignored(false, 200, "old")]
#[tokio::test]
async fn order_with_old_fencing(#[case] checks: bool, #[case] status: u16, #[case] model: &str) {
    let config = EngineConfig { checks_fencing: checks, ..EngineConfig::default() };
    let (engine, caller) = start(config).await;
    let order = |fencing: u64, model: &str| json!({"fencing": fencing, "models": [model]});
    assert_eq!(caller.post("/v1/engine/orders", &order(2, "new")).await, 200);
    assert_eq!(caller.post("/v1/engine/orders", &order(1, "old")).await, status);
    assert_eq!(engine.ordered_models(), [model]);
}

/// Guards against an engine that publishes cache events before the report lag has passed, or
/// without the configured gaps. A prompt of nine blocks causes the events 0 to 8.
#[tokio::test]
async fn cache_events_late_and_with_gaps() {
    let lag = Duration::from_millis(300);
    let (engine, caller) = start(EngineConfig { report_lag: lag, ..EngineConfig::default() }).await;
    engine.set_faults(EngineFaults { cache_event_drop_divisor: Some(3), ..Default::default() });
    let prompt = "word".repeat(1_024 * 9);
    let call =
        ChatCall { model: "", prompt: &prompt, max_tokens: 1, is_stream: true, time_limit: None };
    assert!(caller.chat(&call).await.is_complete);
    let path = "/v1/engine/cache_events?since=1";
    assert_eq!(get(&caller, path).await, json!([]));
    tokio::time::sleep(lag).await;
    let events = get(&caller, path).await;
    let numbers = events
        .as_array()
        .expect("the events are an array")
        .iter()
        .map(|event| event["number"].as_u64());
    let numbers: Vec<_> = numbers.flatten().collect();
    assert_eq!(numbers, [1, 2, 4, 5, 7, 8]);
}

/// Guards against an engine that reports a wrong size of an exported or imported KV cache, keeps
/// the imported one after a cancellation, frees the exported one, or exports that of an unknown
/// stream.
#[tokio::test]
async fn kv_export_and_import() {
    let (source, from) = start(EngineConfig::default()).await;
    let (target, to) = start(EngineConfig::default()).await;
    source.add_orphan("stream-1", 500);
    let exported = get(&from, "/v1/engine/streams/stream-1/kv").await;
    assert_eq!(exported, json!({"tokens": 500}));
    assert_eq!(to.post("/v1/engine/streams/stream-1/kv", &exported).await, 200);
    assert_eq!(get(&to, "/v1/engine/state").await["used_tokens"], 500);
    assert_eq!(to.post("/v1/engine/streams/stream-1/cancel", &json!({})).await, 200);
    assert!(target.held_streams().is_empty() && !source.held_streams().is_empty());
    assert_eq!(from.get("/v1/engine/streams/other/kv").await.0, 404);
}
