//! Short runs of the soak test with fixed seeds. A seed that has failed stays as a case, with its
//! cause.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::path::Path;
use std::time::Duration;

use rstest::rstest;
use snipespan_soak::plan::SoakConfig;
use snipespan_soak::run;
use tempfile::TempDir;

#[rstest]
// Failed when a client sent its next request on a connection that was not ready for one yet.
#[case::unready_connection(4, 12, 8)]
#[case::usual(11, 8, 6)]
// Failed when a backend server that said it was leaving was still used.
#[case::leaving(1050, 12, 10)]
// Failed when a backend server that refused for a time was asked again at once.
#[case::refusing(1019, 12, 10)]
// Failed when each backend server in turn was given a prompt with a part that ends it.
#[case::deadly_part(1067, 12, 10)]
#[tokio::test(flavor = "multi_thread")]
async fn soak_seed(#[case] seed: u64, #[case] clients: usize, #[case] seconds: u64) {
    let fault_duration = Duration::from_secs(seconds);
    let config = SoakConfig { gateways: 3, replicas: 4, clients, fault_duration };
    let folder = TempDir::new().expect("a temporary folder is created");
    let daemon = Path::new(env!("CARGO_BIN_EXE_snipespand"));
    let outcome = run::run_seed(seed, config, daemon, folder.path())
        .await
        .expect("the soak test runs to its end");
    assert_eq!(outcome.violations, []);
    // A run that serves hardly any request would pass the checks above without testing them.
    assert!(
        outcome.served * 2 > outcome.requests,
        "not more than half of the requests were served: {outcome:?}"
    );
}
