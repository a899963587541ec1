//! An accepted configuration change is in force at every entry within five seconds, and no entry
//! reverts to an older revision.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use snipespan_admin::v1::change::Change;
use snipespan_core::result_code::ResultCode;
use snipespan_fakes::platform::PlatformFaults;
use tonic::Code;

use crate::harness::Fleet;
use crate::harness::SETUP_REVISION;
use crate::harness::account;
use crate::harness::caller;
use crate::harness::charge;
use crate::harness::chat;
use crate::harness::service;

/// Maximum time until an accepted change is in force in every running process.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// An account that is disabled through one entry is refused by every entry.
#[tokio::test(flavor = "multi_thread")]
async fn change_in_force_everywhere() {
    let fleet = Fleet::start(3, 1).await;
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let mut disabled = account("desk", crate::harness::API_KEY);
    disabled.disabled = true;
    let revision = operator.apply_change("disable", None, Change::PutAccount(disabled)).await;
    let accepted = Instant::now();
    let revision = revision.expect("the change is accepted");
    for entry in &fleet.entries {
        fleet.env.connect_operator(entry).await.wait_for_revision(revision).await;
        let outcome = caller(entry).chat(&chat("hello", 2)).await;
        assert_eq!(outcome.code, Some(ResultCode::AccountDisabled), "{outcome:?}");
    }
    assert!(accepted.elapsed() < IN_FORCE_LIMIT);
}

/// Guards against changes that overwrite each other: of concurrent changes to one base revision
/// exactly one is accepted, and the errors of the others name the accepted change id.
#[tokio::test(flavor = "multi_thread")]
async fn change_operators_race() {
    let fleet = Fleet::start(3, 1).await;
    for round in 0..5 {
        let base = SETUP_REVISION + round;
        let attempts = (0..9).map(|index| {
            let entry = &fleet.entries[index % 3];
            let env = &fleet.env;
            async move {
                let mut operator = env.connect_operator(entry).await;
                let change = Change::Drain(format!("vm-{index}"));
                operator.apply_change(&format!("race-{round}-{index}"), Some(base), change).await
            }
        });
        let outcomes = join_all(attempts).await;
        let won = outcomes.iter().position(Result::is_ok).expect("one change is accepted");
        assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 1, "{outcomes:?}");
        for lost in outcomes.iter().filter_map(|outcome| outcome.as_ref().err()) {
            assert_eq!(lost.code(), Code::Aborted, "{lost:?}");
            assert!(lost.message().contains(&format!("race-{round}-{won}")), "{lost:?}");
        }
    }
}

/// The store commits a change and its answer is lost. The entry must find out that it was accepted,
/// and a retry with the same change id through another entry returns the same revision.
#[tokio::test(flavor = "multi_thread")]
async fn change_answer_lost() {
    let fleet = Fleet::start(2, 1).await;
    let faults = PlatformFaults { lose_answers: 1, ..Default::default() };
    fleet.env.platform.set_faults(faults);
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let change = Change::Drain("vm-x".to_owned());
    let revision =
        operator.apply_change("lost", None, change.clone()).await.expect("the change is accepted");
    assert_eq!(revision, SETUP_REVISION + 1);
    let mut other = fleet.env.connect_operator(&fleet.entries[1]).await;
    assert_eq!(
        other.apply_change("lost", None, change).await.expect("the retry is accepted"),
        revision
    );
}

/// While the store is down, changes are refused and the configuration in force stays in force.
#[tokio::test(flavor = "multi_thread")]
async fn change_store_down() {
    let fleet = Fleet::start(2, 1).await;
    fleet.env.platform.set_faults(PlatformFaults { is_down: true, ..Default::default() });
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let refused = operator.apply_change("down", None, Change::Drain("vm-x".to_owned())).await;
    assert_eq!(refused.expect_err("the change is refused").code(), Code::Unavailable);
    let outcome = caller(&fleet.entries[1]).chat(&chat("hello", 2)).await;
    assert!(outcome.is_complete, "{outcome:?}");
    fleet.env.platform.set_faults(PlatformFaults::default());
    assert_eq!(operator.revision().await, SETUP_REVISION);
}

/// An entry that starts while the store is down gets the newest configuration from the side
/// processes, which have it from the other entries.
#[tokio::test(flavor = "multi_thread")]
async fn restart_store_down() {
    let fleet = Fleet::start(2, 1).await;
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let change = Change::PutService(service("later"));
    let revision =
        operator.apply_change("later", None, change).await.expect("the change is accepted");
    let accepted = Instant::now();
    fleet.env.connect_operator(&fleet.entries[1]).await.wait_for_revision(revision).await;
    // The side processes receive the change within the same limit.
    tokio::time::sleep(IN_FORCE_LIMIT.saturating_sub(accepted.elapsed())).await;
    fleet.env.platform.set_faults(PlatformFaults { is_down: true, ..Default::default() });
    let entry = fleet.env.start_entry("vm-entry-late", "");
    fleet.env.connect_operator(&entry).await.wait_for_revision(revision).await;
    let outcome = caller(&entry).chat(&chat("hello", 2)).await;
    assert!(outcome.is_complete, "{outcome:?}");
}

/// Reads of the store return an older revision, in which the account is disabled: no entry reverts
/// to it.
#[tokio::test(flavor = "multi_thread")]
async fn follow_older_head() {
    let fleet = Fleet::start(2, 1).await;
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let disable = {
        let mut disabled = account("desk", crate::harness::API_KEY);
        disabled.disabled = true;
        Change::PutAccount(disabled)
    };
    let enable = Change::PutAccount(account("desk", crate::harness::API_KEY));
    operator.apply_change("disable", None, disable).await.expect("the change is accepted");
    fleet.env.platform.snapshot_for_stale_reads();
    let revision =
        operator.apply_change("enable", None, enable).await.expect("the change is accepted");
    for entry in &fleet.entries {
        fleet.env.connect_operator(entry).await.wait_for_revision(revision).await;
    }
    let faults = PlatformFaults { reads_are_stale: true, ..Default::default() };
    fleet.env.platform.set_faults(faults);
    let started = Instant::now();
    while started.elapsed() < IN_FORCE_LIMIT {
        for entry in &fleet.entries {
            assert_eq!(fleet.env.connect_operator(entry).await.revision().await, revision);
            let outcome = caller(entry).chat(&chat("hello", 2)).await;
            assert!(outcome.is_complete, "{outcome:?}");
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// A drained engine is not ready and gets no new work until it is undrained.
#[tokio::test(flavor = "multi_thread")]
async fn drain_sends_no_new_work() {
    let fleet = Fleet::start(1, 2).await;
    let mut operator = fleet.env.connect_operator(&fleet.entries[0]).await;
    let drain = Change::Drain("vm-engine-0".to_owned());
    let revision =
        operator.apply_change("drain", None, drain).await.expect("the change is accepted");
    operator.wait_for_revision(revision).await;
    // The other engine and the plain service stay ready.
    operator.wait_for_ready_exactly(2).await;
    let before = fleet.engines[0].log().started.len();
    for _ in 0..10 {
        assert!(caller(&fleet.entries[0]).chat(&chat("hello", 2)).await.is_complete);
    }
    assert_eq!(fleet.engines[0].log().started.len(), before);
    let undrain = Change::Undrain("vm-engine-0".to_owned());
    operator.apply_change("undrain", None, undrain).await.expect("the change is accepted");
    operator.wait_for_ready_exactly(3).await;
    assert_eq!(caller(&fleet.entries[0]).call(&charge("after")).await.status, 200);
}
