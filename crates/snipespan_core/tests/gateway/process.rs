use std::time::Duration;

use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::NotRunReason;
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
    kit.effects.iter().any(|effect| matches!(effect, Effect::Stop { .. }))
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

/// Guards against a stop whose limit is shorter than the load balancer needs to notice it, and that
/// ends with requests that were accepted and not answered.
#[test]
fn planned_stop_with_a_short_limit_answers_all_in_time() {
    let mut kit = Kit::new(1);
    kit.world.settings.stop_limit = Duration::from_millis(1500);
    let (_, sent) = kit.send("/once/1", 5_000);
    kit.progress(sent.work);
    kit.step(vec![Event::StopRequested]);
    kit.run_until(kit.now.after(Duration::from_millis(1150)));
    assert_eq!(kit.refused(), [ResultCode::OutcomeUnknown]);
    assert!(is_stopped(&kit));
    kit.arrive("/order/1", 0);
    assert_eq!(kit.refused(), [ResultCode::Leaving]);
}

/// Guards against a request that may not be repeated and is sent so late in a planned stop that it
/// is cut off without an answer: refused, its client can go to another gateway.
#[test]
fn planned_stop_sends_no_request_that_it_would_cut_off() {
    let mut kit = Kit::new(2);
    kit.step(vec![Event::StopRequested]);
    kit.advance(Duration::from_secs(2));
    let (_, sent) = kit.send("/once/1", 5_000);
    kit.advance(Duration::from_millis(5200));
    let reason = NotRunReason::Refused;
    kit.step(vec![Event::AttemptNotRun { work: sent.work, reason }]);
    assert_eq!((kit.sent().len(), kit.refused()), (0, vec![ResultCode::Leaving]));
}

/// Guards against a long prompt that a stopping gateway accepts though it cannot end in time, and
/// against a short one that it refuses though it can.
#[test]
fn planned_stop_refuses_at_once_what_cannot_end_in_time() {
    let mut kit = Kit::new(2);
    kit.step(vec![Event::StopRequested]);
    kit.advance(Duration::from_millis(2400));
    kit.arrive("/long/1", 200_000);
    assert_eq!((kit.sent().len(), kit.refused()), (1, vec![]));
    kit.world.settings.stop_limit = Duration::from_secs(4);
    kit.arrive("/long/2", 200_000);
    assert_eq!((kit.sent().len(), kit.refused()), (0, vec![ResultCode::Leaving]));
    kit.arrive("/draft/1", 2_000);
    assert_eq!((kit.sent().len(), kit.refused()), (1, vec![]));
}

/// Guards against a stream that its client has a part of and that is ended before the stop does,
/// because the rest is expected to take longer.
#[test]
fn planned_stop_continues_a_stream_that_has_begun() {
    let mut kit = Kit::new(2);
    let (_, sent) = kit.send("/draft/1", 5_000);
    kit.progress(sent.work);
    kit.step(vec![Event::StopRequested]);
    for _ in 0..7 {
        kit.advance(Duration::from_secs(1));
        kit.progress(sent.work);
    }
    let (reason, stage) = (FailReason::Broken, AnswerStage::Begun);
    kit.step(vec![Event::AttemptFailed { work: sent.work, reason, stage }]);
    assert_eq!((kit.sent().len(), kit.refused()), (1, vec![]));
}
