//! Tests of the checks of a configuration, of both interfaces.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::time::Duration;

use rstest::rstest;
use snipespan_core::configuration::AccountSpec;
use snipespan_core::configuration::Configuration;
use snipespan_core::configuration::ModelSpec;
use snipespan_core::configuration::Priority;
use snipespan_core::configuration::ServiceSpec;
use snipespan_core::configuration_check::checks;
use snipespan_core::configuration_check::difference;
use snipespan_core::configuration_check::finding::Item;
use snipespan_core::configuration_check::finding::ItemKind;
use snipespan_core::configuration_check::own;
use snipespan_core::configuration_check::serving;
use snipespan_core::configuration_check::subject::DataCentreView;
use snipespan_core::gateway::serving::Account;
use snipespan_core::gateway::serving::ClientLimits;
use snipespan_core::gateway::serving::Route;
use snipespan_core::gateway::serving::RouteKind;
use snipespan_core::gateway::serving::Service;
use snipespan_core::gateway::serving::ServiceIndex;
use snipespan_core::gateway::serving::ServingConfiguration;
use snipespan_core::gateway::serving::ServingVersion;
use snipespan_core::gateway::serving::TrafficShare;
use snipespan_core::identity::CredentialDigest;
use snipespan_core::identity::DataCentre;

fn account(key: u8, homes: &[&str]) -> AccountSpec {
    AccountSpec {
        credentials: vec![CredentialDigest([key; 32])],
        priority: Priority(1),
        weight: 1,
        max_open: 10,
        disabled: false,
        home_regions: homes.iter().map(|home| (*home).into()).collect(),
    }
}

fn model(homes: &[&str]) -> ModelSpec {
    ModelSpec {
        max_prompt_tokens: 1_000,
        max_output_tokens: 100,
        time_limit_ms: 60_000,
        home_regions: homes.iter().map(|home| (*home).into()).collect(),
    }
}

/// A configuration in which nothing is to be found.
fn clean() -> Configuration {
    let prefixes = vec!["/search".into(), "/list/".into()];
    let service = ServiceSpec { time_limit_ms: 1_000, repeatable_prefixes: prefixes };
    Configuration {
        accounts: [("desk".into(), account(1, &["north"]))].into(),
        models: [("drafts".into(), model(&["north", "south"]))].into(),
        services: [("orders".into(), service)].into(),
        ..Configuration::default()
    }
}

/// Checks a configuration against the data centres `graz-1` in `north`, `accra-1` in `south` and
/// `oslo-1` without a region.
fn check(configuration: &Configuration) -> Vec<String> {
    let mut subject = own::subject(configuration);
    let data_centre = |name: &str, region: Option<&str>| DataCentreView {
        name: name.into(),
        region: region.map(Into::into),
    };
    subject.data_centres = Some(vec![
        data_centre("graz-1", Some("north")),
        data_centre("accra-1", Some("south")),
        data_centre("oslo-1", None),
    ]);
    let served = [(ItemKind::Model, "drafts"), (ItemKind::Service, "orders")];
    subject.served = Some(served.into_iter().map(|(kind, name)| Item::new(kind, name)).collect());
    checks::check(&subject).iter().map(ToString::to_string).collect()
}

/// Guards against a finding that is missed, has no place, or comes with others that are none.
#[rstest]
#[case::nothing(|_: &mut Configuration| {}, &[])]
#[case::no_key(|c: &mut Configuration| c.accounts.get_mut("desk").expect("it exists").credentials.clear(),
    &["never matches: account \"desk\": it has no API key, so no request can be of this account"])]
#[case::key_twice(|c: &mut Configuration| { c.accounts.insert("other".into(), account(1, &[])); },
    &["error: account \"other\": an API key belongs to account \"desk\" as well"])]
#[case::value(|c: &mut Configuration| c.accounts.get_mut("desk").expect("it exists").weight = 0,
    &["error: account \"desk\": weight of \"desk\" must be at least 1"])]
#[case::not_served(|c: &mut Configuration| { c.models.insert("late".into(), model(&[])); },
    &["never matches: model \"late\": no backend server serves it"])]
#[case::prefix_without_slash(|c: &mut Configuration| c.services.get_mut("orders").expect("it exists")
    .repeatable_prefixes.push("find".into()),
    &["never matches: service \"orders\": prefix \"find\" matches no path, as paths begin with '/'"])]
#[case::prefix_covered(|c: &mut Configuration| c.services.get_mut("orders").expect("it exists")
    .repeatable_prefixes.push("/list/all".into()),
    &["never matches: service \"orders\": prefix \"/list/all\" changes nothing, as \"/list/\" \
       matches all its paths"])]
#[case::homes_nowhere(|c: &mut Configuration| { c.models.insert("drafts".into(), model(&["north", "east"])); },
    &["contradiction: model \"drafts\": no data centre is in its home region \"east\""])]
#[case::homes_all_nowhere(|c: &mut Configuration| c.accounts.get_mut("desk").expect("it exists")
    .home_regions = vec!["east".into()],
    &["contradiction: account \"desk\": no data centre is in its home regions (east), so nothing \
       can serve it",
      "contradiction: account \"desk\": its home regions (east) share none with any model",
      "contradiction: model \"drafts\": its home regions (north, south) share none with any account"])]
#[case::evacuated(|c: &mut Configuration| { c.evacuated.insert(DataCentre("graz-1".into())); },
    &["contradiction: account \"desk\": all data centres in its home regions (north) are evacuated"])]
#[case::evacuated_unknown(|c: &mut Configuration| { c.evacuated.insert(DataCentre("grz-1".into())); },
    &["never matches: data centre \"grz-1\": it is evacuated, but no VM is known there"])]
fn check_own(#[case] change: fn(&mut Configuration), #[case] expected: &[&str]) {
    let mut configuration = clean();
    change(&mut configuration);
    assert_eq!(check(&configuration), expected);
}

fn route(name: &str, prefix: &str, shares: &[(u32, u32)]) -> Route {
    let share = |(service, weight): &(u32, u32)| TrafficShare {
        service: ServiceIndex(*service),
        weight: *weight,
    };
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(10),
        latency_goal: Duration::from_secs(1),
        gap_goal: None,
        priority: 1,
        traffic_split: shares.iter().map(share).collect(),
        max_attempts: 3,
        is_public: false,
        home_regions: Vec::new(),
    }
}

fn serving_configuration(routes: Vec<Route>) -> ServingConfiguration {
    let service = |name: &str| Service { name: name.into(), engine: None, cold_rate: None };
    let services = vec![service("engines"), service("orders")];
    let north = vec!["north".into()];
    let accounts = vec![Account { name: "desk".into(), priority: None, home_regions: north }];
    let limits = ClientLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    ServingConfiguration::new(ServingVersion(1), routes, services, accounts, Vec::new(), limits)
}

/// Guards against a finding that is missed in a configuration of the users' platform, by the same
/// checks: shadowed routes, services without routes, and limits that contradict each other.
#[rstest]
#[case::nothing(|_: &mut Vec<Route>| {}, &[])]
#[case::longer_prefix(|r: &mut Vec<Route>| r.push(route("b", "/a/b/", &[(0, 1)])), &[])]
#[case::shadowed(|r: &mut Vec<Route>| r.push(route("b", "/a/", &[(0, 1)])),
    &["never matches: route \"b\": it gets no requests, as route \"a\" has the same host and prefix"])]
#[case::no_route(|r: &mut Vec<Route>| { r.pop(); },
    &["never matches: service \"orders\": no route leads to it"])]
#[case::no_shares(|r: &mut Vec<Route>| r.push(route("b", "/b/", &[(0, 0)])),
    &["contradiction: route \"b\": the weights of its traffic split sum to 0"])]
#[case::limit_under_goals(|r: &mut Vec<Route>| {
    r[0].timeout = Duration::from_millis(900);
    r[0].gap_goal = Some(Duration::from_secs(2));
}, &["contradiction: route \"a\": the time limit of 900 ms is under the gap goal of 2000 ms",
     "contradiction: route \"a\": the time limit of 900 ms is under the latency goal of 1000 ms"])]
#[case::homes(|r: &mut Vec<Route>| r[0].home_regions = vec!["south".into()],
    &["contradiction: route \"a\": its home regions (south) share none with any account"])]
fn check_serving(#[case] change: fn(&mut Vec<Route>), #[case] expected: &[&str]) {
    let mut routes = vec![route("a", "/a/", &[(0, 1)]), route("orders", "/orders/", &[(1, 1)])];
    change(&mut routes);
    let configuration = serving_configuration(routes);
    let found = checks::check(&serving::subject(&configuration));
    assert_eq!(found.iter().map(ToString::to_string).collect::<Vec<_>>(), expected);
}

/// Guards against a comparison that misses an added, removed or changed item, or shows one that is
/// equal.
#[test]
fn compare_own() {
    let older = clean();
    let mut newer = clean();
    newer.services.clear();
    newer.evacuated.insert(DataCentre("graz-1".into()));
    newer.models.get_mut("drafts").expect("it exists").time_limit_ms = 5;
    let differences = difference::compare(&own::describe(&older), &own::describe(&newer));
    let lines: Vec<_> = differences.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "changed: model \"drafts\": time_limit_ms from \"60000\" to \"5\"",
            "removed: service \"orders\"",
            "added: data centre \"graz-1\"",
        ]
    );
}
