//! Load pattern: the backend servers of the home regions are busy, and those of other regions are not.

use std::time::Duration;

use rstest::rstest;
use snipespan_core::gateway::decision::Decision;
use snipespan_core::gateway::effect::Effect;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::NotRunReason;
use snipespan_core::gateway::serving::Account;
use snipespan_core::gateway::serving::AccountIndex;
use snipespan_core::gateway::serving::Route;
use snipespan_core::gateway::serving::RouteKind;
use snipespan_core::gateway::serving::Service;
use snipespan_core::gateway::serving::ServingConfiguration;
use snipespan_core::gateway::serving::ServingVersion;
use snipespan_core::gateway::settings::GatewaySettings;
use snipespan_core::gateway::systems::availability::SendObstacle;
use snipespan_core::result_code::ResultCode;

use crate::evacuations::DATA_CENTRES;
use crate::evacuations::addressed;
use crate::evacuations::is_in_graz_b;
use crate::evacuations::kit_in_data_centres;
use crate::evacuations::set;
use crate::evacuations::withdrawals;
use crate::kit;
use crate::kit::ENGINE;
use crate::kit::Kit;
use crate::kit::PLAIN;

/// Region of `graz-b`; `graz-a` is in the other one, and the region of `graz-c` is not known.
const HOME: &str = "east";

fn regions(entries: &[(&str, &str)]) -> GatewaySettings {
    let entries = entries.iter().map(|(name, region)| ((*name).into(), (*region).into()));
    GatewaySettings { regions: entries.collect(), ..kit::settings() }
}

/// Returns a configuration in which all routes have the home regions `of_route`, and the account has
/// `of_account`.
fn serving(version: u64, of_route: &[&str], of_account: &[&str]) -> Event {
    let names = |names: &[&str]| names.iter().map(|name| (*name).into()).collect::<Vec<_>>();
    let streaming = RouteKind::Streaming { is_resumable: true };
    let route = |prefix, kind, service| Route {
        home_regions: names(of_route),
        ..kit::route(prefix, kind, service)
    };
    let long = Route {
        latency_goal: Duration::from_secs(3),
        gap_goal: Some(Duration::from_secs(1)),
        ..route("/long/", streaming, 0)
    };
    let routes = vec![route("/draft/", streaming, 0), long, route("/order/", RouteKind::Unsafe, 1)];
    let engine = Service { name: ENGINE.into(), engine: Some(kit::ENGINE_SPEC), cold_rate: None };
    let plain = Service { name: PLAIN.into(), engine: None, cold_rate: None };
    let account =
        Account { name: "account-1".into(), priority: None, home_regions: names(of_account) };
    let keys = vec![(kit::API_KEY.into(), AccountIndex(0))];
    let limits = kit::serving(1).limits();
    let version = ServingVersion(version);
    let services = vec![engine, plain];
    let serving = ServingConfiguration::new(version, routes, services, vec![account], keys, limits);
    Event::ServingReceived { serving: Box::new(serving), is_from_store: true }
}

/// Returns a gateway before six backend servers of each service in each data centre.
fn kit_with(of_route: &[&str], of_account: &[&str]) -> Kit {
    let mut kit = kit_in_data_centres(6);
    let settings = regions(&[("graz-a", "west"), ("graz-b", HOME)]);
    kit.step(vec![Event::SettingsChanged(Box::new(settings)), serving(2, of_route, of_account)]);
    kit
}

fn refusal(kit: &Kit) -> Option<(ResultCode, Option<Duration>)> {
    kit.effects.iter().find_map(|effect| match effect {
        Effect::Refuse { code, retry_after, .. } => Some((*code, *retry_after)),
        _ => None,
    })
}

fn obstacle(kit: &Kit) -> Option<SendObstacle> {
    kit.effects.iter().find_map(|effect| match effect {
        Effect::LogDecision(decision) => match &**decision {
            Decision::Unservable { obstacle, .. } => Some(*obstacle),
            _ => None,
        },
        _ => None,
    })
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
    let mut reached = Vec::new();
    for _ in 0..20 {
        kit.arrive(path, prompt_tokens);
        reached.extend(addressed(&kit));
    }
    assert!(!reached.is_empty());
    assert!(reached.iter().all(|number| is_in_graz_b(*number)), "{reached:?}");
}

/// Guards against a restriction where none is stated.
#[test]
fn home_regions_empty_lists_allow_all() {
    let mut kit = kit_with(&[], &[]);
    let mut reached = Vec::new();
    for _ in 0..60 {
        kit.arrive("/order/1", 0);
        reached.extend(addressed(&kit));
    }
    let in_unknown_region = reached.iter().filter(|number| (**number - 101) % 3 == 2);
    assert!(in_unknown_region.count() > 0, "{reached:?}");
}

/// Guards against a request that waits, or leaves its home, though no data centre is in its home
/// regions, and against a reason that hides an evacuation.
#[rstest]
#[case::no_such_region(&["north"], &[], &[], SendObstacle::OutsideHome)]
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
    kit.arrive("/order/1", 0);
    let code = ResultCode::NoBackendServer;
    assert_eq!(refusal(&kit), Some((code, Some(Duration::from_secs(1)))));
    assert_eq!(obstacle(&kit), Some(expected));
}

/// Guards against regions that are read only at the start.
#[test]
fn home_regions_follow_changed_settings_at_the_next_tick() {
    let mut kit = kit_with(&[HOME], &[]);
    let (_, sent) = kit.send("/order/1", 0);
    let settings = regions(&[("graz-a", HOME), ("graz-b", "west")]);
    kit.step(vec![Event::SettingsChanged(Box::new(settings))]);
    assert_eq!(withdrawals(&kit), 1);
    kit.step(vec![Event::AttemptNotRun { work: sent.work, reason: NotRunReason::Withdrawn }]);
    assert!((addressed(&kit)[0] - 101).is_multiple_of(3), "sent to graz-a");
}

/// Guards against an open request that keeps the home regions of an earlier configuration.
#[test]
fn home_regions_of_open_requests_follow_the_configuration() {
    let mut kit = kit_with(&[HOME], &[]);
    let (_, sent) = kit.send("/order/1", 0);
    kit.step(vec![serving(3, &["west"], &[])]);
    assert_eq!(withdrawals(&kit), 1);
    kit.step(vec![Event::AttemptNotRun { work: sent.work, reason: NotRunReason::Withdrawn }]);
    assert!((addressed(&kit)[0] - 101).is_multiple_of(3), "sent to graz-a");
}
