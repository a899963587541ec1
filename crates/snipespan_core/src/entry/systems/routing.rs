//! Chooses a backend server for a request.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::entry::settings::RoutingPolicy;
use crate::entry::systems::availability;
use crate::entry::tables::requests::Request;
use crate::entry::world::World;
use crate::keys::BackendServerKey;
use crate::keys::RequestKey;
use crate::time::Timestamp;

/// Maximum number of backend servers whose estimates are compared for one request; if there are
/// more, this many are drawn at random with repetition.
pub const MAX_CANDIDATES: usize = 16;

/// Time added to the estimated time to the first token at a backend server in another data centre.
pub const REMOTE_DATA_CENTRE_PENALTY: Duration = Duration::from_millis(1);

/// A backend server chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The backend server.
    pub backend_server: BackendServerKey,
    /// Estimated time from now to the first token.
    pub estimated_first_token: Duration,
    /// Estimated number of prompt tokens in its prefix cache.
    pub cached_tokens: u64,
}

/// Chooses a backend server by the policy in the settings; `None` if none can take the request now.
pub fn choose_backend_server(world: &mut World, now: Timestamp, key: RequestKey) -> Option<Choice> {
    let candidates = candidates(world, now, key)?;
    let request = world.requests.get(key)?;
    let backend_server = match world.settings.routing {
        RoutingPolicy::RoundRobin => {
            world.round_robin_turn = world.round_robin_turn.wrapping_add(1);
            Some(candidates[world.round_robin_turn % candidates.len()])
        }
        RoutingPolicy::FewestOpen => {
            let open =
                |key: &BackendServerKey| world.backend_servers.rows.get(*key).map(|b| b.open);
            candidates.iter().copied().min_by_key(open)
        }
        RoutingPolicy::EarliestFirstToken => {
            let estimate = |key: &BackendServerKey| estimate(world, now, request, *key);
            candidates.into_iter().min_by_key(estimate)
        }
    }?;
    let (estimated_first_token, _) = estimate(world, now, request, backend_server)?;
    let row = world.backend_servers.rows.get(backend_server)?;
    let cached_tokens = row.cached_tokens(&request.prefix_digests);
    Some(Choice { backend_server, estimated_first_token, cached_tokens })
}

/// Returns the backend servers to compare for a request; `None` if none can take it now.
///
/// Where the policy allows and there are more than [`MAX_CANDIDATES`], it draws a sample and falls
/// back to all only if none of the sample can take the request.
fn candidates(world: &mut World, now: Timestamp, key: RequestKey) -> Option<Vec<BackendServerKey>> {
    let request = world.requests.get(key)?;
    let all = world.backend_servers.find_by_target(request.target.as_ref()?);
    let uses_all = all.len() <= MAX_CANDIDATES || world.settings.routing.considers_all();
    if !uses_all {
        let drawn = draw_candidates(&mut world.rng, all);
        let drawn = availability::usable_backend_servers(world, now, request, &drawn);
        if !drawn.is_empty() {
            return Some(drawn);
        }
    }
    let usable = availability::usable_backend_servers(world, now, request, all);
    (!usable.is_empty()).then_some(usable)
}

fn draw_candidates(rng: &mut SmallRng, all: &[BackendServerKey]) -> Vec<BackendServerKey> {
    let draw_one = |_| all[rng.random_range(0..all.len())];
    (0..MAX_CANDIDATES).map(draw_one).collect()
}

/// Estimates the time to the first token; the number of open requests breaks ties.
fn estimate(
    world: &World,
    now: Timestamp,
    request: &Request,
    key: BackendServerKey,
) -> Option<(Duration, u32)> {
    let row = world.backend_servers.rows.get(key)?;
    let cached = row.cached_tokens(&request.prefix_digests);
    let first_token = row.estimated_first_token(request.cost, cached, now);
    let distance = match row.vm.data_centre == world.settings.data_centre {
        true => Duration::ZERO,
        false => REMOTE_DATA_CENTRE_PENALTY,
    };
    Some((first_token + distance, row.open))
}
