//! Operators evacuate a data centre: no entry sends it new work from two seconds after the store's
//! acknowledgement, work in progress ends, and with nothing left requests are refused at once.

use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use snipespan_admin::v1;
use snipespan_admin::v1::change::Change;
use snipespan_core::result_code::ResultCode;
use snipespan_fakes::model_engine::EngineConfig;
use snipespan_fakes::model_engine::expected_answer;
use snipespan_fakes::platform::PlatformFaults;
use snipespan_platform::v1::VmState;
use tonic::Code;

use crate::harness::Fleet;
use crate::harness::Operator;
use crate::harness::Process;
use crate::harness::caller;
use crate::harness::charge;
use crate::harness::chat;
use crate::harness::wait_until;

/// Maximum time from the acknowledgement of an evacuation to the last new dispatch.
const EVACUATION_LIMIT: Duration = Duration::from_secs(2);

/// Tokens of an answer that is in progress during an evacuation, about 0.6 s.
const OUTPUT_TOKENS: u64 = 300;

/// Starts two entries and two engines, the second engine in the data centre `graz-2`.
async fn start_two_data_centres() -> Fleet {
    let mut fleet = Fleet::start_with(2, 2, EngineConfig::default()).await;
    let address = fleet.sides[2].address("side", "entries");
    fleet.env.list_vm_in("graz-2", "vm-engine-1", &address, VmState::Live);
    for entry in &fleet.entries {
        let mut operator = fleet.env.connect_operator(entry).await;
        let started = Instant::now();
        while data_centre(&mut operator, "graz-2").await.is_none_or(|row| row.connected != 1) {
            assert!(started.elapsed() < Duration::from_secs(30), "graz-2 is not in the list");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    fleet
}

async fn data_centre(operator: &mut Operator, name: &str) -> Option<v1::DataCentre> {
    let req = operator.authorized_request(v1::ListDataCentresRequest {});
    let list = operator.client.list_data_centres(req).await.expect("data centres are listed");
    list.into_inner().data_centres.into_iter().find(|row| row.name == name)
}

/// Sends `count` requests to an entry and asserts that all are complete.
async fn assert_served(entry: &Process, count: usize) {
    for _ in 0..count {
        let outcome = caller(entry).chat(&chat("hello", 2)).await;
        assert!(outcome.is_complete, "{outcome:?}");
    }
}

/// Under steady load on both entries, an evacuated engine must get no new work from two seconds
/// after the acknowledgement on, its answers in progress must end, and after the restoration it
/// must get work again.
#[tokio::test(flavor = "multi_thread")]
async fn evacuate_under_load() {
    let fleet = start_two_data_centres().await;
    // Both entries prefer the engine of their own data centre, so that all work is there.
    let started = |index: usize| fleet.engines[index].log().started.len();
    let load = fleet.entries.iter().map(|entry| {
        let caller = caller(entry);
        let send = move |index: usize| {
            let caller = caller.clone();
            tokio::spawn(async move {
                let prompt = format!("prompt {index}");
                tokio::time::sleep(Duration::from_millis(50) * index as u32).await;
                (prompt.clone(), caller.chat(&chat(&prompt, OUTPUT_TOKENS)).await)
            })
        };
        (0..80).map(send).collect::<Vec<_>>()
    });
    let load: Vec<_> = load.flatten().collect();
    wait_until("graz-1 has work", || async { started(0) > 0 }).await;
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let change = Change::Evacuate("graz-1".to_owned());
    operator.apply_change("evacuate", None, change).await.expect("the change is accepted");
    tokio::time::sleep(EVACUATION_LIMIT).await;
    let (at_limit, elsewhere) = (started(0), started(1));
    for (index, sent) in load.into_iter().enumerate() {
        let (prompt, outcome) = sent.await.expect("the call ends");
        assert!(outcome.is_complete, "{index}: {outcome:?}");
        assert_eq!(outcome.text, expected_answer(&prompt, OUTPUT_TOKENS));
    }
    assert_eq!(started(0), at_limit, "new work in an evacuated data centre");
    assert!(started(1) > elsewhere, "the load went on after the limit");
    let change = Change::Restore("graz-1".to_owned());
    let revision =
        operator.apply_change("restore", None, change).await.expect("the change is accepted");
    operator.wait_for_revision(revision).await;
    assert_served(&fleet.entries[0], 1).await;
    assert!(started(0) > at_limit, "no work after the restoration");
}

/// With all data centres evacuated, chats and charges must be refused at once as not run with a
/// `Retry-After`, and a charge refused that way must be able to run later under the same key.
#[tokio::test(flavor = "multi_thread")]
async fn evacuate_all() {
    let fleet = Fleet::start(1, 1).await;
    let entry = &fleet.entries[0];
    let mut operator = fleet.env.connect_operator(entry).await;
    let change = Change::Evacuate("graz-1".to_owned());
    let revision = operator.apply_change("all", None, change).await.expect("it is accepted");
    operator.wait_for_revision(revision).await;
    assert!(data_centre(&mut operator, "graz-1").await.is_some_and(|row| row.evacuated));
    let sent = Instant::now();
    let outcome = caller(entry).chat(&chat("hello", 2)).await;
    assert_eq!((outcome.status, outcome.code), (503, Some(ResultCode::NoBackendServer)));
    let refused = caller(entry).call(&charge("order-1")).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert!(sent.elapsed() < Duration::from_secs(2), "refused after {:?}", sent.elapsed());
    assert_eq!(fleet.service.executions().get("order-1"), None);
    let change = Change::Restore("graz-1".to_owned());
    let revision = operator.apply_change("back", None, change).await.expect("it is accepted");
    operator.wait_for_revision(revision).await;
    let charged = caller(entry).call(&charge("order-1")).await;
    assert_eq!(charged.status, 200, "{charged:?}");
}

/// A misspelt name must be refused with the known names, the name of a change that was accepted
/// must not be checked again on a retry, and a lost answer of the store must not lose the change.
#[tokio::test(flavor = "multi_thread")]
async fn evacuate_unknown_and_retry() {
    let fleet = start_two_data_centres().await;
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let misspelt = Change::Evacuate("graz-3".to_owned());
    let refused = operator.apply_change("typo", None, misspelt).await.expect_err("refused");
    assert_eq!(refused.code(), Code::InvalidArgument);
    assert!(refused.message().contains("graz-1, graz-2"), "{refused:?}");
    let faults = PlatformFaults { lose_answers: 1, ..Default::default() };
    fleet.env.platform.set_faults(faults);
    let change = Change::Evacuate("graz-2".to_owned());
    let revision = operator.apply_change("lost", None, change.clone()).await.expect("accepted");
    let mut other = fleet.env.connect_operator(&fleet.entries[1]).await;
    assert_eq!(other.apply_change("lost", None, change).await.expect("a retry"), revision);
    // An entry that has heard of no VM of `graz-2` repeats the answer to an accepted change.
    other.wait_for_revision(revision).await;
    let restore = Change::Restore("graz-2".to_owned());
    operator.apply_change("restore", None, restore.clone()).await.expect("accepted");
    let again = operator.apply_change("again", None, restore).await.expect_err("refused");
    assert!(again.message().contains("is not evacuated"), "{again:?}");
}

/// Store down after an evacuation: it stays in force, and an entry that starts then learns it from
/// a side process before it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn evacuate_then_store_down() {
    let fleet = start_two_data_centres().await;
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let change = Change::Evacuate("graz-1".to_owned());
    let revision = operator.apply_change("evacuate", None, change).await.expect("accepted");
    fleet.env.connect_operator(&fleet.entries[1]).await.wait_for_revision(revision).await;
    // The side processes have the change within the limit for all processes.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let down = PlatformFaults { is_down: true, ..Default::default() };
    fleet.env.platform.set_faults(down);
    let before = fleet.engines[0].log().started.len();
    assert_served(&fleet.entries[0], 10).await;
    let late = fleet.env.start_entry("vm-entry-late", "");
    fleet.env.connect_operator(&late).await.wait_for_revision(revision).await;
    assert_served(&late, 10).await;
    assert_eq!(fleet.engines[0].log().started.len(), before);
}

/// An entry that is frozen while a data centre is evacuated must send no new work there from two
/// seconds after it goes on.
#[tokio::test(flavor = "multi_thread")]
async fn evacuate_entry_frozen() {
    let fleet = start_two_data_centres().await;
    fleet.entries[1].send_signal(Signal::SIGSTOP);
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let change = Change::Evacuate("graz-1".to_owned());
    operator.apply_change("evacuate", None, change).await.expect("the change is accepted");
    tokio::time::sleep(EVACUATION_LIMIT).await;
    fleet.entries[1].send_signal(Signal::SIGCONT);
    tokio::time::sleep(EVACUATION_LIMIT).await;
    let before = fleet.engines[0].log().started.len();
    assert_served(&fleet.entries[1], 10).await;
    assert_eq!(fleet.engines[0].log().started.len(), before);
}
