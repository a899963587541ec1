//! Every admitted request finishes or fails within its time.

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
use crate::harness::eventually;
use crate::harness::prompt;

/// Time limit of the requests.
const LIMIT: Duration = Duration::from_secs(8);

/// Time over the limit in which an answer must have ended.
const GRACE: Duration = Duration::from_secs(2);

/// Answer length that takes about three seconds.
const TOKENS: u64 = 600;

/// What is done to the part that serves the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Harm {
    KillSide,
    FreezeSide,
    KillEngine,
    FreezeEngine,
    StoreDown,
}

/// When it is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    BeforeDispatch,
    InPrefill,
    MidStream,
}

fn slow_engine() -> EngineConfig {
    EngineConfig {
        step_time: Duration::from_millis(5),
        step_tokens: 100,
        ..EngineConfig::default()
    }
}

fn send(fleet: &Fleet, prompt: &str, limit: Duration) -> JoinHandle<ChatOutcome> {
    let caller = caller(&fleet.entries[0]);
    let prompt = prompt.to_owned();
    tokio::spawn(async move {
        let call = ChatCall {
            model: MODEL,
            prompt: &prompt,
            max_tokens: TOKENS,
            is_stream: true,
            time_limit: Some(limit),
        };
        caller.chat(&call).await
    })
}

/// The engine that serves the only request.
async fn serving(fleet: &Fleet) -> usize {
    let find = || fleet.engines.iter().position(|engine| !engine.log().started.is_empty());
    eventually("an engine serves", || async { find().is_some() }).await;
    find().expect("an engine serves")
}

async fn reach(fleet: &Fleet, stage: Stage) -> usize {
    match stage {
        Stage::BeforeDispatch => 0,
        Stage::InPrefill => serving(fleet).await,
        Stage::MidStream => {
            let index = serving(fleet).await;
            let engine = &fleet.engines[index];
            eventually("tokens come", || async { engine.log().generated_tokens > 20 }).await;
            index
        }
    }
}

async fn harm(fleet: &mut Fleet, index: usize, harm: Harm) {
    match harm {
        Harm::KillSide => fleet.sides[index + 1].kill(),
        Harm::FreezeSide => fleet.sides[index + 1].signal(Signal::SIGSTOP),
        Harm::KillEngine => drop(fleet.engines.remove(index)),
        Harm::FreezeEngine => {
            fleet.engines[index].set_faults(EngineFaults { is_frozen: true, ..Default::default() });
        }
        Harm::StoreDown => {
            fleet.trial.platform.set_faults(PlatformFaults { is_down: true, ..Default::default() });
        }
    }
}

/// An answer that ended in time, whole or with a code that says what happened.
fn check(outcome: &ChatOutcome, prompt: &str, limit: Duration) {
    assert!(outcome.total <= limit + GRACE, "too late: {outcome:?}");
    let expected = expected_answer(prompt, TOKENS);
    match outcome.is_complete {
        true => assert_eq!(outcome.text, expected),
        false => {
            assert!(expected.starts_with(&outcome.text), "{outcome:?}");
            let class = outcome.code.expect("a code").class();
            assert!(class != Class::Ok, "{outcome:?}");
        }
    }
}

/// One engine of two is harmed: the answer goes on at the other.
#[rstest]
#[case::kill_side_before_dispatch(Harm::KillSide, Stage::BeforeDispatch)]
#[case::kill_side_in_prefill(Harm::KillSide, Stage::InPrefill)]
#[case::kill_side_mid_stream(Harm::KillSide, Stage::MidStream)]
#[case::freeze_side_before_dispatch(Harm::FreezeSide, Stage::BeforeDispatch)]
#[case::freeze_side_in_prefill(Harm::FreezeSide, Stage::InPrefill)]
#[case::freeze_side_mid_stream(Harm::FreezeSide, Stage::MidStream)]
#[case::kill_engine_in_prefill(Harm::KillEngine, Stage::InPrefill)]
#[case::kill_engine_mid_stream(Harm::KillEngine, Stage::MidStream)]
#[case::freeze_engine_before_dispatch(Harm::FreezeEngine, Stage::BeforeDispatch)]
#[case::freeze_engine_in_prefill(Harm::FreezeEngine, Stage::InPrefill)]
#[case::freeze_engine_mid_stream(Harm::FreezeEngine, Stage::MidStream)]
#[case::store_down_before_dispatch(Harm::StoreDown, Stage::BeforeDispatch)]
#[case::store_down_mid_stream(Harm::StoreDown, Stage::MidStream)]
#[tokio::test(flavor = "multi_thread")]
async fn chat_one_of_two_harmed(#[case] kind: Harm, #[case] stage: Stage) {
    let mut fleet = Fleet::start_shaped(1, 2, slow_engine()).await;
    let limit = Duration::from_secs(40);
    let prompt = prompt(2_000, 1);
    if stage == Stage::BeforeDispatch {
        harm(&mut fleet, 0, kind).await;
    }
    let sent = send(&fleet, &prompt, limit);
    let index = reach(&fleet, stage).await;
    if stage != Stage::BeforeDispatch {
        harm(&mut fleet, index, kind).await;
    }
    let outcome = sent.await.expect("it ends");
    check(&outcome, &prompt, limit);
    assert!(outcome.is_complete, "{outcome:?}");
}

/// The only engine is harmed, alone or with the store: the request fails in time.
#[rstest]
#[case::kill_side(&[Harm::KillSide])]
#[case::freeze_side(&[Harm::FreezeSide])]
#[case::kill_engine(&[Harm::KillEngine])]
#[case::freeze_engine(&[Harm::FreezeEngine])]
#[case::freeze_engine_and_store(&[Harm::FreezeEngine, Harm::StoreDown])]
#[case::kill_side_and_store(&[Harm::KillSide, Harm::StoreDown])]
#[case::freeze_engine_and_side(&[Harm::FreezeEngine, Harm::FreezeSide])]
#[tokio::test(flavor = "multi_thread")]
async fn chat_only_engine_harmed(#[case] kinds: &[Harm]) {
    for stage in [Stage::InPrefill, Stage::MidStream] {
        let mut fleet = Fleet::start_shaped(1, 1, slow_engine()).await;
        let prompt = prompt(2_000, 1);
        let sent = send(&fleet, &prompt, LIMIT);
        reach(&fleet, stage).await;
        for kind in kinds {
            harm(&mut fleet, 0, *kind).await;
        }
        check(&sent.await.expect("it ends"), &prompt, LIMIT);
    }
}

/// The entry dies: its caller sees a broken answer at once, never a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn chat_entry_killed() {
    let mut fleet = Fleet::start_shaped(1, 1, slow_engine()).await;
    let prompt = prompt(2_000, 1);
    let sent = send(&fleet, &prompt, LIMIT);
    reach(&fleet, Stage::MidStream).await;
    fleet.entries[0].kill();
    let outcome = sent.await.expect("it ends");
    assert!(!outcome.is_complete && outcome.total <= LIMIT, "{outcome:?}");
    let engine = &fleet.engines[0];
    eventually("the engine's memory is free", || async { engine.held_streams().is_empty() }).await;
}
