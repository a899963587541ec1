//! `snipespan account`: creates, removes and lists client accounts.

use std::fs;
use std::path::PathBuf;

use clap::ArgMatches;
use eyre::Context;
use eyre::Result;
use eyre::bail;
use eyre::ensure;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use snipespan_admin::v1::Account;
use snipespan_admin::v1::change::Change;

use crate::commands::apply_change;
use crate::commands::get_home_regions;
use crate::commands::get_number;
use crate::commands::get_text;
use crate::connection::Connection;
use crate::output::Format;

const TITLES: [&str; 7] =
    ["ACCOUNT", "KEYS", "PRIORITY", "WEIGHT", "MAX OPEN", "DISABLED", "HOME REGIONS"];

/// Runs the subcommand and prints its result.
///
/// # Errors
/// If an argument is invalid, a key file cannot be read, or the call fails.
pub async fn run(connection: &mut Connection, matches: &ArgMatches, format: Format) -> Result<()> {
    match matches.subcommand() {
        Some(("put", matches)) => {
            apply_change(connection, matches, Change::PutAccount(parse_account(matches)?), format)
                .await
        }
        Some(("remove", matches)) => {
            apply_change(
                connection,
                matches,
                Change::RemoveAccount(get_text(matches, "name")),
                format,
            )
            .await
        }
        Some(("list", _)) => {
            let accounts = connection.fetch_configuration().await?.accounts;
            let value: Vec<Value> = accounts.iter().map(to_json).collect();
            let rows: Vec<_> = accounts.iter().map(to_row).collect();
            format.print(&Value::from(value), &TITLES, &rows);
            Ok(())
        }
        _ => bail!("no such subcommand"),
    }
}

/// Builds an account from the arguments; API keys are reduced to their SHA-256 digests.
fn parse_account(matches: &ArgMatches) -> Result<Account> {
    let mut credential_digests = Vec::new();
    for path in matches.get_many::<PathBuf>("api-key-file").unwrap_or_default() {
        let key = fs::read_to_string(path)
            .wrap_err_with(|| format!("--api-key-file: could not read {}", path.display()))?;
        credential_digests.push(Sha256::digest(key.trim()).to_vec());
    }
    for digest in matches.get_many::<String>("api-key-sha256").unwrap_or_default() {
        let bytes =
            hex::decode(digest).wrap_err("--api-key-sha256 must be 64 hexadecimal digits")?;
        ensure!(
            bytes.len() == 32,
            "--api-key-sha256 must be 64 hexadecimal digits, not {}",
            digest.len()
        );
        credential_digests.push(bytes);
    }
    Ok(Account {
        name: get_text(matches, "name"),
        credential_digests,
        priority: u32::try_from(get_number(matches, "priority"))?,
        weight: u32::try_from(get_number(matches, "weight"))?,
        max_open: u32::try_from(get_number(matches, "max-open"))?,
        disabled: matches.get_flag("disabled"),
        home_regions: get_home_regions(matches),
    })
}

/// Converts an account to JSON.
pub(super) fn to_json(account: &Account) -> Value {
    json!({
        "name": account.name,
        "api_key_sha256": account.credential_digests.iter().map(hex::encode).collect::<Vec<_>>(),
        "priority": account.priority,
        "weight": account.weight,
        "max_open": account.max_open,
        "disabled": account.disabled,
        "home_regions": account.home_regions,
    })
}

fn to_row(account: &Account) -> Vec<String> {
    vec![
        account.name.clone(),
        account.credential_digests.len().to_string(),
        account.priority.to_string(),
        account.weight.to_string(),
        account.max_open.to_string(),
        account.disabled.to_string(),
        account.home_regions.join(" "),
    ]
}
