use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::decision::RetryObstacle;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::tables::retry_budgets::RetryUse;
use snipespan_core::result_code::Class;
use snipespan_core::result_code::ResultCode;

use crate::kit::ENGINE;
use crate::kit::Kit;

#[rstest]
#[case::unsafe_refused("/order/1", NotRunReason::Refused)]
#[case::unsafe_other_instance("/order/1", NotRunReason::OtherInstance)]
#[case::unsafe_unreachable("/order/1", NotRunReason::Unreachable)]
#[case::stream_refused("/once/1", NotRunReason::Refused)]
fn not_run_goes_to_another_backend_server(#[case] path: &str, #[case] reason: NotRunReason) {
    let mut kit = Kit::new(2);
    let (_, first) = kit.send(path, 1_000);
    kit.step(vec![Event::AttemptNotRun { work: first.work, reason }]);
    let second = kit.sent_one();
    assert_ne!(second.address, first.address);
}

#[rstest]
#[case::broken(FailReason::Broken)]
#[case::corrupt(FailReason::Corrupt)]
#[case::server_error(FailReason::ServerError)]
fn failed_unsafe_is_never_sent_again(#[case] reason: FailReason) {
    let mut kit = Kit::new(3);
    let (_, first) = kit.send("/order/1", 0);
    kit.step(vec![Event::AttemptFailed { work: first.work, reason, stage: AnswerStage::Awaited }]);
    assert!(kit.sent().is_empty());
    let refused = kit.refused();
    assert_eq!(refused.len(), 1);
    assert_ne!(refused[0].class(), Class::NotRun, "it may have run");
}

#[test]
fn failed_stream_without_resumption_is_never_sent_again() {
    let mut kit = Kit::new(3);
    let (_, first) = kit.send("/once/1", 1_000);
    let reason = FailReason::Broken;
    kit.step(vec![Event::AttemptFailed { work: first.work, reason, stage: AnswerStage::Awaited }]);
    assert!(kit.sent().is_empty());
    assert_eq!(kit.refused(), [ResultCode::AnswerCut]);
}

#[test]
fn failed_safe_runs_on_max_attempts_backend_servers_at_most() {
    let mut kit = Kit::new(3);
    let (_, first) = kit.send("/look/1", 0);
    let reason = FailReason::ServerError;
    kit.step(vec![Event::AttemptFailed { work: first.work, reason, stage: AnswerStage::Awaited }]);
    let second = kit.sent_one();
    kit.step(vec![Event::AttemptFailed { work: second.work, reason, stage: AnswerStage::Awaited }]);
    assert!(kit.sent().is_empty());
    assert_eq!(kit.refused(), [ResultCode::BackendFailed]);
}

#[test]
fn refused_after_a_run_is_not_reported_as_not_run() {
    let mut kit = Kit::new(2);
    let (_, first) = kit.send("/look/1", 0);
    let reason = FailReason::Broken;
    kit.step(vec![Event::AttemptFailed { work: first.work, reason, stage: AnswerStage::Awaited }]);
    let second = kit.sent_one();
    // Both backend servers refuse until the waiting time is over.
    let mut work = second.work;
    let mut refused = Vec::new();
    for _ in 0..200 {
        let reason = NotRunReason::Refused;
        kit.step(vec![Event::AttemptNotRun { work, reason }]);
        refused.extend(kit.refused());
        while kit.sent().is_empty() && refused.is_empty() {
            kit.advance(Duration::from_millis(20));
            kit.step(Vec::new());
            refused.extend(kit.refused());
        }
        let Some(sent) = kit.sent().first().cloned() else { break };
        work = sent.work;
    }
    assert_eq!(refused.len(), 1);
    assert_ne!(refused[0].class(), Class::NotRun);
}

/// Guards against a stream that stays with a silent engine, and against moving it too early: its
/// stall limit is 1.6 s, 0.8 of the 2 s after which its client disconnects.
#[test]
fn stalled_stream_resumes_elsewhere() {
    let mut kit = Kit::new(2);
    let (_, first) = kit.send("/draft/1", 5_000);
    kit.progress(first.work);
    // An engine iteration with a long prefill in it may last a second, which is no stall.
    kit.run_until(kit.now.after(Duration::from_millis(1300)));
    assert!(kit.sent().is_empty());
    kit.run_until(kit.now.after(Duration::from_millis(600)));
    let sent = kit.sent();
    assert_eq!(sent.len(), 1);
    assert_ne!(sent[0].address, first.address);
}

/// Guards against a stream that is cut, or a request that fails, although its silent engine goes on:
/// its attempt was withdrawn for a retry that the budget did not allow.
#[rstest]
#[case::begun(true)]
#[case::not_begun(false)]
fn silent_attempt_over_the_retry_budget_is_kept(#[case] has_begun: bool) {
    let mut kit = Kit::new(2);
    let (_, sent) = kit.send("/draft/1", 5_000);
    if has_begun {
        kit.progress(sent.work);
    }
    kit.world.settings.retry_ratio = 0.0;
    kit.world.settings.retry_slack = 0.0;
    kit.run_until(kit.now.after(Duration::from_millis(1900)));
    assert!(kit.sent().is_empty());
    assert_eq!(kit.refused(), []);
    kit.progress(sent.work);
    let longest_gap = Duration::from_millis(1900);
    kit.step(vec![Event::AttemptCompleted { work: sent.work, longest_gap }]);
    assert_eq!(kit.world.counters.completed, 1);
}

/// Guards against a silent attempt that stays where it is without a log line that says why, and
/// against one line for each check of it.
#[test]
fn silent_attempt_that_is_kept_is_logged_once() {
    let mut kit = Kit::new(2);
    let (_, sent) = kit.send("/draft/1", 5_000);
    kit.progress(sent.work);
    kit.world.settings.retry_ratio = 0.0;
    kit.world.settings.retry_slack = 0.0;
    kit.run_until(kit.now.after(Duration::from_millis(1900)));
    let kept = kit.effects.iter().filter_map(|effect| match effect {
        Effect::LogDecision(decision) => match **decision {
            Decision::KeptSilent { obstacle, .. } => Some(obstacle),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(kept.collect::<Vec<_>>(), [RetryObstacle::Budget]);
}

/// Guards against a stream that is cut when the engine that it was moved to refuses it while other
/// requests have used up their part of the retry budget.
#[test]
fn moved_stream_that_is_refused_is_sent_again_from_the_reserve() {
    let mut kit = Kit::new(3);
    let (_, first) = kit.send("/draft/1", 5_000);
    kit.progress(first.work);
    kit.run_until(kit.now.after(Duration::from_millis(1700)));
    let second = kit.sent_one();
    let (now, allowance) = (kit.now, kit.world.retry_allowance());
    let budgets = &mut kit.world.retry_budgets;
    while budgets.try_consume_retry(ENGINE, now, allowance, RetryUse::Fresh) {}
    kit.step(vec![Event::AttemptNotRun { work: second.work, reason: NotRunReason::Refused }]);
    assert_eq!(kit.refused(), []);
    assert_eq!(kit.sent().len(), 1);
}

#[test]
fn stalled_unsafe_is_not_abandoned() {
    let mut kit = Kit::new(2);
    kit.send("/order/1", 0);
    kit.run_until(kit.now.after(Duration::from_millis(900)));
    assert!(kit.sent().is_empty());
    assert!(kit.refused().is_empty());
}

/// Guards against requests that are sent to an unreachable backend server again at once, and
/// against a suspension without an end: the longest one lasts 4 s.
#[test]
fn failing_backend_server_is_suspended_for_a_while() {
    let mut kit = Kit::new(2);
    let (_, first) = kit.send("/order/1", 0);
    let reason = NotRunReason::Unreachable;
    kit.step(vec![Event::AttemptNotRun { work: first.work, reason }]);
    for _ in 0..6 {
        let (_, next) = kit.send("/order/2", 0);
        assert_ne!(next.address, first.address);
    }
    kit.advance(Duration::from_secs(5));
    let addresses: Vec<_> = (0..8).map(|_| kit.send("/order/3", 0).1.address).collect();
    assert!(addresses.contains(&first.address), "it is used again after its suspension");
}

/// Guards against refusing requests after failures at every backend server: suspended ones are
/// still used when there are no others. `send` fails unless the request is sent.
#[test]
fn all_backend_servers_failing_never_means_none_is_used() {
    let mut kit = Kit::new(2);
    for _ in 0..4 {
        let (_, sent) = kit.send("/order/1", 0);
        let reason = FailReason::Broken;
        for _ in 0..3 {
            kit.step(vec![Event::AttemptFailed {
                work: sent.work,
                reason,
                stage: AnswerStage::Awaited,
            }]);
        }
    }
    kit.send("/order/2", 0);
}

/// Guards against a backend server that is passed over without a log line that says why, or that is
/// used again without one.
#[test]
fn suspension_and_its_end_are_logged() {
    let mut kit = Kit::new(1);
    let mut logged = Vec::new();
    for _ in 0..3 {
        kit.arrive("/order/1", 0);
        let work = kit.sent_one().work;
        kit.step(vec![Event::AttemptFailed {
            work,
            reason: FailReason::Broken,
            stage: AnswerStage::Awaited,
        }]);
        logged.extend(suspensions(&kit));
    }
    let first = Duration::from_millis(500);
    assert_eq!(logged, [(Some(first), 3)], "from the third failure in a row");
    kit.arrive("/order/1", 0);
    let work = kit.sent_one().work;
    kit.step(vec![Event::AttemptCompleted { work, longest_gap: Duration::ZERO }]);
    assert_eq!(suspensions(&kit), [(None, 0)]);
}

/// Returns the changes of suspensions that were logged in the last tick, with the failures.
fn suspensions(kit: &Kit) -> Vec<(Option<Duration>, u32)> {
    let logged = kit.effects.iter().filter_map(|effect| match effect {
        Effect::LogDecision(decision) => match **decision {
            Decision::SuspensionChanged { suspended_for, failures, .. } => {
                Some((suspended_for, failures))
            }
            _ => None,
        },
        _ => None,
    });
    logged.collect()
}
