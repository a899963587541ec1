//! Tests of spans: several engines that serve one prompt together, because none has the memory for
//! it.

use std::time::Duration;

use hyper::Method;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_platform_adapter::connection::Connection;

use crate::harness::TestPlatform;
use crate::harness::WAIT_TIMEOUT;
use crate::harness::request;
use crate::harness::wait_until;

/// Token counts of a prompt of 400,000 tokens, for which the memory of one engine (232,000 tokens)
/// is too small.
const LONG_PROMPT: [(&str, &str); 1] = [("token-count", "400000,258")];

/// Returns the memory reserved at all engines, in tokens.
fn reserved(platform: &TestPlatform) -> u64 {
    platform.engines.iter().map(|engine| engine.reserved_tokens()).sum()
}

/// Guards against a span whose engines have no reservations, and against reservations that outlast
/// their request.
#[tokio::test]
async fn span_reserves_memory_and_frees_it() {
    let platform = TestPlatform::start(6).await;
    let gateway = platform.gateway("gateway-1").await;
    let answer = gateway.call_with(Method::POST, "/stream/1", "request-1", &LONG_PROMPT).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_complete);
    let runs: Vec<_> = platform.engines.iter().flat_map(|engine| engine.runs()).collect();
    assert_eq!(runs.len(), 1);
    let helpers = runs[0].headers["helpers"].to_str().expect("text");
    assert!(helpers.split(',').count() >= 2);
    assert!(helpers.split(',').all(|helper| helper.contains('/')), "each has a reservation");
    wait_until("the memory is free", || reserved(&platform) == 0).await;
}

/// Guards against a request that waits without an answer, or memory that stays reserved, when the
/// engines do not answer the orders to reserve memory.
#[tokio::test]
async fn span_without_an_answer_to_its_orders_is_refused_and_leaves_nothing() {
    let platform = TestPlatform::start(6).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.engines.iter().for_each(|engine| engine.set_fault(ReplicaFault::OrdersUnanswered));
    let answer = gateway.call_with(Method::POST, "/stream/1", "request-1", &LONG_PROMPT).await;
    assert!([429, 503].contains(&answer.status), "{}", answer.status);
    assert_eq!(reserved(&platform), 0);
}

/// Guards against memory that stays reserved after the client has disconnected.
#[tokio::test]
async fn span_of_a_client_that_left_frees_its_memory() {
    let platform = TestPlatform::start(6).await;
    let gateway = platform.gateway("gateway-1").await;
    let mut connection =
        Connection::open(gateway.clients, WAIT_TIMEOUT).await.expect("it connects");
    let response =
        connection.send(request(Method::POST, "/stream/1", "request-1", &LONG_PROMPT)).await;
    drop(response.expect("a head"));
    drop(connection);
    wait_until("the memory is free", || reserved(&platform) == 0).await;
}

/// Guards against memory that stays reserved for longer than 2 s when the gateway is killed and can
/// release nothing. A reservation expires 1.9 s after its last renewal.
#[tokio::test]
async fn span_of_a_killed_gateway_frees_its_memory_when_it_expires() {
    let platform = TestPlatform::start(6).await;
    let gateway = platform.gateway("gateway-1").await;
    let mut connection =
        Connection::open(gateway.clients, WAIT_TIMEOUT).await.expect("it connects");
    let sent = connection.send(request(Method::POST, "/stream/1", "request-1", &LONG_PROMPT)).await;
    assert!(sent.is_ok());
    assert!(reserved(&platform) > 0);
    drop(gateway);
    tokio::time::sleep(Duration::from_millis(2000)).await;
    assert_eq!(reserved(&platform), 0);
}
