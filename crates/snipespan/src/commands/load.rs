//! `snipespan load`: generates load for a deployment, with fixed seeds.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use clap::ArgMatches;
use eyre::Result;
use eyre::bail;
use eyre::eyre;
use snipespan_load::measures::Measures;
use snipespan_load::output;
use snipespan_load::plan;
use snipespan_load::runner;

use crate::output::Format;

/// Sends the load of a plan, and prints and writes the measures.
///
/// # Errors
/// If the plan is invalid, the load cannot be sent, or a file cannot be written.
pub async fn run(matches: &ArgMatches, format: Format) -> Result<()> {
    let Some(("run", matches)) = matches.subcommand() else { bail!("no such subcommand") };
    let path =
        matches.get_one::<PathBuf>("plan").ok_or_else(|| eyre!("the load plan FILE is missing"))?;
    let measures = runner::run_plan(&plan::load(path)?).await?;
    if let Some(folder) = matches.get_one::<PathBuf>("out") {
        write_results(folder, &measures)?;
    }
    match format {
        Format::Json => println!("{:#}", output::json(&measures)),
        Format::Text => print!("{}", output::text(&[("load".to_owned(), measures)])),
    }
    Ok(())
}

/// Writes `load.json` and `load.csv` to `folder`, which is created if it is missing.
fn write_results(folder: &Path, measures: &Measures) -> Result<()> {
    fs::create_dir_all(folder)?;
    fs::write(folder.join("load.json"), format!("{:#}\n", output::json(measures)))?;
    fs::write(folder.join("load.csv"), output::csv(measures))?;
    Ok(())
}
