//! Keeps requests in their home regions: tracks the region of each data centre, and the regions that
//! each open request may be served in.
//!
//! Load pattern: the backend servers of the home regions are full at a peak, and those of other
//! regions have room that requests bound to their home may not use.

use crate::gateway::decision::Decision;
use crate::gateway::effect::Effect;
use crate::gateway::event::Event;
use crate::gateway::serving::Account;
use crate::gateway::serving::Route;
use crate::gateway::serving::ServingConfiguration;
use crate::gateway::systems::attempts;
use crate::gateway::tables::requests::HomeRegions;
use crate::gateway::tables::requests::Request;
use crate::gateway::world::World;

/// Applies changes of the settings and of the configuration, and the settings to data centres that
/// were just listed.
pub fn run(world: &mut World, events: &[Event], effects: &mut Vec<Effect>) {
    let is_reconfigured = events.iter().any(|event| matches!(event, Event::ServingReceived { .. }));
    let is_unsettled = world.data_centres.settled < world.data_centres.rows.len();
    let is_set = events.iter().any(|event| matches!(event, Event::SettingsChanged(_)));
    let is_moved = (is_unsettled || is_set) && update_regions(world, effects);
    let is_rehomed = is_reconfigured && update_requests(world);
    if is_moved || is_rehomed {
        attempts::withdraw_barred(world, effects);
    }
}

/// Sets the region of each data centre by the settings; returns whether one changed.
fn update_regions(world: &mut World, effects: &mut Vec<Effect>) -> bool {
    let settings = &world.settings;
    world.data_centres.settled = world.data_centres.rows.len();
    let mut is_changed = false;
    for (_, row) in world.data_centres.rows.iter_mut() {
        let region = settings.region_of(&row.name);
        if row.region.as_ref() == region {
            continue;
        }
        is_changed = true;
        row.region = region.cloned();
        let (data_centre, region) = (row.name.clone(), row.region.clone());
        let decision = Decision::RegionChanged { data_centre, region };
        effects.push(Effect::LogDecision(Box::new(decision)));
    }
    is_changed
}

/// Applies the configuration in force to the open requests, as far as it has their routes and
/// accounts; returns whether the home regions of one changed.
fn update_requests(world: &mut World) -> bool {
    let Some(serving) = &world.serving else { return false };
    let mut is_changed = false;
    for (_, row) in world.requests.iter_mut() {
        let home_regions = regions_in(serving, row);
        is_changed |= row.home_regions != home_regions;
        row.home_regions = home_regions;
    }
    is_changed
}

/// Returns the home regions of an open request by a configuration. Each list is kept if the
/// configuration no longer has the route or the account.
fn regions_in(serving: &ServingConfiguration, row: &Request) -> HomeRegions {
    let route = serving.find_route_by_name(&row.route);
    let account = row.account.as_ref().and_then(|name| serving.find_account_by_name(name));
    HomeRegions {
        of_route: route.map_or(&row.home_regions.of_route, |route| &route.home_regions).clone(),
        of_account: account
            .map_or(&row.home_regions.of_account, |account| &account.home_regions)
            .clone(),
    }
}

/// Returns the home regions of a new request.
pub fn regions_of(route: &Route, account: Option<&Account>) -> HomeRegions {
    HomeRegions {
        of_route: route.home_regions.clone(),
        of_account: account.map(|account| account.home_regions.clone()).unwrap_or_default(),
    }
}
