//! `snipespan backend-server`: lists, drains and undrains backend servers.

use clap::ArgMatches;
use eyre::Result;
use eyre::bail;
use serde_json::Value;
use serde_json::json;
use snipespan_admin::v1::BackendServer;
use snipespan_admin::v1::BackendServerState;
use snipespan_admin::v1::change::Change;

use crate::commands::apply_change;
use crate::commands::get_text;
use crate::connection::Connection;
use crate::output::Format;

const TITLES: [&str; 9] = [
    "VM",
    "DATA CENTRE",
    "STATE",
    "SERVES",
    "OPEN",
    "RUNNING",
    "QUEUED TOKENS",
    "FREE TOKENS",
    "DRAINED",
];

/// Runs the subcommand and prints its result.
///
/// # Errors
/// If the call fails.
pub async fn run(connection: &mut Connection, matches: &ArgMatches, format: Format) -> Result<()> {
    match matches.subcommand() {
        Some(("list", _)) => {
            let servers = connection.list_backend_servers().await?;
            let value: Vec<Value> = servers.iter().map(to_json).collect();
            let rows: Vec<_> = servers.iter().map(to_row).collect();
            format.print(&Value::from(value), &TITLES, &rows);
            Ok(())
        }
        Some(("drain", matches)) => {
            apply_change(connection, matches, Change::Drain(get_text(matches, "vm")), format).await
        }
        Some(("undrain", matches)) => {
            apply_change(connection, matches, Change::Undrain(get_text(matches, "vm")), format)
                .await
        }
        _ => bail!("no such subcommand"),
    }
}

/// Returns the name of the server's state.
fn state_name(server: &BackendServer) -> &'static str {
    match BackendServerState::try_from(server.state) {
        Ok(BackendServerState::Connecting) => "connecting",
        Ok(BackendServerState::Ready) => "ready",
        Ok(BackendServerState::Leaving) => "leaving",
        Ok(BackendServerState::Unspecified) | Err(_) => "unknown",
    }
}

fn to_json(server: &BackendServer) -> Value {
    json!({
        "vm": server.vm,
        "data_centre": server.data_centre,
        "address": server.address,
        "state": state_name(server),
        "targets": server.targets,
        "open": server.open,
        "running": server.running,
        "queued_tokens": server.queued_tokens,
        "free_memory_tokens": server.free_memory_tokens,
        "drained": server.drained,
    })
}

fn to_row(server: &BackendServer) -> Vec<String> {
    vec![
        server.vm.clone(),
        server.data_centre.clone(),
        state_name(server).to_owned(),
        server.targets.join(", "),
        server.open.to_string(),
        server.running.to_string(),
        server.queued_tokens.to_string(),
        server.free_memory_tokens.to_string(),
        server.drained.to_string(),
    ]
}
