use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::result_code::ResultCode;

use crate::kit;
use crate::kit::ENGINE;
use crate::kit::Kit;

#[rstest]
#[case::unknown_path("/nowhere/1", Some("key-1"), ResultCode::UnknownService)]
#[case::unknown_key("/look/1", Some("key-9"), ResultCode::Unauthenticated)]
#[case::no_key("/look/1", None, ResultCode::Unauthenticated)]
fn arrival_rejected(#[case] path: &str, #[case] key: Option<&str>, #[case] code: ResultCode) {
    let mut kit = Kit::new(1);
    let mut arrival = kit.arrival(path, 0);
    arrival.api_key = key.map(Into::into);
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    assert_eq!(kit.refused(), [code]);
    assert!(kit.world.requests.is_empty());
}

/// Guards against denying a route or an API key that may be new in the store. The store last
/// answered 15 s ago, and its data counts as stale after 14 s.
#[rstest]
#[case::unknown_path("/nowhere/1", "key-1")]
#[case::unknown_key("/look/1", "key-9")]
fn arrival_not_denied_while_store_is_stale(#[case] path: &str, #[case] key: &str) {
    let mut kit = Kit::new(1);
    kit.step(vec![Event::StoreLost]);
    kit.advance(Duration::from_secs(15));
    let mut arrival = kit.arrival(path, 0);
    arrival.api_key = Some(key.into());
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    assert_eq!(kit.refused(), [ResultCode::NotReady]);
}

#[test]
fn arrival_before_any_configuration() {
    let mut kit = Kit::unconfigured();
    kit.arrive("/look/1", 0);
    kit.run_until(kit.now.after(Duration::from_millis(1500)));
    assert_eq!(kit.refused(), [ResultCode::NotReady]);
}

#[test]
fn deadline_is_the_shorter_of_client_and_route() {
    let mut kit = Kit::new(1);
    let (_, dispatch) = kit.send("/look/1", 0);
    assert_eq!(dispatch.deadline.since(kit.now), Duration::from_secs(1));
    let mut arrival = kit.arrival("/look/2", 0);
    arrival.time_limit = Some(Duration::from_millis(400));
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    assert_eq!(kit.sent_one().deadline.since(kit.now), Duration::from_millis(400));
}

#[test]
fn route_timeout_ends_a_request_that_was_sent_as_failed() {
    let mut kit = Kit::new(1);
    kit.send("/order/1", 0);
    kit.run_until(kit.now.after(Duration::from_millis(1001)));
    assert_eq!(kit.refused(), [ResultCode::DeadlineExceeded]);
    assert!(kit.world.work.is_empty());
}

#[test]
fn caller_disconnect_frees_the_backend_server() {
    let mut kit = Kit::new(1);
    kit.send("/draft/1", 5_000);
    let request = kit.world.requests.iter().next().expect("a request").0;
    kit.step(vec![Event::CallerDisconnected { request }]);
    assert!(kit.world.work.is_empty());
    assert!(kit.effects.iter().any(|effect| matches!(effect, Effect::CloseRequest { .. })));
}

#[test]
fn gateway_without_configuration_asks_clients_to_wait_out_an_outage() {
    let mut kit = Kit::unconfigured();
    kit.arrive("/draft/1", 5_000);
    kit.run_until(kit.now.after(Duration::from_millis(1500)));
    let waits: Vec<_> = kit
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Refuse { code: ResultCode::NotReady, retry_after, .. } => *retry_after,
            _ => None,
        })
        .collect();
    // Nearly a third of the 8.5 s that the client has left.
    assert_eq!(waits, [Duration::from_millis(2720)]);
}

/// Replays the start of a gateway during an outage of the store: requests wait for the
/// configuration instead of losing their client's only retry.
#[test]
fn request_without_a_configuration_is_sent_once_there_is_one() {
    let mut kit = Kit::unconfigured();
    kit.arrive("/draft/1", 5_000);
    let held = |effect: &Effect| {
        matches!(effect, Effect::LogDecision(decision)
            if matches!(**decision, Decision::Held { code: ResultCode::NotReady, .. }))
    };
    assert!(kit.effects.iter().any(held), "the wait is logged");
    kit.run_until(kit.now.after(Duration::from_millis(1400)));
    assert!(kit.refused().is_empty());
    let serving = Box::new(kit::serving(1));
    let listings = kit.listings_read(vec![kit::listing(ENGINE, 1)]);
    kit.step(vec![Event::ServingReceived { serving, is_from_store: true }, listings]);
    let sent = kit.sent_one();
    assert_eq!(sent.deadline.since(kit.now), Duration::from_millis(8600));
}

/// Guards against a client that leaves a silent stream, which it does after 2 s at the earliest,
/// and against a `Retry-After` beyond a third of the time that it has left.
#[test]
fn request_without_a_configuration_is_refused_before_its_client_leaves() {
    let mut kit = Kit::unconfigured();
    kit.arrive("/draft/1", 5_000);
    kit.run_until(kit.now.after(Duration::from_millis(1600)));
    assert_eq!(kit.refused(), [ResultCode::NotReady]);
    let retry_after = kit.effects.iter().find_map(|effect| match effect {
        Effect::Refuse { retry_after, .. } => *retry_after,
        _ => None,
    });
    let retry_after = retry_after.expect("the client may return");
    let third = Duration::from_millis(8500) / 3;
    assert!(retry_after > third * 9 / 10 && retry_after <= third, "{retry_after:?}");
    assert!(kit.world.unrouted.is_empty());
}

/// A request whose client has less time than that is refused after a quarter of it.
#[test]
fn request_without_a_configuration_is_refused_after_a_quarter_of_its_time() {
    let mut kit = Kit::unconfigured();
    let mut arrival = kit.arrival("/order/1", 0);
    arrival.time_limit = Some(Duration::from_secs(2));
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    kit.run_until(kit.now.after(Duration::from_millis(490)));
    assert!(kit.refused().is_empty());
    kit.run_until(kit.now.after(Duration::from_millis(20)));
    assert_eq!(kit.refused(), [ResultCode::NotReady]);
}

/// Guards against a planned stop that waits for a configuration.
#[test]
fn request_without_a_configuration_is_refused_by_a_stopping_gateway() {
    let mut kit = Kit::unconfigured();
    kit.arrive("/draft/1", 5_000);
    kit.step(vec![Event::StopRequested]);
    kit.step(Vec::new());
    assert_eq!(kit.refused().len(), 1);
}

/// Guards against a process that was suspended between the receipt of a request and its admission:
/// the request is not sent when its time has run out meanwhile.
#[test]
fn request_whose_time_ran_out_before_its_admission_is_not_sent() {
    let mut kit = Kit::new(1);
    let mut arrival = kit.arrival("/order/1", 0);
    arrival.time_limit = Some(Duration::from_secs(1));
    kit.advance(Duration::from_secs(3));
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    assert!(kit.sent().is_empty());
    assert_eq!(kit.refused(), [ResultCode::ExpiredBeforeDispatch]);
}
