use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::result_code::Class;
use snipespan_core::result_code::ResultCode;

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
