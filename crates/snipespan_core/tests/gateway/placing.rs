use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::message::PeerUpdate;
use snipespan_core::gateway::message::WorkChange;
use snipespan_core::gateway::message::WorkReport;
use snipespan_core::gateway::serving::Route;
use snipespan_core::gateway::serving::RouteKind;
use snipespan_core::gateway::tables::work::Phase;
use snipespan_core::gateway::tables::work::Urgency;
use snipespan_core::gateway::tables::work::WorkDemand;
use snipespan_core::gateway::tables::work::WorkId;
use snipespan_core::result_code::ResultCode;

use crate::kit;
use crate::kit::ENGINE;
use crate::kit::ENGINE_SPEC;
use crate::kit::Kit;
use crate::kit::PLAIN;

#[test]
fn short_prompts_avoid_an_engine_that_prefills_a_long_one() {
    let mut kit = Kit::new(3);
    let (_, long) = kit.send("/long/1", 130_000);
    for _ in 0..6 {
        let (_, short) = kit.send("/draft/short", 5_000);
        assert_ne!(short.address, long.address);
    }
}

#[test]
fn long_prompt_avoids_decoding_engines() {
    let mut kit = Kit::new(2);
    let (_, short) = kit.send("/draft/short", 5_000);
    kit.advance(Duration::from_millis(50));
    kit.progress(short.work);
    let (_, long) = kit.send("/long/1", 130_000);
    assert_ne!(long.address, short.address);
}

/// Guards against choosing an engine as if it were idle while it works for another gateway.
#[test]
fn work_of_peers_counts() {
    let mut kit = Kit::new(2);
    let demand = WorkDemand {
        prompt_tokens: 130_000,
        output_tokens: 800,
        prefill_ms: ENGINE_SPEC.prefill_ms(130_000),
        latency_goal_ms: 300.0,
        gap_goal_ms: 1000.0,
        urgency: Urgency::of_priority(1),
    };
    let instance_hash = kit::listing(ENGINE, 1).instance_hash;
    let report =
        WorkReport { id: WorkId(1), instance_hash, demand, phase: Phase::Prefill, age_ms: 0 };
    let message = kit::peer_message(1, 1, PeerUpdate::Changes(vec![WorkChange::Started(report)]));
    kit.step(vec![Event::PeerMessageReceived { from: kit::peer_address(2), message }]);
    for _ in 0..4 {
        let (_, sent) = kit.send("/draft/1", 5_000);
        assert_eq!(sent.address, kit::listing(ENGINE, 2).address);
    }
}

/// Guards against a request that waits for a backend server until its client leaves: without a known one
/// half of that time is left to its client, who leaves a stream after 2 s, and a call after 1 s.
#[rstest]
#[case::stream("/draft/1", 5_000, 1_000)]
#[case::call("/order/1", 0, 500)]
fn without_backend_servers_a_request_is_refused_in_time(
    #[case] path: &str,
    #[case] tokens: u64,
    #[case] limit_ms: u64,
) {
    let mut kit = Kit::new(1);
    kit.step(vec![kit.listing_removed(ENGINE, 1)]);
    kit.step(vec![kit.listing_removed(PLAIN, 101)]);
    kit.arrive(path, tokens);
    assert!(kit.refused().is_empty());
    kit.run_until(kit.now.after(Duration::from_millis(limit_ms)));
    assert_eq!(kit.refused().len(), 1);
    assert!(kit.refused()[0].is_not_run());
}

/// Guards against refusing a call that could still be answered in time: its only backend server is full
/// for 0.8 of its 1 s.
#[test]
fn call_waits_for_a_full_backend_server_as_long_as_it_has_time() {
    let mut kit = Kit::new(1);
    kit::hold_work(&mut kit, PLAIN, 101, 64);
    kit.arrive("/order/1", 0);
    kit.run_until(kit.now.after(Duration::from_millis(800)));
    assert_eq!(kit.refused(), []);
    let update = PeerUpdate::Changes((1..=64).map(|id| WorkChange::Ended(WorkId(id))).collect());
    let message = kit::peer_message(kit.now.as_micros(), 1, update);
    kit.step(vec![Event::PeerMessageReceived { from: kit::peer_address(2), message }]);
    let sent = kit.sent().len();
    kit.run_until(kit.now.after(Duration::from_millis(40)));
    assert_eq!(sent + kit.sent().len(), 1);
}

#[test]
fn waiting_request_is_sent_when_a_backend_server_is_listed() {
    let mut kit = Kit::new(1);
    kit.step(vec![kit.listing_removed(ENGINE, 1)]);
    kit.arrive("/draft/1", 5_000);
    kit.advance(Duration::from_millis(200));
    kit.step(vec![kit.listing_changed(kit::listing(ENGINE, 4))]);
    assert_eq!(kit.sent().len(), 1);
}

/// Guards against an overloaded engine for which no request is refused, so that clients leave before
/// their first event, and against refusing all that miss their goal of 300 ms.
#[test]
fn late_requests_are_served_under_overload_until_clients_would_leave() {
    let mut kit = Kit::new(1);
    let mut refused = 0;
    for _ in 0..120 {
        kit.arrive("/draft/1", 5_000);
        kit.advance(Duration::from_millis(5));
        refused += kit.refused().len();
    }
    assert!(refused > 0);
    let expected = expected_first_events(&kit);
    assert!(expected.iter().any(|expected_ms| *expected_ms > 300.0), "{expected:?}");
    assert!(expected.iter().all(|expected_ms| *expected_ms < 2_000.0), "{expected:?}");
}

/// Guards against telling a client's repeats from its first tries by the time that they have left:
/// each of these has enough for its answer, so under overload they are refused alike.
#[rstest]
#[case::most_of_it(10_000)]
#[case::seven_tenths(7_000)]
#[case::half(5_000)]
fn request_is_refused_under_overload_whatever_time_its_client_has_spent(#[case] limit_ms: u64) {
    let mut kit = Kit::new(1);
    while kit.refused().is_empty() {
        kit.arrive("/draft/1", 5_000);
    }
    let mut arrival = kit.arrival("/draft/2", 5_000);
    arrival.time_limit = Some(Duration::from_millis(limit_ms));
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    assert_eq!(kit.refused(), [ResultCode::CannotEndInTime]);
}

/// Returns a gateway before one engine, with a route of priority 0 beside that of priority 1.
fn kit_with_priorities() -> Kit {
    let mut kit = Kit::new(1);
    let routes = [("/alarm/", 0), ("/draft/", 1)].map(|(prefix, priority)| Route {
        priority,
        ..kit::route(prefix, RouteKind::Streaming { is_resumable: true }, 0)
    });
    let serving = Box::new(kit::serving_with(2, routes.to_vec()));
    kit.step(vec![Event::ServingReceived { serving, is_from_store: true }]);
    kit
}

/// Guards against putting the most urgent route's late requests behind all others: a latency goal
/// that was missed does not lower a request's priority.
#[test]
fn late_request_goes_before_those_of_lower_priority() {
    let mut kit = kit_with_priorities();
    let on_time = kit.send("/draft/1", 5_000).1.urgency;
    let mut late = None;
    while late.is_none() {
        let (_, sent) = kit.send("/alarm/1", 5_000);
        let is_late =
            kit.world.work.get(sent.work).expect("open work").expected_first_event_ms > 400.0;
        late = is_late.then_some(sent.urgency);
    }
    assert!(late < Some(on_time), "{late:?}, {on_time:?}");
}

/// Guards against putting a request behind later ones of its priority, at an engine that then admits
/// those as long as they come, until its client has left: neither one that is expected to miss its goal,
/// nor one that has missed it, is put behind.
#[test]
fn late_request_is_not_overtaken_within_its_priority() {
    let mut kit = Kit::new(2);
    let (_, first) = kit.send("/draft/1", 5_000);
    kit.advance(Duration::from_millis(1_000));
    let (reason, stage) = (FailReason::Broken, AnswerStage::Awaited);
    kit.step(vec![Event::AttemptFailed { work: first.work, reason, stage }]);
    assert_eq!(kit.sent_one().urgency, first.urgency);
    while kit.refused().is_empty() {
        kit.arrive("/draft/1", 5_000);
        assert!(kit.sent().iter().all(|sent| sent.urgency == first.urgency));
    }
}

/// Guards against predicting that an urgent request waits for work that its engine admits after it.
#[test]
fn waiting_work_of_lower_priority_does_not_delay_an_urgent_request() {
    let mut kit = kit_with_priorities();
    for _ in 0..22 {
        kit.send("/draft/1", 5_000);
    }
    let before = kit.send("/draft/1", 5_000).1.work;
    let urgent = kit.send("/alarm/1", 5_000).1.work;
    let expected_ms = |work| kit.world.work.get(work).expect("open work").expected_first_event_ms;
    assert!(expected_ms(urgent) * 2.0 < expected_ms(before));
}

/// Returns the expected times to the first event of all open work, in ms.
fn expected_first_events(kit: &Kit) -> Vec<f64> {
    kit.world.work.iter().map(|(_, work)| work.expected_first_event_ms).collect()
}

/// Guards against refusing a client that would still be there: clients of this route wait 2 s for an
/// event, and predicted waits err by a third.
#[test]
fn request_is_sent_while_its_client_is_expected_to_wait_for_it() {
    let mut kit = Kit::new(1);
    while kit.refused().is_empty() {
        kit.arrive("/draft/1", 5_000);
    }
    let longest = expected_first_events(&kit).into_iter().fold(0.0, f64::max);
    assert!((1_350.0..1_600.0).contains(&longest), "refused from {longest} ms on");
}

/// Guards against a `Retry-After` that does not follow from the load: once the work ahead of it now
/// is done, a client finds room.
#[test]
fn refused_client_returns_when_the_work_ahead_of_it_is_done() {
    let mut kit = Kit::new(1);
    while kit.refused().is_empty() {
        kit.arrive("/draft/1", 5_000);
    }
    let longest = expected_first_events(&kit).into_iter().fold(0.0, f64::max);
    let retry_after = kit.effects.iter().find_map(|effect| match effect {
        Effect::Refuse { retry_after, .. } => *retry_after,
        _ => None,
    });
    let retry_after_ms = retry_after.expect("a time to return").as_secs_f64() * 1e3;
    assert!((longest - 100.0..longest + 100.0).contains(&retry_after_ms), "{retry_after_ms} ms");
}

/// Guards against sending a request again whose client leaves before the answer can come: it has
/// waited for 1.2 of the 2 s, and no engine is expected to begin within the rest.
#[test]
fn request_that_an_engine_refused_is_refused_if_no_other_can_answer_in_time() {
    let mut kit = Kit::new(2);
    while kit.refused().is_empty() {
        kit.arrive("/draft/1", 5_000);
    }
    let newest = kit.world.work.iter().max_by_key(|(_, work)| work.dispatched);
    let (work, _) = newest.expect("open work");
    kit.advance(Duration::from_millis(1_200));
    kit.step(vec![Event::AttemptNotRun { work, reason: NotRunReason::Refused }]);
    assert!(kit.sent().is_empty());
    assert_eq!(kit.refused(), [ResultCode::CannotEndInTime]);
}

/// Guards against refusing a prompt whose own prefill exceeds its latency goal, though it would not
/// wait. `send` fails unless the request is sent.
#[test]
fn long_prompt_is_served_by_an_idle_engine_though_it_is_late() {
    let mut kit = Kit::new(1);
    kit.send("/draft/long", 130_000);
}

#[test]
fn long_prompt_is_prefilled_by_several_idle_engines() {
    let mut kit = Kit::new(16);
    let (_, sent) = kit.send("/long/1", 180_000);
    assert!(!sent.helpers.is_empty());
    assert!(sent.helpers.iter().all(|helper| helper.ticket.is_none()));
    kit.progress(sent.work);
    assert_eq!(kit.world.work.len(), 1, "helpers are done with the first event");
}

/// Guards against counting a prompt by its length instead of its route's goals. Of two engines, one
/// decodes a stream, which would pause beyond its gap goal of 250 ms, and one prefills for 250 ms, behind
/// which the prompt is a little later. Its goal is about as long, so it spares the stream.
#[test]
fn prompt_counts_by_its_goals() {
    let mut kit = Kit::new(2);
    kit::hold_work(&mut kit, ENGINE, 1, 1);
    let report = kit::work_report(2, ENGINE, 2, Phase::Prefill);
    let demand = WorkDemand { prefill_ms: 250.0, ..report.demand };
    let started = WorkChange::Started(WorkReport { demand, ..report });
    let sequence = kit.now.as_micros() + 1;
    let message = kit::peer_message(sequence, 1, PeerUpdate::Changes(vec![started]));
    kit.step(vec![Event::PeerMessageReceived { from: kit::peer_address(2), message }]);
    let (_, sent) = kit.send("/draft/1", 30_000);
    assert_eq!(sent.address, kit::listing(ENGINE, 2).address);
}

/// Guards against streams that spread over all engines, so that each long prompt makes streams
/// pause.
#[test]
fn short_prompts_share_few_engines() {
    let mut kit = Kit::new(6);
    let mut used = Vec::new();
    for _ in 0..12 {
        let (_, sent) = kit.send("/draft/1", 2_000);
        used.push(sent.address);
        kit.advance(Duration::from_millis(60));
        kit.progress(sent.work);
    }
    used.sort();
    used.dedup();
    assert!(used.len() <= 2, "{} engines for 12 streams, with 16 slots each", used.len());
}
