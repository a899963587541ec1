//! Tests of one gateway before cold backend servers.

use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Announcement;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::Listing;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::event::ReservationAnswer;
use snipespan_core::gateway::message::PeerUpdate;
use snipespan_core::result_code::ResultCode;

use crate::kit;
use crate::kit::ENGINE;
use crate::kit::Kit;
use crate::kit::PLAIN;

/// Creates the only gateway, which has all of the rate, with `count` backend servers of each
/// service, all of them warm.
fn kit_with_rate(count: u8, cold_rate: f64) -> Kit {
    let mut kit = Kit::new(count);
    kit.world.settings.cold_excess = Some(1.5);
    kit.world.settings.cold_slack = Some(5.0);
    let serving = Box::new(kit::serving_with_cold_rate(2, cold_rate));
    let read = Event::PeersRead(Vec::new());
    kit.step(vec![Event::ServingReceived { serving, is_from_store: true }, read]);
    // The time that the kit skipped counts as a pause, after which a gateway has nothing to spend.
    kit.run_until(kit.now.after(ms(1_500)));
    kit
}

fn kit_without_slack() -> Kit {
    let mut kit = kit_with_rate(1, 4.0);
    kit.world.settings.cold_slack = None;
    kit
}

fn cold(service: &str, number: u8, ms: u32) -> Listing {
    Listing { cold_ms: ms, ..kit::listing(service, number) }
}

/// Lists the backend servers of a service from `first` to `last` as cold.
fn make_cold(kit: &mut Kit, service: &str, first: u8, last: u8, ms: u32) {
    for number in first..=last {
        kit.step(vec![kit.listing_changed(cold(service, number, ms))]);
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns how many of the requests sent at once are sent to the only plain backend server.
fn sent_at_once(kit: &mut Kit, requests: usize) -> usize {
    (0..requests)
        .map(|_| {
            kit.arrive("/look/1", 0);
            kit.sent().len()
        })
        .sum()
}

fn cold_lines(kit: &Kit) -> usize {
    let is_cold = |effect: &&Effect| {
        matches!(effect, Effect::LogDecision(decision)
            if matches!(**decision, Decision::RateShareChanged { .. } | Decision::RateEnded { .. }))
    };
    kit.effects.iter().filter(is_cold).count()
}

/// Guards against a limit where the deployment states none, and against one that outlasts the cold
/// time.
#[rstest]
#[case::limited(kit_with_rate(1, 4.0), 4, 20)]
#[case::no_rate(Kit::new(1), 20, 20)]
#[case::no_slack(kit_without_slack(), 20, 20)]
fn cold_server_is_held_to_its_rate_while_it_is_cold(
    #[case] mut kit: Kit,
    #[case] while_cold: usize,
    #[case] once_warm: usize,
) {
    make_cold(&mut kit, PLAIN, 101, 101, 3_000);
    assert_eq!(sent_at_once(&mut kit, 20), while_cold);
    kit.advance(ms(3_000));
    assert_eq!(sent_at_once(&mut kit, 20), once_warm);
}

/// How a backend server says at 2 s that it is cold, after it said so for 3 s at 0 s.
#[derive(Clone, Copy, Debug)]
enum Said {
    SameListing,
    ShorterListing,
    LongerListing,
    NewIncarnation,
    WarmIncarnation,
    Header(u64),
}

/// Guards against a listing that is read again and holds a backend server to its rate for ever, and
/// against one that became cold again unnoticed.
#[rstest]
#[case::same_listing(Said::SameListing, 3_000)]
#[case::shorter_listing(Said::ShorterListing, 3_000)]
#[case::longer_listing(Said::LongerListing, 7_000)]
#[case::new_incarnation(Said::NewIncarnation, 5_000)]
#[case::warm_incarnation(Said::WarmIncarnation, 2_000)]
#[case::header(Said::Header(4_000), 6_000)]
#[case::shorter_header(Said::Header(500), 3_000)]
#[case::warm_header(Said::Header(0), 3_000)]
fn cold_time_counts_from_when_it_was_first_read(#[case] said: Said, #[case] warm_at: u64) {
    let mut kit = kit_with_rate(1, 4.0);
    let began = kit.now;
    make_cold(&mut kit, PLAIN, 101, 101, 3_000);
    kit.advance(ms(2_000));
    let listing = cold(PLAIN, 101, 3_000);
    let restarted = Listing { started_unix_ms: 2, instance_hash: 77, ..listing.clone() };
    let event = match said {
        Said::SameListing => kit.listings_read(vec![listing]),
        Said::ShorterListing => kit.listing_changed(Listing { cold_ms: 400, ..listing }),
        Said::LongerListing => kit.listing_changed(Listing { cold_ms: 5_000, ..listing }),
        Said::NewIncarnation => kit.listing_changed(restarted),
        Said::WarmIncarnation => kit.listing_changed(Listing { cold_ms: 0, ..restarted }),
        Said::Header(cold_ms) => Event::BackendServerAnnounced {
            instance_hash: listing.instance_hash,
            announcement: Announcement { cold_for: Some(ms(cold_ms)), ..Announcement::default() },
        },
    };
    kit.step(vec![event]);
    let key = kit.world.backend_servers.find("orders-101").expect("a backend server");
    let cold_until = kit.world.backend_servers.rows.get(key).expect("a row").cold_until();
    assert_eq!(cold_until.max(kit.now), began.after(ms(warm_at)));
}

/// Guards against a log line for each beat of a cold backend server, whose listing states a shorter
/// time each time.
#[test]
fn listing_with_another_cold_time_only_is_not_logged() {
    let mut kit = kit_with_rate(1, 4.0);
    let lines = |kit: &Kit| {
        kit.effects.iter().filter(|effect| matches!(effect, Effect::LogDecision(_))).count()
    };
    make_cold(&mut kit, PLAIN, 101, 101, 3_000);
    assert_eq!((cold_lines(&kit), lines(&kit)), (1, 1), "{:?}", kit.effects);
    for left in [2_500, 2_000, 1_500] {
        kit.advance(ms(100));
        make_cold(&mut kit, PLAIN, 101, 101, left);
        assert_eq!(lines(&kit), 0, "{:?}", kit.effects);
    }
    kit.advance(ms(3_000));
    kit.step(Vec::new());
    assert_eq!(cold_lines(&kit), 1, "{:?}", kit.effects);
}

/// Guards against helpers that a cold engine gets beside its rate, and against a send that takes
/// from it twice.
#[test]
fn helpers_take_from_the_rate_once_each() {
    let mut kit = kit_with_rate(6, 4.0);
    make_cold(&mut kit, ENGINE, 1, 6, 60_000);
    let (_, sent) = kit.send("/long/1", 150_000);
    assert!(!sent.helpers.is_empty(), "{sent:?}");
    assert_eq!(kit.world.counters.cold_sends, 1 + sent.helpers.len() as u64);
    let mut engines = 1 + sent.helpers.len();
    for _ in 0..20 {
        kit.arrive("/long/1", 150_000);
        engines += kit.sent().iter().map(|sent| 1 + sent.helpers.len()).sum::<usize>();
    }
    assert!(engines <= 24, "{engines} requests and helpers at 6 engines with 4 each");
    assert_eq!(kit.world.counters.cold_sends, engines as u64);
}

/// Guards against engines of a span that a cold engine gets beside its rate, and against a span
/// that takes from it at the reservation and again when it is sent.
#[test]
fn engines_of_a_span_take_from_the_rate_once_each() {
    let mut kit = kit_with_rate(4, 4.0);
    make_cold(&mut kit, ENGINE, 1, 4, 60_000);
    kit.arrive("/long/1", 300_000);
    let reserved = kit.effects.iter().filter_map(|effect| match effect {
        Effect::Reserve { request, backend_server, .. } => Some((*request, *backend_server)),
        _ => None,
    });
    let reserved: Vec<_> = reserved.collect();
    assert!(reserved.len() > 1, "{:?}", kit.effects);
    let answer = ReservationAnswer::Reserved;
    let answers = reserved.iter().map(|(request, backend_server)| {
        let (request, backend_server) = (*request, *backend_server);
        Event::ReservationAnswered { request, backend_server, answer }
    });
    kit.step(answers.collect());
    assert_eq!(kit.sent().len(), 1);
    assert_eq!(kit.world.counters.cold_sends, reserved.len() as u64);
}

/// Guards against retries that a cold backend server gets beside its rate.
#[test]
fn retries_take_from_the_rate() {
    let mut kit = kit_with_rate(1, 4.0);
    make_cold(&mut kit, PLAIN, 101, 101, 60_000);
    for sends in [2, 4] {
        let (_, sent) = kit.send("/look/1", 0);
        kit.step(vec![Event::AttemptNotRun { work: sent.work, reason: NotRunReason::Refused }]);
        kit.run_until(kit.now.after(ms(25)));
        assert_eq!(kit.world.counters.sends, sends);
    }
    assert_eq!(sent_at_once(&mut kit, 10), 0);
}

/// Guards against a request that is refused although a cold backend server soon takes it, and one
/// that waits for longer than a quarter of its time although that is known before.
#[rstest]
#[case::streaming_waits("/draft/1", ENGINE, 1, 5_000, true)]
#[case::plain_is_refused("/look/1", PLAIN, 101, 0, false)]
fn request_waits_for_a_cold_server_within_a_quarter_of_its_time(
    #[case] path: &str,
    #[case] service: &str,
    #[case] number: u8,
    #[case] tokens: u64,
    #[case] waits: bool,
) {
    let mut kit = kit_with_rate(1, 4.0);
    make_cold(&mut kit, service, number, number, 60_000);
    (0..4).for_each(|_| drop(kit.send(path, tokens)));
    let began = kit.now;
    kit.arrive(path, tokens);
    let line = kit.effects.iter().any(|effect| {
        matches!(effect, Effect::LogDecision(decision)
            if matches!(**decision, Decision::RatedOnly { is_refused, .. } if is_refused != waits))
    });
    assert!(line, "{:?}", kit.effects);
    if waits {
        kit.run_until(began.after(ms(1_050)));
        assert_eq!(kit.sent().len(), 1);
    } else {
        assert_eq!(kit.refused(), [ResultCode::BackendRefused]);
        let retry_after = kit.effects.iter().find_map(|effect| match effect {
            Effect::Refuse { retry_after, .. } => *retry_after,
            _ => None,
        });
        // The client honours less than the 1.01 s until the next request.
        assert!(retry_after.is_some_and(|wait| wait >= ms(300)), "{retry_after:?}");
    }
}

/// Guards against a request that goes on waiting for a cold backend server while a warm one is free.
#[test]
fn request_that_waits_for_a_cold_server_goes_to_a_warm_one() {
    let mut kit = kit_with_rate(1, 4.0);
    make_cold(&mut kit, ENGINE, 1, 1, 60_000);
    (0..4).for_each(|_| drop(kit.send("/draft/1", 5_000)));
    kit.arrive("/draft/1", 5_000);
    let warm = kit::listing(ENGINE, 2);
    kit.step(vec![kit.listing_changed(warm.clone())]);
    kit.run_until(kit.now.after(ms(150)));
    assert_eq!(kit.sent_one().address, warm.address);
}

/// Guards against load that moves from a cold backend server that crashed to the next cold one
/// beside the rate of that one.
#[test]
fn crash_of_a_cold_server_leaves_the_next_one_at_its_rate() {
    let mut kit = kit_with_rate(2, 4.0);
    make_cold(&mut kit, PLAIN, 101, 102, 60_000);
    let mut works = Vec::new();
    for _ in 0..6 {
        works.push(kit.send("/look/1", 0).1);
    }
    let gone = works[0].address;
    let lost = works.iter().filter(|sent| sent.address == gone);
    let reason = NotRunReason::Unreachable;
    let lost: Vec<_> = lost.map(|sent| Event::AttemptNotRun { work: sent.work, reason }).collect();
    kit.step(lost);
    let next = kit.sent().iter().filter(|sent| sent.address != gone).count();
    let before = works.iter().filter(|sent| sent.address != gone).count();
    assert!(before + next <= 4, "{before} and {next}");
}

/// Guards against a gateway that counts itself as the only one before it knows others, and against a
/// request that is refused until the backend server is warm while it need only wait for a share.
#[test]
fn cold_server_gets_nothing_from_a_gateway_that_knows_no_other_and_no_list() {
    let mut kit = Kit::new(1);
    (kit.world.settings.cold_excess, kit.world.settings.cold_slack) = (Some(1.5), Some(5.0));
    let serving = Box::new(kit::serving_with_cold_rate(2, 28.0));
    let seeds = Event::SeedsNamed(vec![kit::peer_address(2)]);
    kit.step(vec![Event::ServingReceived { serving, is_from_store: true }, seeds]);
    make_cold(&mut kit, ENGINE, 1, 1, 60_000);
    make_cold(&mut kit, PLAIN, 101, 101, 60_000);
    kit.run_until(kit.now.after(ms(5_000)));
    assert_eq!(sent_at_once(&mut kit, 10), 0);
    let message = kit::peer_message(1, 1, PeerUpdate::Changes(Vec::new()));
    let heard = Event::PeerMessageReceived { from: kit::peer_address(2), message };
    kit.step(vec![heard, Event::PeersRead(vec![kit::peer_address(2)])]);
    kit.arrive("/draft/1", 5_000);
    kit.run_until(kit.now.after(ms(1_600)));
    assert_eq!(kit.sent().len(), 1, "{:?}", kit.effects);
}
