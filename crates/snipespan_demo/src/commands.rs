//! Subcommands of the demo, one module for each.

pub mod idle;
pub mod main_job;
pub mod overhead;
pub mod policies;
pub mod store;
pub mod ticks;

use std::time::Duration;

use clap::ArgMatches;
use eyre::Result;
use eyre::bail;
use snipespan_telemetry::logs;
use tokio::runtime::Builder;

/// Runs the subcommand in `matches`, or the main job if there is none.
///
/// # Errors
/// When a part of the system does not start or a measurement fails.
pub fn run(matches: &ArgMatches) -> Result<()> {
    logs::start("warn");
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    match matches.subcommand() {
        None => runtime.block_on(main_job::run(matches.get_flag("stay"))),
        Some(("overhead", matches)) => {
            let requests = matches.get_one::<u64>("requests").copied().unwrap_or(1);
            runtime.block_on(overhead::run(requests))
        }
        Some(("ticks", _)) => ticks::run(),
        Some(("idle", _)) => runtime.block_on(idle::run()),
        Some(("policies", matches)) => {
            let number = |id| matches.get_one::<u64>(id).copied().unwrap_or(1);
            let trial = policies::Trial {
                engines: number("engines") as usize,
                rate_per_s: number("rate") as f64,
                duration: Duration::from_secs(number("seconds")),
                seed: number("seed"),
            };
            runtime.block_on(policies::run(trial))
        }
        Some(("store", _)) => runtime.block_on(store::run()),
        Some(_) => bail!("no such subcommand"),
    }
}
