//! Compares the routing policies: each serves the same requests on a fleet of its own.

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
use crate::fleet::FleetConfig;
use crate::fleet::MODELS;

/// Routing policies in the order of their runs, the baselines first.
const POLICIES: [RoutingPolicy; 3] =
    [RoutingPolicy::RoundRobin, RoutingPolicy::FewestOpen, RoutingPolicy::EarliestFirstToken];

/// Prompt tokens that each engine prefills per second, about ten times as many as current engines.
const PREFILL_TOKENS_PER_S: u64 = 200_000;

/// Maximum number of tokens that each engine prefills and generates in a step.
const STEP_TOKENS: u64 = 1_000;

/// Share of the requests that are long, from 0 to 1, except in runs with short requests only.
const LONG_SHARE: f64 = 0.02;

/// Factor on the arrival rate during a load peak.
const PEAK_RATE_FACTOR: f64 = 8.0;

/// Time limit of each request.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Size of the fleet and of the load in each run.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// Number of engines in the fleet.
    pub engines: usize,
    /// Mean number of requests that arrive per second outside the peak.
    pub rate_per_s: f64,
    /// Time during which requests arrive in each run.
    pub duration: Duration,
    /// Seed of all random choices of the load.
    pub seed: u64,
}

/// Runs each policy with short requests only, with a mix of short and long ones, and with a load
/// peak, and prints the measures.
///
/// The second table has two columns. `short p95 ratio` is the 95th percentile of the time to first
/// token of short prompts in the mix, divided by that with short requests only. `crest answered` is
/// the share of the tokens arriving in the load peak that are answered.
///
/// # Errors
/// When a fleet does not start or the load cannot be sent.
pub async fn run(trial: Trial) -> Result<()> {
    println!(
        "{} engines in 3 data centres, {PREFILL_TOKENS_PER_S} prompt tokens/s each, {} requests/s, \
         seed {}",
        trial.engines, trial.rate_per_s, trial.seed
    );
    let mut runs = Vec::new();
    for policy in POLICIES {
        for (workload, long_share, peak) in workloads(&trial) {
            let measures = measure_policy(&trial, policy, long_share, peak).await?;
            runs.push((format!("{policy}/{workload}"), measures));
        }
    }
    print!("{}", output::text(&runs));
    println!("\n{:<24} {:>16} {:>16}", "policy", "short p95 ratio", "crest answered");
    for (policy, runs) in POLICIES.iter().zip(runs.chunks(3)) {
        let ratio = short_first_token_p95_s(&runs[1].1) / short_first_token_p95_s(&runs[0].1);
        let (arrived, answered) = runs[2].1.peak_tokens;
        let answered = answered as f64 / arrived.max(1) as f64;
        println!("{:<24} {ratio:>16.2} {answered:>16.2}", policy.to_string());
    }
    Ok(())
}

/// Returns the name, the share of long requests and the load peak of each run of a policy. The run
/// with the peak is named `crest`.
fn workloads(trial: &Trial) -> [(&'static str, f64, Option<Peak>); 3] {
    let third = trial.duration / 3;
    let peak = Peak { start: third, duration: third, rate_factor: PEAK_RATE_FACTOR };
    [("short", 0.0, None), ("mixed", LONG_SHARE, None), ("crest", LONG_SHARE, Some(peak))]
}

/// Sends one workload to a new fleet and returns the measures.
async fn measure_policy(
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
    let fleet = Fleet::start(FleetConfig { engines: trial.engines, engine, routing }).await?;
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

/// Returns the 95th percentile of the time to first token of prompts up to 2,000 tokens, in
/// seconds.
fn short_first_token_p95_s(measures: &Measures) -> f64 {
    let class = measures.classes.get(&LengthClass::UpTo2K);
    class.map_or(0.0, |class| class.first_token_quantile(0.95).as_secs_f64())
}
