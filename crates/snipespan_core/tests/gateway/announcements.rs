//! Tests of what backend servers announce in their answers.

use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::effect::ReservationRequest;
use snipespan_core::gateway::event::Announcement;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::Listing;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::event::ReservationAnswer;
use snipespan_core::keys::BackendServerKey;
use snipespan_core::keys::RequestKey;

use crate::kit;
use crate::kit::Kit;
use crate::kit::PLAIN;

const LONG_PROMPT_TOKENS: u64 = 400_000;

/// Returns the event by which the incarnation with this hash announces that it is leaving.
fn leaving(instance_hash: u64) -> Event {
    let announcement = Announcement { is_leaving: true };
    Event::BackendServerAnnounced { instance_hash, announcement }
}

/// Returns the listing of the plain backend server whose announcements are tested.
fn server() -> Listing {
    kit::listing(PLAIN, 101)
}

/// Returns the listing of its later incarnation.
fn later_incarnation() -> Listing {
    let listing = server();
    Listing { started_unix_ms: 2, instance_hash: 500 + listing.instance_hash, ..listing }
}

/// Sends several requests, and returns how many of them go to [`server`].
fn sends_to_server(kit: &mut Kit) -> usize {
    let address = server().address;
    (0..8).filter(|_| kit.send("/order/1", 0).1.address == address).count()
}

/// What the store says of a leaving backend server.
#[derive(Clone, Copy, Debug)]
enum Listed {
    Unchanged,
    ChangedAndReady,
    RemovedAndAddedAgain,
    LapsedWithTheStore,
    LaterIncarnationAndBack,
}

/// Guards against a leaving backend server that gets new work because its listing says that it is ready.
#[rstest]
fn leaving_server_gets_no_new_work_whatever_is_listed(
    #[values(
        Listed::Unchanged,
        Listed::ChangedAndReady,
        Listed::RemovedAndAddedAgain,
        Listed::LapsedWithTheStore,
        Listed::LaterIncarnationAndBack
    )]
    listed: Listed,
) {
    let mut kit = Kit::new(2);
    let listing = server();
    kit.step(vec![leaving(listing.instance_hash)]);
    match listed {
        Listed::Unchanged => {}
        Listed::ChangedAndReady => {
            kit.step(vec![kit.listing_changed(Listing { slots: 15, ..listing })]);
        }
        Listed::RemovedAndAddedAgain => {
            kit.step(vec![kit.listing_removed(PLAIN, 101)]);
            assert!(!kit.backend_servers().contains(&listing.id), "its row is removed");
            kit.step(vec![kit.listing_changed(listing)]);
        }
        Listed::LapsedWithTheStore => {
            kit.step(vec![Event::StoreLost]);
            kit.step(vec![kit.listing_removed(PLAIN, 101)]);
        }
        Listed::LaterIncarnationAndBack => {
            kit.step(vec![kit.listing_changed(later_incarnation())]);
            assert!(sends_to_server(&mut kit) > 0, "the later incarnation is not leaving");
            kit.step(vec![kit.listing_changed(listing)]);
        }
    }
    assert_eq!(sends_to_server(&mut kit), 0);
}

/// Guards against a later incarnation that counts as leaving because of an answer of the earlier
/// one that arrives after its listing.
#[test]
fn leaving_of_an_earlier_incarnation_does_not_apply_to_the_later_one() {
    let mut kit = Kit::new(2);
    kit.step(vec![kit.listing_changed(later_incarnation())]);
    kit.step(vec![leaving(server().instance_hash)]);
    assert!(sends_to_server(&mut kit) > 0);
}

/// Guards against an announcement that is lost because the answer arrives while its sender is not
/// listed.
#[test]
fn leaving_of_a_server_that_is_not_listed_applies_once_it_is() {
    let mut kit = Kit::new(2);
    kit.step(vec![kit.listing_removed(PLAIN, 101)]);
    kit.step(vec![leaving(server().instance_hash)]);
    kit.step(vec![kit.listing_changed(server())]);
    assert_eq!(sends_to_server(&mut kit), 0);
}

/// Guards against a retry or a resumption that is placed at the engine whose answer just said that
/// it is leaving, in the same tick.
#[rstest]
#[case::refused(true)]
#[case::broken(false)]
fn leaving_beside_the_result_of_an_attempt_keeps_the_retry_away(#[case] is_refused: bool) {
    let mut kit = Kit::new(2);
    let (_, first) = kit.send("/draft/1", 1_000);
    let work = first.work;
    // The other engine fails it first, so that only the leaving one is not avoided.
    kit.step(vec![Event::AttemptNotRun { work, reason: NotRunReason::Refused }]);
    let second = kit.sent_one();
    let work = second.work;
    let result = match is_refused {
        true => Event::AttemptNotRun { work, reason: NotRunReason::Refused },
        false => Event::AttemptFailed { work, reason: FailReason::Broken },
    };
    kit.step(vec![leaving(second.instance_hash), result]);
    kit.run_until(kit.now.after(Duration::from_millis(100)));
    assert!(kit.sent().iter().all(|sent| sent.address == first.address));
    assert!(!kit.sent().is_empty(), "the engine that refused it before is tried again");
}

/// Returns the number of attempts that the last tick withdrew unless they were sent.
fn withdrawn(kit: &Kit) -> usize {
    let effects = kit.effects.iter();
    effects.filter(|effect| matches!(effect, Effect::DropUnsentAttempt { .. })).count()
}

/// Guards against a request that is sent after the announcement because it was ordered before, and
/// against a withdrawal that ends a stream in progress.
#[test]
fn leaving_withdraws_what_is_not_sent_yet() {
    let mut kit = Kit::new(1);
    let (_, streaming) = kit.send("/draft/1", 1_000);
    kit.progress(streaming.work);
    let (_, unsent) = kit.send("/draft/1", 1_000);
    kit.step(vec![leaving(unsent.instance_hash)]);
    assert_eq!(withdrawn(&kit), 1);
    let reason = NotRunReason::Withdrawn;
    kit.step(vec![Event::AttemptNotRun { work: unsent.work, reason }]);
    assert!(kit.sent().is_empty());
    let work = streaming.work;
    kit.step(vec![Event::AttemptCompleted { work, longest_gap: Duration::ZERO }]);
    assert_eq!(kit.world.counters.completed, 1);
}

/// Returns the reservation requests of the last tick.
fn reserved(kit: &Kit) -> Vec<(RequestKey, BackendServerKey, ReservationRequest)> {
    let reserved = kit.effects.iter().filter_map(|effect| match effect {
        Effect::Reserve { request, backend_server, reservation } => {
            Some((*request, *backend_server, reservation.clone()))
        }
        _ => None,
    });
    reserved.collect()
}

/// Confirms reservations.
fn confirm(kit: &mut Kit, of: &[(RequestKey, BackendServerKey, ReservationRequest)]) {
    let events = of.iter().map(|(request, server, _)| Event::ReservationAnswered {
        request: *request,
        backend_server: *server,
        answer: ReservationAnswer::Reserved,
    });
    kit.step(events.collect());
}

/// Guards against a span that starts although one of its engines announced meanwhile that it is
/// leaving, and against memory that stays reserved.
#[test]
fn leaving_engine_of_a_span_that_is_not_sent_is_replaced() {
    let mut kit = Kit::new(8);
    kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
    let first = reserved(&kit);
    kit.step(vec![leaving(first[0].2.instance_hash)]);
    confirm(&mut kit, &first);
    assert!(kit.sent().is_empty());
    let released = |effect: &&Effect| matches!(effect, Effect::Release { .. });
    assert_eq!(kit.effects.iter().filter(released).count(), first.len());
    kit.run_until(kit.now.after(Duration::from_millis(100)));
    let second = reserved(&kit);
    assert!(!second.is_empty());
    assert!(second.iter().all(|(_, server, _)| *server != first[0].1));
}

/// Guards against a running span that loses its memory because an engine of it is leaving.
#[test]
fn leaving_engine_of_a_running_span_keeps_its_reservation() {
    let mut kit = Kit::new(8);
    kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
    let first = reserved(&kit);
    confirm(&mut kit, &first);
    kit.progress(kit.sent_one().work);
    kit.step(vec![leaving(first[0].2.instance_hash)]);
    kit.run_until(kit.now.after(Duration::from_millis(900)));
    let renewed: Vec<_> = reserved(&kit).into_iter().map(|(_, server, _)| server).collect();
    assert!(renewed.contains(&first[0].1));
}

/// Guards against a leaving backend server without a log line that says so, and against one for each of its
/// answers.
#[test]
fn leaving_is_logged_once() {
    let mut kit = Kit::new(2);
    let mut logged = Vec::new();
    for _ in 0..3 {
        kit.step(vec![leaving(server().instance_hash)]);
        logged.extend(kit.effects.iter().filter_map(|effect| match effect {
            Effect::LogDecision(decision) => match &**decision {
                Decision::BackendServerChanged { backend_server, availability, cause, .. } => {
                    Some((backend_server.clone(), *availability, *cause))
                }
                _ => None,
            },
            _ => None,
        }));
    }
    let id = server().id;
    assert_eq!(logged, [(id, "leaving", "announced in an answer")]);
}
