//! Tests of evacuated data centres: no new work, and refusals that are made at once and are true.

use std::time::Duration;

use rstest::rstest;
use snipespan_core::configuration::Change;
use snipespan_core::configuration::ChangeError;
use snipespan_core::configuration::Configuration;
use snipespan_core::entry::decision::Decision;
use snipespan_core::entry::effect::Effect;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::event::RecordAnswer;
use snipespan_core::entry::event::Vm;
use snipespan_core::entry::systems::availability::SendObstacle;
use snipespan_core::identity::DataCentre;
use snipespan_core::identity::Target;
use snipespan_core::keys::BackendServerKey;
use snipespan_core::result_code::DEFAULT_RETRY_DELAY;
use snipespan_core::result_code::ResultCode;

use crate::kit::Kit;
use crate::kit::answered_code;
use crate::kit::charge;
use crate::kit::chat;
use crate::kit::configuration;
use crate::kit::connects;
use crate::kit::vm;

fn name(data_centre: &str) -> DataCentre {
    DataCentre(data_centre.into())
}

fn vm_in(data_centre: &str, index: u64) -> Vm {
    Vm { data_centre: name(data_centre), ..vm(index) }
}

/// Lists a VM in each of `data_centres`, and connects the side processes of all but the last
/// `unconnected` of them.
fn list(kit: &mut Kit, data_centres: &[&str], unconnected: usize) -> Vec<BackendServerKey> {
    let vms = (0..).zip(data_centres).map(|(index, name)| vm_in(name, index)).collect();
    let keys = connects(&kit.tick(vec![Event::VmListRead { vms }]));
    for key in &keys[..keys.len() - unconnected] {
        kit.send_hello(*key, Target::Model("drafts".into()));
    }
    keys
}

fn evacuate(kit: &mut Kit, revision: u64, data_centres: &[&str]) -> Vec<Effect> {
    let evacuated = data_centres.iter().map(|data_centre| name(data_centre)).collect();
    let configuration = Configuration { evacuated, ..configuration(revision) };
    kit.tick(vec![Event::ConfigurationReceived(Box::new(configuration))])
}

fn refusal(effects: &[Effect]) -> Option<SendObstacle> {
    effects.iter().find_map(|effect| match effect {
        Effect::LogDecision(decision) => match &**decision {
            Decision::Refused { reason, .. } => Some(*reason),
            _ => None,
        },
        _ => None,
    })
}

/// First placements must avoid an evacuated data centre, which gets work again once it is restored.
#[test]
fn place_evacuated_and_restored() {
    let mut kit = Kit::new();
    let keys = list(&mut kit, &["graz-1", "graz-2"], 0);
    evacuate(&mut kit, 2, &["graz-2"]);
    for _ in 0..3 {
        assert_eq!(kit.dispatch_request().1.backend_server, keys[0]);
    }
    evacuate(&mut kit, 3, &["graz-1"]);
    assert_eq!(kit.dispatch_request().1.backend_server, keys[1]);
    evacuate(&mut kit, 4, &["graz-2"]);
    assert_eq!(kit.dispatch_request().1.backend_server, keys[0]);
}

/// A retry and a resumed stream must avoid a data centre that was evacuated while the first attempt
/// was open, even though the request avoids the backend server that failed.
#[rstest]
#[case::refused(|attempt| Event::AttemptRefused { attempt, code: ResultCode::QueueFull, retry_after: None })]
#[case::resumed(|attempt| Event::AttemptFailed { attempt, code: ResultCode::AnswerCut, resumable: true })]
fn retry_evacuated(#[case] end: fn(snipespan_core::keys::AttemptKey) -> Event) {
    let mut kit = Kit::new();
    list(&mut kit, &["graz-1", "graz-2"], 0);
    let (_, first) = kit.dispatch_request();
    let row = kit.world.backend_servers.rows.get(first.backend_server).unwrap();
    let other = if row.vm.data_centre == name("graz-1") { "graz-2" } else { "graz-1" };
    evacuate(&mut kit, 2, &[other]);
    kit.tick(vec![end(first.attempt)]);
    assert_eq!(kit.next_dispatch().unwrap().backend_server, first.backend_server);
}

/// A request that is open in a data centre when it is evacuated must go on to its end.
#[test]
fn evacuate_open_request() {
    let mut kit = Kit::new();
    list(&mut kit, &["graz-1"], 0);
    let (_, dispatch) = kit.dispatch_request();
    let effects = evacuate(&mut kit, 2, &["graz-1"]);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::CancelAttempt { .. })));
    let event = Event::AttemptCompleted { attempt: dispatch.attempt, output_tokens: 5 };
    kit.tick(vec![event]);
    assert_eq!(kit.world.counters.completed, 1);
}

/// With all data centres evacuated a request must be refused at once, as not run and with the
/// default delay, rather than wait for the placing limit.
#[test]
fn refuse_all_evacuated() {
    let mut kit = Kit::new();
    list(&mut kit, &["graz-1", "graz-2"], 0);
    evacuate(&mut kit, 2, &["graz-1", "graz-2"]);
    let request = kit.arrive().unwrap();
    let effects = kit.tick(vec![Event::BodyRead { request, body: chat() }]);
    assert_eq!(answered_code(&effects), Some(ResultCode::NoBackendServer));
    assert_eq!(refusal(&effects), Some(SendObstacle::Evacuated));
    let delay = effects.iter().find_map(|effect| match effect {
        Effect::AnswerWithCode { retry_after, .. } => *retry_after,
        _ => None,
    });
    assert_eq!(delay, Some(DEFAULT_RETRY_DELAY));
    assert_eq!(kit.world.counters.refused_evacuated, 1);
}

/// A request that may have run must not be answered as not run when no data centre is left.
#[test]
fn refuse_after_failed_attempt() {
    let mut kit = Kit::new();
    list(&mut kit, &["graz-1"], 0);
    let (_, dispatch) = kit.dispatch_request();
    evacuate(&mut kit, 2, &["graz-1"]);
    let (attempt, code) = (dispatch.attempt, ResultCode::AnswerCut);
    kit.tick(vec![Event::AttemptFailed { attempt, code, resumable: true }]);
    let codes = (0..10).find_map(|_| answered_code(&kit.advance(Duration::from_millis(5))));
    assert_eq!(codes, Some(ResultCode::AnswerCut));
}

/// A backend server whose first connection is still being opened may serve the request, so an entry
/// that has just started must not refuse it; one that cannot be connected must not be waited for.
#[test]
fn wait_for_untried_backend_server() {
    let mut kit = Kit::new();
    let keys = list(&mut kit, &["graz-1", "graz-2"], 1);
    evacuate(&mut kit, 2, &["graz-1"]);
    let request = kit.arrive().unwrap();
    let effects = kit.tick(vec![Event::BodyRead { request, body: chat() }]);
    assert_eq!(answered_code(&effects), None);
    kit.tick(vec![Event::BackendServerLost { backend_server: keys[1] }]);
    let refused = (0..10).find_map(|_| answered_code(&kit.advance(Duration::from_millis(10))));
    assert_eq!(refused, Some(ResultCode::NoBackendServer));
}

/// The durable record of a request that may not be repeated must not list a side process of an
/// evacuated data centre, and the request must not be sent to one that was evacuated since.
#[test]
fn record_evacuated() {
    let mut kit = Kit::new();
    let vms = vec![vm_in("graz-1", 0), vm_in("graz-2", 1)];
    for key in connects(&kit.tick(vec![Event::VmListRead { vms }])) {
        kit.send_hello(key, Target::Service("orders".into()));
    }
    evacuate(&mut kit, 2, &["graz-2"]);
    let request = kit.arrive().unwrap();
    let effects = kit.tick(vec![Event::BodyRead { request, body: charge(Some("a")) }]);
    let record = effects.iter().find_map(|effect| match effect {
        Effect::CreateRecord { record, .. } => Some(record.clone()),
        _ => None,
    });
    let listed: Vec<_> = record.unwrap().eligible_instances.into_iter().map(|i| i.vm).collect();
    assert_eq!(listed, [vm(0).id]);
    evacuate(&mut kit, 3, &["graz-1"]);
    let effects = kit.tick(vec![Event::RecordAnswered { request, answer: RecordAnswer::Created }]);
    assert_eq!(answered_code(&effects), Some(ResultCode::NoBackendServer));
}

/// An evacuation of a data centre in which no VM is listed yet must hold for a VM that is listed
/// later.
#[test]
fn evacuate_before_listing() {
    let mut kit = Kit::new();
    evacuate(&mut kit, 2, &["graz-2"]);
    list(&mut kit, &["graz-2"], 0);
    let request = kit.arrive().unwrap();
    let effects = kit.tick(vec![Event::BodyRead { request, body: chat() }]);
    assert_eq!(refusal(&effects), Some(SendObstacle::Evacuated));
}

/// A misspelt name must be refused with the known names, also those whose VMs are gone by now.
#[test]
fn check_known_lists_names() {
    let mut kit = Kit::new();
    list(&mut kit, &["graz-2", "accra-1"], 0);
    kit.tick(vec![Event::VmListRead { vms: Vec::new() }]);
    assert_eq!(kit.world.data_centres.check_known(&name("accra-1")), Ok(()));
    let unknown = kit.world.data_centres.check_known(&name("acra-1")).unwrap_err();
    let message = unknown.to_string();
    assert!(message.contains("accra-1, graz-1, graz-2"), "{message}");
}

/// A change with a bad name, or of a data centre that is not evacuated, must be refused and change
/// nothing.
#[rstest]
#[case::empty_name(Change::Evacuate(name("")), "1 to 200 bytes")]
#[case::long_name(Change::Evacuate(name(&"x".repeat(201))), "1 to 200 bytes")]
#[case::not_evacuated(Change::Restore(name("graz-2")), "evacuated data centres: graz-1")]
fn apply_bad_change(#[case] change: Change, #[case] part: &str) {
    let evacuated = [name("graz-1")].into();
    let current = Configuration { evacuated, ..configuration(1) };
    let error: ChangeError = current.apply(&change).unwrap_err();
    assert!(error.to_string().contains(part), "{error}");
}
