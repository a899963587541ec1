//! Load patterns of data centres whose own engines are sometimes too few, where traffic between
//! data centres has a cost. The figures of a setting without a cost, and of a cost that nothing
//! pays for, are in docs/design/traffic-between-data-centres.md.

use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Listing;

use crate::data_centre_fleet::Counts;
use crate::data_centre_fleet::FULL_RATE;
use crate::data_centre_fleet::Fleet;
use crate::data_centre_fleet::is_engine_of;
use crate::kit;
use crate::kit::Kit;
use crate::kit::PLAIN;

/// Cost of 1 MB in values of a short request, as in the users' deployments.
const MB_COST: Option<f64> = Some(1.7);

/// Load at which a data centre needs no other one.
const USUAL: f64 = 0.6 * FULL_RATE;

const TIME: Duration = Duration::from_secs(20);

fn left(counts: &Counts) -> usize {
    counts.left.iter().sum()
}

/// Guards against data centres with equal load that exchange requests: hardly any leaves.
#[test]
fn requests_stay_at_equal_load() {
    let mut fleet = Fleet::new(MB_COST);
    let counts = fleet.run([USUAL; 3], TIME);
    assert!(left(&counts) * 100 <= counts.sent, "{counts:?}");
    assert_eq!(counts.crowded, 0, "{counts:?}");
}

/// Guards against requests that wait for slots at home while other data centres have free ones, and
/// against more traffic there than the load needs: nine tenths of the clients of one data centre
/// move to another, whose load is then 1.14 times its capacity.
#[test]
fn requests_leave_when_clients_move() {
    let mut fleet = Fleet::new(MB_COST);
    let counts = fleet.run([0.1 * USUAL, 1.9 * USUAL, USUAL], TIME);
    assert!(counts.crowded * 20 <= counts.sent, "{counts:?}");
    assert!(left(&counts) * 100 <= counts.sent * 15, "{counts:?}");
    assert_eq!(counts.left, [0, left(&counts), 0], "{counts:?}");
}

/// Guards against a decision that ignores the way there: the same load, but no answer from another
/// data centre could be on time.
#[test]
fn requests_stay_when_the_way_is_long() {
    let mut fleet = Fleet::new(MB_COST);
    fleet.set_delay(Duration::from_millis(400));
    let counts = fleet.run([0.1 * USUAL, 1.9 * USUAL, USUAL], Duration::from_secs(5));
    assert!(counts.crowded > 0, "{counts:?}");
    assert_eq!(left(&counts), 0, "{counts:?}");
}

/// Guards against a data centre that keeps its load when its engines are reduced to a third, and
/// against gateways that together flood the two others, which have little room.
#[test]
fn requests_leave_when_engines_are_gone() {
    let mut fleet = Fleet::new(MB_COST);
    fleet.list_engines(&|number| !is_engine_of(number, 1) || number % 3 == 0);
    let counts = fleet.run([USUAL; 3], TIME);
    assert!(left(&counts) * 100 >= counts.sent * 6, "{counts:?}");
    assert!(left(&counts) * 100 <= counts.sent * 15, "{counts:?}");
    assert_eq!(counts.left, [0, left(&counts), 0], "{counts:?}");
}

/// Guards against requests that go on leaving for data centres that do not answer: one is cut off
/// while its clients bring it more load than usual, and the share sent there shrinks to nothing.
#[test]
fn requests_stay_when_cut_off() {
    let mut fleet = Fleet::new(MB_COST);
    fleet.run([USUAL; 3], Duration::from_secs(3));
    fleet.cut = Some(1);
    let counts = fleet.run([USUAL, 1.5 * USUAL, USUAL], TIME);
    assert!(counts.unreachable * 100 <= counts.sent, "{counts:?}");
    assert_eq!(counts.refused, 0, "{counts:?}");
}

/// Guards against leaving that goes on after a peak, or goes back and forth between two data
/// centres when the peak moves from one to the other.
#[test]
fn requests_follow_two_peaks() {
    let mut fleet = Fleet::new(MB_COST);
    let first = fleet.run([2.0 * USUAL, 0.5 * USUAL, 0.5 * USUAL], Duration::from_secs(6));
    fleet.run([0.5 * USUAL; 3], Duration::from_secs(3));
    let quiet = fleet.run([0.5 * USUAL; 3], Duration::from_secs(3));
    let second = fleet.run([0.5 * USUAL, 2.0 * USUAL, 0.5 * USUAL], Duration::from_secs(6));
    for (peak, counts) in [(0, first), (1, second)] {
        assert!(counts.crowded * 20 <= counts.sent, "{counts:?}");
        assert!(counts.left[peak] * 20 >= counts.sent, "{counts:?}");
        assert_eq!(counts.left[peak], left(&counts), "{counts:?}");
    }
    assert_eq!((left(&quiet), quiet.changes), (0, 0), "{quiet:?}");
}

/// Guards against requests of a plain service that leave although a slot is free here, and against
/// others that wait here for one: the backend server here has 16 slots, the other one is idle.
#[rstest]
#[case::slot_free(15, None)]
#[case::all_in_use(24, Some("full"))]
fn plain_request_leaves(#[case] open: u64, #[case] reason: Option<&str>) {
    let mut kit = Kit::new(0);
    kit.world.settings.remote_mb_cost = MB_COST;
    let listings = [(1, "graz-a"), (2, "graz-b")].map(|(number, data_centre)| Listing {
        data_centre: data_centre.into(),
        ..kit::listing(PLAIN, number)
    });
    let read = kit.listings_read(listings.to_vec());
    kit.step(vec![read]);
    kit::hold_work(&mut kit, PLAIN, 1, open);
    let (_, dispatch) = kit.send("/look/1", 0);
    assert_eq!(dispatch.instance, if reason.is_some() { "orders-2" } else { "orders-1" });
    let left = kit.effects.iter().find_map(|effect| match effect {
        Effect::LogDecision(decision) => match &**decision {
            Decision::Placed { left_data_centre, .. } => Some(*left_data_centre),
            _ => None,
        },
        _ => None,
    });
    assert_eq!(left.flatten().map(|reason| reason.to_string()).as_deref(), reason);
}

/// Guards against messages between gateways that change where no cost is set, or requests that stay
/// there as if one were.
#[test]
fn nothing_is_decided_without_a_cost() {
    let mut fleet = Fleet::new(None);
    let counts = fleet.run([USUAL; 3], Duration::from_secs(2));
    assert!(left(&counts) > 0 && counts.changes == 0, "{counts:?}");
    let kit = &mut fleet.gateways[0];
    assert!(kit.world.remote_shares.rows.is_empty());
    kit.advance(Duration::from_secs(2));
    kit.step(Vec::new());
    let is_to_all =
        |effect: &Effect| matches!(effect, Effect::NotifyPeers { to, .. } if to.len() == 8);
    assert!(kit.effects.iter().any(is_to_all), "{:?}", kit.effects);
}
