//! Mean prompt length of the requests of each route.

use compact_str::CompactString;

use crate::keys::RouteLengthKey;
use crate::table::Entity;
use crate::table::Table;

/// Maximum number of routes in the table. Requests of further routes count as of mean length.
pub const MAX_ROUTE_LENGTHS: usize = 4096;

/// Weight of the newest request in the smoothed mean; about the last twenty requests count.
const LENGTH_WEIGHT: f64 = 0.05;

/// Smoothed prompt length of one route.
#[derive(Clone, Debug)]
pub struct RouteLength {
    /// Name of the route.
    pub route: CompactString,
    /// Smoothed mean of the prompt tokens.
    pub mean_tokens: f64,
}

impl Entity for RouteLength {
    type Key = RouteLengthKey;
}

/// Prompt lengths of all routes that had requests.
#[derive(Debug)]
pub struct RouteLengths {
    rows: Table<RouteLength>,
}

impl Default for RouteLengths {
    fn default() -> Self {
        Self { rows: Table::new(MAX_ROUTE_LENGTHS) }
    }
}

impl RouteLengths {
    /// Records the prompt length of a request; returns the mean of its route in tokens.
    pub fn record(&mut self, route: &str, prompt_tokens: u64) -> u64 {
        let tokens = prompt_tokens as f64;
        if let Some((_, row)) = self.rows.iter_mut().find(|(_, row)| row.route == route) {
            row.mean_tokens += (tokens - row.mean_tokens) * LENGTH_WEIGHT;
            return row.mean_tokens as u64;
        }
        // While the table is full, the request itself is all that is known of its route.
        let _ = self.rows.insert(RouteLength { route: route.into(), mean_tokens: tokens });
        prompt_tokens
    }
}
