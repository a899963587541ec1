//! The routing policies beside one another: each serves the same arrivals on a fleet of its own.

use std::time::Duration;

use eyre::Result;
use snipespan_core::cost::LengthClass;
use snipespan_core::entry::settings::RoutingPolicy;
use snipespan_fakes::model_engine::EngineConfig;
use snipespan_load::measures::Measures;
use snipespan_load::output;
use snipespan_load::plan::LoadPlan;
use snipespan_load::plan::Peak;
use snipespan_load::runner;

use crate::fleet::API_KEY;
use crate::fleet::Fleet;
use crate::fleet::FleetShape;
use crate::fleet::MODELS;

/// The policies, the baselines first.
const POLICIES: [RoutingPolicy; 3] =
    [RoutingPolicy::RoundRobin, RoutingPolicy::FewestOpen, RoutingPolicy::EarliestFirstToken];

/// Prompt tokens that an engine of the trial reads in a second. Engines of today read in about
/// a tenth of it.
const PREFILL_TOKENS_PER_S: u64 = 200_000;

/// Tokens that an engine of the trial reads in or generates in a step.
const STEP_TOKENS: u64 = 1_000;

/// Share of the requests that are long.
const LONG_SHARE: f64 = 0.02;

/// How many times the usual rate arrives at the crest.
const CREST_FACTOR: f64 = 8.0;

/// Time limit of each request.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Size of a trial.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// Engines of the fleet.
    pub engines: usize,
    /// Requests a second.
    pub rate_per_s: f64,
    /// How long requests arrive in each run.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Runs every policy with short requests alone, with long ones beside, and with a crest.
///
/// # Errors
/// When a fleet does not start.
pub async fn run(trial: Trial) -> Result<()> {
    println!(
        "{} engines in 3 data centres, {PREFILL_TOKENS_PER_S} prompt tokens/s each, {} requests/s, \
         seed {}",
        trial.engines, trial.rate_per_s, trial.seed
    );
    let mut runs = Vec::new();
    for policy in POLICIES {
        for (kind, long_share, peak) in kinds(&trial) {
            let measures = run_one(&trial, policy, long_share, peak).await?;
            runs.push((format!("{policy}/{kind}"), measures));
        }
    }
    print!("{}", output::text(&runs));
    println!("\n{:<24} {:>16} {:>16}", "policy", "short p95 ratio", "crest answered");
    for (policy, runs) in POLICIES.iter().zip(runs.chunks(3)) {
        let ratio = short_p95(&runs[1].1) / short_p95(&runs[0].1);
        let (arrived, answered) = runs[2].1.peak_tokens;
        let answered = answered as f64 / arrived.max(1) as f64;
        println!("{:<24} {ratio:>16.2} {answered:>16.2}", policy.to_string());
    }
    Ok(())
}

fn kinds(trial: &Trial) -> [(&'static str, f64, Option<Peak>); 3] {
    let third = trial.duration / 3;
    let peak = Peak { start: third, duration: third, rate_factor: CREST_FACTOR };
    [("short", 0.0, None), ("mixed", LONG_SHARE, None), ("crest", LONG_SHARE, Some(peak))]
}

async fn run_one(
    trial: &Trial,
    routing: RoutingPolicy,
    long_share: f64,
    peak: Option<Peak>,
) -> Result<Measures> {
    let engine = EngineConfig {
        step_tokens: STEP_TOKENS,
        step_time: Duration::from_secs(1) * STEP_TOKENS as u32 / PREFILL_TOKENS_PER_S as u32,
        ..EngineConfig::default()
    };
    let fleet = Fleet::start(FleetShape { engines: trial.engines, engine, routing }).await?;
    let plan = LoadPlan {
        entries: vec![fleet.callers_url.clone()],
        seed: trial.seed,
        duration: trial.duration,
        rate_per_s: trial.rate_per_s,
        peak,
        models: MODELS.iter().map(|model| (*model).into()).collect(),
        long_share,
        short_tokens: (1_000, 10_000),
        long_tokens: (100_001, 1_000_000),
        shared_prefix_share: 0.3,
        answer_tokens: 30,
        time_limit: TIME_LIMIT,
        accounts: vec![(API_KEY.to_owned(), 1.0)],
    };
    runner::run_plan(&plan).await
}

/// 95th percentile of the time to first token of prompts up to 2,000 tokens, in seconds.
fn short_p95(measures: &Measures) -> f64 {
    let class = measures.classes.get(&LengthClass::UpTo2K);
    class.map_or(0.0, |class| class.first_token_quantile(0.95).as_secs_f64())
}
