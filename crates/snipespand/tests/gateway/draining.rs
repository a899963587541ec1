use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use nix::sys::signal::Signal;
use snipespan_platform_adapter::connection::Connection;

use crate::harness::PATIENCE;
use crate::harness::Site;
use crate::harness::read;
use crate::harness::request;

#[tokio::test]
async fn planned_stop_cuts_off_nothing() {
    let site = Site::start(1).await;
    let mut gateway = site.gateway("gateway-1").await;
    let mut connection = Connection::open(gateway.clients, PATIENCE).await.expect("it connects");
    let req = request(Method::POST, "/stream/1", "request-1", &[]);
    let response = connection.send(req).await.expect("a head");
    gateway.signal(Signal::SIGTERM);
    gateway.until_ready(false).await;
    // The balancer has not noticed yet.
    let late = gateway.call(Method::POST, "/order/1", "request-2").await;
    assert_eq!(late.status, 200);
    assert_eq!(late.headers["connection"], "close");
    let answer = read(response).await;
    assert!(answer.is_whole);
    assert!(gateway.stopped().await.success());
}

#[tokio::test]
async fn planned_stop_serves_a_kept_connection_until_it_is_idle() {
    let site = Site::start(1).await;
    let mut gateway = site.gateway("gateway-1").await;
    let mut connection = Connection::open(gateway.clients, PATIENCE).await.expect("it connects");
    let req = request(Method::POST, "/order/1", "request-1", &[]);
    assert!(read(connection.send(req).await.expect("an answer")).await.is_whole);
    let began = Instant::now();
    gateway.signal(Signal::SIGTERM);
    assert!(gateway.stopped().await.success());
    let took = began.elapsed();
    assert!(took > Duration::from_secs(2), "the balancer needs two seconds: {took:?}");
    assert!(took < Duration::from_secs(8), "the grace time: {took:?}");
}

#[tokio::test]
async fn draining_replica_gets_nothing_new_and_keeps_what_it_runs() {
    let site = Site::start(2).await;
    let gateway = site.gateway("gateway-1").await;
    let first = gateway.call(Method::POST, "/stream/1", "request-1").await;
    assert!(first.is_whole);
    site.set_state(&site.engines[0], "draining");
    gateway.until_logged("backend server changed", Some(("standing", "draining"))).await;
    let before = site.engines[0].runs().len();
    for number in 0..4 {
        let id = format!("late-{number}");
        assert_eq!(gateway.call(Method::POST, "/stream/1", &id).await.status, 200);
    }
    assert_eq!(site.engines[0].runs().len(), before);
}
