use std::time::Duration;

use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::result_code::ResultCode;

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

#[test]
fn short_prompt_is_never_deferred() {
    let mut kit = Kit::new(8);
    add_backlog(&mut kit, 16);
    kit.arrive("/draft/1", 5_000);
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

/// Guards against deferring a prompt until its client disconnects. It is deferred for 4 s at most,
/// 0.4 of the deadline of 10 s; clients of this route wait 12 s for an event.
#[test]
fn deferred_prompt_is_sent_before_its_client_leaves() {
    let mut kit = Kit::new(8);
    add_backlog(&mut kit, 24);
    kit.arrive("/long/1", LONGEST_PROMPT_TOKENS);
    assert!(is_deferred(&kit));
    kit.run_until(kit.now.after(Duration::from_millis(4_200)));
    let mut waiting = kit.world.requests.iter().map(|(_, row)| row);
    assert!(waiting.all(|row| row.prompt_tokens < LONGEST_PROMPT_TOKENS || row.span.is_some()));
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
    add_backlog(&mut kit, 8);
    kit.arrive("/long/1", HOPELESS_PROMPT_TOKENS);
    assert!(is_given_up(&kit));
    assert_eq!(kit.refused(), [ResultCode::CannotEndInTime]);
}

/// Guards against a prompt that is deferred to the end and then sent into the same peak, where it is
/// late itself and makes others late. The peak lasts: each prompt that ends is replaced.
#[test]
fn deferred_prompt_is_refused_in_a_peak_that_lasts() {
    let mut kit = kit_with_deferred();
    let deferred = kit.now;
    while kit.now < deferred.after(Duration::from_secs(6)) {
        kit.run_until(kit.now.after(Duration::from_millis(500)));
        assert_eq!(reserves(&kit), 0, "sent into the peak");
        if kit.refused().contains(&ResultCode::CannotEndInTime) {
            return;
        }
        add_backlog(&mut kit, 2);
    }
    panic!("the longest prompt was neither sent nor refused");
}

/// Guards against a prompt of its route's mean length that waits behind a moderate backlog until it
/// is late: it is sent while half of its goal is left, and its own share of the engines is enough.
#[test]
fn prompt_of_mean_length_is_sent_while_it_can_be_on_time() {
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
