//! Load pattern: the backend servers of the home regions are busy, and those of other regions are not.

use std::time::Duration;

use compact_str::CompactString;
use rstest::rstest;
use snipespan_core::gateway::event::Arrival;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::serving::Route;
use snipespan_core::gateway::serving::RouteKind;
use snipespan_core::gateway::settings::GatewaySettings;
use snipespan_core::gateway::systems::availability::SendObstacle;
use snipespan_core::result_code::ResultCode;

use crate::evacuations::DATA_CENTRES;
use crate::evacuations::kit_in_data_centres;
use crate::evacuations::reached;
use crate::evacuations::refusal;
use crate::evacuations::set;
use crate::evacuations::withdrawals;
use crate::kit;
use crate::kit::Kit;

/// Region of `graz-b`; `graz-a` is in the other one, and the region of `graz-c` is not known.
const HOME: &str = "east";

fn regions(of_a: &str, of_b: &str) -> Event {
    let regions = vec![("graz-a".into(), of_a.into()), ("graz-b".into(), of_b.into())];
    Event::SettingsChanged(Box::new(GatewaySettings { regions, ..kit::settings() }))
}

/// Returns a configuration in which all routes have the home regions `of_route`, and the account has
/// `of_account`.
fn serving(version: u64, of_route: &[&str], of_account: &[&str]) -> Event {
    let names = |names: &[&str]| names.iter().copied().map(CompactString::from).collect();
    let streaming = RouteKind::Streaming { is_resumable: true };
    let routes =
        [("/draft/", streaming, 0), ("/long/", streaming, 0), ("/order/", RouteKind::Unsafe, 1)];
    let routes = routes.map(|(prefix, kind, service)| Route {
        latency_goal: Duration::from_secs(3),
        home_regions: names(of_route),
        ..kit::route(prefix, kind, service)
    });
    let serving = kit::serving_with_home(version, routes.into(), names(of_account));
    Event::ServingReceived { serving: Box::new(serving), is_from_store: true }
}

/// Returns a gateway before six backend servers of each service in each data centre.
fn kit_with(of_route: &[&str], of_account: &[&str]) -> Kit {
    let mut kit = kit_in_data_centres(6);
    kit.step(vec![regions("west", HOME), serving(2, of_route, of_account)]);
    kit
}

/// Guards against a kind of work that leaves the home regions because others have more room, and
/// against a list that is not applied.
#[rstest]
#[case::of_route("/draft/1", 3_000, &[HOME], &[])]
#[case::of_account("/draft/1", 3_000, &[], &[HOME])]
#[case::both("/draft/1", 3_000, &[HOME, "west"], &["north", HOME])]
#[case::plain("/order/1", 0, &[HOME], &[])]
#[case::helpers("/long/1", 150_000, &[HOME], &[])]
#[case::span("/long/1", 400_000, &[], &[HOME])]
fn home_regions_get_all_work(
    #[case] path: &str,
    #[case] prompt_tokens: u64,
    #[case] of_route: &[&str],
    #[case] of_account: &[&str],
) {
    let mut kit = kit_with(of_route, of_account);
    for _ in 0..20 {
        kit.arrive(path, prompt_tokens);
        assert!(reached(&kit).iter().all(|name| name == "graz-b"), "{:?}", reached(&kit));
        assert_eq!(kit.refused(), []);
        if prompt_tokens > 100_000 {
            end_work(&mut kit);
        }
    }
}

/// Ends all open work: the home region has no room for twenty long prompts at once.
fn end_work(kit: &mut Kit) {
    let works: Vec<_> = kit.world.work.iter().map(|(key, _)| key).collect();
    let completed = |work| Event::AttemptCompleted { work, longest_gap: Duration::ZERO };
    kit.step(works.into_iter().map(completed).collect());
}

/// Guards against a request that waits, or leaves its home, though no data centre is in its home
/// regions, and against a reason that hides an evacuation.
#[rstest]
#[case::no_such_region(&["north"], &[], &[], SendObstacle::OutsideHome)]
#[case::no_home(&[], &[], &DATA_CENTRES, SendObstacle::Evacuated)]
#[case::no_common_region(&["west"], &[HOME], &[], SendObstacle::OutsideHome)]
#[case::home_is_evacuated(&[HOME], &[], &["graz-b"], SendObstacle::Evacuated)]
#[case::all_evacuated(&["north"], &[], &DATA_CENTRES, SendObstacle::OutsideHome)]
fn home_regions_without_data_centres_refuse_at_once(
    #[case] of_route: &[&str],
    #[case] of_account: &[&str],
    #[case] evacuated: &[&str],
    #[case] expected: SendObstacle,
) {
    let mut kit = kit_with(of_route, of_account);
    kit.step(vec![Event::EvacuationsRead(set(10, evacuated))]);
    for (path, prompt_tokens) in [("/order/1", 0), ("/draft/1", 3_000), ("/long/1", 400_000)] {
        let time_limit = Some(Duration::from_secs(1));
        let arrival = Arrival { time_limit, ..kit.arrival(path, prompt_tokens) };
        kit.step(vec![Event::Arrival(Box::new(arrival))]);
        let (code, retry_after) = (ResultCode::NoBackendServer, Some(Duration::from_secs(1)));
        assert_eq!(refusal(&kit), Some((code, retry_after, expected)));
    }
}

/// Guards against regions that are read only at the start, and against an open request that keeps the
/// home regions of an earlier configuration.
#[rstest]
#[case::settings(regions(HOME, "west"))]
#[case::configuration(serving(3, &["west"], &[]))]
fn home_regions_follow_a_change_at_the_next_tick(#[case] change: Event) {
    let mut kit = kit_with(&[HOME], &[]);
    let (_, sent) = kit.send("/order/1", 0);
    kit.step(vec![change]);
    assert_eq!(withdrawals(&kit), 1);
    kit.step(vec![Event::AttemptNotRun { work: sent.work, reason: NotRunReason::Withdrawn }]);
    assert_eq!(reached(&kit), ["graz-a"]);
}
