//! The serving configuration of a gateway, as the checks and the comparison read it.

use std::time::Duration;

use compact_str::CompactString;
use compact_str::ToCompactString;

use crate::configuration_check::difference::Description;
use crate::configuration_check::finding::Item;
use crate::configuration_check::finding::ItemKind;
use crate::configuration_check::subject::AccountView;
use crate::configuration_check::subject::Subject;
use crate::configuration_check::subject::TargetView;
use crate::gateway::serving::Account;
use crate::gateway::serving::AccountIndex;
use crate::gateway::serving::Route;
use crate::gateway::serving::RouteIndex;
use crate::gateway::serving::Service;
use crate::gateway::serving::ServiceIndex;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::serving::TrafficShare;

/// Fills in the view of a serving configuration. API keys are not checked: the type finds the
/// account of a key and lists none.
pub fn subject(configuration: &ServingConfiguration) -> Subject<'_> {
    let needs_keys = configuration.needs_api_keys();
    let targets = routes(configuration).map(|route| TargetView {
        item: Item::new(ItemKind::Route, &route.name),
        matches: Some((&route.host, &route.prefix)),
        shares: Some(shares(configuration, route)),
        is_served_directly: false,
        needs_account: needs_keys && !route.is_public,
        max_attempts: Some(route.max_attempts),
        time_limit: route.timeout,
        goals: goals(route),
        repeatable_prefixes: &[],
        homes: Some(&route.home_regions),
    });
    let services = services(configuration).map(|s| Item::new(ItemKind::Service, &s.name));
    let accounts = accounts(configuration).map(|account| AccountView {
        item: Item::new(ItemKind::Account, &account.name),
        keys: None,
        homes: &account.home_regions,
    });
    Subject {
        targets: targets.collect(),
        services: services.collect(),
        accounts: accounts.collect(),
        ..Subject::default()
    }
}

/// Describes the items of a serving configuration with their fields, for a comparison.
pub fn describe(configuration: &ServingConfiguration) -> Vec<Description> {
    let routes = routes(configuration).map(|route| describe_route(configuration, route));
    let services = services(configuration).map(|service| {
        let cold_rate =
            service.cold_rate.map_or_else(CompactString::default, |r| r.to_compact_string());
        let engine =
            service.engine.map_or_else(CompactString::default, |e| format!("{e:?}").into());
        let fields = vec![("cold_rate", cold_rate), ("engine", engine)];
        Description { item: Item::new(ItemKind::Service, &service.name), fields }
    });
    let accounts = accounts(configuration).map(|account| {
        let priority =
            account.priority.map_or_else(CompactString::default, |p| p.to_compact_string());
        let homes = account.home_regions.join(" ").into();
        let fields = vec![("priority", priority), ("home_regions", homes)];
        Description { item: Item::new(ItemKind::Account, &account.name), fields }
    });
    routes.chain(services).chain(accounts).collect()
}

fn describe_route(configuration: &ServingConfiguration, route: &Route) -> Description {
    let split = shares(configuration, route).into_iter();
    let split: Vec<_> = split.map(|(item, weight)| format!("{}={weight}", item.name)).collect();
    let gap_goal = route.gap_goal.map_or_else(CompactString::default, |g| format!("{g:?}").into());
    let fields = vec![
        ("host", route.host.clone()),
        ("prefix", route.prefix.clone()),
        ("kind", format!("{:?}", route.kind).into()),
        ("timeout", format!("{:?}", route.timeout).into()),
        ("latency_goal", format!("{:?}", route.latency_goal).into()),
        ("gap_goal", gap_goal),
        ("priority", route.priority.to_compact_string()),
        ("split", split.join(" ").into()),
        ("max_attempts", route.max_attempts.to_compact_string()),
        ("public", route.is_public.to_compact_string()),
        ("home_regions", route.home_regions.join(" ").into()),
    ];
    Description { item: Item::new(ItemKind::Route, &route.name), fields }
}

fn goals(route: &Route) -> Vec<(&'static str, Duration)> {
    let gap = route.gap_goal.map(|gap| ("gap goal", gap));
    std::iter::once(("latency goal", route.latency_goal)).chain(gap).collect()
}

fn shares(configuration: &ServingConfiguration, route: &Route) -> Vec<(Item, u32)> {
    let share = |share: &TrafficShare| {
        let service = configuration.service(share.service)?;
        Some((Item::new(ItemKind::Service, &service.name), share.weight))
    };
    route.traffic_split.iter().filter_map(share).collect()
}

fn routes(configuration: &ServingConfiguration) -> impl Iterator<Item = &Route> {
    (0..).map_while(|index| configuration.route(RouteIndex(index)))
}

fn services(configuration: &ServingConfiguration) -> impl Iterator<Item = &Service> {
    (0..).map_while(|index| configuration.service(ServiceIndex(index)))
}

fn accounts(configuration: &ServingConfiguration) -> impl Iterator<Item = &Account> {
    (0..).map_while(|index| configuration.account(AccountIndex(index)))
}
