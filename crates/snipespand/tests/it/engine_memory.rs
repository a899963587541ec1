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

/// Maximum time until unused memory is free again: 3 s after which a connection without packets is
/// considered lost, 3 s for which a stream that the side process does not know is kept, and cancels
/// that are repeated every 500 ms.
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

/// Asserts that all memory is free in time: first at the engine, then in the ledger in which its
/// side process records the memory in use. Each may take [`MEMORY_FREE_TIMEOUT`].
async fn assert_memory_freed(fleet: &Fleet) {
    let started = Instant::now();
    let engine = &fleet.engines[0];
    wait_until("the engine's memory is free", || async { engine.held_streams().is_empty() }).await;
    assert!(
        started.elapsed() < MEMORY_FREE_TIMEOUT,
        "the engine's memory was free only after {:?}, the limit is {MEMORY_FREE_TIMEOUT:?}",
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
            "the ledger of the side process still has memory in use after {MEMORY_FREE_TIMEOUT:?}, \
             {} tokens should be free: {engine:?}",
            EngineConfig::default().memory_tokens
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// The callers disconnect and the engine acknowledges the first 15 cancels without carrying them
/// out: the side process must repeat them, or the memory of the ten streams leaks.
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

/// The entry is killed while it has requests in progress: the side process must notice the loss of
/// the connection and cancel their streams.
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

/// The entry is frozen while it has requests in progress, so that its connections are not closed:
/// the side process must notice the silence and cancel their streams.
#[tokio::test(flavor = "multi_thread")]
async fn entry_frozen() {
    let mut fleet = Fleet::start_with(2, 1, slow_engine()).await;
    let _sent = spawn_requests(&fleet, 10);
    let engine = &fleet.engines[0];
    wait_until("the requests run", || async { engine.held_streams().len() == 10 }).await;
    fleet.entries[0].send_signal(Signal::SIGSTOP);
    // The first entry is asked for the memory in use, so it must be the one that is not frozen.
    fleet.entries.swap(0, 1);
    assert_memory_freed(&fleet).await;
}

/// The side process is killed and replaced while its streams run at the engine: the new process
/// must cancel streams that are not in its ledger.
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

/// The engine has a stream of 100,000 tokens that no entry or side process knows of: the side
/// process must find it in the engine's list and cancel it.
#[tokio::test(flavor = "multi_thread")]
async fn orphan_planted() {
    let fleet = Fleet::start_with(1, 1, slow_engine()).await;
    let identity = "000000000000000000000000000000aa-1";
    fleet.engines[0].add_orphan(identity, 100_000);
    assert_memory_freed(&fleet).await;
}
