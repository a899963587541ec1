use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::Listing;
use snipespan_core::gateway::event::StoreVersion;
use snipespan_core::gateway::message::FeedReport;
use snipespan_core::gateway::message::PeerMessage;
use snipespan_core::gateway::message::PeerUpdate;

use crate::kit;
use crate::kit::ENGINE;
use crate::kit::Kit;
use crate::kit::PLAIN;

#[test]
fn draining_backend_server_gets_no_new_work() {
    let mut kit = Kit::new(2);
    let listing = Listing { is_draining: true, ..kit::listing(ENGINE, 1) };
    kit.step(vec![kit.listing_changed(listing)]);
    for _ in 0..4 {
        let (_, sent) = kit.send("/draft/1", 5_000);
        assert_eq!(sent.address, kit::listing(ENGINE, 2).address);
    }
}

/// Guards against new work that is sent to a backend server after its listing was removed.
#[test]
fn removed_listing_ends_new_work_at_once() {
    let mut kit = Kit::new(2);
    kit.step(vec![kit.listing_removed(ENGINE, 1)]);
    let (_, sent) = kit.send("/draft/1", 5_000);
    assert_eq!(sent.address, kit::listing(ENGINE, 2).address);
}

/// Guards against removing a backend server that lapses in an outage of the store and is listed
/// again a second later; it may take 2.2 s.
#[test]
fn lapsed_listing_is_used_until_the_store_is_back() {
    let mut kit = Kit::new(1);
    kit.step(vec![Event::StoreLost]);
    kit.advance(Duration::from_secs(3));
    kit.step(vec![Event::StoreAnswered, kit.listings_read(Vec::new())]);
    kit.send("/draft/1", 5_000);
    kit.advance(Duration::from_secs(1));
    kit.step(vec![kit.listing_changed(kit::listing(ENGINE, 1))]);
    kit.advance(Duration::from_secs(3));
    kit.step(Vec::new());
    assert_eq!(kit.backend_servers(), [kit::listing(ENGINE, 1).id]);
}

/// Guards against using a backend server that lapsed in an outage of the store and is not listed
/// again within 2.2 s.
#[test]
fn lapsed_listing_that_is_not_listed_again_is_removed() {
    let mut kit = Kit::new(2);
    kit.step(vec![Event::StoreLost]);
    kit.advance(Duration::from_secs(3));
    let listed = [kit::listing(ENGINE, 2), kit::listing(PLAIN, 102)];
    kit.step(vec![Event::StoreAnswered, kit.listings_read(listed.to_vec())]);
    kit.run_until(kit.now.after(Duration::from_millis(2300)));
    let (_, sent) = kit.send("/draft/1", 5_000);
    assert_eq!(sent.address, kit::listing(ENGINE, 2).address);
    assert_eq!(kit.backend_servers().len(), 2);
}

/// Guards against a draining backend server that counts as lapsed when its listing is removed in an
/// outage of the store; it has left.
#[test]
fn draining_listing_that_disappears_with_the_store_is_removed() {
    let mut kit = Kit::new(2);
    let listing = Listing { is_draining: true, ..kit::listing(ENGINE, 1) };
    kit.step(vec![kit.listing_changed(listing)]);
    kit.step(vec![Event::StoreLost]);
    kit.step(vec![kit.listing_removed(ENGINE, 1)]);
    kit.step(Vec::new());
    assert!(!kit.backend_servers().contains(&kit::listing(ENGINE, 1).id));
}

/// Lets a peer report that the store answered it `age_ms` ago.
fn hear_of_answer(kit: &mut Kit, sequence: u64, age_ms: u32) {
    let version = StoreVersion(1);
    let feed = Some(FeedReport { version, last_change: version, age_ms });
    let update = PeerUpdate::Snapshot(Vec::new());
    let message = PeerMessage { feed, ..kit::peer_message(sequence, 1, update) };
    kit.step(vec![Event::PeerMessageReceived { from: kit::peer_address(1), message }]);
}

/// Guards against using a backend server that has left, because its removal counts as a lapse: this
/// gateway lost its own way to the store, which answered a peer all the while.
#[test]
fn removed_listing_has_not_lapsed_while_the_store_answers_a_peer() {
    let mut kit = Kit::new(2);
    kit.step(vec![Event::StoreLost]);
    for sequence in 1..=4 {
        kit.advance(Duration::from_secs(1));
        hear_of_answer(&mut kit, sequence, 200);
    }
    kit.step(vec![Event::StoreAnswered, kit.listing_removed(ENGINE, 1)]);
    let (_, sent) = kit.send("/draft/1", 5_000);
    assert_eq!(sent.address, kit::listing(ENGINE, 2).address);
    assert!(!kit.backend_servers().contains(&kit::listing(ENGINE, 1).id));
}

/// Guards against removing a backend server that lapsed in an outage of the store, because a peer
/// had an answer before the outage, or before this gateway lost the store.
#[rstest]
#[case::answer_before_the_outage(&[0, 1000, 2000, 3000, 4000])]
#[case::answer_before_the_loss(&[500, 1500, 2500, 3500, 4500])]
fn lapsed_listing_is_kept_after_an_outage_for_all(#[case] ages_ms: &[u32]) {
    let mut kit = Kit::new(2);
    kit.step(vec![Event::StoreLost]);
    for (sequence, age_ms) in (1..).zip(ages_ms) {
        hear_of_answer(&mut kit, sequence, *age_ms);
        kit.advance(Duration::from_secs(1));
    }
    kit.step(vec![Event::StoreAnswered, kit.listing_removed(ENGINE, 1)]);
    assert!(kit.backend_servers().contains(&kit::listing(ENGINE, 1).id));
}

/// Guards against a gateway in a small group that does not tell its peers that the store answers.
#[test]
fn small_group_reports_answers_of_the_store() {
    let mut kit = Kit::new(1);
    hear_of_answer(&mut kit, 1, 200);
    kit.step(vec![kit.listing_changed(kit::listing(ENGINE, 1))]);
    kit.run_until(kit.now.after(Duration::from_secs(2)));
    let report = kit.effects.iter().find_map(|effect| match effect {
        Effect::NotifyPeers { message, .. } => message.feed,
        _ => None,
    });
    assert!(report.is_some(), "{:?}", kit.effects);
}

#[test]
fn address_taken_by_another_service_is_another_backend_server() {
    let mut kit = Kit::new(1);
    kit.step(vec![kit.listing_removed(ENGINE, 1)]);
    let reused = Listing { address: kit::listing(ENGINE, 1).address, ..kit::listing(PLAIN, 9) };
    kit.step(vec![kit.listing_changed(reused)]);
    kit.arrive("/draft/1", 5_000);
    assert!(kit.sent().is_empty());
}
