//! Maintenance tasks, one module for each subcommand.

pub mod generate;
pub mod imports;

use clap::ArgMatches;
use eyre::Result;
use eyre::bail;

/// Runs the task in `matches`.
///
/// # Errors
/// When the task fails or a check finds a violation.
pub fn run(matches: &ArgMatches) -> Result<()> {
    match matches.subcommand() {
        Some(("generate", matches)) => generate::run(matches.get_flag("check")),
        Some(("imports", _)) => imports::run(),
        _ => bail!("no such subcommand"),
    }
}
