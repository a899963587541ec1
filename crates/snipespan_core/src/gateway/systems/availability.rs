//! Decides whether a request may be sent to a backend server now.
//!
//! All that sends work asks here: placement, retries, resumed streams, helpers, spans and
//! reservations. A rule that only some of them followed would hold only on quiet days.

use derive_more::Display;

use crate::gateway::systems::shared_rates;
use crate::gateway::tables::backend_servers::Availability;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::requests::Request;
use crate::gateway::world::World;
use crate::keys::BackendServerKey;
use crate::time::Timestamp;

/// Why a request may not be sent to a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum SendObstacle {
    /// It is leaving, or gone.
    #[display("leaving")]
    Leaving,
    /// It wants no requests from this gateway for now.
    #[display("unwanted")]
    Unwanted {
        /// When it takes requests again.
        until: Timestamp,
    },
    /// It failed lately. It is used if no other backend server of the service can be.
    #[display("suspended")]
    Suspended {
        /// When the suspension ends.
        until: Timestamp,
    },
    /// It is cold, and this gateway's share of its rate is used up.
    #[display("cold")]
    Cold {
        /// When the share allows the next request, or when the backend server is warm.
        until: Timestamp,
    },
    /// It failed or refused this request before.
    #[display("avoided")]
    Avoided,
}

impl SendObstacle {
    /// Returns the earliest time at which the obstacle ends; `None` if that is not known.
    pub const fn until(self) -> Option<Timestamp> {
        match self {
            Self::Unwanted { until } | Self::Suspended { until } | Self::Cold { until } => {
                Some(until)
            }
            Self::Leaving | Self::Avoided => None,
        }
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
        return Some(SendObstacle::Leaving);
    };
    if let Some(obstacle) = service_obstacle(world, row, now) {
        return Some(obstacle);
    }
    if request.avoided.contains(&server) {
        return Some(SendObstacle::Avoided);
    }
    let until = row.suspended_until;
    (now < until).then_some(SendObstacle::Suspended { until })
}

/// Returns why a backend server takes no requests at `now`, whatever happened to one of them
/// before.
fn service_obstacle(world: &World, row: &BackendServer, now: Timestamp) -> Option<SendObstacle> {
    if let Some(obstacle) = standing_obstacle(row, now) {
        return Some(obstacle);
    }
    let until = shared_rates::next_use(world, now, row)?;
    Some(SendObstacle::Cold { until })
}

/// Returns why a backend server takes no requests at `now`, however few it gets.
fn standing_obstacle(row: &BackendServer, now: Timestamp) -> Option<SendObstacle> {
    let is_listed = matches!(row.availability, Availability::Ready | Availability::Lapsed { .. });
    if !is_listed || row.announced.is_leaving {
        return Some(SendObstacle::Leaving);
    }
    let until = row.announced.unwanted_until;
    (now < until).then_some(SendObstacle::Unwanted { until })
}

/// Returns whether a backend server that was chosen earlier still takes requests. What it gets while
/// it is cold was counted when it was chosen.
pub fn still_takes(world: &World, now: Timestamp, server: BackendServerKey) -> bool {
    let row = world.backend_servers.rows.get(server);
    row.is_some_and(|row| standing_obstacle(row, now).is_none())
}

/// Returns the backend servers of a request's service that it may be sent to at `now`; suspended
/// ones only if there are no others.
pub fn usable_backend_servers(
    world: &World,
    now: Timestamp,
    request: &Request,
) -> Vec<BackendServerKey> {
    let mut healthy = Vec::new();
    let mut suspended = Vec::new();
    for (key, row) in world.backend_servers.rows.iter() {
        if row.listing.service != request.service {
            continue;
        }
        match obstacle(world, now, key, request) {
            None => healthy.push(key),
            Some(SendObstacle::Suspended { .. }) => suspended.push(key),
            Some(_) => {}
        }
    }
    if healthy.is_empty() { suspended } else { healthy }
}

/// Returns the obstacle that ends first, if each backend server of a request's service that is not
/// leaving has one that does not depend on this request; `None` if one takes such requests, or if
/// all are leaving.
pub fn common_obstacle(world: &World, now: Timestamp, request: &Request) -> Option<SendObstacle> {
    let mut first: Option<SendObstacle> = None;
    for (_, row) in world.backend_servers.rows.iter() {
        if row.listing.service != request.service {
            continue;
        }
        let obstacle = service_obstacle(world, row, now)?;
        if obstacle == SendObstacle::Leaving {
            continue;
        }
        let ends_sooner = |other: SendObstacle| match (obstacle.until(), other.until()) {
            (Some(end), Some(other_end)) => end < other_end,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if first.is_none_or(ends_sooner) {
            first = Some(obstacle);
        }
    }
    first
}

/// Returns when the first cold backend server of a request's service may get a request from this
/// gateway, if such ones are all that is left for it; `None` if one takes requests now, or none is
/// cold.
pub fn cold_until(world: &World, now: Timestamp, request: &Request) -> Option<Timestamp> {
    let mut first: Option<Timestamp> = None;
    for (_, row) in world.backend_servers.rows.iter() {
        if row.listing.service != request.service {
            continue;
        }
        if let SendObstacle::Cold { until } = service_obstacle(world, row, now)? {
            first = Some(until.or_sooner(first));
        }
    }
    first
}
