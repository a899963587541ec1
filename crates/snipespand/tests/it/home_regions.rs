//! Models and accounts have home regions, outside which no entry sends their requests.

use std::time::Duration;
use std::time::Instant;

use snipespan_admin::v1;
use snipespan_admin::v1::change::Change;
use snipespan_core::result_code::ResultCode;
use snipespan_platform::v1::VmState;

use crate::harness::API_KEY;
use crate::harness::Fleet;
use crate::harness::MODEL;
use crate::harness::account;
use crate::harness::caller;
use crate::harness::chat;
use crate::harness::model;

/// A model of the region `south` must be served there alone, although the entry's own data centre
/// is in `north`; with an account of `north` nothing is left, and a request must be refused at once.
#[tokio::test(flavor = "multi_thread")]
async fn home_region_of_model_and_account() {
    let mut fleet = Fleet::start(1, 2).await;
    let address = fleet.sides[2].address("side", "entries");
    fleet.env.list_vm_in("graz-2", "vm-engine-1", &address, VmState::Live);
    let regions = "[data_centres]\ngraz-1 = north\ngraz-2 = south";
    let entry = fleet.env.start_entry("vm-entry-regions", regions);
    fleet.wait_for_ready(&entry).await;
    let mut operator = fleet.env.connect_operator(&entry).await;
    let south = v1::Model { home_regions: vec!["south".to_owned()], ..model(MODEL) };
    let revision = operator.apply_change("model", None, Change::PutModel(south)).await;
    operator.wait_for_revision(revision.expect("the change is accepted")).await;
    let started = |index: usize| fleet.engines[index].log().started.len();
    let before = (started(0), started(1));
    for _ in 0..10 {
        assert!(caller(&entry).chat(&chat("hello", 2)).await.is_complete);
    }
    assert_eq!((started(0), started(1)), (before.0, before.1 + 10));
    let north = v1::Account { home_regions: vec!["north".to_owned()], ..account("desk", API_KEY) };
    let revision = operator.apply_change("account", None, Change::PutAccount(north)).await;
    operator.wait_for_revision(revision.expect("the change is accepted")).await;
    let sent = Instant::now();
    let outcome = caller(&entry).chat(&chat("hello", 2)).await;
    assert_eq!((outcome.status, outcome.code), (503, Some(ResultCode::NoBackendServer)));
    assert!(sent.elapsed() < Duration::from_secs(2), "refused after {:?}", sent.elapsed());
}
