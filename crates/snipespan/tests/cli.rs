//! Tests of the command line against a running deployment.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::process::Output;

use serde_json::Value;
use snipespan_demo::fleet::Fleet;
use snipespan_demo::fleet::FleetConfig;
use snipespan_fakes::deployment::OPERATOR_TOKEN;
use snipespan_fakes::platform::PlatformFaults;
use tokio::process::Command;

/// The command line and the deployment that it operates.
struct Cli {
    fleet: Fleet,
}

impl Cli {
    async fn start() -> Self {
        let config = FleetConfig::with_engines(2);
        let fleet = Fleet::start(config).await.expect("the fleet starts");
        std::fs::write(fleet.folder().join("token"), OPERATOR_TOKEN)
            .expect("the token file is written");
        std::fs::write(fleet.folder().join("bad-token"), "wrong")
            .expect("the token file is written");
        Self { fleet }
    }

    async fn run_with_token(&self, token: &str, args: &[&str]) -> Output {
        let folder = self.fleet.folder();
        Command::new(env!("CARGO_BIN_EXE_snipespan"))
            .env("SNIPESPAN_ENTRY", self.fleet.operators_url())
            .env("SNIPESPAN_CA", folder.join("ca.pem"))
            .env("SNIPESPAN_TOKEN_FILE", folder.join(token))
            .args(args)
            .output()
            .await
            .expect("the command line runs")
    }

    async fn run(&self, args: &[&str]) -> Output {
        self.run_with_token("token", args).await
    }

    async fn json(&self, args: &[&str]) -> Value {
        let output = self.run(&[&["--output", "json"], args].concat()).await;
        assert!(output.status.success(), "{output:?}");
        serde_json::from_slice(&output.stdout).expect("the output is JSON")
    }
}

/// Guards against a change of an account that does not take effect or cannot be looked up by its
/// id, and against the removal of an unknown account without an error.
#[tokio::test(flavor = "multi_thread")]
async fn account_put_list_remove() {
    let cli = Cli::start().await;
    let digest = "ab".repeat(32);
    let put = ["account", "put", "parish", "--api-key-sha256", &digest, "--weight", "3"];
    // The start of the fleet makes revisions 1 to 4: an account, a plain service and two models.
    let created = cli.json(&put).await;
    assert_eq!(created["revision"], 5);
    let change_id = created["change_id"].as_str().expect("the change has an id");
    assert_eq!(cli.json(&["change", "show", change_id]).await["revision"], 5);
    let current_revision = async || cli.json(&["configuration"]).await["revision"].as_u64();
    while current_revision().await < Some(5) {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let accounts = cli.json(&["account", "list"]).await;
    let parish = accounts.as_array().expect("a list").iter().find(|a| a["name"] == "parish");
    assert_eq!(parish.expect("the account is listed")["weight"], 3);
    let removed = cli.run(&["account", "remove", "parish"]).await;
    assert!(removed.status.success(), "{removed:?}");
    let second_removal = cli.run(&["account", "remove", "parish"]).await;
    assert_eq!(second_removal.status.code(), Some(3), "{second_removal:?}");
    assert!(String::from_utf8_lossy(&second_removal.stderr).contains("\"parish\" does not exist"));
}

/// Guards against an exit code that does not tell whether the change was made: 2 for invalid
/// arguments, 3 for an unknown token or a store that is down, 4 for a conflict, 6 for an
/// unreachable entry.
#[tokio::test(flavor = "multi_thread")]
async fn exit_codes() {
    let cli = Cli::start().await;
    let unknown_token = cli.run_with_token("bad-token", &["configuration"]).await;
    assert_eq!(unknown_token.status.code(), Some(3), "{unknown_token:?}");
    let conflict = cli.run(&["service", "put", "x", "--base-revision", "1"]).await;
    assert_eq!(conflict.status.code(), Some(4), "{conflict:?}");
    let usage = cli.run(&["account", "put"]).await;
    assert_eq!(usage.status.code(), Some(2), "{usage:?}");
    let unreachable = cli.run(&["--entry", "https://127.0.0.1:1", "configuration"]).await;
    assert_eq!(unreachable.status.code(), Some(6), "{unreachable:?}");
    cli.fleet.platform.set_faults(PlatformFaults { is_down: true, ..Default::default() });
    let store_down = cli.run(&["service", "put", "x"]).await;
    assert_eq!(store_down.status.code(), Some(3), "{store_down:?}");
}

/// Guards against a list that lacks backend servers, and against a drained one that is not shown as
/// leaving.
#[tokio::test(flavor = "multi_thread")]
async fn backend_server_list_and_drain() {
    let cli = Cli::start().await;
    // The fleet has two model engines and a plain service.
    let servers = cli.json(&["backend-server", "list"]).await;
    assert_eq!(servers.as_array().map(Vec::len), Some(3));
    let text = cli.run(&["backend-server", "list"]).await;
    assert!(String::from_utf8_lossy(&text.stdout).contains("model drafts"), "{text:?}");
    cli.json(&["backend-server", "drain", "vm-engine-0"]).await;
    let is_leaving = async || {
        let servers = cli.json(&["backend-server", "list"]).await;
        let servers = servers.as_array().cloned().unwrap_or_default();
        servers.iter().any(|s| s["vm"] == "vm-engine-0" && s["state"] == "leaving")
    };
    while !is_leaving().await {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

/// Guards against a help text, a report or a completion script that lacks one of its parts.
#[tokio::test(flavor = "multi_thread")]
async fn help_report_and_completions() {
    let cli = Cli::start().await;
    let help = cli.run(&["--help"]).await;
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    for part in ["Exit codes", "--token-file", "backend-server", "report"] {
        assert!(help.contains(part), "the help does not contain {part:?}");
    }
    let report = cli.run(&["report"]).await;
    let report = String::from_utf8_lossy(&report.stdout).into_owned();
    assert!(report.contains("Front desk") && report.contains("Back office"), "{report}");
    let completions = cli.run(&["completions", "bash"]).await;
    assert!(String::from_utf8_lossy(&completions.stdout).contains("_snipespan"));
}

/// Guards against an evacuation that the list of data centres does not show, and against a misspelt
/// name that is accepted or refused without the known names.
#[tokio::test(flavor = "multi_thread")]
async fn data_centre_evacuate_and_restore() {
    let cli = Cli::start().await;
    let listed = cli.json(&["data-centre", "list"]).await;
    let name = listed[0]["name"].as_str().expect("a data centre is listed").to_owned();
    assert_eq!(listed[0]["evacuated"], false, "{listed}");
    let misspelt = cli.run(&["data-centre", "evacuate", "nowhere"]).await;
    assert_eq!(misspelt.status.code(), Some(3), "{misspelt:?}");
    assert!(String::from_utf8_lossy(&misspelt.stderr).contains(&name), "{misspelt:?}");
    cli.json(&["data-centre", "evacuate", &name]).await;
    let is_evacuated =
        async || cli.json(&["data-centre", "list"]).await[0]["evacuated"].as_bool() == Some(true);
    while !is_evacuated().await {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    assert_eq!(cli.json(&["configuration"]).await["evacuated"][0], name.as_str());
    cli.json(&["data-centre", "restore", &name]).await;
    while is_evacuated().await {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let again = cli.run(&["data-centre", "restore", &name]).await;
    assert_eq!(again.status.code(), Some(3), "{again:?}");
    assert!(String::from_utf8_lossy(&again.stderr).contains("is not evacuated"), "{again:?}");
}

/// A file that the check accepts, with an account in JSON in place of `ACCOUNT`.
const CHECKED_FILE: &str = r#"{"revision": 5, "accounts": [ACCOUNT], "models": [],
    "services": [{"name": "orders", "time_limit_ms": 30000}],
    "data_centres": [{"name": "graz-1", "region": "north"}]}"#;

const CLEAN_ACCOUNT: &str = r#"{"name": "desk", "api_key_sha256":
    ["abababababababababababababababababababababababababababababababab"],
    "priority": 1, "weight": 1, "max_open": 5}"#;

/// Guards against a check that needs a connection, an exit code that does not tell clean files,
/// findings and unreadable files apart, and an error without its place.
#[rstest::rstest]
#[case::clean(CLEAN_ACCOUNT, 0, "findings: 0")]
#[case::finding(
    r#"{"name": "desk", "priority": 1, "weight": 1, "max_open": 5}"#,
    1,
    "never matches: account \"desk\""
)]
#[case::wrong_type(
    r#"{"name": "desk", "priority": -1, "weight": 1, "max_open": 5}"#,
    1,
    "error: accounts[0].priority: must be a whole number from 0, of at most 8 bits, not -1"
)]
#[case::missing(
    r#"{"name": "desk", "priority": 1, "max_open": 5}"#,
    1,
    "error: accounts[0].weight: is missing"
)]
#[case::unknown_field(
    r#"{"name": "desk", "priority": 1, "weight": 1, "max_open": 5, "x": 1}"#,
    1,
    "error: accounts[0].x: unknown field"
)]
#[case::not_json("{", 2, "not a configuration")]
#[tokio::test]
async fn configuration_check(#[case] account: &str, #[case] code: i32, #[case] part: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("configuration.json");
    let text = CHECKED_FILE.replace("ACCOUNT", account);
    std::fs::write(&path, text).expect("the file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_snipespan"));
    let output = command.args(["configuration", "check"]).arg(&path).output().await;
    let output = output.expect("the command line runs");
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let text = [output.stdout, output.stderr].concat();
    assert!(String::from_utf8_lossy(&text).contains(part), "{}", String::from_utf8_lossy(&text));
}

/// Guards against a configuration in force that its own check rejects, and against a comparison that
/// does not show a change made since.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_check_against() {
    let cli = Cli::start().await;
    let [older, newer] = ["older.json", "newer.json"].map(|name| cli.fleet.folder().join(name));
    let save = async |path: &std::path::Path| {
        let printed = cli.json(&["configuration"]).await;
        std::fs::write(path, printed.to_string()).expect("the file is written");
    };
    save(&older).await;
    cli.json(&["service", "put", "late", "--time-limit-ms", "7"]).await;
    while cli.json(&["configuration"]).await["revision"] != 5 {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    save(&newer).await;
    let path = |path: &std::path::Path| path.display().to_string();
    let args = ["configuration", "check", &path(&newer), "--against", &path(&older), "--json"];
    let report = cli.json(&args).await;
    assert_eq!(report["findings"].as_array().map(Vec::len), Some(0), "{report}");
    assert_eq!(report["differences"][0]["change"], "added", "{report}");
    assert_eq!(report["differences"][0]["place"], "service \"late\"", "{report}");
}
