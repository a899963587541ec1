//! Tests of admission, validation, expiry and durable records.

use std::time::Duration;

use rstest::rstest;
use snipespan_core::entry::effect::Effect;
use snipespan_core::entry::event::Arrival;
use snipespan_core::entry::event::BodySummary;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::event::Hello;
use snipespan_core::entry::event::RecordAnswer;
use snipespan_core::entry::event::RecordState;
use snipespan_core::identity::CredentialDigest;
use snipespan_core::identity::EligibleInstance;
use snipespan_core::identity::Incarnation;
use snipespan_core::identity::RequestId;
use snipespan_core::identity::Target;
use snipespan_core::keys::CallerKey;
use snipespan_core::result_code::ResultCode;

use crate::kit::KEY;
use crate::kit::Kit;
use crate::kit::MAX_REQUESTS;
use crate::kit::answered_code;
use crate::kit::charge;
use crate::kit::chat;
use crate::kit::connects;
use crate::kit::dispatched;
use crate::kit::finished_record;
use crate::kit::vm;

/// A request without a known API key, or with a body over the limit, must not take a row.
#[rstest]
#[case::no_key(None, Some(100), ResultCode::Unauthenticated)]
#[case::unknown_key(Some(CredentialDigest([2; 32])), Some(100), ResultCode::Unauthenticated)]
#[case::body_too_large(Some(KEY), Some(5_001), ResultCode::RequestTooLarge)]
fn arrive_refused(
    #[case] credential: Option<CredentialDigest>,
    #[case] body_bytes: Option<u64>,
    #[case] code: ResultCode,
) {
    let mut kit = Kit::with_engines(1);
    let caller = CallerKey::default();
    let arrival = Arrival { caller, id: RequestId(1), credential, body_bytes };
    let effects = kit.tick(vec![Event::Arrival(arrival)]);
    assert_eq!(answered_code(&effects), Some(code));
    assert!(kit.world.requests.is_empty());
}

/// A request beyond the maximum number of open requests must be refused.
#[test]
fn arrive_table_full() {
    let mut kit = Kit::with_engines(1);
    for _ in 0..MAX_REQUESTS {
        kit.arrive().expect("a slot is free");
    }
    assert_eq!(kit.arrive(), Err(ResultCode::Overloaded));
}

/// A stopping entry must accept requests for the stop grace of 1 s, in which the load balancer
/// still sends them, and refuse them after that.
#[test]
fn arrive_stopping() {
    let mut kit = Kit::with_engines(1);
    kit.tick(vec![Event::StopRequested]);
    kit.arrive().expect("requests are accepted during the stop grace");
    kit.advance(Duration::from_secs(2));
    assert_eq!(kit.arrive(), Err(ResultCode::Leaving));
}

/// A body that does not fit the configuration must be answered with the code of the reason.
#[rstest]
#[case::unknown_model(BodySummary { target: Target::Model("x".into()), ..chat() }, ResultCode::UnknownModel)]
#[case::unknown_service(BodySummary { target: Target::Service("x".into()), ..chat() }, ResultCode::UnknownService)]
#[case::no_idempotency_key(charge(None), ResultCode::IdempotencyKeyMissing)]
fn read_body_refused(#[case] body: BodySummary, #[case] code: ResultCode) {
    let mut kit = Kit::with_engines(1);
    let request = kit.arrive().expect("it is admitted");
    let effects = kit.tick(vec![Event::BodyRead { request, body }]);
    assert_eq!(answered_code(&effects), Some(code));
}

/// A caller that never sends its body must not hold memory for longer than the body time limit of
/// 60 s.
#[test]
fn read_body_never_sent() {
    let mut kit = Kit::with_engines(1);
    kit.arrive().expect("it is admitted");
    let effects = kit.advance(Duration::from_secs(61));
    assert_eq!(answered_code(&effects), Some(ResultCode::ExpiredBeforeDispatch));
    assert_eq!(kit.world.body_bytes, 0);
}

/// A request must not run unless the store confirmed that it created its record. In the cases
/// `unknown` and `not_created` the record may be its own, so the request also finishes it.
#[rstest]
#[case::created_elsewhere(RecordAnswer::Exists { digest: 9, state: RecordState::InProgress }, ResultCode::InProgress)]
#[case::lost_elsewhere(RecordAnswer::Exists { digest: 9, state: RecordState::Lost }, ResultCode::OutcomeUnknown)]
#[case::other_body(RecordAnswer::Exists { digest: 8, state: RecordState::Finished }, ResultCode::IdempotencyKeyReused)]
#[case::unknown(RecordAnswer::Unknown, ResultCode::StoreUnavailable)]
#[case::not_created(RecordAnswer::NotCreated, ResultCode::StoreUnavailable)]
fn record_not_own(#[case] answer: RecordAnswer, #[case] code: ResultCode) {
    let mut kit = service_kit();
    let request = kit.arrive().expect("it is admitted");
    let effects = kit.tick(vec![Event::BodyRead { request, body: charge(Some("k")) }]);
    assert_eq!(dispatched(&effects), None);
    // Only a record that this request may have created is finished by it.
    let is_own = matches!(answer, RecordAnswer::Unknown | RecordAnswer::NotCreated);
    let effects = kit.tick(vec![Event::RecordAnswered { request, answer }]);
    assert_eq!(answered_code(&effects), Some(code));
    assert_eq!(dispatched(&effects), None);
    assert_eq!(kit.next_dispatch(), None);
    assert_eq!(finished_record(&effects).is_some(), is_own);
}

/// A failed attempt of an unrepeatable request may have run, so another attempt could run it twice.
#[test]
fn record_created_runs_once() {
    let mut kit = service_kit();
    let request = kit.arrive().expect("it is admitted");
    kit.tick(vec![Event::BodyRead { request, body: charge(Some("k")) }]);
    let answer = RecordAnswer::Created;
    let effects = kit.tick(vec![Event::RecordAnswered { request, answer }]);
    let attempt = dispatched(&effects).expect("it is dispatched").attempt;
    let code = ResultCode::AnswerCut;
    let effects = kit.tick(vec![Event::AttemptFailed { attempt, code, resumable: true }]);
    assert_eq!(answered_code(&effects), Some(ResultCode::OutcomeUnknown));
    assert_eq!(finished_record(&effects), Some(ResultCode::OutcomeUnknown));
    assert_eq!(kit.next_dispatch(), None);
}

/// An attempt that a side process refused did not run, so the request must not end with an
/// unknown outcome.
#[test]
fn record_created_but_refused_by_side() {
    let mut kit = service_kit();
    let request = kit.arrive().expect("it is admitted");
    kit.tick(vec![Event::BodyRead { request, body: charge(Some("k")) }]);
    let effects = kit.tick(vec![Event::RecordAnswered { request, answer: RecordAnswer::Created }]);
    let attempt = dispatched(&effects).expect("it is dispatched").attempt;
    let code = ResultCode::Leaving;
    kit.tick(vec![Event::AttemptRefused { attempt, code, retry_after: None }]);
    // The request may be sent again until the service's time limit of 30 s; its code is "not run".
    let effects = kit.advance(Duration::from_secs(31));
    assert_eq!(answered_code(&effects), Some(ResultCode::ExpiredBeforeDispatch));
    assert_eq!(finished_record(&effects), Some(ResultCode::ExpiredBeforeDispatch));
}

/// The caller of an unrepeatable request is answered at the deadline, but the outcome of the
/// running attempt must still reach the record.
#[test]
fn expire_unrepeatable_awaits_record() {
    let mut kit = service_kit();
    let request = kit.arrive().expect("it is admitted");
    kit.tick(vec![Event::BodyRead { request, body: charge(Some("k")) }]);
    let effects = kit.tick(vec![Event::RecordAnswered { request, answer: RecordAnswer::Created }]);
    let attempt = dispatched(&effects).expect("it is dispatched").attempt;
    // The time limit of the service is 30 s.
    let effects = kit.advance(Duration::from_secs(31));
    assert_eq!(answered_code(&effects), Some(ResultCode::OutcomeUnknown));
    assert_eq!(finished_record(&effects), None);
    let effects = kit.tick(vec![Event::AttemptCompleted { attempt, output_tokens: 0 }]);
    assert_eq!(finished_record(&effects), Some(ResultCode::Ok));
}

/// Creates the answer for an abandoned record whose creator could dispatch to one incarnation of
/// the service's side process.
fn abandoned(incarnation: u64) -> RecordAnswer {
    RecordAnswer::Abandoned {
        digest: 9,
        id: RequestId(77),
        age: Duration::from_secs(60),
        eligible_instances: vec![EligibleInstance {
            vm: vm(0).id,
            incarnation: Incarnation(incarnation),
        }],
    }
}

/// An abandoned record may be taken over only once the side processes have confirmed that the
/// request of its creator never runs; otherwise both requests could run.
#[test]
fn record_abandoned_fenced() {
    let mut kit = service_kit();
    let request = kit.arrive().expect("it is admitted");
    kit.tick(vec![Event::BodyRead { request, body: charge(Some("k")) }]);
    let effects = kit.tick(vec![Event::RecordAnswered { request, answer: abandoned(7) }]);
    let is_fenced = effects.iter().any(|effect| matches!(effect, Effect::FenceRequest { .. }));
    assert!(is_fenced, "{effects:?}");
    let effects = kit.tick(vec![Event::FenceAnswered { request, never_runs: true }]);
    let takes_over = effects.iter().any(|effect| matches!(effect, Effect::TakeOverRecord { .. }));
    assert!(takes_over && dispatched(&effects).is_none(), "{effects:?}");
    let effects = kit.tick(vec![Event::RecordAnswered { request, answer: RecordAnswer::Created }]);
    assert!(dispatched(&effects).is_some());
}

/// If the abandoned request may have run, the new one must not run and must leave the record as it
/// is.
#[test]
fn record_abandoned_may_have_run() {
    let mut kit = service_kit();
    let request = kit.arrive().expect("it is admitted");
    kit.tick(vec![Event::BodyRead { request, body: charge(Some("k")) }]);
    kit.tick(vec![Event::RecordAnswered { request, answer: abandoned(7) }]);
    let effects = kit.tick(vec![Event::FenceAnswered { request, never_runs: false }]);
    assert_eq!(answered_code(&effects), Some(ResultCode::OutcomeUnknown));
    assert_eq!(finished_record(&effects), None);
}

/// A restarted side process does not know what its earlier incarnation ran, so the outcome of the
/// abandoned request is unknown.
#[test]
fn record_abandoned_instance_replaced() {
    let mut kit = service_kit();
    let request = kit.arrive().expect("it is admitted");
    kit.tick(vec![Event::BodyRead { request, body: charge(Some("k")) }]);
    let effects = kit.tick(vec![Event::RecordAnswered { request, answer: abandoned(6) }]);
    assert_eq!(answered_code(&effects), Some(ResultCode::OutcomeUnknown));
}

/// A request is dispatched only to the incarnations of side processes that its record lists.
#[test]
fn record_created_side_replaced() {
    let mut kit = Kit::new();
    let keys = connects(&kit.tick(vec![Event::VmListRead { vms: vec![vm(0)] }]));
    let target = Target::Service("orders".into());
    kit.send_hello(keys[0], target.clone());
    let request = kit.arrive().expect("it is admitted");
    kit.tick(vec![Event::BodyRead { request, body: charge(Some("k")) }]);
    let hello = Hello { incarnation: Incarnation(8), targets: vec![target], is_leaving: false };
    kit.tick(vec![Event::BackendServerHello { backend_server: keys[0], hello }]);
    let effects = kit.tick(vec![Event::RecordAnswered { request, answer: RecordAnswer::Created }]);
    assert_eq!(dispatched(&effects), None);
    let refusal = (0..60).find_map(|_| answered_code(&kit.advance(Duration::from_millis(100))));
    assert_eq!(refusal, Some(ResultCode::NoBackendServer));
}

/// A record created while no backend server is ready would list no side process, and its request
/// could never be dispatched.
#[test]
fn record_waits_for_backend_server() {
    let mut kit = Kit::new();
    let request = kit.arrive().expect("it is admitted");
    let effects = kit.tick(vec![Event::BodyRead { request, body: charge(Some("k")) }]);
    let creates = |effects: &[Effect]| {
        effects.iter().any(|effect| matches!(effect, Effect::CreateRecord { .. }))
    };
    assert!(!creates(&effects));
    let keys = connects(&kit.tick(vec![Event::VmListRead { vms: vec![vm(0)] }]));
    kit.send_hello(keys[0], Target::Service("orders".into()));
    // Placement is retried after at most 50 ms.
    assert!(creates(&kit.advance(Duration::from_millis(60))));
}

/// Creates an entry with one ready backend server for the plain service.
fn service_kit() -> Kit {
    let mut kit = Kit::new();
    let keys = connects(&kit.tick(vec![Event::VmListRead { vms: vec![vm(0)] }]));
    kit.send_hello(keys[0], Target::Service("orders".into()));
    kit
}
