//! Runs the soak for a range of seeds, one after the other.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use eyre::Result;
use eyre::bail;
use snipespan_soak::args;
use snipespan_soak::plan::SoakConfig;
use snipespan_soak::run;
use snipespan_soak::run::Outcome;
use tempfile::TempDir;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Maximum number of violations of a promise that are printed for a seed.
const MAX_DETAILS: usize = 3;

fn main() -> ExitCode {
    match soak(&args::command().get_matches()) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(failed) => {
            eprintln!("{failed} seeds had violations");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("snipespan_soak: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn soak(matches: &ArgMatches) -> Result<usize> {
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let config = SoakConfig {
        gateways: number("gateways") as usize,
        replicas: number("replicas") as usize,
        clients: number("clients") as usize,
        fault_duration: Duration::from_secs(number("seconds")),
    };
    let daemon = matches.get_one::<PathBuf>("daemon").cloned().unwrap_or_default();
    let runtime = tokio::runtime::Runtime::new()?;
    let mut failed = 0;
    for seed in number("first")..number("first") + number("seeds") {
        let folder = TempDir::new()?;
        let running = run::run_seed(seed, config, &daemon, folder.path());
        let outcome = runtime.block_on(until_interrupted(running))?;
        println!(
            "seed {seed}: {} requests, {} served, {} faults, {} crashes, {} violations; statuses {}",
            outcome.requests,
            outcome.served,
            outcome.faults,
            outcome.crashes,
            outcome.violations.len(),
            describe_statuses(&outcome)
        );
        let mut by_promise: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for violation in &outcome.violations {
            by_promise.entry(violation.promise).or_default().push(&violation.detail);
        }
        for (promise, details) in by_promise {
            println!("  {promise}, {} times:", details.len());
            for detail in details.iter().take(MAX_DETAILS) {
                println!("    {detail}");
            }
        }
        if !outcome.violations.is_empty() {
            failed += 1;
            println!("  logs: {}", folder.keep().display());
        }
    }
    Ok(failed)
}

/// Returns the number of requests by status, such as `200: 812, 503: 4, none: 1`.
fn describe_statuses(outcome: &Outcome) -> String {
    let counts = outcome.statuses.iter().map(|(status, count)| match status {
        Some(status) => format!("{status}: {count}"),
        None => format!("none: {count}"),
    });
    counts.collect::<Vec<_>>().join(", ")
}

/// Runs a seed. SIGINT and SIGTERM drop it, which ends its processes.
async fn until_interrupted(running: impl Future<Output = Result<Outcome>>) -> Result<Outcome> {
    let mut stopping = signal(SignalKind::terminate())?;
    tokio::select! {
        outcome = running => outcome,
        _ = tokio::signal::ctrl_c() => bail!("interrupted by SIGINT"),
        _ = stopping.recv() => bail!("interrupted by SIGTERM"),
    }
}
