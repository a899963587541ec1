//! Every admitted request ends within its time limit, with a complete answer or an error code, when
//! a process, an engine or the store fails.

use std::time::Duration;

use nix::sys::signal::Signal;
use rstest::rstest;
use snipespan_caller::caller::ChatCall;
use snipespan_caller::outcome::ChatOutcome;
use snipespan_core::result_code::Class;
use snipespan_fakes::model_engine::EngineConfig;
use snipespan_fakes::model_engine::EngineFaults;
use snipespan_fakes::model_engine::expected_answer;
use snipespan_fakes::platform::PlatformFaults;
use tokio::task::JoinHandle;

use crate::harness::Fleet;
use crate::harness::MODEL;
use crate::harness::caller;
use crate::harness::generate_prompt;
use crate::harness::wait_until;

/// Time limit of requests that may fail.
const TIME_LIMIT: Duration = Duration::from_secs(8);

/// Maximum time after its time limit at which an answer ends, as its caller measures it.
const END_GRACE: Duration = Duration::from_secs(2);

/// Number of tokens of an answer, one per step of 5 ms: about three seconds.
const OUTPUT_TOKENS: u64 = 600;

/// A fault in the engine that serves the request, in its side process or in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    KillSide,
    FreezeSide,
    KillEngine,
    FreezeEngine,
    StoreDown,
}

/// Stage of the request at which the fault occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    BeforeDispatch,
    InPrefill,
    MidStream,
}

/// Returns the configuration of an engine that takes 5 ms per step, and prefills and generates up
/// to 100 tokens in it, so that a fault can occur in the prefill and in the stream.
fn slow_engine() -> EngineConfig {
    EngineConfig {
        step_time: Duration::from_millis(5),
        step_tokens: 100,
        ..EngineConfig::default()
    }
}

/// Sends a streamed chat call through the first entry.
fn spawn_chat(fleet: &Fleet, prompt: &str, limit: Duration) -> JoinHandle<ChatOutcome> {
    let caller = caller(&fleet.entries[0]);
    let prompt = prompt.to_owned();
    tokio::spawn(async move {
        let call = ChatCall {
            model: MODEL,
            prompt: &prompt,
            max_tokens: OUTPUT_TOKENS,
            is_stream: true,
            time_limit: Some(limit),
        };
        caller.chat(&call).await
    })
}

/// Waits until an engine serves the only request, and returns its index.
async fn wait_for_serving_engine(fleet: &Fleet) -> usize {
    let find = || fleet.engines.iter().position(|engine| !engine.log().started.is_empty());
    wait_until("an engine has started the request", || async { find().is_some() }).await;
    find().expect("an engine has started the request")
}

/// Waits until the only request is at `stage`, and returns the index of its engine. Before the
/// dispatch, when no engine serves the request yet, returns 0 at once.
async fn wait_for_stage(fleet: &Fleet, stage: Stage) -> usize {
    match stage {
        Stage::BeforeDispatch => 0,
        Stage::InPrefill => wait_for_serving_engine(fleet).await,
        Stage::MidStream => {
            let index = wait_for_serving_engine(fleet).await;
            let engine = &fleet.engines[index];
            wait_until("the engine generates tokens", || async {
                engine.log().generated_tokens > 20
            })
            .await;
            index
        }
    }
}

/// Injects a fault into the engine `index`, its side process or the store.
async fn inject_fault(fleet: &mut Fleet, index: usize, fault: Fault) {
    match fault {
        Fault::KillSide => fleet.sides[index + 1].kill(),
        Fault::FreezeSide => fleet.sides[index + 1].send_signal(Signal::SIGSTOP),
        Fault::KillEngine => drop(fleet.engines.remove(index)),
        Fault::FreezeEngine => {
            fleet.engines[index].set_faults(EngineFaults { is_frozen: true, ..Default::default() });
        }
        Fault::StoreDown => {
            fleet.env.platform.set_faults(PlatformFaults { is_down: true, ..Default::default() });
        }
    }
}

/// Asserts that an answer ended in time, and is complete or a correct prefix with an error code.
fn check_outcome(outcome: &ChatOutcome, prompt: &str, limit: Duration) {
    assert!(
        outcome.total <= limit + END_GRACE,
        "ended more than {END_GRACE:?} after the time limit of {limit:?}: {outcome:?}"
    );
    let expected = expected_answer(prompt, OUTPUT_TOKENS);
    match outcome.is_complete {
        true => assert_eq!(outcome.text, expected),
        false => {
            assert!(expected.starts_with(&outcome.text), "{outcome:?}");
            let class = outcome.code.expect("a failed chat has a result code").class();
            assert!(class != Class::Ok, "{outcome:?}");
        }
    }
}

/// One of two engines or its side process fails, or the store: the answer must be completed, by the
/// other engine where necessary.
#[rstest]
#[case::kill_side_before_dispatch(Fault::KillSide, Stage::BeforeDispatch)]
#[case::kill_side_in_prefill(Fault::KillSide, Stage::InPrefill)]
#[case::kill_side_mid_stream(Fault::KillSide, Stage::MidStream)]
#[case::freeze_side_before_dispatch(Fault::FreezeSide, Stage::BeforeDispatch)]
#[case::freeze_side_in_prefill(Fault::FreezeSide, Stage::InPrefill)]
#[case::freeze_side_mid_stream(Fault::FreezeSide, Stage::MidStream)]
#[case::kill_engine_in_prefill(Fault::KillEngine, Stage::InPrefill)]
#[case::kill_engine_mid_stream(Fault::KillEngine, Stage::MidStream)]
#[case::freeze_engine_before_dispatch(Fault::FreezeEngine, Stage::BeforeDispatch)]
#[case::freeze_engine_in_prefill(Fault::FreezeEngine, Stage::InPrefill)]
#[case::freeze_engine_mid_stream(Fault::FreezeEngine, Stage::MidStream)]
#[case::store_down_before_dispatch(Fault::StoreDown, Stage::BeforeDispatch)]
#[case::store_down_mid_stream(Fault::StoreDown, Stage::MidStream)]
#[tokio::test(flavor = "multi_thread")]
async fn chat_one_of_two_harmed(#[case] fault: Fault, #[case] stage: Stage) {
    let mut fleet = Fleet::start_with(1, 2, slow_engine()).await;
    let limit = Duration::from_secs(40);
    let prompt = generate_prompt(2_000, 1);
    if stage == Stage::BeforeDispatch {
        inject_fault(&mut fleet, 0, fault).await;
    }
    let sent = spawn_chat(&fleet, &prompt, limit);
    let index = wait_for_stage(&fleet, stage).await;
    if stage != Stage::BeforeDispatch {
        inject_fault(&mut fleet, index, fault).await;
    }
    let outcome = sent.await.expect("the call ends");
    check_outcome(&outcome, &prompt, limit);
    assert!(outcome.is_complete, "{outcome:?}");
}

/// The only engine or its side process fails, alone or together with another part: the request must
/// end within its time limit.
#[rstest]
#[case::kill_side(&[Fault::KillSide])]
#[case::freeze_side(&[Fault::FreezeSide])]
#[case::kill_engine(&[Fault::KillEngine])]
#[case::freeze_engine(&[Fault::FreezeEngine])]
#[case::freeze_engine_and_store(&[Fault::FreezeEngine, Fault::StoreDown])]
#[case::kill_side_and_store(&[Fault::KillSide, Fault::StoreDown])]
#[case::freeze_engine_and_side(&[Fault::FreezeEngine, Fault::FreezeSide])]
#[tokio::test(flavor = "multi_thread")]
async fn chat_only_engine_harmed(#[case] faults: &[Fault]) {
    for stage in [Stage::InPrefill, Stage::MidStream] {
        let mut fleet = Fleet::start_with(1, 1, slow_engine()).await;
        let prompt = generate_prompt(2_000, 1);
        let sent = spawn_chat(&fleet, &prompt, TIME_LIMIT);
        wait_for_stage(&fleet, stage).await;
        for fault in faults {
            inject_fault(&mut fleet, 0, *fault).await;
        }
        check_outcome(&sent.await.expect("the call ends"), &prompt, TIME_LIMIT);
    }
}

/// The entry is killed mid-stream: its caller gets a broken answer at once, never one that looks
/// complete, and the engine frees the memory.
#[tokio::test(flavor = "multi_thread")]
async fn chat_entry_killed() {
    let mut fleet = Fleet::start_with(1, 1, slow_engine()).await;
    let prompt = generate_prompt(2_000, 1);
    let sent = spawn_chat(&fleet, &prompt, TIME_LIMIT);
    wait_for_stage(&fleet, Stage::MidStream).await;
    fleet.entries[0].kill();
    let outcome = sent.await.expect("the call ends");
    assert!(!outcome.is_complete && outcome.total <= TIME_LIMIT, "{outcome:?}");
    let engine = &fleet.engines[0];
    wait_until("the engine's memory is free", || async { engine.held_streams().is_empty() }).await;
}
