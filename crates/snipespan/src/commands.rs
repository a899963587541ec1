//! Execution of the subcommands, one module for each.

pub mod account;
pub mod backend_server;
pub mod change;
pub mod completions;
pub mod configuration;
pub mod data_centre;
pub mod load;
pub mod model;
pub mod report;
pub mod service;

use std::process::ExitCode;

use clap::ArgMatches;
use eyre::Result;
use eyre::bail;
use serde_json::json;
use snipespan_admin::v1::change::Change;
use tokio::runtime::Builder;

use crate::connection::Connection;
use crate::exit;
use crate::output::Format;

/// Runs the subcommand that the arguments name, prints any error and returns the exit code.
pub fn main(matches: &ArgMatches) -> ExitCode {
    let format = Format::from_matches(matches);
    if let Some(("configuration", matches)) = matches.subcommand()
        && let Some(("check", matches)) = matches.subcommand()
    {
        return configuration::check::run(matches, format);
    }
    match run(matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("snipespan: {}", exit::error_message(&error));
            exit::exit_code(&error)
        }
    }
}

fn run(matches: &ArgMatches) -> Result<()> {
    if let Some(("completions", matches)) = matches.subcommand() {
        completions::run(matches);
        return Ok(());
    }
    if let Some(("load", load_matches)) = matches.subcommand() {
        let runtime = Builder::new_multi_thread().enable_all().build()?;
        return runtime.block_on(load::run(load_matches, Format::from_matches(matches)));
    }
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_connected(matches))
}

async fn run_connected(matches: &ArgMatches) -> Result<()> {
    let format = Format::from_matches(matches);
    let mut connection = Connection::open(matches).await?;
    match matches.subcommand() {
        Some(("account", matches)) => account::run(&mut connection, matches, format).await,
        Some(("model", matches)) => model::run(&mut connection, matches, format).await,
        Some(("service", matches)) => service::run(&mut connection, matches, format).await,
        Some(("backend-server", matches)) => {
            backend_server::run(&mut connection, matches, format).await
        }
        Some(("data-centre", matches)) => data_centre::run(&mut connection, matches, format).await,
        Some(("configuration", _)) => configuration::run(&mut connection, format).await,
        Some(("change", matches)) => change::run(&mut connection, matches, format).await,
        Some(("report", matches)) => report::run(&mut connection, matches, format).await,
        _ => bail!("no such subcommand"),
    }
}

/// Applies a change and prints its id and revision.
async fn apply_change(
    connection: &mut Connection,
    matches: &ArgMatches,
    change: Change,
    format: Format,
) -> Result<()> {
    let (change_id, revision) = connection.apply_change(matches, change).await?;
    let value = json!({"change_id": change_id, "revision": revision});
    let row = vec![change_id, revision.to_string()];
    format.print(&value, &["CHANGE", "REVISION"], &[row]);
    Ok(())
}

/// Returns the value of a number argument, which always has a default.
fn get_number(matches: &ArgMatches, id: &str) -> u64 {
    matches.get_one::<u64>(id).copied().unwrap_or_default()
}

/// Returns the values of the option `--home-region`.
fn get_home_regions(matches: &ArgMatches) -> Vec<String> {
    matches.get_many::<String>("home-region").unwrap_or_default().cloned().collect()
}

/// Returns the value of a text argument, which is required or has a default.
fn get_text(matches: &ArgMatches, id: &str) -> String {
    matches.get_one::<String>(id).cloned().unwrap_or_default()
}
