//! Tests of the idempotency records against a fake platform.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

use std::time::Duration;

use snipespan_core::entry::effect::RecordSpec;
use snipespan_core::entry::event::RecordAnswer;
use snipespan_core::entry::event::RecordState;
use snipespan_core::identity::EligibleInstance;
use snipespan_core::identity::Incarnation;
use snipespan_core::identity::RequestId;
use snipespan_core::identity::VmId;
use snipespan_core::result_code::ResultCode;
use snipespan_fakes::platform::FakePlatform;
use snipespan_fakes::platform::PlatformFaults;
use snipespan_platform::client::PlatformClient;
use snipespan_platform::idempotency::IdempotencyRecords;
use snipespan_platform::idempotency::MAX_ROW_BODY_BYTES;
use snipespan_platform::idempotency::RecordedOutcome;
use snipespan_platform::idempotency::StoredAnswer;

fn eligible_instance() -> EligibleInstance {
    EligibleInstance { vm: VmId("vm-1".into()), incarnation: Incarnation(7) }
}

fn spec(id: u128) -> RecordSpec {
    RecordSpec {
        account: "desk".into(),
        key: "order-1".into(),
        digest: 9,
        id: RequestId(id),
        remaining: Duration::from_secs(10),
        eligible_instances: vec![eligible_instance()],
    }
}

async fn start() -> (FakePlatform, IdempotencyRecords) {
    let platform = FakePlatform::start().await.expect("the fake platform starts");
    let client = PlatformClient::new(&platform.url(), Duration::from_secs(5)).expect("a valid URL");
    (platform, IdempotencyRecords::new(client))
}

const fn exists(state: RecordState) -> RecordAnswer {
    RecordAnswer::Exists { digest: 9, state }
}

/// Guards against running a request twice: two requests with one key, and two requests that take
/// over the same abandoned record.
#[tokio::test]
async fn create_twice_and_take_over() {
    let (_platform, records) = start().await;
    assert_eq!(
        records.create(&spec(1), 0).await.expect("the store answers").answer,
        RecordAnswer::Created
    );
    let other = records.create(&spec(2), 0).await.expect("the store answers");
    assert_eq!(other.answer, exists(RecordState::InProgress));
    // The record expires after 10 s, and `CLOCK_SKEW_ALLOWANCE` adds 5 s.
    let late = records.create(&spec(2), 15_001).await.expect("the store answers");
    let age = Duration::from_millis(15_001);
    let abandoned = RecordAnswer::Abandoned {
        digest: 9,
        id: RequestId(1),
        age,
        eligible_instances: vec![eligible_instance()],
    };
    assert_eq!(late.answer, abandoned);
    let taken = records.take_over(&spec(2), late.version, 15_001).await.expect("the store answers");
    assert_eq!(taken.answer, RecordAnswer::Created);
    // A second request that read the same version of the record fails to take it over.
    let second =
        records.take_over(&spec(3), late.version, 15_001).await.expect("the store answers");
    assert_eq!(second.answer, exists(RecordState::InProgress));
    // The first creator no longer changes the record that was taken over.
    let outcome = RecordedOutcome::Code(ResultCode::NoBackendServer);
    records.finish(&spec(1), &outcome).await.expect("the store answers");
    let third = records.create(&spec(3), 15_001).await.expect("the store answers");
    assert_eq!(third.answer, exists(RecordState::InProgress));
}

/// Guards against a creator that takes its own record for that of another request when it retries
/// after a lost answer.
#[tokio::test]
async fn create_answer_lost() {
    let (platform, records) = start().await;
    platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    records.create(&spec(1), 0).await.expect_err("the answer of the store is lost");
    let again = records.create(&spec(1), 0).await.expect("the store answers");
    assert_eq!(again.answer, RecordAnswer::Created);
}

/// Guards against a key that stays taken after its request did not run, and against a request that
/// removes the record of another one.
#[tokio::test]
async fn finish_not_run_frees_the_key() {
    let (_platform, records) = start().await;
    records.create(&spec(1), 0).await.expect("the store answers");
    // Only the creator can remove its record.
    let not_run = RecordedOutcome::Code(ResultCode::NoBackendServer);
    records.finish(&spec(2), &not_run).await.expect("the store answers");
    let other = records.create(&spec(3), 0).await.expect("the store answers");
    assert_eq!(other.answer, exists(RecordState::InProgress));
    records.finish(&spec(1), &not_run).await.expect("the store answers");
    let next = records.create(&spec(3), 0).await.expect("the store answers");
    assert_eq!(next.answer, RecordAnswer::Created);
}

/// Guards against a replay that differs from the recorded answer, for a body in the row and for one
/// that is too long for the row.
#[tokio::test]
async fn finish_answer_in_row_or_object() {
    for bytes in [10, MAX_ROW_BODY_BYTES + 1] {
        let (_platform, records) = start().await;
        records.create(&spec(1), 0).await.expect("the store answers");
        let answer = StoredAnswer {
            status: 201,
            content_type: Some("text/plain".into()),
            body: vec![7; bytes],
            is_body_object: false,
        };
        let outcome = RecordedOutcome::Answered(answer.clone());
        records.finish(&spec(1), &outcome).await.expect("the store answers");
        let replay = records.create(&spec(2), 0).await.expect("the store answers");
        assert_eq!(replay.answer, exists(RecordState::Finished));
        let stored = replay.stored.expect("a recorded answer");
        assert_eq!((stored.status, stored.body), (201, answer.body));
    }
}

/// Guards against running a request again after its first run ended with an unknown outcome.
#[tokio::test]
async fn finish_unknown() {
    let (_platform, records) = start().await;
    records.create(&spec(1), 0).await.expect("the store answers");
    let outcome = RecordedOutcome::Code(ResultCode::OutcomeUnknown);
    records.finish(&spec(1), &outcome).await.expect("the store answers");
    let other = records.create(&spec(2), 0).await.expect("the store answers");
    assert_eq!(other.answer, exists(RecordState::Lost));
}
