//! `snipespan data-centre`: lists, evacuates and restores data centres.

use clap::ArgMatches;
use eyre::Result;
use eyre::bail;
use serde_json::Value;
use serde_json::json;
use snipespan_admin::v1::DataCentre;
use snipespan_admin::v1::change::Change;

use crate::commands::apply_change;
use crate::commands::get_text;
use crate::connection::Connection;
use crate::output::Format;

const TITLES: [&str; 6] =
    ["DATA CENTRE", "REGION", "EVACUATED", "BACKEND SERVERS", "CONNECTED", "OPEN"];

/// Runs the subcommand and prints its result.
///
/// # Errors
/// If the call fails.
pub async fn run(connection: &mut Connection, matches: &ArgMatches, format: Format) -> Result<()> {
    match matches.subcommand() {
        Some(("list", _)) => {
            let data_centres = connection.list_data_centres().await?;
            let value: Vec<Value> = data_centres.iter().map(to_json).collect();
            let rows: Vec<_> = data_centres.iter().map(to_row).collect();
            format.print(&Value::from(value), &TITLES, &rows);
            Ok(())
        }
        Some(("evacuate", matches)) => {
            let change = Change::Evacuate(get_text(matches, "name"));
            apply_change(connection, matches, change, format).await
        }
        Some(("restore", matches)) => {
            let change = Change::Restore(get_text(matches, "name"));
            apply_change(connection, matches, change, format).await
        }
        _ => bail!("no such subcommand"),
    }
}

fn to_json(data_centre: &DataCentre) -> Value {
    json!({
        "name": data_centre.name,
        "region": data_centre.region,
        "evacuated": data_centre.evacuated,
        "backend_servers": data_centre.backend_servers,
        "connected": data_centre.connected,
        "open": data_centre.open,
    })
}

fn to_row(data_centre: &DataCentre) -> Vec<String> {
    vec![
        data_centre.name.clone(),
        data_centre.region.clone().unwrap_or_else(|| "-".to_owned()),
        data_centre.evacuated.to_string(),
        data_centre.backend_servers.to_string(),
        data_centre.connected.to_string(),
        data_centre.open.to_string(),
    ]
}
