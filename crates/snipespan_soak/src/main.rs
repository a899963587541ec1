//! Runs the soak for a range of seeds, one after the other.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::ArgMatches;
use eyre::Result;
use snipespan_soak::args;
use snipespan_soak::plan::SoakConfig;
use snipespan_soak::run;
use tempfile::TempDir;

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
        let outcome = runtime.block_on(run::run_seed(seed, config, &daemon, folder.path()))?;
        println!(
            "seed {seed}: {} requests, {} served, {} faults, {} violations",
            outcome.requests,
            outcome.served,
            outcome.faults,
            outcome.violations.len()
        );
        for violation in outcome.violations.iter().take(5) {
            println!("  {violation}");
        }
        if !outcome.violations.is_empty() {
            failed += 1;
            println!("  logs: {}", folder.keep().display());
        }
    }
    Ok(failed)
}
