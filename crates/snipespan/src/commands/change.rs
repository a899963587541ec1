//! `snipespan change`: shows whether a change took effect.

use clap::ArgMatches;
use eyre::Result;
use eyre::bail;
use serde_json::json;

use crate::commands::get_text;
use crate::connection::Connection;
use crate::output::Format;

/// Runs the subcommand and prints its result.
///
/// # Errors
/// If the call fails.
pub async fn run(connection: &mut Connection, matches: &ArgMatches, format: Format) -> Result<()> {
    let Some(("show", matches)) = matches.subcommand() else { bail!("no such subcommand") };
    let change_id = get_text(matches, "id");
    let revision = connection.find_revision(&change_id).await?;
    let value = json!({"change_id": change_id, "revision": revision});
    let revision = revision.map_or_else(|| "did not take effect".to_owned(), |r| r.to_string());
    format.print(&value, &["CHANGE", "REVISION"], &[vec![change_id, revision]]);
    Ok(())
}
