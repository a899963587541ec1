use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::result_code::ResultCode;

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
    assert_eq!(kit.refused(), [ResultCode::NotReady]);
}

#[test]
fn deadline_is_the_shorter_of_client_and_route() {
    let mut kit = Kit::new(1);
    let (_, dispatch) = kit.send("/look/1", 0);
    assert_eq!(dispatch.remaining, Duration::from_secs(1));
    let mut arrival = kit.arrival("/look/2", 0);
    arrival.time_limit = Some(Duration::from_millis(400));
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    assert_eq!(kit.sent_one().remaining, Duration::from_millis(400));
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
    let waits: Vec<_> = kit
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Refuse { code: ResultCode::NotReady, retry_after, .. } => *retry_after,
            _ => None,
        })
        .collect();
    // A quarter of the client's time limit of ten seconds.
    assert_eq!(waits, [Duration::from_millis(2500)]);
}
