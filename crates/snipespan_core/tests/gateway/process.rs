use std::time::Duration;

use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::result_code::ResultCode;

use crate::kit;
use crate::kit::Kit;

fn readiness(kit: &Kit) -> Option<bool> {
    let last = kit.effects.iter().rev();
    let mut ready = last.filter_map(|effect| match effect {
        Effect::SetReady(is_ready) => Some(*is_ready),
        _ => None,
    });
    ready.next()
}

fn is_stopped(kit: &Kit) -> bool {
    kit.effects.iter().any(|effect| matches!(effect, Effect::Stop))
}

#[test]
fn ready_only_with_configuration_and_listings() {
    let mut kit = Kit::unconfigured();
    let serving = Box::new(kit::serving(1));
    kit.step(vec![Event::ServingReceived { serving, is_from_store: true }]);
    assert_eq!(readiness(&kit), None);
    kit.step(vec![kit.listings_read(Vec::new())]);
    assert_eq!(readiness(&kit), Some(true));
}

/// Guards against refusing requests before the load balancer has noticed a planned stop, for which
/// it has 2.5 s, and against accepting them after that.
#[test]
fn planned_stop_serves_until_the_balancer_has_noticed() {
    let mut kit = Kit::new(1);
    kit.step(vec![Event::StopRequested]);
    assert_eq!(readiness(&kit), Some(false));
    kit.advance(Duration::from_secs(2));
    kit.send("/draft/1", 5_000);
    kit.run_until(kit.now.after(Duration::from_secs(1)));
    kit.arrive("/draft/2", 5_000);
    assert_eq!(kit.refused(), [ResultCode::Leaving]);
}

#[test]
fn planned_stop_waits_for_open_requests() {
    let mut kit = Kit::new(1);
    let (_, sent) = kit.send("/draft/1", 5_000);
    kit.progress(sent.work);
    kit.step(vec![Event::StopRequested]);
    for _ in 0..10 {
        kit.run_until(kit.now.after(Duration::from_millis(500)));
        assert!(!is_stopped(&kit));
        kit.progress(sent.work);
    }
    kit.step(vec![Event::AttemptCompleted { work: sent.work, longest_gap: Duration::ZERO }]);
    kit.run_until(kit.now.after(Duration::from_millis(500)));
    assert!(is_stopped(&kit));
}

/// Guards against a planned stop that takes longer than its limit of 8 s or leaves a request
/// without an answer; open requests are failed 0.4 s before the limit.
#[test]
fn planned_stop_ends_before_the_limit_with_an_answer_to_all() {
    let mut kit = Kit::new(1);
    let (_, sent) = kit.send("/once/1", 5_000);
    kit.progress(sent.work);
    kit.step(vec![Event::StopRequested]);
    kit.run_until(kit.now.after(Duration::from_millis(7900)));
    assert!(is_stopped(&kit));
    assert_eq!(kit.refused(), [ResultCode::OutcomeUnknown]);
}
