//! Load pattern: all gateways have more work for a backend server than the limit that it names, often
//! less than a request a second for all of them.

use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::event::RequestRate;
use snipespan_core::time::Timestamp;

use crate::cold_fleet::Fleet;
use crate::cold_fleet::Links;
use crate::cold_fleet::secs;

/// Window of the bound.
const WINDOW: Duration = Duration::from_secs(4);

/// Creates gateways and lets the backend server name a limit; returns when the bound holds.
fn limited(gateways: usize, per_second: f64) -> (Fleet, Timestamp) {
    let mut fleet = Fleet::warm(gateways);
    fleet.run(secs(3));
    fleet.limit = Some(RequestRate((per_second * 1e3) as u32));
    let bound_from = fleet.now.after(secs(3));
    fleet.run(secs(3));
    (fleet, bound_from)
}

/// Returns the bound on requests in a window: one and a half times the limit, and 5.
fn bound(per_second: f64) -> usize {
    (per_second * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the largest number of sends within a window that begins after `from`.
fn most_in_window(fleet: &Fleet, from: Timestamp) -> usize {
    let sends: Vec<_> = fleet.sends.iter().filter(|at| **at >= from).collect();
    let within = |start: &&Timestamp| {
        sends.iter().filter(|at| **at >= *start && at.since(**start) < WINDOW).count()
    };
    sends.iter().map(within).max().unwrap_or_default()
}

/// Guards against gateways that exceed a limit together, and against a backend server that gets far
/// less than it takes.
#[rstest]
#[case::one_gateway(1, 1.2, 0.8)]
#[case::three(3, 1.2, 0.8)]
#[case::three_more(3, 9.5, 0.9)]
#[case::many(31, 1.2, 0.8)]
#[case::many_more(31, 40.0, 0.9)]
#[case::more_gateways_than_requests(100, 0.3, 0.8)]
#[case::zero(31, 0.0, 0.0)]
fn limit_is_kept_and_used(#[case] gateways: usize, #[case] limit: f64, #[case] share: f64) {
    let (mut fleet, bound_from) = limited(gateways, limit);
    let rate = fleet.rate_during(secs(24));
    assert!(most_in_window(&fleet, bound_from) <= bound(limit), "{rate} per second");
    assert!(rate >= share * limit, "{rate} per second");
}

/// Guards against gateways that each use the limit since they do not hear each other.
#[rstest]
#[case::minority(27, Links::Split(13), 1.2)]
#[case::data_centre(27, Links::Split(9), 6.0)]
#[case::halves(28, Links::Split(14), 6.0)]
#[case::two_of_three(27, Links::Triangle, 6.0)]
fn limit_is_kept_under_partition(
    #[case] gateways: usize,
    #[case] links: Links,
    #[case] limit: f64,
) {
    let (mut fleet, bound_from) = limited(gateways, limit);
    fleet.links = links;
    fleet.run(secs(12));
    fleet.links = Links::All;
    fleet.run(secs(12));
    let most = most_in_window(&fleet, bound_from);
    assert!(most <= bound(limit), "{most}");
}

/// Guards against gateways that use a limit again because they have been restarted.
#[test]
fn limit_is_kept_by_gateways_that_restart() {
    let (mut fleet, bound_from) = limited(9, 3.0);
    for gateway in 0..9 {
        fleet.restart(gateway);
        fleet.run(Duration::from_millis(1300));
    }
    let most = most_in_window(&fleet, bound_from);
    assert!(most <= bound(3.0), "{most}");
}

/// Guards against a limit that some gateways keep after it has gone, also one of 0, and against one
/// that changes without effect.
#[rstest]
#[case::gone(1.2, None, 5, 100.0)]
#[case::zero_gone(0.0, None, 25, 100.0)]
#[case::raised(1.2, Some(8.0), 5, 7.0)]
fn changed_limit_is_known_to_all_gateways(
    #[case] limit: f64,
    #[case] then: Option<f64>,
    #[case] within_s: u64,
    #[case] at_least: f64,
) {
    let (mut fleet, _) = limited(31, limit);
    fleet.limit = then.map(|limit| RequestRate((limit * 1e3) as u32));
    fleet.run(secs(within_s));
    let rate = fleet.rate_during(secs(4));
    assert!(rate >= at_least, "{rate} per second");
}

/// Guards against requests that wait in vain at gateways without a share.
#[test]
fn request_without_a_share_of_any_limit_is_refused_at_once() {
    let (mut fleet, _) = limited(31, 0.5);
    fleet.run(secs(2));
    let refused = fleet.gateways.iter().filter(|kit| kit.world.counters.limited_refusals > 20);
    assert!(refused.count() >= 28);
    let waiting: usize = fleet.gateways.iter().map(|kit| kit.world.requests.len()).sum();
    assert!(waiting <= 3 * 100, "{waiting} requests wait");
}
