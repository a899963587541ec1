//! Tests of backend servers that name a limit of requests.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::ReplicaNotice;

use crate::harness::Gateway;
use crate::harness::TestPlatform;

/// Window of the rule on limits.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after the first answer with a limit from which the rule holds.
const GRACE: Duration = Duration::from_secs(3);

/// Pause between the requests of a client.
const CLIENT_PAUSE: Duration = Duration::from_millis(40);

fn limited(limit: &str) -> ReplicaNotice {
    ReplicaNotice { limit: Some(limit.to_owned()), ..ReplicaNotice::default() }
}

async fn start_gateways(platform: &TestPlatform) -> Vec<Gateway> {
    let names = (0..3).map(|number| format!("gateway-{number}"));
    let starts = names.map(|name| async move { platform.gateway(&name).await });
    futures_util::future::join_all(starts).await
}

/// Sends requests one after the other for a time; returns their number and how many were served.
async fn send_for(gateway: &Gateway, client: usize, time: Duration) -> (usize, usize) {
    let began = Instant::now();
    let (mut sent, mut served) = (0, 0);
    while began.elapsed() < time {
        let id = format!("request-{client}-{sent}");
        let answer = gateway.call(Method::GET, "/look/1", &id).await;
        sent += 1;
        served += usize::from(answer.status == 200);
        tokio::time::sleep(CLIENT_PAUSE).await;
    }
    (sent, served)
}

/// Sends requests to all gateways at the same time; returns their number and how many were served.
async fn load(gateways: &[Gateway], time: Duration) -> (usize, usize) {
    let clients = gateways.iter().enumerate();
    let clients = clients.map(|(client, gateway)| send_for(gateway, client, time));
    let counts = futures_util::future::join_all(clients).await;
    counts.into_iter().fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1))
}

/// Returns the most requests that a replica got in any window that begins after `from`.
fn most_in_window(replica: &FakeReplica, from: Instant) -> usize {
    let arrivals: Vec<_> = replica.arrivals().into_iter().filter(|at| *at >= from).collect();
    let counts = arrivals.iter().enumerate().map(|(first, start)| {
        arrivals[first..].iter().take_while(|at| **at < *start + WINDOW).count()
    });
    counts.max().unwrap_or_default()
}

/// Guards against a backend server that gets more requests from several gateways than the limit that
/// it names: one and a half times the limit and 5 in any 4 s.
#[tokio::test]
async fn named_limit_is_kept_by_all_gateways() {
    let platform = TestPlatform::start(2).await;
    let gateways = start_gateways(&platform).await;
    load(&gateways, Duration::from_secs(1)).await;
    platform.plain[0].set_notice(limited("1.5"));
    let named = Instant::now();
    let (sent, served) = load(&gateways, GRACE + WINDOW + WINDOW).await;
    let most = most_in_window(&platform.plain[0], named + GRACE);
    assert!(most <= 14, "{most} requests in 4 s");
    // It is used up to its limit, which is 12 in 8 s.
    let used = platform.plain[0].arrivals().into_iter().filter(|at| *at >= named + GRACE).count();
    assert!(used >= 6, "{used} requests in 8 s");
    assert_eq!(served, sent);
}

/// Guards against requests that wait until their deadline for a service whose only backend server names
/// a limit, and against refusals that do not say when to come back.
#[tokio::test]
async fn request_over_the_limit_is_refused_with_the_time_to_return() {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.plain[0].set_notice(limited("0.5"));
    let mut refused = 0;
    for number in 0..8 {
        let began = Instant::now();
        let answer = gateway.call(Method::GET, "/look/1", &format!("request-{number}")).await;
        assert!(began.elapsed() < Duration::from_millis(2500), "{:?}", began.elapsed());
        if answer.status == 200 {
            continue;
        }
        refused += 1;
        assert_eq!(answer.status, 503);
        let after = answer.headers["retry-after"].to_str().expect("text").parse::<f64>();
        let after = after.expect("a number");
        assert!(after > 0.0 && after <= 4.5, "{after}");
    }
    assert!(refused >= 3, "{refused} refused");
}
