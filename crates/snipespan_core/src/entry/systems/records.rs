//! Durable records, which ensure that a request that may not be repeated runs at most once.
//!
//! Such a request is dispatched only after this entry has created its record.

use crate::entry::effect::Effect;
use crate::entry::effect::RecordSpec;
use crate::entry::event::Event;
use crate::entry::event::RecordAnswer;
use crate::entry::event::RecordState;
use crate::entry::systems::availability;
use crate::entry::systems::ending;
use crate::entry::systems::placing;
use crate::entry::tables::backend_servers::BackendServer;
use crate::entry::tables::requests::Request;
use crate::entry::world::World;
use crate::identity::EligibleInstance;
use crate::identity::Incarnation;
use crate::keys::BackendServerKey;
use crate::keys::RequestKey;
use crate::lifecycle::request::RequestEvent;
use crate::result_code::ResultCode;
use crate::time::Timestamp;

/// Handles the store's answers and the outcomes of fencing abandoned requests.
pub fn run(world: &mut World, now: Timestamp, events: &[Event], effects: &mut Vec<Effect>) {
    for event in events {
        match event {
            Event::RecordAnswered { request, answer } => {
                handle_record_answer(world, now, *request, answer, effects);
            }
            Event::FenceAnswered { request, never_runs } => {
                handle_fence_result(world, *request, *never_runs, effects);
            }
            _ => {}
        }
    }
}

/// Requests the creation of a request's record, or defers it until a backend server is ready.
///
/// The record lists the side processes to which the request may be dispatched, so that another
/// entry can fence the request there if this one fails.
pub fn create_record(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    effects: &mut Vec<Effect>,
) {
    let Some(request) = world.requests.get(key) else { return };
    let instances = ready_instances(world, request);
    if instances.is_empty() {
        placing::defer_placement(world, now, key, effects);
        return;
    }
    let eligible_instances = instances.iter().filter_map(|(server, incarnation)| {
        let row = world.backend_servers.rows.get(*server)?;
        Some(EligibleInstance { vm: row.vm.id.clone(), incarnation: *incarnation })
    });
    let eligible_instances = eligible_instances.collect();
    let Some(request) = world.requests.get_mut(key) else { return };
    let Some(idempotency) = &request.idempotency else { return };
    let record = RecordSpec {
        account: request.account_name.clone(),
        key: idempotency.key.clone(),
        digest: idempotency.digest,
        id: request.id,
        remaining: request.deadline.since(now),
        eligible_instances,
    };
    request.eligible_instances = instances;
    effects.push(Effect::CreateRecord { caller: request.caller, record });
}

/// Returns the ready backend servers of a request's target with their incarnations.
fn ready_instances(world: &World, request: &Request) -> Vec<(BackendServerKey, Incarnation)> {
    let Some(target) = &request.target else { return Vec::new() };
    let servers = world.backend_servers.find_by_target(target).iter();
    let instances = servers.filter_map(|key| {
        let row = world.backend_servers.rows.get(*key)?;
        availability::may_be_recorded(world, *key, request).then_some((*key, incarnation(row)?))
    });
    instances.collect()
}

fn incarnation(row: &BackendServer) -> Option<Incarnation> {
    row.hello.as_ref().map(|hello| hello.incarnation)
}

fn handle_record_answer(
    world: &mut World,
    now: Timestamp,
    key: RequestKey,
    answer: &RecordAnswer,
    effects: &mut Vec<Effect>,
) {
    match answer {
        RecordAnswer::Created => {
            let Some(row) = world.requests.get_mut(key) else { return };
            row.lifecycle.handle(&RequestEvent::Recorded);
            world.schedule_placement(key, now);
        }
        RecordAnswer::Exists { digest, state } => {
            if check_same_digest(world, key, *digest, effects) {
                answer_from_record(world, key, *state, effects);
            }
        }
        RecordAnswer::Abandoned { digest, id, age, eligible_instances } => {
            if !check_same_digest(world, key, *digest, effects) {
                return;
            }
            let Some(caller) = world.requests.get(key).map(|row| row.caller) else { return };
            match connected_instances(world, eligible_instances) {
                Some(backend_servers) => {
                    let (id, age) = (*id, *age);
                    effects.push(Effect::FenceRequest { caller, id, age, backend_servers });
                }
                None => ending::end_with_code(world, key, ResultCode::OutcomeUnknown, effects),
            }
        }
        RecordAnswer::NotCreated | RecordAnswer::Unknown => {
            ending::end_with_code(world, key, ResultCode::StoreUnavailable, effects);
        }
    }
}

/// Marks the record as created by another request and returns whether its digest equals that of
/// this request; ends this request if it does not.
fn check_same_digest(
    world: &mut World,
    key: RequestKey,
    digest: u128,
    effects: &mut Vec<Effect>,
) -> bool {
    let Some(row) = world.requests.get_mut(key) else { return false };
    row.is_record_foreign = true;
    let has_same_digest = row.idempotency.as_ref().is_some_and(|own| own.digest == digest);
    if !has_same_digest {
        ending::end_with_code(world, key, ResultCode::IdempotencyKeyReused, effects);
    }
    has_same_digest
}

/// Answers the caller according to the record that another request created.
fn answer_from_record(
    world: &mut World,
    key: RequestKey,
    state: RecordState,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get(key) else { return };
    match state {
        RecordState::Finished => {
            effects.push(Effect::ReplayRecord { caller: row.caller });
            ending::finish_request(world, key, ResultCode::Ok, 0, effects);
        }
        RecordState::InProgress => {
            ending::end_with_code(world, key, ResultCode::InProgress, effects)
        }
        RecordState::Lost => ending::end_with_code(world, key, ResultCode::OutcomeUnknown, effects),
    }
}

/// Returns the backend servers of all eligible instances.
///
/// Returns `None` if an instance is not connected with the listed incarnation, as it can then no
/// longer be known what that incarnation ran.
fn connected_instances(
    world: &World,
    eligible_instances: &[EligibleInstance],
) -> Option<Vec<BackendServerKey>> {
    let servers = eligible_instances.iter().map(|instance| {
        let key = world.backend_servers.find_by_vm(&instance.vm)?;
        let row = world.backend_servers.rows.get(key)?;
        (incarnation(row) == Some(instance.incarnation)).then_some(key)
    });
    servers.collect()
}

fn handle_fence_result(
    world: &mut World,
    key: RequestKey,
    never_runs: bool,
    effects: &mut Vec<Effect>,
) {
    let Some(row) = world.requests.get_mut(key) else { return };
    if !never_runs {
        ending::end_with_code(world, key, ResultCode::OutcomeUnknown, effects);
        return;
    }
    row.is_record_foreign = false;
    effects.push(Effect::TakeOverRecord { caller: row.caller });
}
