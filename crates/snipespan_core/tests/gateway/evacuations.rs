//! Load pattern: a data centre with a third of the backend servers is evacuated at a peak.

use std::time::Duration;

use compact_str::CompactString;
use rstest::rstest;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::decision::EvacuationStep;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::effect::FeedMode;
use snipespan_core::gateway::event::EvacuationChange;
use snipespan_core::gateway::event::EvacuationSet;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::Listing;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::event::PeerUpdate;
use snipespan_core::gateway::event::StoreVersion;
use snipespan_core::gateway::systems::availability::SendObstacle;
use snipespan_core::gateway::tables::evacuations::MAX_EVACUATIONS;
use snipespan_core::result_code::ResultCode;

use crate::feeds::GATEWAYS;
use crate::feeds::Group;
use crate::kit;
use crate::kit::ENGINE;
use crate::kit::Kit;
use crate::kit::PLAIN;

pub(crate) const DATA_CENTRES: [&str; 3] = ["graz-a", "graz-b", "graz-c"];

/// Returns a gateway before `count` backend servers of each service in each data centre.
pub(crate) fn kit_in_data_centres(count: u8) -> Kit {
    let mut kit = Kit::new(1);
    let in_data_centre = |service, number: u8, name: &str| Listing {
        data_centre: name.into(),
        ..kit::listing(service, number)
    };
    let listings = (0..count * 3).flat_map(|number| {
        let name = DATA_CENTRES[usize::from(number) % 3];
        [in_data_centre(ENGINE, number + 1, name), in_data_centre(PLAIN, number + 101, name)]
    });
    let read = kit.listings_read(listings.collect());
    kit.step(vec![read]);
    kit
}

pub(crate) fn set(version: u64, names: &[&str]) -> EvacuationSet {
    let data_centres = names.iter().map(|name| CompactString::from(*name)).collect();
    EvacuationSet { version: StoreVersion(version), data_centres }
}

fn change(version: u64, name: &str, is_evacuated: bool) -> Event {
    let changes = vec![EvacuationChange { data_centre: name.into(), is_evacuated }];
    Event::EvacuationsChanged { version: StoreVersion(version), changes }
}

fn from_peer(sequence: u64, set: EvacuationSet) -> Event {
    let message = kit::peer_message(sequence, 1, PeerUpdate::Evacuations(set));
    Event::PeerMessageReceived { from: kit::peer_address(2), message }
}

fn steps(kit: &Kit) -> Vec<EvacuationStep> {
    let logged = kit.effects.iter().filter_map(|effect| match effect {
        Effect::LogDecision(decision) => Some(decision),
        _ => None,
    });
    let steps = logged.filter_map(|decision| match &**decision {
        Decision::EvacuationChanged { step, .. } => Some(*step),
        _ => None,
    });
    steps.collect()
}

fn reports(kit: &Kit) -> Vec<EvacuationSet> {
    let updates = kit.notifications().into_iter().map(|message| message.update);
    let sets = updates.filter_map(|update| match update {
        PeerUpdate::Evacuations(set) => Some(set),
        _ => None,
    });
    sets.collect()
}

/// Runs a gateway whose peers go on to report; returns the sets that it sends.
fn reports_while_heard(group: &mut Group, duration: Duration) -> Vec<EvacuationSet> {
    let until = group.kit.now.after(duration);
    let mut sets = Vec::new();
    while group.kit.now < until {
        let report = group.report(0);
        group.hear_all(Some(report));
        group.run_for(Duration::from_millis(400));
        sets.extend(reports(&group.kit));
    }
    sets
}

pub(crate) fn withdrawals(kit: &Kit) -> usize {
    let is_withdrawal = |effect: &&Effect| matches!(effect, Effect::DropUnsentAttempt { .. });
    kit.effects.iter().filter(is_withdrawal).count()
}

/// Returns the last bytes of all addresses that the last effects send work to.
pub(crate) fn addressed(kit: &Kit) -> Vec<u8> {
    let addresses = kit.effects.iter().flat_map(|effect| match effect {
        Effect::Send { dispatch, .. } => {
            let helpers = dispatch.helpers.iter().map(|helper| helper.address);
            helpers.chain([dispatch.address]).collect()
        }
        Effect::Reserve { reservation, .. } => vec![reservation.address],
        _ => Vec::new(),
    });
    let last_byte = |address: std::net::SocketAddr| match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(_) => 0,
    };
    addresses.map(last_byte).collect()
}

pub(crate) fn is_in_graz_b(last_byte: u8) -> bool {
    let number = if last_byte > 100 { last_byte - 101 } else { last_byte - 1 };
    number % 3 == 1
}

/// Guards against a kind of work that ignores the evacuation: first placements of short and plain
/// requests, helpers of long prompts, and engines of spans.
#[rstest]
#[case::short("/draft/1", 3_000, 60)]
#[case::helpers("/long/1", 150_000, 4)]
#[case::span("/long/1", 400_000, 2)]
#[case::plain("/order/1", 0, 60)]
fn evacuated_data_centre_gets_no_work(
    #[case] path: &str,
    #[case] prompt_tokens: u64,
    #[case] count: usize,
) {
    let mut kit = kit_in_data_centres(6);
    let mut reached = Vec::new();
    for _ in 0..count {
        kit.arrive(path, prompt_tokens);
        reached.extend(addressed(&kit));
    }
    assert!(reached.iter().any(|number| is_in_graz_b(*number)), "used before: {reached:?}");

    let mut kit = kit_in_data_centres(6);
    kit.step(vec![change(10, "graz-b", true)]);
    let mut reached = Vec::new();
    for _ in 0..count {
        kit.arrive(path, prompt_tokens);
        reached.extend(addressed(&kit));
        assert_eq!(kit.refused(), []);
    }
    assert!(!reached.is_empty());
    assert!(!reached.iter().any(|number| is_in_graz_b(*number)), "{reached:?}");
}

/// Guards against a retry or a resumed stream that goes to the evacuated data centre, and against an
/// evacuation that stops the work that was sent before it.
#[test]
fn evacuated_data_centre_gets_no_resumed_stream() {
    let mut kit = kit_in_data_centres(1);
    let (_, first) = kit.send("/draft/1", 3_000);
    kit.progress(first.work);
    let others: Vec<_> = DATA_CENTRES.into_iter().filter(|name| *name != "graz-a").collect();
    kit.step(vec![Event::EvacuationsRead(set(10, &others))]);
    assert_eq!(withdrawals(&kit), 0);
    let stage = Default::default();
    let reason = snipespan_core::gateway::event::FailReason::Broken;
    kit.step(vec![Event::AttemptFailed { work: first.work, reason, stage }]);
    assert!(kit.sent().is_empty(), "the only engine left has failed the request");
}

/// Guards against an attempt that is sent after the evacuation because it was decided before it.
#[test]
fn evacuated_data_centre_unsent_attempt_is_withdrawn() {
    let mut kit = kit_in_data_centres(1);
    kit.step(vec![Event::EvacuationsRead(set(10, &["graz-a", "graz-c"]))]);
    let (_, sent) = kit.send("/order/1", 0);
    kit.step(vec![Event::EvacuationsRead(set(11, &["graz-b"]))]);
    assert_eq!(withdrawals(&kit), 1);
    kit.step(vec![Event::AttemptNotRun { work: sent.work, reason: NotRunReason::Withdrawn }]);
    assert!(!is_in_graz_b(addressed(&kit)[0]));
}

/// Guards against a request that waits for data centres that nobody knows the return of, and against
/// a refusal without the reason.
#[rstest]
#[case::plain("/order/1", 0)]
#[case::short("/draft/1", 3_000)]
#[case::span("/long/1", 400_000)]
fn all_evacuated_request_is_refused_at_once(#[case] path: &str, #[case] prompt_tokens: u64) {
    let mut kit = kit_in_data_centres(6);
    kit.step(vec![Event::EvacuationsRead(set(10, &DATA_CENTRES))]);
    let mut arrival = kit.arrival(path, prompt_tokens);
    arrival.time_limit = Some(Duration::from_secs(1));
    kit.step(vec![Event::Arrival(Box::new(arrival))]);
    let refusal = kit.effects.iter().find_map(|effect| match effect {
        Effect::Refuse { code, retry_after, .. } => Some((*code, *retry_after)),
        _ => None,
    });
    let expected = (ResultCode::NoBackendServer, Some(Duration::from_secs(1)));
    assert_eq!(refusal, Some(expected));
    let is_logged = kit.effects.iter().any(|effect| match effect {
        Effect::LogDecision(decision) => match &**decision {
            Decision::Unservable { obstacle, counts, change_in, .. } => {
                *obstacle == SendObstacle::Evacuated
                    && counts.evacuated == 18
                    && change_in.is_none()
            }
            _ => false,
        },
        _ => false,
    });
    assert!(is_logged);
}

/// Guards against an evacuation that ends, or comes back, by a message that is older than what the
/// gateway knows, and against one that stays though a complete read no longer contains it.
#[rstest]
#[case::complete_read_replaces(Event::EvacuationsRead(set(11, &[])), false)]
#[case::older_read(Event::EvacuationsRead(set(9, &[])), true)]
#[case::same_read(Event::EvacuationsRead(set(10, &[])), true)]
#[case::removal_in_feed(change(11, "graz-b", false), false)]
#[case::older_removal_in_feed(change(10, "graz-b", false), true)]
#[case::newer_peer(from_peer(1, set(12, &[])), false)]
#[case::older_peer(from_peer(1, set(9, &[])), true)]
fn evacuation_follows_the_newest_version(#[case] event: Event, #[case] is_evacuated: bool) {
    let mut kit = kit_in_data_centres(1);
    kit.step(vec![change(10, "graz-b", true)]);
    kit.step(vec![event]);
    let rows = kit.world.data_centres.rows.iter();
    let evacuated: Vec<_> =
        rows.filter(|(_, row)| row.is_evacuated).map(|(_, row)| row.name.as_str()).collect();
    assert_eq!(evacuated, if is_evacuated { vec!["graz-b"] } else { vec![] });
    kit.step(vec![from_peer(2, set(10, &["graz-b"])), from_peer(3, set(10, &["graz-b"]))]);
    assert_eq!(kit.world.evacuations.rows.len(), usize::from(is_evacuated), "repeated");
}

/// Guards against an evacuation that is lost because its data centre is listed only later.
#[test]
fn unknown_name_is_kept_until_it_is_listed() {
    let mut kit = kit_in_data_centres(1);
    kit.step(vec![change(10, "graz-d", true)]);
    assert_eq!(steps(&kit), [EvacuationStep::Began, EvacuationStep::Unknown]);
    let listing = Listing { data_centre: "graz-d".into(), ..kit::listing(PLAIN, 200) };
    let listed = kit.listing_changed(listing);
    kit.step(vec![listed]);
    assert_eq!(steps(&kit), [EvacuationStep::Listed]);
    for _ in 0..30 {
        let (_, sent) = kit.send("/order/1", 0);
        assert_ne!(sent.instance, kit::listing(PLAIN, 200).id);
    }
}

/// Guards against a table that grows with each name that the operator mistypes.
#[test]
fn unknown_name_in_a_full_table_is_ignored() {
    let mut kit = kit_in_data_centres(1);
    let names: Vec<_> = (0..=MAX_EVACUATIONS).map(|number| format!("dc-{number}")).collect();
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    kit.step(vec![Event::EvacuationsRead(set(10, &names))]);
    assert_eq!(kit.world.evacuations.rows.len(), MAX_EVACUATIONS);
    assert!(steps(&kit).contains(&EvacuationStep::TableFull));
}

/// Guards against gateways that learn nothing of an evacuation, as they do not call the feed: a
/// follower reports it at once and repeats it, also for a while after its end.
#[test]
fn follower_repeats_the_set() {
    let mut group = Group::new(0, GATEWAYS);
    assert_eq!(reports_while_heard(&mut group, Duration::from_secs(3)), [], "without evacuations");
    group.kit.step(vec![change(10, "graz-b", true)]);
    assert_eq!(reports(&group.kit), [set(10, &["graz-b"])]);
    let repeated = reports_while_heard(&mut group, Duration::from_secs(2));
    assert_eq!(repeated, vec![set(10, &["graz-b"]); 5]);
    group.kit.step(vec![change(11, "graz-b", false)]);
    assert_eq!(reports(&group.kit), [set(11, &[])]);
    let repeated = reports_while_heard(&mut group, Duration::from_secs(20));
    assert_eq!(repeated, vec![set(11, &[]); 24], "for ten seconds after the end");
}

/// Guards against repetitions by all gateways, whose number grows with its square, and against a
/// gateway that starts during an evacuation and hears nothing of it.
#[test]
fn relayed_gateway_sends_the_set_to_new_peers_only() {
    let mut group = Group::relayed();
    let report = Some(group.report(0));
    let known = PeerUpdate::Evacuations(set(10, &["graz-b"]));
    group.message(0, 1, report, known);
    assert_eq!(reports(&group.kit), []);
    group.run_for(Duration::from_secs(1));
    assert_eq!(reports(&group.kit), []);
    let update = PeerUpdate::Snapshot(Vec::new());
    let message = kit::peer_message(1, 1, update);
    let from = kit::peer_address(200);
    group.kit.step(vec![Event::PeerMessageReceived { from, message }]);
    assert_eq!(reports(&group.kit), [set(10, &["graz-b"])]);
}

/// Guards against an evacuation that never ends at a gateway that was cut off from the followers
/// while they repeated its end: without a confirmation it calls the feed itself.
#[test]
fn relayed_gateway_calls_the_feed_unless_the_set_is_confirmed() {
    let mut group = Group::relayed();
    let known = PeerUpdate::Evacuations(set(10, &["graz-b"]));
    for _ in 0..8 {
        let report = Some(group.report(0));
        group.hear_all(report);
        group.message(0, 1, report, known.clone());
        group.run_for(Duration::from_millis(400));
        assert_eq!(group.plan.operator, FeedMode::Relayed);
    }
    for _ in 0..4 {
        let report = group.report(0);
        group.hear_all(Some(report));
        group.run_for(Duration::from_millis(400));
    }
    assert_eq!(group.plan.operator, FeedMode::Alone);
    assert_eq!(group.plan.listings, FeedMode::Relayed);
}
