//! `snipespan load`: load for a deployment, with fixed seeds.

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

/// Runs the subcommand.
///
/// # Errors
/// When the plan has mistakes or a file cannot be written.
pub async fn run(matches: &ArgMatches, format: Format) -> Result<()> {
    let Some(("run", matches)) = matches.subcommand() else { bail!("no such subcommand") };
    let path = matches.get_one::<PathBuf>("plan").ok_or_else(|| eyre!("no plan"))?;
    let measures = runner::run_plan(&plan::load(path)?).await?;
    if let Some(folder) = matches.get_one::<PathBuf>("out") {
        write(folder, &measures)?;
    }
    match format {
        Format::Json => println!("{:#}", output::json(&measures)),
        Format::Text => print!("{}", output::text(&[("load".to_owned(), measures)])),
    }
    Ok(())
}

fn write(folder: &Path, measures: &Measures) -> Result<()> {
    fs::create_dir_all(folder)?;
    fs::write(folder.join("load.json"), format!("{:#}\n", output::json(measures)))?;
    fs::write(folder.join("load.csv"), output::csv(measures))?;
    Ok(())
}
