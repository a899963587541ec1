use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::AnswerStage;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::FailReason;
use snipespan_core::gateway::message::CrashReport;
use snipespan_core::gateway::message::PeerUpdate;
use snipespan_core::gateway::message::PromptPartReport;
use snipespan_core::gateway::tables::prompt_parts::MAX_SUSPECTS;
use snipespan_core::gateway::tables::prompt_parts::PromptPart;
use snipespan_core::keys::CallerKey;
use snipespan_core::keys::WorkKey;
use snipespan_core::result_code::ResultCode;

use crate::kit;
use crate::kit::Kit;

const PART: PromptPart = PromptPart(7);

/// Pause between crashes that do not count as one.
const PAUSE: Duration = Duration::from_millis(300);

fn arrive_with(kit: &mut Kit, path: &str, parts: &[PromptPart]) -> CallerKey {
    let mut arrival = kit.arrival(path, 4_000);
    arrival.parts = parts.to_vec();
    let caller = arrival.caller;
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    caller
}

fn fail(kit: &mut Kit, work: WorkKey, stage: AnswerStage) {
    kit.step(vec![Event::AttemptFailed { work, reason: FailReason::Broken, stage }]);
}

/// Sends a request with these parts, whose backend server ends as the answer begins and starts again;
/// a stream that is not resumable is not sent again.
fn crash(kit: &mut Kit, parts: &[PromptPart]) {
    kit.advance(PAUSE);
    arrive_with(kit, "/once/1", parts);
    let sent = kit.sent_one();
    fail(kit, sent.work, AnswerStage::Begun);
    let server = kit.world.backend_servers.find(&sent.instance).expect("a backend server");
    let mut listing = kit.world.backend_servers.rows.get(server).expect("a row").listing.clone();
    listing.started_unix_ms += 1;
    listing.instance_hash += 10_000;
    let restarted = kit.listing_changed(listing);
    kit.step(vec![restarted]);
}

/// Returns a report of this many crashes, of which the last has just happened.
fn report(generation: u32, crashes: u32) -> PromptPartReport {
    let crash = |number: u32| CrashReport {
        instance_hash: u64::from(500 + number),
        request_hash: u64::from(900 + number),
        ran_ms: 20,
        age_ms: (crashes - 1 - number) * 400,
    };
    let crashes = (0..crashes).map(crash).collect();
    let part = PART;
    PromptPartReport {
        part,
        generation,
        was_sound: false,
        idle_ms: 0,
        crashes,
        failed_probes: 0,
        probe_age_ms: None,
    }
}

fn receive(kit: &mut Kit, sequence: u64, report: PromptPartReport) {
    let message = kit::peer_message(sequence, 1, PeerUpdate::PromptParts(vec![report]));
    kit.step(vec![Event::PeerMessageReceived { from: kit::peer_address(2), message }]);
}

fn is_blocked(kit: &Kit, part: PromptPart) -> bool {
    kit.world.suspects.get(part).is_some_and(|row| row.is_blocked())
}

fn crash_count(kit: &Kit) -> usize {
    kit.world.suspects.get(PART).map_or(0, |row| row.crashes.len())
}

/// Guards against a request with a crashing part that is sent to one more backend server, and
/// against a refusal whose retry the client would not honour.
#[test]
fn blocked_part_is_refused_as_not_run() {
    let mut kit = Kit::new(9);
    (0..3).for_each(|_| crash(&mut kit, &[PART]));
    assert!(is_blocked(&kit, PART));
    arrive_with(&mut kit, "/draft/1", &[PromptPart(1), PART]);
    assert!(kit.sent().is_empty());
    assert_eq!(kit.refused(), [ResultCode::PromptPartBlocked]);
    let retry_after = kit.effects.iter().find_map(|effect| match effect {
        Effect::Refuse { retry_after, .. } => *retry_after,
        _ => None,
    });
    let third = Duration::from_secs(10) / 3;
    assert!(retry_after.is_some_and(|pause| pause <= third && pause >= third / 2));
    arrive_with(&mut kit, "/draft/1", &[PromptPart(1)]);
    kit.sent_one();
}

/// Guards against a request that is sent to a second backend server although its part has been
/// blocked, and against "not run" for one that ran.
#[test]
fn request_that_ran_ends_as_failed_once_its_part_is_blocked() {
    let mut kit = Kit::new(9);
    arrive_with(&mut kit, "/draft/1", &[PART]);
    let sent = kit.sent_one();
    receive(&mut kit, 1, report(0, 3));
    fail(&mut kit, sent.work, AnswerStage::Awaited);
    assert!(kit.sent().is_empty());
    assert_eq!(kit.refused(), [ResultCode::AnswerCut]);
}

/// Guards against a request that waits at the gateway and is sent after its part was blocked.
#[test]
fn held_request_is_refused_once_its_part_is_blocked() {
    let mut kit = Kit::new(0);
    arrive_with(&mut kit, "/draft/1", &[PART]);
    assert!(kit.sent().is_empty());
    receive(&mut kit, 1, report(0, 3));
    kit.run_until(kit.now.after(Duration::from_millis(50)));
    assert_eq!(kit.refused(), [ResultCode::PromptPartBlocked]);
}

/// Guards against a backend server that comes back under its id and start time, and whose further
/// crashes count as the first; and against one crash that counts twice, as its connections break one
/// after the other.
#[test]
fn server_that_comes_back_crashes_again() {
    let mut kit = Kit::new(1);
    let send = |kit: &mut Kit| {
        arrive_with(kit, "/once/1", &[PART]);
        kit.sent_one().work
    };
    let (first, second) = (send(&mut kit), send(&mut kit));
    kit.advance(Duration::from_millis(20));
    fail(&mut kit, first, AnswerStage::Awaited);
    kit.advance(PAUSE);
    fail(&mut kit, second, AnswerStage::Awaited);
    assert_eq!(crash_count(&kit), 1, "both were open at the first crash");
    kit.advance(PAUSE);
    let third = send(&mut kit);
    kit.advance(Duration::from_millis(20));
    fail(&mut kit, third, AnswerStage::Awaited);
    assert_eq!(crash_count(&kit), 1, "it went on at once");
    for crashes in 2..=3 {
        kit.advance(Duration::from_secs(2));
        let work = send(&mut kit);
        kit.advance(Duration::from_millis(20));
        fail(&mut kit, work, AnswerStage::Awaited);
        assert_eq!(crash_count(&kit), crashes);
    }
    assert!(is_blocked(&kit, PART));
}

/// Guards against parts that are blamed for what is no crash at the beginning of an answer.
#[rstest]
#[case::long_begun(FailReason::Broken, AnswerStage::Events { reads: 9, since_first: Duration::from_millis(400) })]
#[case::server_error(FailReason::ServerError, AnswerStage::Awaited)]
#[case::malformed(FailReason::Corrupt, AnswerStage::Awaited)]
fn other_failures_count_against_no_part(#[case] reason: FailReason, #[case] stage: AnswerStage) {
    let mut kit = Kit::new(9);
    arrive_with(&mut kit, "/once/1", &[PART]);
    let work = kit.sent_one().work;
    kit.step(vec![Event::AttemptFailed { work, reason, stage }]);
    assert_eq!(crash_count(&kit), 0);
}

/// Guards against a crash that counts against no part because it came before the head, or within the
/// first events.
#[rstest]
#[case::awaited(AnswerStage::Awaited)]
#[case::head(AnswerStage::Begun)]
#[case::first_event(AnswerStage::Events { reads: 1, since_first: Duration::from_millis(40) })]
fn crash_at_the_beginning_counts(#[case] stage: AnswerStage) {
    let mut kit = Kit::new(9);
    arrive_with(&mut kit, "/once/1", &[PART]);
    let work = kit.sent_one().work;
    fail(&mut kit, work, stage);
    assert_eq!(crash_count(&kit), 1);
}

/// Guards against a sound part that is blocked because one request met several crashes, and against
/// a part of which only one request is known that ends one backend server after the other.
#[test]
fn crashes_of_one_request_block_a_part_later() {
    let mut kit = Kit::new(9);
    for crashes in 1..=4 {
        receive(&mut kit, crashes, of_one_request(report(0, crashes as u32)));
        assert_eq!(is_blocked(&kit, PART), crashes == 4, "after {crashes} crashes");
    }
}

fn of_one_request(mut report: PromptPartReport) -> PromptPartReport {
    report.crashes.iter_mut().for_each(|crash| crash.request_hash = 99);
    report
}

/// Guards against a sound part that is blocked together with the crashing one of the same prompts.
#[test]
fn part_that_was_sound_is_not_blocked_with_the_crashing_one() {
    let shared = PromptPart(1);
    let mut kit = Kit::new(9);
    arrive_with(&mut kit, "/draft/1", &[shared]);
    let work = kit.sent_one().work;
    kit.step(vec![Event::AttemptCompleted { work, longest_gap: Duration::ZERO }]);
    (0..3).for_each(|_| crash(&mut kit, &[shared, PART]));
    assert!(is_blocked(&kit, PART));
    assert!(!is_blocked(&kit, shared));
}

/// Guards against crashes that count although an answer with the part went on after the first.
#[test]
fn answer_that_goes_on_clears_the_part() {
    let mut kit = Kit::new(9);
    (0..2).for_each(|_| crash(&mut kit, &[PART]));
    arrive_with(&mut kit, "/draft/1", &[PART]);
    let work = kit.sent_one().work;
    kit.progress(work);
    assert_eq!(crash_count(&kit), 2, "it has only begun");
    kit.advance(Duration::from_millis(250));
    kit.progress(work);
    assert_eq!(crash_count(&kit), 0);
    receive(&mut kit, 1, report(0, 3));
    assert_eq!(crash_count(&kit), 0, "crashes from before");
}

/// Guards against an answer that began before the first crash and hides a part that crashes
/// backend servers since then.
#[test]
fn answer_that_began_before_the_crashes_clears_nothing() {
    let mut kit = Kit::new(9);
    arrive_with(&mut kit, "/draft/1", &[PART]);
    let work = kit.sent_one().work;
    kit.progress(work);
    (0..2).for_each(|_| crash(&mut kit, &[PART]));
    kit.progress(work);
    assert_eq!(crash_count(&kit), 2);
}

/// Guards against reports that count twice, and against a gateway that starts after the crashes and
/// knows of none.
#[test]
fn repeated_reports_change_nothing() {
    let mut kit = Kit::new(9);
    receive(&mut kit, 1, report(0, 2));
    receive(&mut kit, 2, report(0, 2));
    assert_eq!(crash_count(&kit), 2);
    receive(&mut kit, 3, report(0, 3));
    assert!(is_blocked(&kit, PART));
    receive(&mut kit, 4, report(1, 0));
    receive(&mut kit, 5, report(0, 3));
    assert_eq!(crash_count(&kit), 0, "a late report of the first crashes");
}

/// Guards against a sound part that stays blocked for minutes because many requests with it were on
/// their way when it was blocked, and against a crashing one whose probes do not become rarer.
#[test]
fn hold_grows_with_probes_that_crash_only() {
    let mut kit = Kit::new(9);
    arrive_with(&mut kit, "/once/1", &[PART]);
    let open = kit.sent_one().work;
    kit.advance(PAUSE);
    receive(&mut kit, 1, report(0, 3));
    kit.advance(PAUSE);
    fail(&mut kit, open, AnswerStage::Awaited);
    assert_eq!(crash_count(&kit), 4);
    for hold_s in [5, 40, 320] {
        kit.advance(Duration::from_secs(hold_s - 1));
        arrive_with(&mut kit, "/once/1", &[PART]);
        assert!(kit.sent().is_empty(), "within {hold_s} s");
        kit.advance(Duration::from_secs(2));
        arrive_with(&mut kit, "/once/1", &[PART]);
        let work = kit.sent_one().work;
        fail(&mut kit, work, AnswerStage::Awaited);
    }
}

/// Guards against a gateway that probes while another one does.
#[test]
fn probe_of_a_peer_is_waited_for() {
    let mut kit = Kit::new(9);
    receive(&mut kit, 1, report(0, 3));
    kit.advance(Duration::from_secs(8));
    let mut probed = report(0, 3);
    probed.crashes.iter_mut().for_each(|crash| crash.age_ms += 8_000);
    probed.probe_age_ms = Some(0);
    receive(&mut kit, 2, probed);
    arrive_with(&mut kit, "/draft/1", &[PART]);
    assert_eq!(kit.refused(), [ResultCode::PromptPartBlocked]);
    kit.advance(Duration::from_secs(13));
    arrive_with(&mut kit, "/draft/1", &[PART]);
    kit.sent_one();
    arrive_with(&mut kit, "/draft/1", &[PART]);
    assert_eq!(kit.refused(), [ResultCode::PromptPartBlocked], "one probe at a time");
}

/// Guards against a table that grows with each new part, or in which new parts push out a blocked
/// one.
#[test]
fn new_parts_push_out_no_blocked_one() {
    let mut kit = Kit::new(9);
    receive(&mut kit, 1, report(0, 3));
    for number in 0..2_000 {
        kit.world.suspects.get_or_insert(PromptPart(100 + number), kit.now);
    }
    assert_eq!(kit.world.suspects.rows.len(), MAX_SUSPECTS);
    assert!(is_blocked(&kit, PART));
}

/// Guards against a gateway that started late and is not told of a blocked part.
#[test]
fn new_peer_is_told_of_blocked_parts() {
    let mut kit = Kit::new(9);
    receive(&mut kit, 1, report(0, 3));
    kit.advance(Duration::from_secs(30));
    kit.step(vec![Event::PeersRead(vec![kit::peer_address(2), kit::peer_address(3)])]);
    let told = kit.notifications().into_iter().any(|message| match message.update {
        PeerUpdate::PromptParts(reports) => reports.iter().any(|report| report.part == PART),
        _ => false,
    });
    assert!(told);
}

/// Guards against a sound part that stays blocked because it came only with the crashing one: a
/// prompt with it alone shows that it is sound.
#[test]
fn part_with_the_crashes_of_another_one_is_probed_at_once() {
    let shared = PromptPart(1);
    let mut kit = Kit::new(9);
    (0..3).for_each(|_| crash(&mut kit, &[shared, PART]));
    assert!(is_blocked(&kit, shared) && is_blocked(&kit, PART));
    arrive_with(&mut kit, "/draft/1", &[shared, PART]);
    assert_eq!(kit.refused(), [ResultCode::PromptPartBlocked]);
    arrive_with(&mut kit, "/draft/1", &[shared]);
    let work = kit.sent_one().work;
    arrive_with(&mut kit, "/draft/1", &[shared]);
    assert_eq!(kit.refused(), [ResultCode::PromptPartBlocked], "one probe at a time");
    kit.step(vec![Event::AttemptCompleted { work, longest_gap: Duration::ZERO }]);
    assert!(is_blocked(&kit, PART) && !is_blocked(&kit, shared));
}

/// Guards against sound parts that stay blocked because all prompts with one of them have two.
#[test]
fn parts_with_the_crashes_of_a_further_one_are_probed_at_once() {
    let (shared, own) = (PromptPart(1), PromptPart(2));
    let mut kit = Kit::new(9);
    (0..3).for_each(|_| crash(&mut kit, &[shared, own, PART]));
    arrive_with(&mut kit, "/draft/1", &[shared, own, PART]);
    assert_eq!(kit.refused(), [ResultCode::PromptPartBlocked]);
    arrive_with(&mut kit, "/draft/1", &[shared, own]);
    let work = kit.sent_one().work;
    arrive_with(&mut kit, "/draft/1", &[shared, own]);
    assert_eq!(kit.refused(), [ResultCode::PromptPartBlocked], "one probe at a time");
    kit.step(vec![Event::AttemptCompleted { work, longest_gap: Duration::ZERO }]);
    assert!(is_blocked(&kit, PART) && !is_blocked(&kit, shared) && !is_blocked(&kit, own));
}

/// Guards against a number of failed probes in a report that ends the control thread by an overflow.
#[test]
fn largest_number_of_failed_probes_is_bounded() {
    let mut kit = Kit::new(9);
    let mut largest = report(0, 3);
    largest.failed_probes = u32::MAX;
    receive(&mut kit, 1, largest);
    kit.advance(Duration::from_secs(322));
    arrive_with(&mut kit, "/once/1", &[PART]);
    let work = kit.sent_one().work;
    fail(&mut kit, work, AnswerStage::Awaited);
    assert!(is_blocked(&kit, PART));
}
