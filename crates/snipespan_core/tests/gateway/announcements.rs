//! Tests of what backend servers announce in their answers.

use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::effect::ReservationRequest;
use snipespan_core::gateway::event::Announcement;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::event::Listing;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::event::ReservationAnswer;
use snipespan_core::keys::BackendServerKey;
use snipespan_core::keys::RequestKey;
use snipespan_core::keys::WorkKey;
use snipespan_core::result_code::ResultCode;

use crate::kit;
use crate::kit::Kit;
use crate::kit::PLAIN;

const LONG_PROMPT_TOKENS: u64 = 240_000;

fn failed(work: WorkKey, reason: FailReason) -> Event {
    Event::AttemptFailed { work, reason, stage: AnswerStage::Awaited }
}

/// Returns the event by which the incarnation with this hash announces that it is leaving.
fn leaving(instance_hash: u64) -> Event {
    let announcement = Announcement { is_leaving: true, ..Announcement::default() };
    Event::BackendServerAnnounced { instance_hash, announcement }
}

/// Returns the event by which the incarnation with this hash says that it wants no requests for
/// `period`.
fn unwanted(instance_hash: u64, period: Duration) -> Event {
    let announcement = Announcement { unwanted_for: Some(period), ..Announcement::default() };
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
        false => failed(work, FailReason::Broken),
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

/// Guards against a request within the time for which a backend server wants none, against one that
/// is left unused after it, and against an end without a tick.
#[test]
fn unwanted_server_gets_requests_again_after_its_time() {
    let mut kit = Kit::new(2);
    let period = Duration::from_secs(2);
    let end = kit.now.after(period);
    kit.step(vec![unwanted(server().instance_hash, period)]);
    assert_eq!(unwanted_logged(&kit).len(), 1);
    for _ in 0..4 {
        assert_eq!(sends_to_server(&mut kit), 0);
        kit.advance(Duration::from_millis(450));
    }
    // At most a quarter of the time is added.
    kit.now = end;
    kit.run_until(end.after(period / 4));
    assert_eq!(unwanted_logged(&kit), [None]);
    assert!(sends_to_server(&mut kit) > 0);
}

/// Returns the changes of whether requests are wanted that the last tick logged.
fn unwanted_logged(kit: &Kit) -> Vec<Option<Duration>> {
    let logged = kit.effects.iter().filter_map(|effect| match effect {
        Effect::LogDecision(decision) => match **decision {
            Decision::RequestsUnwanted { unwanted_for, .. } => Some(unwanted_for),
            _ => None,
        },
        _ => None,
    });
    logged.collect()
}

/// Guards against gateways that return to a backend server at the same moment, or before the end of
/// its time.
#[test]
fn unwanted_server_is_called_again_at_different_times() {
    let period = Duration::from_secs(2);
    let mut added: Vec<_> = (0..20)
        .map(|seed| {
            let mut kit = Kit::new(1);
            for _ in 0..seed {
                kit.send("/order/1", 0);
            }
            kit.step(vec![unwanted(server().instance_hash, period)]);
            let end = kit.world.backend_servers.next_return().expect("an end");
            end.since(kit.now).checked_sub(period).expect("not before the end")
        })
        .collect();
    assert!(added.iter().all(|added| *added <= period / 4));
    added.sort();
    added.dedup();
    assert!(added.len() > 10, "{added:?}");
}

/// Guards against a time that overflows, that is shortened to what a request could wait, or that
/// ends at once; another incarnation ends it.
#[rstest]
#[case::longest(Duration::MAX)]
#[case::longer_than_the_clock(Duration::from_secs(u64::MAX / 1_000_000))]
#[case::a_day(Duration::from_secs(86_400))]
fn unwanted_time_longer_than_any_request_is_kept(#[case] period: Duration) {
    let mut kit = Kit::new(2);
    kit.step(vec![unwanted(server().instance_hash, period)]);
    kit.advance(Duration::from_secs(80_000));
    assert_eq!(sends_to_server(&mut kit), 0);
    kit.step(vec![kit.listing_changed(later_incarnation())]);
    assert!(sends_to_server(&mut kit) > 0);
}

/// Guards against a shorter time of a later answer that replaces a longer one, and against a zero
/// that does.
#[rstest]
#[case::shorter(Duration::from_millis(100))]
#[case::zero(Duration::ZERO)]
fn unwanted_time_is_not_shortened(#[case] later: Duration) {
    let mut kit = Kit::new(2);
    kit.step(vec![unwanted(server().instance_hash, Duration::from_secs(2))]);
    kit.step(vec![unwanted(server().instance_hash, later)]);
    kit.advance(Duration::from_millis(1900));
    assert_eq!(sends_to_server(&mut kit), 0);
}

#[test]
fn unwanted_for_no_time_changes_nothing() {
    let mut kit = Kit::new(2);
    kit.step(vec![unwanted(server().instance_hash, Duration::ZERO)]);
    assert!(kit.effects.iter().all(|effect| !matches!(effect, Effect::LogDecision(_))));
    assert!(sends_to_server(&mut kit) > 0);
}

/// Guards against forgetting the time when the listing lapses and comes back, and against losing
/// the backend server with it.
#[test]
fn unwanted_server_whose_listing_comes_back_still_wants_nothing() {
    let mut kit = Kit::new(2);
    kit.step(vec![unwanted(server().instance_hash, Duration::from_secs(3))]);
    kit.step(vec![kit.listing_removed(PLAIN, 101)]);
    assert!(!kit.backend_servers().contains(&server().id));
    kit.step(vec![kit.listing_changed(server())]);
    assert_eq!(sends_to_server(&mut kit), 0);
    kit.run_until(kit.now.after(Duration::from_secs(4)));
    assert!(sends_to_server(&mut kit) > 0);
}

/// Guards against a request that is held, or that takes from the retry budget, when no backend
/// server wants requests: it is refused with the earliest return, as far as clients honour it.
#[rstest]
#[case::earliest_of_two(NotRunReason::Refused, 200, 250)]
#[case::beyond_what_clients_honour(NotRunReason::Refused, 50_000, 320)]
#[case::withdrawn(NotRunReason::Withdrawn, 200, 250)]
fn unwanted_by_all_is_refused_at_once(
    #[case] reason: NotRunReason,
    #[case] earlier_ms: u64,
    #[case] at_most_ms: u64,
) {
    let earlier = Duration::from_millis(earlier_ms);
    let at_most = Duration::from_millis(at_most_ms);
    let mut kit = Kit::new(2);
    let (_, sent) = kit.send("/order/1", 0);
    let other = [101, 102].map(|number| kit::listing(PLAIN, number).instance_hash);
    let other = other.into_iter().find(|hash| *hash != sent.instance_hash).expect("another one");
    kit.step(vec![unwanted(other, Duration::from_secs(60))]);
    let refusal = Event::AttemptNotRun { work: sent.work, reason };
    kit.step(vec![unwanted(sent.instance_hash, earlier), refusal]);
    let refused = retry_afters(&kit);
    assert_eq!(refused.len(), 1);
    let (code, retry_after) = refused[0];
    assert_eq!(code, ResultCode::BackendRefused);
    let retry_after = retry_after.expect("a time");
    assert!(retry_after >= earlier.min(at_most), "{retry_after:?}");
    assert!(retry_after <= at_most + Duration::from_millis(10), "{retry_after:?}");
    assert_eq!(kit.world.counters.retries_over_budget, 0);
    kit.arrive("/order/1", 0);
    assert_eq!(kit.refused(), [ResultCode::BackendRefused], "also on arrival");
}

/// Returns the result codes with which the last tick refused requests, and when to retry.
fn retry_afters(kit: &Kit) -> Vec<(ResultCode, Option<Duration>)> {
    let refused = kit.effects.iter().filter_map(|effect| match effect {
        Effect::Refuse { code, retry_after, .. } => Some((*code, *retry_after)),
        _ => None,
    });
    refused.collect()
}

/// Guards against a stream that is cut although the only engine takes requests again before its
/// client leaves, and against one that is kept open for nothing.
#[rstest]
#[case::back_in_time(Duration::from_millis(500), true)]
#[case::back_too_late(Duration::from_secs(30), false)]
fn unwanted_stream_in_progress_waits_for_a_near_return(
    #[case] period: Duration,
    #[case] is_resumed: bool,
) {
    let mut kit = Kit::new(1);
    let (_, sent) = kit.send("/draft/1", 1_000);
    kit.progress(sent.work);
    let failed = failed(sent.work, FailReason::Broken);
    kit.step(vec![unwanted(sent.instance_hash, period), failed]);
    assert_eq!(kit.refused().is_empty(), is_resumed);
    assert!(kit.sent().is_empty());
    kit.run_until(kit.now.after(Duration::from_secs(1)));
    assert_eq!(kit.sent().len(), usize::from(is_resumed));
}

/// Guards against a backend server that counts as failing because it turns requests away.
#[test]
fn unwanted_requests_are_no_failures() {
    let mut kit = Kit::new(2);
    let (_, sent) = kit.send("/look/1", 0);
    let failed = failed(sent.work, FailReason::ServerError);
    kit.step(vec![unwanted(sent.instance_hash, Duration::from_secs(1)), failed]);
    let rows = kit.world.backend_servers.rows.iter();
    assert_eq!(rows.map(|(_, row)| row.failures).sum::<u32>(), 0);
    assert_ne!(kit.sent_one().address, sent.address, "it is sent elsewhere");
}

/// Guards against a span that starts with an engine that wants no requests since it was chosen, and
/// against a release that is sent to an engine that turned the reservation away.
#[test]
fn unwanted_span_is_placed_again() {
    let mut kit = Kit::new(8);
    kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
    let first = reserved(&kit);
    let (request, backend_server, reservation) = first[0].clone();
    confirm(&mut kit, &first[1..]);
    let answer = ReservationAnswer::Unknown;
    let refusal = Event::ReservationAnswered { request, backend_server, answer };
    let period = Duration::from_secs(5);
    kit.step(vec![unwanted(reservation.instance_hash, period), refusal]);
    let released = kit.effects.iter().filter_map(|effect| match effect {
        Effect::Release { address, .. } => Some(*address),
        _ => None,
    });
    let released: Vec<_> = released.collect();
    assert_eq!(released.len(), first.len() - 1);
    assert!(!released.contains(&reservation.address));
    kit.run_until(kit.now.after(Duration::from_millis(100)));
    let second = reserved(&kit);
    assert!(!second.is_empty());
    assert!(second.iter().all(|(_, server, _)| *server != backend_server));
}

/// Guards against a reservation that is renewed at an engine that wants no requests, for a span that
/// will not start; the other engines have not answered.
#[test]
fn unwanted_engine_of_a_span_that_is_not_sent_is_not_asked_again() {
    let mut kit = Kit::new(8);
    kit.arrive("/draft/1", LONG_PROMPT_TOKENS);
    let first = reserved(&kit);
    confirm(&mut kit, &first[..1]);
    kit.step(vec![unwanted(first[0].2.instance_hash, Duration::from_secs(5))]);
    kit.run_until(kit.now.after(Duration::from_millis(900)));
    let renewed: Vec<_> = reserved(&kit).into_iter().map(|(_, server, _)| server).collect();
    assert!(renewed.contains(&first[1].1), "the others are");
    assert!(!renewed.contains(&first[0].1));
}

/// Guards against many answers that each withdraw the unsent attempts: a request whose task has too
/// many orders is closed.
#[test]
fn unwanted_many_times_withdraws_once() {
    let mut kit = Kit::new(1);
    let (_, sent) = kit.send("/order/1", 0);
    let mut count = 0;
    for _ in 0..40 {
        kit.advance(Duration::from_millis(10));
        kit.step(vec![unwanted(sent.instance_hash, Duration::from_secs(2))]);
        count += withdrawn(&kit);
    }
    assert_eq!(count, 1);
}
