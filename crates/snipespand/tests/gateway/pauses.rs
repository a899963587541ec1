//! Tests of backend servers and gateways that are slow or suspended for a short time.

use std::time::Duration;

use hyper::Method;
use nix::sys::signal::Signal;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::ReplicaConfig;
use snipespan_fakes::users_platform::replica::stream_event;

use crate::harness::ENGINE;
use crate::harness::TestPlatform;
use crate::harness::replica_config;
use crate::harness::wait_until;

/// Time for which a sound server or process may be silent and go on; clients of the tests' streams
/// leave after 6 s.
const SILENCE: Duration = Duration::from_millis(1500);

/// Starts the platform and an engine that pauses before each of four events, the only one at first.
async fn start_slow_engine(pause: Duration) -> (TestPlatform, FakeReplica) {
    let platform = TestPlatform::start(1).await;
    let config = ReplicaConfig { events: 4, pause, ..replica_config(ENGINE, 7) };
    let slow = FakeReplica::start(config, None).await.expect("it starts");
    platform.store.remove("servers", platform.engines[0].id());
    platform.set_state(&slow, "ready");
    (platform, slow)
}

/// Guards against a slow but sound stream that is cut or started again at another engine.
#[tokio::test]
async fn slow_stream_stays_at_its_engine() {
    let (platform, slow) = start_slow_engine(SILENCE).await;
    let gateway = platform.gateway("gateway-1").await;
    let call = gateway.call(Method::POST, "/stream/1", "request-1");
    let relist = async {
        wait_until("the stream runs", || slow.runs().len() == 1).await;
        platform.set_state(&platform.engines[0], "ready");
    };
    let (answer, ()) = tokio::join!(call, relist);
    assert!(answer.is_complete);
    assert_eq!(answer.body, (1..=4).map(stream_event).collect::<String>());
    assert_eq!((slow.runs().len(), platform.engines[0].runs().len()), (1, 0));
}

/// Guards against a stream that is cut, or started again at another engine, because its gateway was
/// suspended for a while.
#[tokio::test]
async fn stream_of_a_suspended_gateway_goes_on() {
    let (platform, slow) = start_slow_engine(Duration::from_millis(300)).await;
    let gateway = platform.gateway("gateway-1").await;
    let call = gateway.call(Method::POST, "/stream/1", "request-1");
    let suspend = async {
        wait_until("the stream runs", || slow.runs().len() == 1).await;
        platform.set_state(&platform.engines[0], "ready");
        tokio::time::sleep(Duration::from_millis(450)).await;
        gateway.signal(Signal::SIGSTOP);
        tokio::time::sleep(SILENCE).await;
        gateway.signal(Signal::SIGCONT);
    };
    let (answer, ()) = tokio::join!(call, suspend);
    assert!(answer.is_complete);
    assert_eq!(answer.body, (1..=4).map(stream_event).collect::<String>());
    assert_eq!((slow.runs().len(), platform.engines[0].runs().len()), (1, 0));
}

/// Guards against a request of a suspended gateway that is sent to a backend server after the time
/// that its client waits. The only server is listed while the gateway
/// is suspended.
#[tokio::test]
async fn request_whose_time_ran_out_while_its_gateway_was_suspended_is_not_run() {
    let platform = TestPlatform::start(1).await;
    platform.store.remove("servers", platform.plain[0].id());
    let gateway = platform.gateway("gateway-1").await;
    let fields = [("deadline-ms", "1000")];
    let call = gateway.call_with(Method::POST, "/order/1", "request-1", &fields);
    let suspend = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        gateway.signal(Signal::SIGSTOP);
        platform.set_state(&platform.plain[0], "ready");
        tokio::time::sleep(SILENCE).await;
        gateway.signal(Signal::SIGCONT);
    };
    let (answer, ()) = tokio::join!(call, suspend);
    assert!(answer.status >= 500, "{}", answer.status);
    assert_eq!(platform.plain_runs(), 0);
}
