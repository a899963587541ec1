use std::time::Duration;

use hyper::Method;
use snipespan_fakes::users_platform::replica::ReplicaFault;
use snipespan_platform_adapter::connection::Connection;

use crate::harness::PATIENCE;
use crate::harness::Site;
use crate::harness::eventually;
use crate::harness::request;

const LONG: [(&str, &str); 1] = [("token-count", "400000,258")];

fn reserved(site: &Site) -> u64 {
    site.engines.iter().map(|engine| engine.reserved_tokens()).sum()
}

#[tokio::test]
async fn span_sets_memory_aside_and_frees_it() {
    let site = Site::start(6).await;
    let gateway = site.gateway("gateway-1").await;
    let answer = gateway.call_with(Method::POST, "/stream/1", "request-1", &LONG).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_whole);
    let runs: Vec<_> = site.engines.iter().flat_map(|engine| engine.runs()).collect();
    assert_eq!(runs.len(), 1);
    let helpers = runs[0].headers["helpers"].to_str().expect("text");
    assert!(helpers.split(',').count() >= 2);
    assert!(helpers.split(',').all(|helper| helper.contains('/')), "each has a reservation");
    eventually("the memory is free", || reserved(&site) == 0).await;
}

#[tokio::test]
async fn span_without_an_answer_to_its_orders_is_refused_and_leaves_nothing() {
    let site = Site::start(6).await;
    let gateway = site.gateway("gateway-1").await;
    site.engines.iter().for_each(|engine| engine.set_fault(ReplicaFault::OrdersUnanswered));
    let answer = gateway.call_with(Method::POST, "/stream/1", "request-1", &LONG).await;
    assert!([429, 503].contains(&answer.status), "{}", answer.status);
    assert_eq!(reserved(&site), 0);
}

#[tokio::test]
async fn span_of_a_client_that_left_frees_its_memory() {
    let site = Site::start(6).await;
    let gateway = site.gateway("gateway-1").await;
    let mut connection = Connection::open(gateway.clients, PATIENCE).await.expect("it connects");
    let response = connection.send(request(Method::POST, "/stream/1", "request-1", &LONG)).await;
    drop(response.expect("a head"));
    drop(connection);
    eventually("the memory is free", || reserved(&site) == 0).await;
}

#[tokio::test]
async fn span_of_a_killed_gateway_frees_its_memory_by_itself() {
    let site = Site::start(6).await;
    let gateway = site.gateway("gateway-1").await;
    let mut connection = Connection::open(gateway.clients, PATIENCE).await.expect("it connects");
    let sent = connection.send(request(Method::POST, "/stream/1", "request-1", &LONG)).await;
    assert!(sent.is_ok());
    assert!(reserved(&site) > 0);
    drop(gateway);
    tokio::time::sleep(Duration::from_millis(2000)).await;
    assert_eq!(reserved(&site), 0);
}
