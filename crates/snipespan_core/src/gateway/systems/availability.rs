//! Decides whether a request may be sent to a backend server now.
//!
//! All that sends work asks here: placement, retries, resumed streams, helpers, spans and
//! reservations. A rule that only some of them followed would hold only on quiet days.

use derive_more::Display;

use crate::gateway::systems::shared_rates;
use crate::gateway::systems::shared_rates::RateWait;
use crate::gateway::tables::backend_servers::Availability;
use crate::gateway::tables::backend_servers::BackendServer;
use crate::gateway::tables::backend_servers::RateReason;
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
    /// The operator has evacuated its data centre.
    #[display("evacuated")]
    Evacuated,
    /// Its data centre is in no home region of the request.
    #[display("outside home regions")]
    OutsideHome,
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
    /// It names a limit of requests, and this gateway's share of it is used up.
    #[display("limited")]
    Limited {
        /// When the limit allows the next request of this gateway, or of another one.
        until: Timestamp,
        /// Whether this gateway has a share of the limit.
        has_share: bool,
    },
    /// It failed or refused this request before.
    #[display("avoided")]
    Avoided,
    /// The bodies of its work leave no room for that of this request.
    #[display("bodies")]
    Bodies,
}

/// Numbers of backend servers of a service by what keeps requests from them.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display(
    "leaving {leaving}, evacuated {evacuated}, outside home regions {outside_home}, unwanted \
     {unwanted}, cold {cold}, limited {limited}, suspended {suspended}, avoided {avoided}, bodies {bodies}"
)]
pub struct ObstacleCounts {
    /// Leaving or gone.
    pub leaving: usize,
    /// In an evacuated data centre.
    pub evacuated: usize,
    /// In a data centre that is in no home region of the request.
    pub outside_home: usize,
    /// They want no requests from this gateway.
    pub unwanted: usize,
    /// Cold, and this gateway's share of their rate is used up.
    pub cold: usize,
    /// They name a limit, and this gateway's share of it is used up.
    pub limited: usize,
    /// Suspended after failures.
    pub suspended: usize,
    /// They failed or refused the request before.
    pub avoided: usize,
    /// The bodies of their work leave no room for that of the request.
    pub bodies: usize,
}

impl SendObstacle {
    /// Returns the earliest time at which the obstacle ends; `None` if that is not known.
    pub const fn until(self) -> Option<Timestamp> {
        match self {
            Self::Unwanted { until }
            | Self::Suspended { until }
            | Self::Cold { until }
            | Self::Limited { until, .. } => Some(until),
            Self::Leaving | Self::Evacuated | Self::OutsideHome | Self::Avoided | Self::Bodies => {
                None
            }
        }
    }

    /// Returns whether the obstacle is expected to end before another one: an evacuation does before
    /// a change of the home regions.
    fn ends_before(self, other: Self) -> bool {
        match (self.until(), other.until()) {
            (Some(end), Some(other_end)) => end < other_end,
            (Some(_), None) => true,
            (None, Some(_)) => false,
            (None, None) => self == Self::Evacuated && other == Self::OutsideHome,
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
    if let Some(obstacle) = lasting_obstacle(world, now, row, request) {
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

/// Returns why a backend server does not take a request at `now`, whatever happened to the request
/// before.
fn lasting_obstacle(
    world: &World,
    now: Timestamp,
    row: &BackendServer,
    request: &Request,
) -> Option<SendObstacle> {
    if let Some(obstacle) = standing_obstacle(world, now, row, request) {
        return Some(obstacle);
    }
    let RateWait { reason, until, has_share } = shared_rates::next_use(world, now, row)?;
    Some(match reason {
        RateReason::Cold => SendObstacle::Cold { until },
        RateReason::Named => SendObstacle::Limited { until, has_share },
    })
}

/// Returns why a backend server does not take a request at `now`, however few it gets.
fn standing_obstacle(
    world: &World,
    now: Timestamp,
    row: &BackendServer,
    request: &Request,
) -> Option<SendObstacle> {
    let is_listed = matches!(row.availability, Availability::Ready | Availability::Lapsed { .. });
    if !is_listed || row.announced.is_leaving {
        return Some(SendObstacle::Leaving);
    }
    if let Some(obstacle) = data_centre_obstacle(world, row, request) {
        return Some(obstacle);
    }
    let until = row.announced.unwanted_until;
    (now < until).then_some(SendObstacle::Unwanted { until })
}

/// Returns why a request may not be sent to the data centre of a backend server.
fn data_centre_obstacle(
    world: &World,
    row: &BackendServer,
    request: &Request,
) -> Option<SendObstacle> {
    let data_centre = world.data_centres.rows.get(row.data_centre)?;
    // Whatever else changes, a data centre outside the home regions is of no use to the request.
    if !request.home_regions.allows(data_centre.region.as_ref()) {
        return Some(SendObstacle::OutsideHome);
    }
    data_centre.is_evacuated.then_some(SendObstacle::Evacuated)
}

/// Returns whether a request that was not sent yet may no longer be sent to a backend server, by
/// reason of its data centre.
pub fn is_barred(world: &World, server: BackendServerKey, request: &Request) -> bool {
    let row = world.backend_servers.rows.get(server);
    row.is_some_and(|row| data_centre_obstacle(world, row, request).is_some())
}

/// Returns whether a backend server that was chosen earlier for a request still takes it. What it
/// gets while it has a rate was counted when it was chosen.
pub fn still_takes(
    world: &World,
    now: Timestamp,
    server: BackendServerKey,
    request: &Request,
) -> bool {
    let row = world.backend_servers.rows.get(server);
    row.is_some_and(|row| standing_obstacle(world, now, row, request).is_none())
}

/// Returns the backend servers of a request's service that it may be sent to at `now`; suspended
/// ones only if there are no others, and not sooner than each is tried again.
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
            Some(SendObstacle::Suspended { .. }) if now >= row.retry_from => suspended.push(key),
            Some(_) => {}
        }
    }
    if healthy.is_empty() { suspended } else { healthy }
}

/// Returns the obstacle that ends first, if each backend server of a request's service that is not
/// leaving has one that does not depend on what happened to this request; `None` if one takes such requests, or if
/// all are leaving.
pub fn common_obstacle(world: &World, now: Timestamp, request: &Request) -> Option<SendObstacle> {
    let mut first: Option<SendObstacle> = None;
    for (_, row) in world.backend_servers.rows.iter() {
        if row.listing.service != request.service {
            continue;
        }
        let obstacle = lasting_obstacle(world, now, row, request)?;
        if obstacle == SendObstacle::Leaving {
            continue;
        }
        if first.is_none_or(|first| obstacle.ends_before(first)) {
            first = Some(obstacle);
        }
    }
    first
}

/// Counts the backend servers of a request's service by the obstacle that each has at `now`.
pub fn count_obstacles(world: &World, now: Timestamp, request: &Request) -> ObstacleCounts {
    let mut counts = ObstacleCounts::default();
    for (key, row) in world.backend_servers.rows.iter() {
        if row.listing.service != request.service {
            continue;
        }
        let count = match obstacle(world, now, key, request) {
            None => continue,
            Some(SendObstacle::Leaving) => &mut counts.leaving,
            Some(SendObstacle::Evacuated) => &mut counts.evacuated,
            Some(SendObstacle::OutsideHome) => &mut counts.outside_home,
            Some(SendObstacle::Unwanted { .. }) => &mut counts.unwanted,
            Some(SendObstacle::Cold { .. }) => &mut counts.cold,
            Some(SendObstacle::Limited { .. }) => &mut counts.limited,
            Some(SendObstacle::Suspended { .. }) => &mut counts.suspended,
            Some(SendObstacle::Avoided) => &mut counts.avoided,
            Some(SendObstacle::Bodies) => &mut counts.bodies,
        };
        *count += 1;
    }
    counts
}

/// Returns why and until when this gateway may send nothing to the backend servers of a request's
/// service, if all that are left for it have a rate: for the first of them that takes a request;
/// `None` if one takes requests now, or none has a rate.
pub fn only_rated(world: &World, now: Timestamp, request: &Request) -> Option<RateWait> {
    let mut first: Option<RateWait> = None;
    for (_, row) in world.backend_servers.rows.iter() {
        if row.listing.service != request.service {
            continue;
        }
        let wait = match lasting_obstacle(world, now, row, request)? {
            SendObstacle::Cold { until } => {
                RateWait { reason: RateReason::Cold, until, has_share: true }
            }
            SendObstacle::Limited { until, has_share } => {
                RateWait { reason: RateReason::Named, until, has_share }
            }
            _ => continue,
        };
        // One of which this gateway has a share comes before those for which others have one.
        let is_sooner =
            |first: RateWait| (!wait.has_share, wait.until) < (!first.has_share, first.until);
        if first.is_none_or(is_sooner) {
            first = Some(wait);
        }
    }
    first
}
