use std::time::Duration;

use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::Listing;

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

#[test]
fn address_taken_by_another_service_is_another_backend_server() {
    let mut kit = Kit::new(1);
    kit.step(vec![kit.listing_removed(ENGINE, 1)]);
    let reused = Listing { address: kit::listing(ENGINE, 1).address, ..kit::listing(PLAIN, 9) };
    kit.step(vec![kit.listing_changed(reused)]);
    kit.arrive("/draft/1", 5_000);
    assert!(kit.sent().is_empty());
}
