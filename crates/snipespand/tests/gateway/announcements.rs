//! Tests of replicas that say in their answers that they are leaving or want no requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::json;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::ReplicaConfig;
use snipespan_fakes::users_platform::replica::ReplicaNotice;
use snipespan_fakes::users_platform::replica::Run;
use snipespan_fakes::users_platform::store::StoreFault;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::harness::Answer;
use crate::harness::Gateway;
use crate::harness::PLAIN;
use crate::harness::TestPlatform;
use crate::harness::replica_config;
use crate::harness::wait_until;

/// Number of calls of which each of two idle replicas gets some.
const CALLS: usize = 16;

/// Token counts of a prompt of 400,000 tokens, which takes the memory of several engines.
const LONG_PROMPT: [(&str, &str); 1] = [("token-count", "400000,258")];

/// Returns the notice of a replica that is leaving.
fn leaving() -> ReplicaNotice {
    ReplicaNotice { is_leaving: true, ..ReplicaNotice::default() }
}

/// Returns the notice of a replica that turns requests away for these seconds.
fn unwanted(seconds: &str) -> ReplicaNotice {
    ReplicaNotice { retry_after: vec![seconds.to_owned()], ..ReplicaNotice::default() }
}

/// Sends requests one after the other, which all must be served; `name` is part of their ids.
async fn call_in_turn(gateway: &Gateway, path: &str, name: &str) {
    for number in 0..CALLS {
        let answer = gateway.call(Method::POST, path, &format!("{name}-{number}")).await;
        assert_eq!(answer.status, 200, "{name}-{number}");
        assert!(answer.is_complete, "{name}-{number}");
    }
}

/// Sends requests until one has run at `replica`; `name` is part of their ids.
async fn call_until_run_at(gateway: &Gateway, replica: &FakeReplica, path: &str, name: &str) {
    let before = replica.runs().len();
    for number in 0..4 * CALLS {
        let answer = gateway.call(Method::POST, path, &format!("{name}-{number}")).await;
        assert_eq!(answer.status, 200, "{name}-{number}");
        if replica.runs().len() > before {
            return;
        }
    }
    panic!("no request ran at {}", replica.id());
}

/// Guards against new requests to a replica whose answer says that it is leaving, as long as the
/// store cannot say so; the answer itself is passed on complete.
#[rstest]
#[case::plain_answer("/order/1", StoreFault::Silent)]
#[case::stream("/stream/1", StoreFault::Silent)]
#[case::store_busy("/order/1", StoreFault::Busy)]
#[tokio::test]
async fn leaving_in_an_answer_ends_new_work_without_the_store(
    #[case] path: &str,
    #[case] fault: StoreFault,
) {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    platform.store.set_fault(fault);
    let replicas = if path == "/order/1" { &platform.plain } else { &platform.engines };
    replicas[0].set_notice(leaving());
    let mut passed_on = 0;
    for number in 0..2 * CALLS {
        let answer = gateway.call(Method::POST, path, &format!("request-{number}")).await;
        assert!(answer.status == 200 && answer.is_complete, "request-{number}");
        passed_on += usize::from(answer.headers.contains_key("server-leaving"));
    }
    assert_eq!(replicas[0].runs().len(), 1);
    assert_eq!(passed_on, 1, "the answer is passed on as it is");
}

/// Guards against a listing that brings a leaving replica back, changed or removed and added again,
/// and against a later incarnation that is taken for it.
#[tokio::test]
async fn leaving_replica_listed_as_ready_stays_out_of_use_until_it_restarts() {
    let platform = TestPlatform::start(2).await;
    let gateway = platform.gateway("gateway-1").await;
    let replica = &platform.plain[0];
    replica.set_notice(leaving());
    call_until_run_at(&gateway, replica, "/order/1", "first").await;
    let mut listing = replica.listing(replica.address(), "ready");
    listing["slots"] = json!(17);
    platform.store.put("servers", replica.id(), &listing);
    gateway.wait_for_log("backend server changed", Some(("cause", "listing changed"))).await;
    call_in_turn(&gateway, "/order/1", "changed").await;
    platform.store.remove("servers", replica.id());
    gateway.wait_for_log("backend server changed", Some(("standing", "gone"))).await;
    let listed = |gateway: &Gateway| {
        let lines = gateway.log_lines("backend server changed", Some(("cause", "listed")));
        lines.iter().filter(|line| line["backend_server"] == "orders-0").count()
    };
    let before = listed(&gateway);
    platform.store.put("servers", replica.id(), &listing);
    wait_until("it is listed again", || listed(&gateway) > before).await;
    call_in_turn(&gateway, "/order/1", "listed").await;
    assert_eq!(replica.runs().len(), 1);
    replica.set_notice(ReplicaNotice::default());
    listing["born"] = json!(2);
    platform.store.put("servers", replica.id(), &listing);
    call_until_run_at(&gateway, replica, "/order/1", "restarted").await;
}

/// Guards against a gateway that takes up a leaving replica again because of what its peers report,
/// and against a restarted one that sends more than the request by which it learns of the leaving.
#[tokio::test]
async fn leaving_replica_beside_peers_and_restarts_gets_one_request_of_each_process() {
    let platform = TestPlatform::start(2).await;
    let first = platform.gateway("gateway-1").await;
    let second = platform.gateway("gateway-2").await;
    let replica = &platform.plain[0];
    replica.set_notice(leaving());
    call_until_run_at(&first, replica, "/order/1", "first").await;
    call_until_run_at(&second, replica, "/order/1", "second").await;
    call_in_turn(&first, "/order/1", "first-again").await;
    assert_eq!(replica.runs().len(), 2);
    drop(first);
    let restarted = platform.gateway("gateway-1").await;
    call_until_run_at(&restarted, replica, "/order/1", "restarted").await;
    call_in_turn(&restarted, "/order/1", "restarted-again").await;
    call_in_turn(&second, "/order/1", "second-again").await;
    assert_eq!(replica.runs().len(), 3);
}

/// Returns the addresses of the engines that took part in a run.
fn engines_of(run: &Run) -> Vec<SocketAddr> {
    let helpers = run.headers["helpers"].to_str().expect("text").split(',');
    let address = |helper: &str| helper.split('/').next().and_then(|text| text.parse().ok());
    helpers.map(|helper| address(helper).expect("an address")).collect()
}

/// Returns the only run of a request at any engine.
fn run_of(platform: &TestPlatform, request: &str) -> Run {
    let runs = platform.engines.iter().flat_map(|engine| engine.runs());
    let mut runs: Vec<_> = runs.filter(|run| run.request == request).collect();
    assert_eq!(runs.len(), 1, "{request}");
    runs.remove(0)
}

/// Guards against a span with an engine whose answer to the reservation says that it is leaving,
/// and against memory that stays reserved there.
#[tokio::test]
async fn leaving_in_the_answer_to_a_reservation_keeps_the_engine_out_of_the_span() {
    let platform = TestPlatform::start(10).await;
    let gateway = platform.gateway("gateway-1").await;
    let answer = gateway.call_with(Method::POST, "/stream/1", "before", &LONG_PROMPT).await;
    assert_eq!(answer.status, 200);
    let engines = engines_of(&run_of(&platform, "before"));
    let is_leaving = |engine: &&FakeReplica| engines.contains(&engine.address());
    let all = platform.engines.iter();
    all.clone().filter(is_leaving).for_each(|engine| engine.set_notice(leaving()));
    for number in 0..3 {
        let id = format!("after-{number}");
        let answer = gateway.call_with(Method::POST, "/stream/1", &id, &LONG_PROMPT).await;
        assert!(answer.status == 200 && answer.is_complete);
        let used = engines_of(&run_of(&platform, &id));
        assert!(!used.iter().any(|address| engines.contains(address)), "{id}: {used:?}");
    }
    wait_until("the memory is free", || {
        platform.engines.iter().all(|engine| engine.reserved_tokens() == 0)
    })
    .await;
}

/// Time after its first refusal in which a replica may still get requests that were under way.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Time for which replicas want no requests in the tests under load.
const UNWANTED: Duration = Duration::from_secs(2);

/// Returns how many requests arrived at a replica from `from` until `until` after `start`.
fn arrivals_between(
    replica: &FakeReplica,
    start: Instant,
    from: Duration,
    until: Duration,
) -> usize {
    let is_between = |at: &Instant| *at >= start + from && *at < start + until;
    replica.arrivals().into_iter().filter(is_between).count()
}

/// Lets clients call without a pause for a while; returns when each answer arrived, how long it took
/// and the answer.
async fn call_under_load(
    gateway: &Arc<Gateway>,
    path: &'static str,
    clients: usize,
    lasting: Duration,
) -> Vec<(Instant, Duration, Answer)> {
    let end = Instant::now() + lasting;
    let client = |client: usize| {
        let gateway = Arc::clone(gateway);
        async move {
            let mut answers = Vec::new();
            while Instant::now() < end {
                let id = format!("load-{client}-{}", answers.len());
                let began = Instant::now();
                let answer = gateway.call(Method::POST, path, &id).await;
                answers.push((Instant::now(), began.elapsed(), answer));
            }
            answers
        }
    };
    let tasks: Vec<_> = (0..clients).map(|number| tokio::spawn(client(number))).collect();
    let mut answers = Vec::new();
    for task in tasks {
        answers.extend(task.await.expect("a client ends"));
    }
    answers
}

/// Guards against requests to a replica in the time for which it wants none, against refusing what
/// others can serve, and against not using it again. What was under way arrives within half a
/// second. Short streams gather at few engines: 14 clients call two of the four at least.
#[rstest]
#[case::one_of_four("/order/1", 1, 6)]
#[case::half("/order/1", 2, 6)]
#[case::three_of_four_engines("/stream/1", 3, 14)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unwanted_requests_under_load_go_elsewhere(
    #[case] path: &'static str,
    #[case] count: usize,
    #[case] clients: usize,
) {
    let platform = TestPlatform::start(4).await;
    let gateway = Arc::new(platform.gateway("gateway-1").await);
    let replicas = if path == "/order/1" { &platform.plain } else { &platform.engines };
    let turning_away = &replicas[..count];
    turning_away.iter().for_each(|replica| replica.set_notice(unwanted("2")));
    let load = call_under_load(&gateway, path, clients, 2 * UNWANTED);
    let recovery = async {
        tokio::time::sleep(UNWANTED * 9 / 10).await;
        turning_away.iter().for_each(|replica| replica.set_notice(ReplicaNotice::default()));
    };
    let (answers, ()) = tokio::join!(load, recovery);
    for (_, _, answer) in answers {
        assert!(answer.status == 200 && answer.is_complete, "{answer:?}");
    }
    let (mut refusing, mut used_again) = (0, 0);
    for replica in turning_away {
        let Some(first) = replica.arrivals().first().copied() else { continue };
        refusing += 1;
        assert_eq!(arrivals_between(replica, first, UNDER_WAY, UNWANTED), 0, "{}", replica.id());
        used_again += arrivals_between(replica, first, UNWANTED, 2 * UNWANTED);
    }
    assert!(refusing > 0 && used_again > 0, "{refusing} turned requests away");
    assert!(path != "/order/1" || refusing == count, "all idle replicas get some");
    assert!(gateway.log_lines("backend server suspended", None).is_empty(), "it did not fail");
    let begun = gateway.log_lines("backend server wants no requests", None).len();
    let ended = gateway.log_lines("backend server takes requests again", None).len();
    assert_eq!((begun, ended), (refusing, refusing));
}

/// Guards against requests that wait until their deadline although all replicas have said that they
/// want none: they are refused at once, with the earliest return as `Retry-After`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unwanted_requests_at_all_replicas_are_refused_at_once() {
    let platform = TestPlatform::start(3).await;
    let gateway = Arc::new(platform.gateway("gateway-1").await);
    platform.plain.iter().for_each(|replica| replica.set_notice(unwanted("2")));
    let began = Instant::now();
    let answers = call_under_load(&gateway, "/order/1", 6, UNWANTED * 9 / 10).await;
    for (at, took, answer) in &answers {
        assert_eq!(answer.status, 503);
        assert!(*took < Duration::from_millis(600), "held for {took:?}");
        let retry_after = answer.headers["retry-after"].to_str().expect("text");
        let retry_after: f64 = retry_after.parse().expect("seconds");
        let early = (*at - began + Duration::from_secs_f64(retry_after)).as_secs_f64();
        assert!((1.9..3.0).contains(&early), "a retry {early} s after the first refusal");
    }
    for replica in &platform.plain {
        let first = replica.arrivals()[0];
        assert_eq!(arrivals_between(replica, first, UNDER_WAY, UNWANTED), 0, "{}", replica.id());
    }
    platform.plain.iter().for_each(|replica| replica.set_notice(ReplicaNotice::default()));
    tokio::time::sleep(UNWANTED / 2).await;
    assert_eq!(gateway.call(Method::POST, "/order/1", "after").await.status, 200);
}

/// Guards against a gateway that was paused and acts on a time that has run out meanwhile, or that
/// takes one for over that is not.
#[rstest]
#[case::over_meanwhile("1", 1700, 200)]
#[case::not_over_yet("4", 1000, 503)]
#[tokio::test]
async fn unwanted_time_goes_on_while_the_gateway_is_paused(
    #[case] seconds: &str,
    #[case] pause_ms: u64,
    #[case] status: u16,
) {
    let platform = TestPlatform::start(1).await;
    let gateway = platform.gateway("gateway-1").await;
    let replica = &platform.plain[0];
    replica.set_notice(unwanted(seconds));
    assert_eq!(gateway.call(Method::POST, "/order/1", "refused").await.status, 503);
    assert_eq!(replica.arrivals().len(), 1);
    gateway.signal(Signal::SIGSTOP);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    replica.set_notice(ReplicaNotice::default());
    gateway.signal(Signal::SIGCONT);
    assert_eq!(gateway.call(Method::POST, "/order/1", "resumed").await.status, status);
    assert_eq!(replica.runs().len(), usize::from(status == 200));
}

/// Guards against a reservation or a request to an engine that turned a reservation away.
#[tokio::test]
async fn unwanted_reservations_go_to_other_engines() {
    let platform = TestPlatform::start(10).await;
    let gateway = platform.gateway("gateway-1").await;
    let answer = gateway.call_with(Method::POST, "/stream/1", "before", &LONG_PROMPT).await;
    assert_eq!(answer.status, 200);
    let engines = engines_of(&run_of(&platform, "before"));
    let is_unwanted = |engine: &&FakeReplica| engines.contains(&engine.address());
    let turning_away: Vec<_> = platform.engines.iter().filter(is_unwanted).collect();
    wait_until("the memory is free", || {
        platform.engines.iter().all(|engine| engine.reserved_tokens() == 0)
    })
    .await;
    turning_away.iter().for_each(|engine| engine.set_notice(unwanted("8")));
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < 3 * UNDER_WAY {
        let id = format!("after-{number}");
        let answer = gateway.call_with(Method::POST, "/stream/1", &id, &LONG_PROMPT).await;
        assert!(answer.status == 200 && answer.is_complete, "{id}");
        number += 1;
    }
    for engine in turning_away {
        let is_later = |at: &&Instant| **at > began;
        let arrivals = engine.arrivals();
        let Some(first) = arrivals.iter().find(is_later) else { continue };
        let later = arrivals_between(engine, *first, UNDER_WAY, Duration::from_secs(8));
        assert_eq!(later, 0, "{}", engine.id());
    }
}

/// Guards against a gateway that calls a replica which wants nothing from it because a peer reports
/// work there, and against a restarted one that calls it more than once.
#[tokio::test]
async fn unwanted_requests_beside_peers_and_restarts_arrive_once_from_each_process() {
    let platform = TestPlatform::start(2).await;
    let first = platform.gateway("gateway-1").await;
    let second = platform.gateway("gateway-2").await;
    let replica = &platform.plain[0];
    replica.set_notice(unwanted("30"));
    let mut expected = 0;
    for gateway in [&first, &second] {
        call_in_turn(gateway, "/order/1", &format!("peer-{expected}")).await;
        expected += 1;
        assert_eq!(replica.arrivals().len(), expected);
    }
    call_in_turn(&first, "/order/1", "first-again").await;
    drop(first);
    let restarted = platform.gateway("gateway-1").await;
    call_in_turn(&restarted, "/order/1", "restarted").await;
    call_in_turn(&second, "/order/1", "second-again").await;
    assert_eq!(replica.arrivals().len(), 3);
}

/// Returns a listener whose queue is full, so that connecting to it takes longer than the gateway
/// waits, and the connections that fill it.
async fn full_listener() -> (TcpListener, Vec<JoinHandle<std::io::Result<TcpStream>>>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let listener = socket.listen(1).expect("it listens");
    let address = listener.local_addr().expect("an address");
    let connections = (0..8).map(|_| tokio::spawn(TcpStream::connect(address))).collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    (listener, connections)
}

/// Guards against a request that is sent after the answer by which its replica announces that it
/// leaves, because it was ordered before. Its connection is not open yet, as the
/// replica is listed at another address since its first request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_withdraws_a_request_that_is_not_sent_yet() {
    let platform = TestPlatform::start(0).await;
    let gateway = Arc::new(platform.gateway("gateway-1").await);
    let pause = Duration::from_millis(1000);
    let config = ReplicaConfig { pause, ..replica_config(PLAIN, 0) };
    let replica = FakeReplica::start(config, None).await.expect("it starts");
    platform.set_state(&replica, "ready");
    gateway.wait_for_log("backend server changed", Some(("cause", "listed"))).await;
    let call = |id: &'static str| {
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move { gateway.call(Method::POST, "/order/1", id).await })
    };
    let first = call("first");
    wait_until("it runs", || replica.runs().len() == 1).await;
    let (listener, _connections) = full_listener().await;
    let address = listener.local_addr().expect("an address");
    platform.store.put("servers", replica.id(), &replica.listing(address, "ready"));
    gateway.wait_for_log("backend server changed", Some(("cause", "listing changed"))).await;
    let began = replica.runs()[0].began;
    replica.set_notice(leaving());
    // One of these is connecting when the first answer arrives.
    let mut later = Vec::new();
    for (id, after_ms) in [("second", 700), ("third", 850), ("fourth", 950)] {
        tokio::time::sleep_until((began + Duration::from_millis(after_ms)).into()).await;
        later.push(call(id));
    }
    first.await.expect("an answer");
    for answer in later {
        assert_eq!(answer.await.expect("an answer").status, 503);
    }
    let withdrawn = gateway.log_lines("attempt not run", Some(("reason", "Withdrawn")));
    assert!(!withdrawn.is_empty());
    assert_eq!(replica.runs().len(), 1);
}
