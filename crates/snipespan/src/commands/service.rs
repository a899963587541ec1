//! `snipespan service`: creates, removes and lists plain services.

use clap::ArgMatches;
use eyre::Result;
use eyre::bail;
use serde_json::Value;
use serde_json::json;
use snipespan_admin::v1::Service;
use snipespan_admin::v1::change::Change;

use crate::commands::apply_change;
use crate::commands::get_number;
use crate::commands::get_text;
use crate::connection::Connection;
use crate::output::Format;

const TITLES: [&str; 3] = ["SERVICE", "TIME LIMIT MS", "REPEATABLE"];

/// Runs the subcommand and prints its result.
///
/// # Errors
/// If the call fails.
pub async fn run(connection: &mut Connection, matches: &ArgMatches, format: Format) -> Result<()> {
    match matches.subcommand() {
        Some(("put", matches)) => {
            let prefixes = matches.get_many::<String>("repeatable-prefix").unwrap_or_default();
            let service = Service {
                name: get_text(matches, "name"),
                time_limit_ms: get_number(matches, "time-limit-ms"),
                repeatable_prefixes: prefixes.cloned().collect(),
            };
            apply_change(connection, matches, Change::PutService(service), format).await
        }
        Some(("remove", matches)) => {
            apply_change(
                connection,
                matches,
                Change::RemoveService(get_text(matches, "name")),
                format,
            )
            .await
        }
        Some(("list", _)) => {
            let services = connection.fetch_configuration().await?.services;
            let value: Vec<Value> = services.iter().map(to_json).collect();
            let rows: Vec<_> = services.iter().map(to_row).collect();
            format.print(&Value::from(value), &TITLES, &rows);
            Ok(())
        }
        _ => bail!("no such subcommand"),
    }
}

/// Converts a plain service to JSON.
pub(super) fn to_json(service: &Service) -> Value {
    json!({
        "name": service.name,
        "time_limit_ms": service.time_limit_ms,
        "repeatable_prefixes": service.repeatable_prefixes,
    })
}

fn to_row(service: &Service) -> Vec<String> {
    vec![
        service.name.clone(),
        service.time_limit_ms.to_string(),
        service.repeatable_prefixes.join(" "),
    ]
}
