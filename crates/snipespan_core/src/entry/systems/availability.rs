//! Decides whether a request may be sent to a backend server now.
//!
//! All that sends work asks here: first placements, retries, resumed streams and durable records,
//! which list the side processes that a request may be sent to.

use derive_more::Display;

use crate::entry::tables::backend_servers::BackendServer;
use crate::entry::tables::requests::Request;
use crate::entry::world::World;
use crate::keys::BackendServerKey;
use crate::lifecycle::backend_server::State;
use crate::time::Timestamp;

/// Why a request may not be sent to a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SendObstacle {
    /// Operators have evacuated its data centre.
    #[display("evacuated")]
    Evacuated,
    /// Its data centre is in none of the request's home regions.
    #[display("outside home regions")]
    OutsideHomeRegions,
    /// It is leaving, or drained by operators.
    #[display("leaving")]
    Leaving,
    /// Its side process is not connected.
    #[display("disconnected")]
    Disconnected,
    /// The request may not be repeated, and its durable record does not list this instance.
    #[display("not eligible")]
    NotEligible,
    /// It failed or refused this request before. It is used if no other backend server can be.
    #[display("avoided")]
    Avoided,
    /// It failed lately. It is used if no other backend server can be, except avoided ones.
    #[display("backing off")]
    BackingOff {
        /// When its backoff ends.
        until: Timestamp,
    },
}

impl SendObstacle {
    /// Returns whether only operators can end the obstacle, by a change of the configuration.
    pub const fn is_set_by_operators(self) -> bool {
        match self {
            Self::Evacuated | Self::OutsideHomeRegions => true,
            Self::Leaving
            | Self::Disconnected
            | Self::NotEligible
            | Self::Avoided
            | Self::BackingOff { .. } => false,
        }
    }

    /// Returns the earliest time at which the obstacle ends; `None` if that is not known.
    pub const fn until(self) -> Option<Timestamp> {
        match self {
            Self::BackingOff { until } => Some(until),
            Self::Evacuated
            | Self::OutsideHomeRegions
            | Self::Leaving
            | Self::Disconnected
            | Self::NotEligible
            | Self::Avoided => None,
        }
    }
}

/// Number of backend servers by the obstacle of one request.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(
    "evacuated={evacuated} outside_home_regions={outside_home_regions} leaving={leaving} \
     disconnected={disconnected} others={others}"
)]
pub struct ObstacleCounts {
    /// Backend servers of evacuated data centres.
    pub evacuated: u32,
    /// Backend servers outside the home regions of the request.
    pub outside_home_regions: u32,
    /// Backend servers that are leaving.
    pub leaving: u32,
    /// Backend servers that are not connected.
    pub disconnected: u32,
    /// Backend servers with another obstacle or none.
    pub others: u32,
}

impl ObstacleCounts {
    fn add(&mut self, obstacle: Option<SendObstacle>) {
        let count = match obstacle {
            Some(SendObstacle::Evacuated) => &mut self.evacuated,
            Some(SendObstacle::OutsideHomeRegions) => &mut self.outside_home_regions,
            Some(SendObstacle::Leaving) => &mut self.leaving,
            Some(SendObstacle::Disconnected) => &mut self.disconnected,
            Some(
                SendObstacle::NotEligible | SendObstacle::Avoided | SendObstacle::BackingOff { .. },
            )
            | None => &mut self.others,
        };
        *count += 1;
    }
}

/// Returns why `request` may not be sent to a backend server at `now`, or `None` if it may.
pub fn obstacle(
    world: &World,
    now: Timestamp,
    server: BackendServerKey,
    request: &Request,
) -> Option<SendObstacle> {
    let Some(row) = world.backend_servers.rows.get(server) else {
        return Some(SendObstacle::Disconnected);
    };
    if let Some(obstacle) = server_obstacle(world, row, request) {
        return Some(obstacle);
    }
    let hello = row.hello.as_ref();
    if !hello.is_some_and(|hello| request.may_dispatch_to(server, hello.incarnation)) {
        return Some(SendObstacle::NotEligible);
    }
    if request.avoids(server) {
        return Some(SendObstacle::Avoided);
    }
    let until = row.backoff_until;
    (now < until).then_some(SendObstacle::BackingOff { until })
}

/// Returns why a backend server takes no requests of an account and a target, whatever happened to
/// one of them before.
fn server_obstacle(world: &World, row: &BackendServer, request: &Request) -> Option<SendObstacle> {
    if world.data_centres.is_evacuated(row.data_centre) {
        return Some(SendObstacle::Evacuated);
    }
    if !request.homes.allows(world.data_centres.region(row.data_centre)) {
        return Some(SendObstacle::OutsideHomeRegions);
    }
    match row.lifecycle.state() {
        State::Ready {} => None,
        State::Connecting {} => Some(SendObstacle::Disconnected),
        State::Leaving {} | State::LeavingUnconnected {} => Some(SendObstacle::Leaving),
    }
}

/// Returns whether a backend server may be listed in the durable record of a request, as one that
/// the request may be sent to.
pub fn may_be_recorded(world: &World, server: BackendServerKey, request: &Request) -> bool {
    let row = world.backend_servers.rows.get(server);
    row.is_some_and(|row| server_obstacle(world, row, request).is_none())
}

/// Returns those of the backend servers in `keys` to which a request may be sent at `now`.
///
/// These are the ones without an obstacle; if there are none, those that are backing off; if there
/// are none either, those that the request avoids.
pub fn usable_backend_servers(
    world: &World,
    now: Timestamp,
    request: &Request,
    keys: &[BackendServerKey],
) -> Vec<BackendServerKey> {
    let mut free = Vec::new();
    let mut backing_off = Vec::new();
    let mut avoided = Vec::new();
    for key in keys.iter().copied() {
        match obstacle(world, now, key, request) {
            None => free.push(key),
            Some(SendObstacle::BackingOff { .. }) => backing_off.push(key),
            Some(SendObstacle::Avoided) => avoided.push(key),
            Some(_) => {}
        }
    }
    [free, backing_off, avoided].into_iter().find(|keys| !keys.is_empty()).unwrap_or_default()
}

/// Returns why no backend server is left for a request until operators change the configuration;
/// `None` if one may take it now or later.
///
/// A backend server that is disconnected may return, and one whose first connection is still being
/// opened may serve the request's target, so the request waits for these. One that is leaving, or
/// that the request's record does not list, is not waited for.
pub fn lasting_obstacle(
    world: &World,
    now: Timestamp,
    request: &Request,
) -> Option<(SendObstacle, ObstacleCounts)> {
    let mut counts = ObstacleCounts::default();
    let mut reason = None;
    for key in world.backend_servers.find_by_target(request.target.as_ref()?) {
        let obstacle = obstacle(world, now, *key, request);
        counts.add(obstacle);
        match obstacle {
            // An evacuation ends sooner than a home region changes, so it is the reason given.
            Some(obstacle) if obstacle.is_set_by_operators() => {
                reason = reason.filter(|r| *r == SendObstacle::Evacuated).or(Some(obstacle));
            }
            Some(SendObstacle::Leaving | SendObstacle::NotEligible) => {}
            Some(_) | None => return None,
        }
    }
    let may_serve = |row: &BackendServer| {
        row.is_untried && server_obstacle(world, row, request).is_none_or(may_end)
    };
    let reason = reason.filter(|_| !world.backend_servers.rows.iter().any(|(_, r)| may_serve(r)));
    reason.map(|reason| (reason, counts))
}

/// Returns whether an obstacle of a backend server may end without a change by anybody.
const fn may_end(obstacle: SendObstacle) -> bool {
    matches!(obstacle, SendObstacle::Disconnected)
}
