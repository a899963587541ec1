//! Tests of the command line against an entry.
#![allow(clippy::expect_used, reason = "a test stops at what it did not expect")]

use std::process::Output;

use serde_json::Value;
use snipespan_demo::fleet::Fleet;
use snipespan_demo::fleet::FleetConfig;
use snipespan_fakes::deployment::OPERATOR_TOKEN;
use snipespan_fakes::platform::PlatformFaults;
use tokio::process::Command;

struct Cli {
    fleet: Fleet,
}

impl Cli {
    async fn start() -> Self {
        let config = FleetConfig::with_engines(2);
        let fleet = Fleet::start(config).await.expect("the fleet starts");
        std::fs::write(fleet.folder().join("token"), OPERATOR_TOKEN).expect("it is written");
        std::fs::write(fleet.folder().join("bad-token"), "wrong").expect("it is written");
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
            .expect("it runs")
    }

    async fn run(&self, args: &[&str]) -> Output {
        self.run_with_token("token", args).await
    }

    async fn json(&self, args: &[&str]) -> Value {
        let output = self.run(&[&["--output", "json"], args].concat()).await;
        assert!(output.status.success(), "{output:?}");
        serde_json::from_slice(&output.stdout).expect("it prints JSON")
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn account_put_list_remove() {
    let cli = Cli::start().await;
    let digest = "ab".repeat(32);
    let put = ["account", "put", "parish", "--api-key-sha256", &digest, "--weight", "3"];
    let made = cli.json(&put).await;
    assert_eq!(made["revision"], 5);
    let change_id = made["change_id"].as_str().expect("an id");
    assert_eq!(cli.json(&["change", "show", change_id]).await["revision"], 5);
    let in_force = async || cli.json(&["configuration"]).await["revision"].as_u64();
    while in_force().await < Some(5) {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let accounts = cli.json(&["account", "list"]).await;
    let parish = accounts.as_array().expect("a list").iter().find(|a| a["name"] == "parish");
    assert_eq!(parish.expect("it is there")["weight"], 3);
    let removed = cli.run(&["account", "remove", "parish"]).await;
    assert!(removed.status.success(), "{removed:?}");
    let again = cli.run(&["account", "remove", "parish"]).await;
    assert_eq!(again.status.code(), Some(3), "{again:?}");
    assert!(String::from_utf8_lossy(&again.stderr).contains("\"parish\" does not exist"));
}

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
    let down = cli.run(&["service", "put", "x"]).await;
    assert_eq!(down.status.code(), Some(3), "{down:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_list_and_drain() {
    let cli = Cli::start().await;
    let servers = cli.json(&["backend-server", "list"]).await;
    assert_eq!(servers.as_array().map(Vec::len), Some(3));
    let text = cli.run(&["backend-server", "list"]).await;
    assert!(String::from_utf8_lossy(&text.stdout).contains("model drafts"), "{text:?}");
    cli.json(&["backend-server", "drain", "vm-engine-0"]).await;
    let state = async || {
        let servers = cli.json(&["backend-server", "list"]).await;
        let servers = servers.as_array().cloned().unwrap_or_default();
        servers.iter().any(|s| s["vm"] == "vm-engine-0" && s["state"] == "leaving")
    };
    while !state().await {
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn help_report_and_completions() {
    let cli = Cli::start().await;
    let help = cli.run(&["--help"]).await;
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    for part in ["Exit codes", "--token-file", "backend-server", "report"] {
        assert!(help.contains(part), "{part} is not in the help");
    }
    let report = cli.run(&["report"]).await;
    let report = String::from_utf8_lossy(&report.stdout).into_owned();
    assert!(report.contains("Front desk") && report.contains("Back office"), "{report}");
    let completions = cli.run(&["completions", "bash"]).await;
    assert!(String::from_utf8_lossy(&completions.stdout).contains("_snipespan"));
}
