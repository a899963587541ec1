use std::time::Duration;

use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::effect::ReservationRequest;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::ReservationAnswer;
use snipespan_core::keys::BackendServerKey;
use snipespan_core::keys::RequestKey;

use crate::kit::ENGINE_SPEC;
use crate::kit::Kit;

const LONG_PROMPT_TOKENS: u64 = 240_000;

fn reserved(kit: &Kit) -> Vec<(RequestKey, BackendServerKey, ReservationRequest)> {
    let reserved = kit.effects.iter().filter_map(|effect| match effect {
        Effect::Reserve { request, backend_server, reservation } => {
            Some((*request, *backend_server, reservation.clone()))
        }
        _ => None,
    });
    reserved.collect()
}

fn released(kit: &Kit) -> usize {
    kit.effects.iter().filter(|effect| matches!(effect, Effect::Release { .. })).count()
}

fn answer(
    kit: &mut Kit,
    of: &[(RequestKey, BackendServerKey, ReservationRequest)],
    answer: ReservationAnswer,
) {
    let events = of.iter().map(|(request, server, _)| Event::ReservationAnswered {
        request: *request,
        backend_server: *server,
        answer,
    });
    let events = events.collect();
    kit.step(events);
}

/// Sends a prompt that needs a span and confirms all its reservations; returns the reservation
/// requests.
fn reserve_all(kit: &mut Kit) -> Vec<(RequestKey, BackendServerKey, ReservationRequest)> {
    kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
    let reservations = reserved(kit);
    answer(kit, &reservations, ReservationAnswer::Reserved);
    reservations
}

/// Guards against two requests that use the same reserved memory: all processes of a deployment may
/// start at the same microsecond.
#[test]
fn ticket_of_gateways_with_equal_incarnations_differs() {
    let mut kits = [Kit::new(6), Kit::new(6)];
    kits[1].world.settings.node = "gateway-2".into();
    let tickets = kits.each_mut().map(|kit| {
        kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
        reserved(kit)[0].2.ticket.clone()
    });
    assert_eq!(kits[0].world.incarnation, kits[1].world.incarnation);
    assert_ne!(tickets[0], tickets[1]);
}

#[test]
fn prompt_over_one_memory_reserves_at_several_engines() {
    let mut kit = Kit::new(6);
    kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
    assert!(kit.sent().is_empty());
    let reservations = reserved(&kit);
    assert!(reservations.len() >= 2);
    let tokens: u64 = reservations.iter().map(|(_, _, reservation)| reservation.tokens).sum();
    assert!(tokens >= LONG_PROMPT_TOKENS + 800);
    assert!(reservations.iter().all(|(_, _, r)| r.tokens <= ENGINE_SPEC.memory_tokens));
}

#[test]
fn span_is_sent_only_when_all_memory_is_reserved() {
    let mut kit = Kit::new(6);
    kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
    let reservations = reserved(&kit);
    answer(&mut kit, &reservations[..1], ReservationAnswer::Reserved);
    assert!(kit.sent().is_empty());
    answer(&mut kit, &reservations[1..], ReservationAnswer::Reserved);
    let sent = kit.sent_one();
    assert_eq!(sent.helpers.len(), reservations.len());
    assert_eq!(sent.helpers[0].address, sent.address, "its own reservation goes first");
}

#[test]
fn span_without_memory_releases_all_and_retries() {
    let mut kit = Kit::new(8);
    kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
    let reservations = reserved(&kit);
    answer(&mut kit, &reservations[..1], ReservationAnswer::InsufficientMemory);
    assert_eq!(released(&kit), reservations.len());
    kit.run_until(kit.now.after(Duration::from_millis(100)));
    let again = reserved(&kit);
    assert!(!again.is_empty());
    assert_ne!(again[0].2.ticket, reservations[0].2.ticket);
    assert!(again.iter().all(|(_, server, _)| *server != reservations[0].1));
}

#[test]
fn span_is_renewed_while_it_runs_and_released_at_its_end() {
    let mut kit = Kit::new(6);
    let reservations = reserve_all(&mut kit);
    let sent = kit.sent_one();
    kit.run_until(kit.now.after(Duration::from_millis(900)));
    let renewed = reserved(&kit);
    assert_eq!(renewed.len(), reservations.len());
    assert_eq!(renewed[0].2.ticket, reservations[0].2.ticket);
    kit.step(vec![Event::AttemptCompleted { work: sent.work, longest_gap: Duration::ZERO }]);
    assert_eq!(released(&kit), reservations.len());
    assert!(kit.world.work.is_empty(), "the helpers' work ends too");
}

#[test]
fn failed_span_releases_its_memory() {
    let mut kit = Kit::new(6);
    let reservations = reserve_all(&mut kit);
    let work = kit.sent_one().work;
    kit.step(vec![Event::AttemptFailed {
        work,
        reason: FailReason::Broken,
        stage: AnswerStage::Awaited,
    }]);
    assert_eq!(released(&kit), reservations.len());
}

#[test]
fn span_of_a_client_that_left_releases_its_memory() {
    let mut kit = Kit::new(6);
    kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
    let reservations = reserved(&kit);
    kit.step(vec![Event::CallerDisconnected { request: reservations[0].0 }]);
    assert_eq!(released(&kit), reservations.len());
}

/// Guards against a span that stays with a silent engine; its stall limit is 1.6 s.
#[test]
fn span_whose_first_engine_hangs_is_moved() {
    let mut kit = Kit::new(8);
    let reservations = reserve_all(&mut kit);
    let first = kit.sent_one();
    kit.run_until(kit.now.after(Duration::from_secs(3)));
    let moved: Vec<_> = reserved(&kit)
        .into_iter()
        .filter(|(_, _, reservation)| reservation.ticket != reservations[0].2.ticket)
        .collect();
    assert!(!moved.is_empty(), "the memory stays reserved for a request that no engine runs");
    assert!(moved.iter().all(|(_, _, reservation)| reservation.address != first.address));
    assert!(released(&kit) >= reservations.len());
}

/// Guards against a span that is placed again only at the next event, because the tick that gave up
/// its engines does not say when that is due.
#[test]
fn span_without_memory_is_due_again_by_itself() {
    let mut kit = Kit::new(6);
    kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
    let reservations = reserved(&kit);
    let (request, backend_server, _) = reservations[0].clone();
    let answer = ReservationAnswer::InsufficientMemory;
    let answered = Event::ReservationAnswered { request, backend_server, answer };
    let wake_at = kit.step(vec![answered]).expect("a time");
    assert!(wake_at <= kit.now.after(Duration::from_millis(60)), "due after {}", wake_at);
}
