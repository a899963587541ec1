//! A backend server that is leaving receives no new work after three seconds, and a planned stop
//! cuts off no request in progress.

use std::time::Duration;

use futures_util::future::join_all;
use nix::sys::signal::Signal;
use snipespan_caller::outcome::ChatOutcome;
use snipespan_core::result_code::ResultCode;
use snipespan_fakes::model_engine::EngineConfig;
use snipespan_fakes::model_engine::expected_answer;
use snipespan_fakes::plain_service::ServiceFaults;
use snipespan_fakes::platform::PlatformFaults;
use snipespan_platform::v1::VmState;
use tokio::task::JoinHandle;

use crate::harness::Fleet;
use crate::harness::Process;
use crate::harness::caller;
use crate::harness::charge;
use crate::harness::chat;
use crate::harness::engine_backend;
use crate::harness::generate_prompt;
use crate::harness::wait_until;

/// Maximum time for which a leaving backend server may still get new work.
const LEAVING_DELAY: Duration = Duration::from_secs(3);

/// Number of tokens of each answer.
const OUTPUT_TOKENS: u64 = 300;

/// Sends requests that are in progress for about a second.
fn spawn_requests(entry: &Process, count: u64) -> Vec<JoinHandle<(String, ChatOutcome)>> {
    let caller = caller(entry);
    let send = |seed| {
        let caller = caller.clone();
        tokio::spawn(async move {
            let prompt = generate_prompt(500, seed);
            let outcome = caller.chat(&chat(&prompt, OUTPUT_TOKENS)).await;
            (prompt, outcome)
        })
    };
    (0..count).map(send).collect()
}

/// Asserts that every request gets its own, complete answer.
async fn assert_all_complete(sent: Vec<JoinHandle<(String, ChatOutcome)>>) {
    for sent in join_all(sent).await {
        let (prompt, outcome) = sent.expect("the call ends");
        assert!(outcome.is_complete, "{outcome:?}");
        assert_eq!(outcome.text, expected_answer(&prompt, OUTPUT_TOKENS));
    }
}

/// Asserts that an engine gets no new work after [`LEAVING_DELAY`], and that other engines complete
/// all requests.
async fn assert_no_new_work(fleet: &Fleet, engine: usize) {
    tokio::time::sleep(LEAVING_DELAY).await;
    let before = fleet.engines[engine].log().started.len();
    for entry in &fleet.entries {
        assert_all_complete(spawn_requests(entry, 20)).await;
    }
    assert_eq!(fleet.engines[engine].log().started.len(), before);
}

/// Guards against entries that rely on the side process to report that it is leaving: here only the
/// VM list reports it, and readers see the list one second after it changed.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_by_vm_list_alone() {
    let mut fleet = Fleet::start(2, 2).await;
    let vm_list_lag = Duration::from_secs(1);
    let address = fleet.sides[1].address("side", "entries");
    // The new side process has a VM id that is not in the VM list, so that it does not find its own
    // state there. The entries reach it by the address in the row of `vm-engine-0`.
    let backend = engine_backend(&fleet.engines[0]);
    fleet.sides[1].kill();
    fleet.sides[1] = fleet.env.start_side_unlisted("vm-nameless", &address, &backend, "");
    for entry in &fleet.entries {
        fleet.env.connect_operator(entry).await.wait_for_ready_exactly(3).await;
    }
    fleet.env.platform.set_faults(PlatformFaults { vm_list_lag, ..Default::default() });
    fleet.env.list_vm("vm-engine-0", &address, VmState::Leaving);
    assert_no_new_work(&fleet, 0).await;
}

/// A side process gets SIGTERM under load: the answers in progress are completed, and it gets no
/// new work.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_by_signal_under_load() {
    let mut fleet = Fleet::start(2, 2).await;
    let engines = &fleet.engines;
    let sent: Vec<_> = fleet.entries.iter().flat_map(|entry| spawn_requests(entry, 20)).collect();
    wait_until("both engines generate tokens", || async {
        engines.iter().all(|engine| engine.log().generated_tokens > 0)
    })
    .await;
    fleet.sides[1].send_signal(Signal::SIGTERM);
    assert_all_complete(sent).await;
    assert!(fleet.sides[1].wait_for_exit().await.success());
    assert_no_new_work(&fleet, 0).await;
}

/// An entry gets SIGTERM under load: it stops reporting itself as ready immediately, and completes
/// all answers in progress.
#[tokio::test(flavor = "multi_thread")]
async fn stop_entry_under_load() {
    let mut fleet = Fleet::start(2, 2).await;
    let sent = spawn_requests(&fleet.entries[0], 40);
    let engine = &fleet.engines[0];
    wait_until("the engine generates tokens", || async { engine.log().generated_tokens > 0 }).await;
    let caller = caller(&fleet.entries[0]);
    assert_eq!(caller.get_status("/readyz").await, 200);
    fleet.entries[0].send_signal(Signal::SIGTERM);
    // A caller that arrives now gets a complete answer, the code `leaving` or no connection.
    wait_until("the entry is not ready", || async { caller.get_status("/readyz").await != 200 })
        .await;
    let late = caller.chat(&chat("hello", 2)).await;
    let is_expected =
        late.is_complete || late.code == Some(ResultCode::Leaving) || late.status == 0;
    assert!(is_expected, "{late:?}");
    assert_all_complete(sent).await;
    assert!(fleet.entries[0].wait_for_exit().await.success());
}

/// Guards against a planned stop that cuts answers off: the side process of the only engine stops,
/// and no other engine can take over.
#[tokio::test(flavor = "multi_thread")]
async fn stop_only_side_under_load() {
    // 300 steps of 25 ms take 7.5 s, longer than the 5 s for which a stopping side process waits
    // for its last bytes to be received.
    let config = EngineConfig { step_time: Duration::from_millis(25), ..EngineConfig::default() };
    let mut fleet = Fleet::start_with(2, 1, config).await;
    let sent: Vec<_> = fleet.entries.iter().flat_map(|entry| spawn_requests(entry, 20)).collect();
    let engine = &fleet.engines[0];
    wait_until("all requests are in progress", || async { engine.log().started.len() == 40 }).await;
    fleet.sides[1].send_signal(Signal::SIGTERM);
    assert_all_complete(sent).await;
    assert!(fleet.sides[1].wait_for_exit().await.success());
    assert!(fleet.engines[0].log().started.values().all(|starts| *starts == 1));
}

/// The side process of the plain service stops while charges are in progress: each is answered and
/// runs once.
#[tokio::test(flavor = "multi_thread")]
async fn stop_service_side_under_load() {
    let mut fleet = Fleet::start(2, 1).await;
    let slow = ServiceFaults { delay: Duration::from_millis(700), ..Default::default() };
    fleet.service.set_faults(slow);
    let callers: Vec<_> = fleet.entries.iter().map(caller).collect();
    let send = |index: usize| {
        let caller = callers[index % 2].clone();
        tokio::spawn(async move { caller.call(&charge(&format!("order-{index}"))).await })
    };
    let sent: Vec<_> = (0..20).map(send).collect();
    let service = &fleet.service;
    wait_until("the charges run", || async { service.executions().len() == 20 }).await;
    fleet.sides[0].send_signal(Signal::SIGTERM);
    for outcome in join_all(sent).await {
        assert_eq!(outcome.expect("the call ends").status, 200);
    }
    assert!(fleet.sides[0].wait_for_exit().await.success());
    assert!(fleet.service.executions().values().all(|runs| *runs == 1));
}

/// Every engine's side process and every entry is replaced in turn under load: all answers are
/// complete, and the record of a charge survives.
#[tokio::test(flavor = "multi_thread")]
async fn replace_every_process_under_load() {
    let mut fleet = Fleet::start_with(2, 2, EngineConfig::default()).await;
    for index in 1..fleet.sides.len() {
        let sent: Vec<_> =
            fleet.entries.iter().flat_map(|entry| spawn_requests(entry, 10)).collect();
        let vm = format!("vm-engine-{}", index - 1);
        let backend = engine_backend(&fleet.engines[index - 1]);
        fleet.sides[index].send_signal(Signal::SIGTERM);
        assert_all_complete(sent).await;
        assert!(fleet.sides[index].wait_for_exit().await.success());
        fleet.sides[index] = fleet.env.start_side(&vm, &backend, "");
        for entry in &fleet.entries {
            fleet.wait_for_ready(entry).await;
        }
    }
    for index in 0..fleet.entries.len() {
        let sent = spawn_requests(&fleet.entries[index], 10);
        let charged = caller(&fleet.entries[index]).call(&charge(&format!("order-{index}"))).await;
        assert_eq!(charged.status, 200, "{charged:?}");
        fleet.entries[index].send_signal(Signal::SIGTERM);
        assert_all_complete(sent).await;
        assert!(fleet.entries[index].wait_for_exit().await.success());
        let entry = fleet.env.start_entry(&format!("vm-entry-new-{index}"), "");
        fleet.wait_for_ready(&entry).await;
        fleet.entries[index] = entry;
    }
    let again = caller(&fleet.entries[0]).call(&charge("order-1")).await;
    assert!(again.is_replayed, "{again:?}");
    assert_eq!(fleet.service.executions().get("order-1"), Some(&1));
}
