//! An engine gets its memory back when callers, entries or side processes disappear. It keeps a
//! stream whose connection broke until the side process cancels it, so a lost cancel would leak
//! memory.

use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use snipespan_fakes::model_engine::EngineConfig;
use snipespan_fakes::model_engine::EngineFaults;
use tokio::task::JoinHandle;

use crate::harness::Fleet;
use crate::harness::caller;
use crate::harness::chat;
use crate::harness::engine_backend;
use crate::harness::generate_prompt;
use crate::harness::wait_until;

/// Maximum time until unused memory is free again: the grace period for streams of unknown owners,
/// the timeout of a dead connection, and a few cancels.
const MEMORY_FREE_TIMEOUT: Duration = Duration::from_secs(15);

/// Returns the configuration of an engine that keeps streams whose connection broke, slow enough
/// that the requests are still running when the fault occurs.
fn slow_engine() -> EngineConfig {
    EngineConfig { step_time: Duration::from_millis(20), ..EngineConfig::default() }
}

/// Sends requests with long answers, whose callers may disconnect.
fn spawn_requests(fleet: &Fleet, count: u64) -> Vec<JoinHandle<()>> {
    let caller = caller(&fleet.entries[0]);
    let send = |seed| {
        let caller = caller.clone();
        tokio::spawn(async move {
            let prompt = generate_prompt(500, seed);
            caller.chat(&chat(&prompt, 10_000)).await;
        })
    };
    (0..count).map(send).collect()
}

/// Asserts that the engine and then the ledger of its side process have all memory free in time.
async fn assert_memory_freed(fleet: &Fleet) {
    let started = Instant::now();
    let engine = &fleet.engines[0];
    wait_until("the engine's memory is free", || async { engine.held_streams().is_empty() }).await;
    assert!(
        started.elapsed() < MEMORY_FREE_TIMEOUT,
        "the engine's memory was free only after {:?}",
        started.elapsed()
    );
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let started = Instant::now();
    loop {
        let servers = operator.backend_servers().await;
        let engine =
            servers.iter().find(|server| server.vm == "vm-engine-0").expect("the engine is listed");
        if engine.free_memory_tokens == EngineConfig::default().memory_tokens {
            return;
        }
        assert!(
            started.elapsed() < MEMORY_FREE_TIMEOUT,
            "the ledger still has memory in use: {engine:?}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The callers disconnect and the engine loses the first 15 cancels.
#[tokio::test(flavor = "multi_thread")]
async fn cancels_lost() {
    let fleet = Fleet::start_with(1, 1, slow_engine()).await;
    fleet.engines[0].set_faults(EngineFaults { lose_cancels: 15, ..Default::default() });
    let sent = spawn_requests(&fleet, 10);
    let engine = &fleet.engines[0];
    wait_until("the requests run", || async { engine.held_streams().len() == 10 }).await;
    sent.iter().for_each(JoinHandle::abort);
    assert_memory_freed(&fleet).await;
}

/// The entry is killed while it has requests in progress.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed() {
    let mut fleet = Fleet::start_with(1, 1, slow_engine()).await;
    let _sent = spawn_requests(&fleet, 10);
    let engine = &fleet.engines[0];
    wait_until("the requests run", || async { engine.held_streams().len() == 10 }).await;
    fleet.entries[0].kill();
    fleet.entries[0] = fleet.env.start_entry("vm-entry-new", "");
    fleet.wait_for_ready(&fleet.entries[0]).await;
    assert_memory_freed(&fleet).await;
}

/// The entry is frozen while it has requests in progress, so that its connections stay open.
#[tokio::test(flavor = "multi_thread")]
async fn entry_frozen() {
    let mut fleet = Fleet::start_with(2, 1, slow_engine()).await;
    let _sent = spawn_requests(&fleet, 10);
    let engine = &fleet.engines[0];
    wait_until("the requests run", || async { engine.held_streams().len() == 10 }).await;
    fleet.entries[0].send_signal(Signal::SIGSTOP);
    fleet.entries.swap(0, 1);
    assert_memory_freed(&fleet).await;
}

/// The side process is killed and replaced while its streams run at the engine.
#[tokio::test(flavor = "multi_thread")]
async fn side_killed() {
    let mut fleet = Fleet::start_with(1, 1, slow_engine()).await;
    let sent = spawn_requests(&fleet, 10);
    let engine = &fleet.engines[0];
    wait_until("the requests run", || async { engine.held_streams().len() == 10 }).await;
    fleet.sides[1].kill();
    sent.iter().for_each(JoinHandle::abort);
    let backend = engine_backend(&fleet.engines[0]);
    fleet.sides[1] = fleet.env.start_side("vm-engine-0", &backend, "");
    fleet.wait_for_ready(&fleet.entries[0]).await;
    assert_memory_freed(&fleet).await;
}

/// The engine has a stream that no entry or side process knows of.
#[tokio::test(flavor = "multi_thread")]
async fn orphan_planted() {
    let fleet = Fleet::start_with(1, 1, slow_engine()).await;
    let identity = "000000000000000000000000000000aa-1";
    fleet.engines[0].add_orphan(identity, 100_000);
    assert_memory_freed(&fleet).await;
}
