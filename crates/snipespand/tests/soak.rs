//! A short run of the soak. Seeds that ever failed stay here, each with its cause.
#![allow(clippy::expect_used, reason = "a test stops at what it did not expect")]

use std::path::Path;
use std::time::Duration;

use rstest::rstest;
use snipespan_soak::plan::Size;
use snipespan_soak::run;
use tempfile::TempDir;

const SIZE: Size = Size { gateways: 3, replicas: 4, clients: 8, time: Duration::from_secs(6) };

#[rstest]
// A client's next request came before its connection was ready for one.
#[case::unready_connection(4)]
#[case::usual(11)]
#[tokio::test(flavor = "multi_thread")]
async fn soak_seed(#[case] seed: u64) {
    let folder = TempDir::new().expect("a folder");
    let daemon = Path::new(env!("CARGO_BIN_EXE_snipespand"));
    let outcome = run::run(seed, SIZE, daemon, folder.path()).await.expect("it runs");
    assert_eq!(outcome.violations, []);
    assert!(outcome.served * 2 > outcome.requests, "{outcome:?}");
}
