//! Tests of requests whose backend servers all refuse connections.

use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use hyper::Method;
use snipespan_fakes::users_platform::replica::FakeReplica;

use crate::harness::ENGINE;
use crate::harness::TestPlatform;
use crate::harness::replica_config;

const SERVERS: usize = 3;
const REQUESTS: usize = 20;

/// Time that the requests wait.
const WAIT: Duration = Duration::from_secs(2);

/// Maximum number of tries that a gateway makes in [`WAIT`] at a server that has refused a connection.
/// Before that, all requests may be on their way to it.
const MAX_TRIES_PER_SERVER: usize = REQUESTS + 5;

/// Guards against requests that are sent again without a pause while their servers are down, with two
/// log lines each, and against a pause that outlasts the return of a server.
#[tokio::test]
async fn servers_that_are_down_get_few_tries() {
    let platform = TestPlatform::start(0).await;
    let mut addresses = Vec::new();
    for number in 0..SERVERS {
        // The port is free once the listener is dropped.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let replica = FakeReplica::start(replica_config(ENGINE, number), None).await;
        let listing = replica.expect("it starts").listing(address, "ready");
        platform.store.put("servers", &format!("{ENGINE}-{number}"), &listing);
        addresses.push(address);
    }
    let gateway = platform.gateway("gateway-1").await;
    let deadline = (WAIT.as_millis().to_string(), "8000".to_owned());
    let calls = (0..REQUESTS).map(|number| {
        let (gateway, deadline) = (&gateway, &deadline.0);
        async move {
            let fields = [("deadline-ms", deadline.as_str())];
            gateway.call_with(Method::POST, "/stream/1", &format!("down-{number}"), &fields).await
        }
    });
    for answer in join_all(calls).await {
        assert!(answer.status >= 500, "{answer:?}");
    }
    let tries = gateway.log_lines("attempt not run", None).len();
    let placed = gateway.log_lines("placed", None).len();
    assert!((1..=SERVERS * MAX_TRIES_PER_SERVER).contains(&tries), "{tries} tries");
    assert_eq!(tries, placed);

    let began = Instant::now();
    let back = FakeReplica::start(replica_config(ENGINE, 0), Some(addresses[0])).await;
    let _back = back.expect("the port is free");
    let fields = [("deadline-ms", deadline.1.as_str())];
    let answer = gateway.call_with(Method::POST, "/stream/1", "back", &fields).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    let took = began.elapsed();
    assert!(took < Duration::from_millis(1500), "{took:?}");
}
