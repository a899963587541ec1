use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::message::PeerUpdate;
use snipespan_core::gateway::message::WorkReport;
use snipespan_core::gateway::tables::work::Phase;
use snipespan_core::gateway::tables::work::WorkDemand;
use snipespan_core::result_code::ResultCode;

use crate::kit;
use crate::kit::ENGINE;
use crate::kit::Kit;

/// Prompt tokens that exceed one engine's memory; their prefill takes 20 s of engine time.
const LONGEST_PROMPT_TOKENS: u64 = 500_000;

/// Prompt tokens whose prefill takes 28 s of engine time. Four engines, the largest split of eight,
/// need 7 s for it, and its answer does not end within the 10 s that clients wait.
const HOPELESS_PROMPT_TOKENS: u64 = 600_000;

/// Adds `count` prompts whose prefill takes 2.4 s of engine time each.
fn add_backlog(kit: &mut Kit, count: u32) {
    for _ in 0..count {
        kit.arrive("/long/1", 150_000);
    }
}

/// Creates a gateway that has just deferred the longest prompt behind eight others.
fn kit_with_deferred() -> Kit {
    let mut kit = Kit::new(8);
    add_backlog(&mut kit, 8);
    kit.arrive("/long/1", LONGEST_PROMPT_TOKENS);
    kit
}

fn is_deferred(kit: &Kit) -> bool {
    let deferred = |effect: &Effect| {
        matches!(effect, Effect::LogDecision(decision)
            if matches!(**decision, Decision::Deferred { .. }))
    };
    kit.effects.iter().any(deferred)
}

fn is_given_up(kit: &Kit) -> bool {
    let given_up = |effect: &Effect| {
        matches!(effect, Effect::LogDecision(decision)
            if matches!(**decision, Decision::GivenUp { .. }))
    };
    kit.effects.iter().any(given_up)
}

/// Ends all open work.
fn end_backlog(kit: &mut Kit) {
    let works: Vec<_> = kit.world.work.iter().map(|(key, _)| key).collect();
    let completed = |work| Event::AttemptCompleted { work, longest_gap: Duration::ZERO };
    kit.step(works.into_iter().map(completed).collect());
}

/// Returns the number of reservations that were requested in the last tick.
fn reserves(kit: &Kit) -> usize {
    kit.effects.iter().filter(|effect| matches!(effect, Effect::Reserve { .. })).count()
}

#[test]
fn longest_prompt_waits_while_engines_have_a_backlog() {
    let kit = kit_with_deferred();
    assert!(is_deferred(&kit));
    assert_eq!(reserves(&kit), 0);
}

#[test]
fn longest_prompt_is_sent_at_once_to_idle_engines() {
    let mut kit = Kit::new(8);
    kit.arrive("/long/1", LONGEST_PROMPT_TOKENS);
    assert!(!is_deferred(&kit));
    assert!(reserves(&kit) > 0);
}

/// Guards against making a prompt late by holding it back for others, though it would hardly delay
/// them: the shortest goal is 300 ms, and prefill takes 30 ms, or 110 ms on each of four engines.
#[rstest]
#[case::short("/draft/1", 5_000)]
#[case::of_middle_length("/long/1", 45_000)]
fn prompt_that_makes_no_other_late_is_not_deferred(#[case] path: &str, #[case] tokens: u64) {
    let mut kit = Kit::new(8);
    set_peer_backlog(&mut kit, 1_200.0);
    kit.arrive(path, tokens);
    assert!(!is_deferred(&kit));
}

/// Guards against a deferred prompt that stays deferred without a backlog. Each of the four rounds
/// ends all open work and lets 100 ms pass, two pauses of a deferral.
#[test]
fn deferred_prompt_is_sent_when_the_backlog_is_gone() {
    let mut kit = kit_with_deferred();
    for _ in 0..4 {
        end_backlog(&mut kit);
        if reserves(&kit) > 0 {
            return;
        }
        kit.run_until(kit.now.after(Duration::from_millis(100)));
        if reserves(&kit) > 0 {
            return;
        }
    }
    panic!("the longest prompt was not sent to idle engines");
}

/// Guards against deferring a prompt until its client disconnects. The client waits 10 s, and idle
/// engines need 5 s.
#[test]
fn deferred_prompt_is_sent_before_its_client_leaves() {
    let mut kit = Kit::new(8);
    set_peer_backlog(&mut kit, 1_200.0);
    kit.arrive("/long/1", LONGEST_PROMPT_TOKENS);
    let arrived = kit.now;
    assert!(is_deferred(&kit));
    while reserves(&kit) == 0 {
        set_peer_backlog(&mut kit, 1_200.0);
        kit.run_until(kit.now.after(Duration::from_millis(50)));
        assert_eq!(kit.refused(), []);
        assert!(kit.now < arrived.after(Duration::from_secs(5)), "too late for 10 s");
    }
}

/// Guards against deferring a prompt until only its prefill fits into its time, and not its answer. Behind
/// 1.2 s of backlog its prefill may take 8.3 s of its 10 s, and 800 tokens take 1.3 s to decode.
#[test]
fn deferred_prompt_keeps_time_for_its_answer() {
    let mut kit = Kit::new(8);
    set_peer_backlog(&mut kit, 1_200.0);
    kit.arrive("/long/1", LONGEST_PROMPT_TOKENS);
    let arrived = kit.now;
    while reserves(&kit) == 0 {
        set_peer_backlog(&mut kit, 1_200.0);
        kit.run_until(kit.now.after(Duration::from_millis(50)));
        assert!(kit.now < arrived.after(Duration::from_millis(600)), "no time to decode");
    }
}

/// Guards against holding a prompt for which the engines have too much other work: its 5 s on idle
/// engines fit into its 10 s, but not behind the 7 s of work that they have.
#[test]
fn prompt_without_time_for_the_backlog_is_refused_at_once() {
    let mut kit = Kit::new(8);
    set_peer_backlog(&mut kit, 7_200.0);
    kit.arrive("/long/1", LONGEST_PROMPT_TOKENS);
    assert_eq!(reserves(&kit), 0);
    assert_eq!(kit.refused(), [ResultCode::CannotEndInTime]);
}

#[test]
fn stopping_gateway_defers_nothing() {
    let mut kit = Kit::new(8);
    add_backlog(&mut kit, 8);
    kit.step(vec![Event::StopRequested]);
    kit.arrive("/long/1", LONGEST_PROMPT_TOKENS);
    assert!(!is_deferred(&kit));
}

/// Guards against holding a prompt that idle engines could not answer in time either.
#[test]
fn hopeless_prompt_is_refused_at_once() {
    let mut kit = Kit::new(8);
    set_peer_backlog(&mut kit, 2_400.0);
    kit.arrive("/long/1", HOPELESS_PROMPT_TOKENS);
    assert!(is_given_up(&kit));
    assert_eq!(kit.refused(), [ResultCode::CannotEndInTime]);
}

/// Guards against starving the longest prompts in a peak that lasts, in which each prompt that ends
/// is replaced: one is sent while its client is still expected to get the answer, or refused once it
/// is not. At most 1.9 s of its 10 s are left to wait, beside 5 s of prefill and 2.4 s of backlog, which
/// is predicted with an error of a third.
#[test]
fn deferred_prompt_is_decided_in_a_peak_that_lasts() {
    let mut kit = kit_with_deferred();
    let deferred = kit.now;
    while kit.now < deferred.after(Duration::from_millis(1_900)) {
        kit.run_until(kit.now.after(Duration::from_millis(100)));
        if reserves(&kit) > 0 || kit.refused().contains(&ResultCode::CannotEndInTime) {
            return;
        }
        end_backlog(&mut kit);
        add_backlog(&mut kit, 8);
    }
    panic!("the longest prompt was neither sent nor refused");
}

/// Lets a peer report that its only work at each of eight engines has just begun its prefill.
fn set_peer_backlog(kit: &mut Kit, prefill_ms: f64) {
    let sequence = kit.now.as_micros();
    let report = |number: u8| {
        let id = sequence + u64::from(number);
        let report = kit::work_report(id, ENGINE, number, Phase::Prefill);
        WorkReport { demand: WorkDemand { prefill_ms, ..report.demand }, ..report }
    };
    let update = PeerUpdate::Snapshot((1..=8).map(report).collect());
    let message = kit::peer_message(sequence, 1, update);
    kit.step(vec![Event::PeerMessageReceived { from: kit::peer_address(2), message }]);
}

/// Guards against a wait that depends on what others send on the same route: two prompts with the
/// same time and the same work wait equally long, beside shorter and beside longer ones. The peak
/// lasts for 2.2 s.
#[test]
fn prompt_is_held_back_for_its_own_time_and_work() {
    let held_back_for = |usual_tokens: u64| {
        let mut kit = Kit::new(8);
        for _ in 0..20 {
            kit.arrive("/long/1", usual_tokens);
            end_backlog(&mut kit);
        }
        set_peer_backlog(&mut kit, 1_200.0);
        let arrived = kit.now;
        kit.arrive("/long/1", 150_000);
        assert!(is_deferred(&kit));
        for _ in 0..60 {
            kit.run_until(kit.now.after(Duration::from_millis(50)));
            if !kit.sent().is_empty() {
                break;
            }
            let is_peak = kit.now.since(arrived) < Duration::from_millis(2_200);
            set_peer_backlog(&mut kit, if is_peak { 1_200.0 } else { 250.0 });
        }
        kit.now.since(arrived)
    };
    assert_eq!(held_back_for(20_000), held_back_for(220_000));
}

/// Guards against sending a prompt that is late already into the peak that made it late: its client
/// stays for 10 s, and the peak ends after 4 s.
#[test]
fn prompt_that_is_late_waits_for_the_end_of_the_peak() {
    let mut kit = Kit::new(8);
    let arrived = kit.now;
    let is_sent = |kit: &Kit| kit.world.requests.iter().any(|(_, row)| row.work.is_some());
    set_peer_backlog(&mut kit, 2_600.0);
    kit.arrive("/long/1", 150_000);
    assert!(is_deferred(&kit));
    while kit.now < arrived.after(Duration::from_secs(4)) {
        kit.run_until(kit.now.after(Duration::from_millis(50)));
        assert!(!is_sent(&kit), "sent after {:?}", kit.now.since(arrived));
        set_peer_backlog(&mut kit, 2_600.0);
    }
    kit.advance(Duration::from_millis(1));
    set_peer_backlog(&mut kit, 250.0);
    kit.run_until(kit.now.after(Duration::from_millis(100)));
    assert!(is_sent(&kit));
}

/// Guards against a prompt that waits behind a moderate backlog until it is late.
#[test]
fn prompt_is_sent_while_it_can_be_on_time() {
    let mut kit = Kit::new(8);
    add_backlog(&mut kit, 4);
    let arrived = kit.now;
    let arrival = kit.arrival("/long/1", 150_000);
    let id = arrival.id.clone();
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    let is_sent =
        |kit: &Kit| kit.world.requests.iter().any(|(_, row)| row.id == id && row.work.is_some());
    while !is_sent(&kit) {
        kit.run_until(kit.now.after(Duration::from_millis(50)));
        assert!(kit.now < arrived.after(Duration::from_millis(2_300)), "too late for 3 s");
    }
}
