//! Arrivals of a plan: determined by its seed and independent of the answers.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::plan::LoadPlan;

/// Planned request of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Time of arrival, from the start of the run.
    pub at: Duration,
    /// Index of its client account in the plan.
    pub account: usize,
    /// Index of its model in the plan.
    pub model: usize,
    /// Number of tokens in its prompt.
    pub prompt_tokens: u64,
    /// Seed of the text of its prompt.
    pub prompt_seed: u64,
    /// Seed of the prefix that its prompt shares with others; `None` if it shares none.
    pub shared_prefix_seed: Option<u64>,
}

/// Number of different shared prompt prefixes.
const SHARED_PREFIXES: u64 = 8;

/// Generates all requests of a plan, in the order of their arrival.
pub fn generate_arrivals(plan: &LoadPlan) -> Vec<PlannedRequest> {
    let mut rng = SmallRng::seed_from_u64(plan.seed);
    let mut planned = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        // The intervals are exponentially distributed, so that arrivals are independent.
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / rate_at(plan, at));
        if at >= plan.duration {
            return planned;
        }
        planned.push(generate_request(plan, at, &mut rng));
    }
}

fn rate_at(plan: &LoadPlan, at: Duration) -> f64 {
    let peak = plan.peak.filter(|peak| at >= peak.start && at < peak.start + peak.duration);
    plan.rate_per_s * peak.map_or(1.0, |peak| peak.rate_factor)
}

fn generate_request(plan: &LoadPlan, at: Duration, rng: &mut SmallRng) -> PlannedRequest {
    let is_long = rng.random_bool(plan.long_share);
    let (least, most) = if is_long { plan.long_tokens } else { plan.short_tokens };
    // The prompt lengths are distributed log-uniformly.
    let exponent = rng.random_range((least as f64).ln()..=(most as f64).ln());
    let has_shared_prefix = rng.random_bool(plan.shared_prefix_share);
    let shared_prefix_seed = rng.random_range(0..SHARED_PREFIXES);
    PlannedRequest {
        at,
        account: pick_account(plan, rng),
        model: rng.random_range(0..plan.models.len()),
        prompt_tokens: (exponent.exp() as u64).clamp(least, most),
        prompt_seed: rng.random(),
        shared_prefix_seed: has_shared_prefix.then_some(shared_prefix_seed),
    }
}

fn pick_account(plan: &LoadPlan, rng: &mut SmallRng) -> usize {
    let total: f64 = plan.accounts.iter().map(|(_, weight)| weight).sum();
    let mut left = rng.random_range(0.0..total);
    for (index, (_, weight)) in plan.accounts.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    // Reached only if rounding errors leave a remainder.
    0
}
