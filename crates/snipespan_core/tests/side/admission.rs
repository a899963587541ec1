//! Tests of which offers a side process accepts and in which order it starts them.

use std::time::Duration;

use rstest::rstest;
use snipespan_core::configuration::Priority;
use snipespan_core::cost::Cost;
use snipespan_core::identity::Incarnation;
use snipespan_core::identity::RequestId;
use snipespan_core::identity::Target;
use snipespan_core::result_code::ResultCode;
use snipespan_core::side::effect::Effect;
use snipespan_core::side::event::Event;
use snipespan_core::side::event::Offer;
use snipespan_core::side::tables::unrepeatable::RETENTION;

use crate::kit::AGEING_LIMIT;
use crate::kit::Kit;
use crate::kit::MEMORY_TOKENS;
use crate::kit::REPORT_LAG;
use crate::kit::queued;
use crate::kit::refusal;
use crate::kit::starts;

fn other_incarnation(offer: &mut Offer) {
    offer.spec.incarnation = Incarnation(6);
}

fn other_model(offer: &mut Offer) {
    offer.spec.target = Target::Model("digests".into());
}

fn too_long(offer: &mut Offer) {
    offer.spec.cost.prompt_tokens = MEMORY_TOKENS;
}

/// An offer that this side process can never serve must not take a row.
#[rstest]
#[case::other_incarnation(other_incarnation, ResultCode::IncarnationMismatch)]
#[case::other_model(other_model, ResultCode::NoBackendServer)]
#[case::longer_than_memory(too_long, ResultCode::RequestTooLarge)]
fn offer_refused(#[case] change: fn(&mut Offer), #[case] code: ResultCode) {
    let mut kit = Kit::new();
    let mut offer = kit.new_offer();
    change(&mut offer);
    let effects = kit.send_offer(&offer);
    assert_eq!(refusal(&effects), Some(code));
    assert!(kit.world.streams.is_empty());
}

/// A second offer of an attempt must be refused, as the attempt would run twice.
#[test]
fn offer_twice() {
    let mut kit = Kit::new();
    let offer = kit.new_offer();
    kit.start_offer(&offer);
    assert_eq!(refusal(&kit.send_offer(&offer)), Some(ResultCode::InvalidRequest));
}

/// A leaving side process must accept no new work.
#[test]
fn offer_while_leaving() {
    let mut kit = Kit::new();
    kit.tick(&[Event::LeavingSeen]);
    let offer = kit.new_offer();
    assert_eq!(refusal(&kit.send_offer(&offer)), Some(ResultCode::Leaving));
}

/// An offer must not be queued while the backend server does not answer.
#[test]
fn offer_while_backend_is_silent() {
    let mut kit = Kit::new();
    kit.tick(&[Event::BackendSilent]);
    let offer = kit.new_offer();
    assert_eq!(refusal(&kit.send_offer(&offer)), Some(ResultCode::BackendUnreachable));
}

/// An offer must be refused exactly if its predicted wait exceeds its remaining time.
#[test]
fn offer_cannot_end_in_time() {
    let mut kit = Kit::new();
    let mut long = kit.new_offer();
    long.spec.cost.prompt_tokens = 50_000;
    kit.start_offer(&long);
    // The prefill of the long prompt takes five seconds.
    let mut hurried = kit.new_offer();
    hurried.spec.cost.prompt_tokens = 40_000;
    hurried.spec.remaining = Duration::from_secs(4);
    assert_eq!(refusal(&kit.send_offer(&hurried)), Some(ResultCode::CannotEndInTime));
    let mut unhurried = kit.new_offer();
    unhurried.spec.cost.prompt_tokens = 40_000;
    unhurried.spec.remaining = Duration::from_secs(6);
    assert!(queued(&kit.send_offer(&unhurried)).is_some());
    // A short prompt does not wait for the long one.
    let mut short = kit.new_offer();
    short.spec.remaining = Duration::from_secs(4);
    assert!(queued(&kit.send_offer(&short)).is_some());
}

/// Queued streams must start in the order of their priorities, not of their offers.
#[test]
fn start_by_priority() {
    let mut kit = Kit::new();
    let running: Vec<_> = (0..4).map(|_| kit.new_offer()).collect();
    let keys: Vec<_> = running.iter().map(|offer| kit.start_offer(offer)).collect();
    let mut waiting = Vec::new();
    for priority in [5, 2, 9, 0] {
        let mut offer = kit.new_offer();
        offer.spec.priority = Priority(priority);
        assert!(starts(&kit.send_offer(&offer)).is_empty());
        waiting.push(offer);
    }
    let mut order = Vec::new();
    for key in keys {
        order.extend(starts(&kit.tick(&[Event::Ended { stream: key }])));
    }
    let tickets = [3, 1, 0, 2].map(|index: usize| waiting[index].ticket);
    assert_eq!(order, tickets);
}

/// An account with many queued streams must not delay another account behind all of them.
#[test]
fn start_fair_shares() {
    let mut kit = Kit::new();
    let running: Vec<_> = (0..4).map(|_| kit.new_offer()).collect();
    let keys: Vec<_> = running.iter().map(|offer| kit.start_offer(offer)).collect();
    for _ in 0..20 {
        let offer = kit.new_offer();
        kit.send_offer(&offer);
    }
    let mut other = kit.new_offer();
    other.spec.account = "parish".into();
    kit.send_offer(&other);
    let mut order = Vec::new();
    for key in keys.into_iter().take(2) {
        order.extend(starts(&kit.tick(&[Event::Ended { stream: key }])));
    }
    assert!(
        order.contains(&other.ticket),
        "the other account was delayed behind all streams of the first"
    );
}

/// Small streams may overtake one that does not fit into the memory, but not beyond its ageing
/// limit; otherwise it might never start.
#[test]
fn start_backfills_until_aged() {
    let mut kit = Kit::new();
    let mut first = kit.new_offer();
    first.spec.cost = Cost { prompt_tokens: 60_000, max_output_tokens: 100 };
    let first_key = kit.start_offer(&first);
    let mut long = kit.new_offer();
    long.spec.cost = Cost { prompt_tokens: 70_000, max_output_tokens: 100 };
    assert!(starts(&kit.send_offer(&long)).is_empty());
    let short = kit.new_offer();
    kit.start_offer(&short);
    kit.advance(AGEING_LIMIT);
    let late = kit.new_offer();
    assert!(
        starts(&kit.send_offer(&late)).is_empty(),
        "a stream past the ageing limit was overtaken"
    );
    kit.tick(&[Event::Ended { stream: first_key }]);
    kit.advance(REPORT_LAG);
    let effects = kit.report(vec![crate::kit::held(&short)]);
    assert_eq!(starts(&effects), [long.ticket, late.ticket]);
}

/// At the deadline, a queued stream must end as not run and a running one as failed.
#[test]
fn expire_queued_and_running() {
    let mut kit = Kit::new();
    let running: Vec<_> = (0..4).map(|_| kit.new_offer()).collect();
    for offer in &running {
        kit.start_offer(offer);
    }
    let waiting = kit.new_offer();
    kit.send_offer(&waiting);
    let effects = kit.advance(Duration::from_secs(60));
    let refused = Effect::Refuse {
        ticket: waiting.ticket,
        code: ResultCode::ExpiredBeforeDispatch,
        retry_after: None,
    };
    assert!(effects.contains(&refused), "{effects:?}");
    for offer in running {
        let code = ResultCode::DeadlineExceeded;
        assert!(effects.contains(&Effect::Abort { ticket: offer.ticket, code }), "{effects:?}");
    }
}

/// A planned stop must wait until the engine has freed the memory of every stream.
#[test]
fn stop_waits_for_streams() {
    let mut kit = Kit::new();
    let offer = kit.new_offer();
    let stream = kit.start_offer(&offer);
    assert!(!kit.tick(&[Event::StopRequested]).contains(&Effect::Stop));
    assert!(!kit.tick(&[Event::Ended { stream }]).contains(&Effect::Stop));
    kit.advance(REPORT_LAG);
    assert!(kit.report(Vec::new()).contains(&Effect::Stop));
}

/// Returns the engine priorities of the started streams.
fn engine_priorities(effects: &[Effect]) -> Vec<u16> {
    let priorities = effects.iter().filter_map(|effect| match effect {
        Effect::Start { engine_priority, .. } => Some(*engine_priority),
        _ => None,
    });
    priorities.collect()
}

/// A short prompt precedes a long one in prefill until the long one reaches the ageing limit.
#[test]
fn start_short_before_long_until_aged() {
    let mut kit = Kit::new();
    let mut long = kit.new_offer();
    long.spec.cost.prompt_tokens = 50_000;
    let long_priority = engine_priorities(&kit.send_offer(&long))[0];
    let short = kit.new_offer();
    assert!(engine_priorities(&kit.send_offer(&short))[0] < long_priority);
    kit.advance(AGEING_LIMIT);
    let late = kit.new_offer();
    assert_eq!(engine_priorities(&kit.send_offer(&late))[0], long_priority);
}

/// The priority set by an operator outranks the length of the prompt.
#[test]
fn start_long_of_higher_priority() {
    let mut kit = Kit::new();
    let mut long = kit.new_offer();
    long.spec.cost.prompt_tokens = 50_000;
    long.spec.priority = Priority(0);
    let long_priority = engine_priorities(&kit.send_offer(&long))[0];
    let short = kit.new_offer();
    assert!(engine_priorities(&kit.send_offer(&short))[0] > long_priority);
}

/// Asks to fence a request; returns whether the reply says that it never runs.
fn fence(kit: &mut Kit, id: RequestId, age: Duration) -> bool {
    let ticket = kit.new_offer().ticket;
    let effects = kit.tick(&[Event::FenceRequested { ticket, id, age }]);
    effects.contains(&Effect::ReplyToFence { ticket, never_runs: true })
}

/// A fenced request whose offer arrives later must not run.
#[test]
fn fence_before_offer() {
    let mut kit = Kit::new();
    let mut offer = kit.new_offer();
    offer.spec.is_repeatable = false;
    assert!(fence(&mut kit, offer.spec.id, Duration::from_secs(60)));
    assert_eq!(refusal(&kit.send_offer(&offer)), Some(ResultCode::ExpiredBeforeDispatch));
}

/// A request that was accepted here may run, so fencing it must not be confirmed.
#[test]
fn fence_after_offer() {
    let mut kit = Kit::new();
    let mut offer = kit.new_offer();
    offer.spec.is_repeatable = false;
    kit.start_offer(&offer);
    assert!(!fence(&mut kit, offer.spec.id, Duration::from_secs(60)));
}

/// A request whose record is older than the retention cannot be fenced.
#[test]
fn fence_too_old() {
    let mut kit = Kit::new();
    let id = kit.new_offer().spec.id;
    assert!(!fence(&mut kit, id, RETENTION));
}
