//! `snipespan configuration`: shows the configuration in force at the entry.

pub mod check;

use eyre::Result;
use serde_json::Value;
use serde_json::json;

use crate::commands::account;
use crate::commands::model;
use crate::commands::service;
use crate::connection::Connection;
use crate::output::Format;

/// Runs the subcommand and prints its result.
///
/// # Errors
/// If the call fails.
pub async fn run(connection: &mut Connection, format: Format) -> Result<()> {
    let configuration = connection.fetch_configuration().await?;
    let data_centres = connection.list_data_centres().await?;
    let data_centres: Vec<Value> =
        data_centres.iter().map(|row| json!({"name": row.name, "region": row.region})).collect();
    let accounts: Vec<Value> = configuration.accounts.iter().map(account::to_json).collect();
    let models: Vec<Value> = configuration.models.iter().map(model::to_json).collect();
    let services: Vec<Value> = configuration.services.iter().map(service::to_json).collect();
    let row = vec![
        configuration.revision.to_string(),
        accounts.len().to_string(),
        models.len().to_string(),
        services.len().to_string(),
        configuration.drained.join(" "),
        configuration.evacuated.join(" "),
    ];
    let value = json!({
        "revision": configuration.revision,
        "accounts": accounts,
        "models": models,
        "services": services,
        "drained": configuration.drained,
        "evacuated": configuration.evacuated,
        "data_centres": data_centres,
    });
    let titles = ["REVISION", "ACCOUNTS", "MODELS", "SERVICES", "DRAINED", "EVACUATED"];
    format.print(&value, &titles, &[row]);
    Ok(())
}
