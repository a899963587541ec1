//! `snipespan model`: creates, removes and lists models.

use clap::ArgMatches;
use eyre::Result;
use eyre::bail;
use serde_json::Value;
use serde_json::json;
use snipespan_admin::v1::Model;
use snipespan_admin::v1::change::Change;

use crate::commands::apply_change;
use crate::commands::get_home_regions;
use crate::commands::get_number;
use crate::commands::get_text;
use crate::connection::Connection;
use crate::output::Format;

const TITLES: [&str; 5] =
    ["MODEL", "MAX PROMPT TOKENS", "MAX OUTPUT TOKENS", "TIME LIMIT MS", "HOME REGIONS"];

/// Runs the subcommand and prints its result.
///
/// # Errors
/// If the call fails.
pub async fn run(connection: &mut Connection, matches: &ArgMatches, format: Format) -> Result<()> {
    match matches.subcommand() {
        Some(("put", matches)) => {
            let model = Model {
                name: get_text(matches, "name"),
                max_prompt_tokens: get_number(matches, "max-prompt-tokens"),
                max_output_tokens: get_number(matches, "max-output-tokens"),
                time_limit_ms: get_number(matches, "time-limit-ms"),
                home_regions: get_home_regions(matches),
            };
            apply_change(connection, matches, Change::PutModel(model), format).await
        }
        Some(("remove", matches)) => {
            apply_change(
                connection,
                matches,
                Change::RemoveModel(get_text(matches, "name")),
                format,
            )
            .await
        }
        Some(("list", _)) => {
            let models = connection.fetch_configuration().await?.models;
            let value: Vec<Value> = models.iter().map(to_json).collect();
            let rows: Vec<_> = models.iter().map(to_row).collect();
            format.print(&Value::from(value), &TITLES, &rows);
            Ok(())
        }
        _ => bail!("no such subcommand"),
    }
}

/// Converts a model to JSON.
pub(super) fn to_json(model: &Model) -> Value {
    json!({
        "name": model.name,
        "max_prompt_tokens": model.max_prompt_tokens,
        "max_output_tokens": model.max_output_tokens,
        "time_limit_ms": model.time_limit_ms,
        "home_regions": model.home_regions,
    })
}

fn to_row(model: &Model) -> Vec<String> {
    vec![
        model.name.clone(),
        model.max_prompt_tokens.to_string(),
        model.max_output_tokens.to_string(),
        model.time_limit_ms.to_string(),
        model.home_regions.join(" "),
    ]
}
