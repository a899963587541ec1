//! Decides whether a request may be sent to a backend server now.
//!
//! All that sends work asks here: placement, retries, resumed streams, helpers, spans and
//! reservations. A rule that only some of them followed would hold only on quiet days.

use derive_more::Display;

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
    /// It failed or refused this request before.
    #[display("avoided")]
    Avoided,
    /// The bodies of its work leave no room for that of this request.
    #[display("bodies")]
    Bodies,
}

impl SendObstacle {
    /// Returns the earliest time at which the obstacle ends; `None` if that is not known.
    pub const fn until(self) -> Option<Timestamp> {
        match self {
            Self::Unwanted { until } | Self::Suspended { until } => Some(until),
            Self::Leaving | Self::Avoided | Self::Bodies => None,
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
    if let Some(obstacle) = service_obstacle(row, now) {
        return Some(obstacle);
    }
    if request.avoided.contains(&server) {
        return Some(SendObstacle::Avoided);
    }
    // Bodies are bounded where the memory of the deployment's processes is stated.
    if world.settings.memory_limit.is_some() && row.is_full_of_bodies(request.body_bytes) {
        return Some(SendObstacle::Bodies);
    }
    let until = row.suspended_until;
    (now < until).then_some(SendObstacle::Suspended { until })
}

/// Returns why a backend server takes no requests at `now`, whatever happened to one of them
/// before.
fn service_obstacle(row: &BackendServer, now: Timestamp) -> Option<SendObstacle> {
    let is_listed = matches!(row.availability, Availability::Ready | Availability::Lapsed { .. });
    if !is_listed || row.announced.is_leaving {
        return Some(SendObstacle::Leaving);
    }
    let until = row.announced.unwanted_until;
    (now < until).then_some(SendObstacle::Unwanted { until })
}

/// Returns whether a backend server that was chosen earlier still takes requests.
pub fn still_takes(world: &World, now: Timestamp, server: BackendServerKey) -> bool {
    let row = world.backend_servers.rows.get(server);
    row.is_some_and(|row| service_obstacle(row, now).is_none())
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
        let obstacle = service_obstacle(row, now)?;
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
