//! Checks of the observations of a run against what ran at the backend servers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use snipespan_caller::outcome::ChatOutcome;
use snipespan_core::result_code::Class;
use snipespan_core::result_code::ResultCode;
use snipespan_fakes::model_engine::expected_answer;

use crate::harness::Fleet;
use crate::harness::charge;
use crate::history::OUTPUT_TOKENS;
use crate::history::Observation;
use crate::history::TIME_LIMIT;
use crate::history::faults::Revisions;
use crate::history::first_caller;

/// Maximum time after its time limit at which a request ends, as its caller measures it: two
/// seconds, and the maximum of five seconds for which a fault freezes its entry.
const END_GRACE: Duration = Duration::from_secs(2 + 5);

/// Maximum time until the engines' memory is free after the last request.
const MEMORY_FREE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum time for which a charge may be reported as in progress, or not be answered with a code,
/// after the faults have ended.
const IN_PROGRESS_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns a description of each violation.
pub(super) async fn find_violations(
    fleet: &Fleet,
    history: &[Observation],
    revisions: &Revisions,
) -> Vec<String> {
    let mut violations = Vec::new();
    let started = started_request_ids(fleet);
    for observation in history {
        match observation {
            Observation::Chat { prompt, outcome } => {
                check_chat(prompt, outcome, &started, &mut violations);
            }
            Observation::Charge { outcome, .. } if outcome.total > TIME_LIMIT + END_GRACE => {
                violations.push(format!(
                    "ended more than {END_GRACE:?} after the time limit of {TIME_LIMIT:?}: \
                     {observation:?}"
                ));
            }
            Observation::Charge { .. } => {}
        }
    }
    check_charges(fleet, history, &mut violations).await;
    check_memory(fleet, &mut violations).await;
    check_revisions(fleet, revisions, &mut violations).await;
    violations
}

/// Returns the ids of the requests that an engine has started.
fn started_request_ids(fleet: &Fleet) -> BTreeSet<String> {
    let logs = fleet.engines.iter().flat_map(|engine| engine.log().started.into_keys());
    logs.filter_map(|identity| identity.split('-').next().map(str::to_owned)).collect()
}

/// Checks that a chat ended in time, that its text is its own answer or a prefix of it, and that it
/// did not run if it was reported as not run.
fn check_chat(
    prompt: &str,
    outcome: &ChatOutcome,
    started: &BTreeSet<String>,
    violations: &mut Vec<String>,
) {
    let expected = expected_answer(prompt, OUTPUT_TOKENS);
    if outcome.total > TIME_LIMIT + END_GRACE {
        violations.push(format!(
            "ended more than {END_GRACE:?} after the time limit of {TIME_LIMIT:?}: {outcome:?}"
        ));
    }
    if outcome.is_complete && outcome.text != expected {
        violations
            .push(format!("reported as complete with a text other than {expected:?}: {outcome:?}"));
    }
    if !expected.starts_with(&outcome.text) {
        violations.push(format!("the text is not a prefix of {expected:?}: {outcome:?}"));
    }
    let is_not_run = outcome.code.is_some_and(ResultCode::is_not_run);
    let has_run = outcome.request_id.as_ref().is_some_and(|id| started.contains(id.as_str()));
    if is_not_run && has_run {
        violations.push(format!("reported as not run, but ran: {outcome:?}"));
    }
}

/// Compares the reported outcomes of every idempotency key with the number of executions at the
/// service, then retries its charge and compares the result of the retry as well.
async fn check_charges(fleet: &Fleet, history: &[Observation], violations: &mut Vec<String>) {
    let mut reported: BTreeMap<&str, Vec<(u16, Option<ResultCode>)>> = BTreeMap::new();
    for observation in history {
        if let Observation::Charge { key, outcome } = observation {
            reported.entry(key).or_default().push((outcome.status, outcome.code));
        }
    }
    let executions = fleet.service.executions();
    for (key, reported) in reported {
        let runs = executions.get(key).copied().unwrap_or(0);
        let describe =
            |what: &str| format!("{what}: {key} ran {runs} times, reported: {reported:?}");
        if runs > 1 {
            violations.push(describe("ran more than once"));
        }
        if runs == 0 && reported.iter().any(|(status, _)| *status == 200) {
            violations.push(describe("reported as done, but did not run"));
        }
        let is_not_run = |code: &Option<ResultCode>| code.is_some_and(ResultCode::is_not_run);
        if runs > 0 && reported.iter().all(|(_, code)| is_not_run(code)) {
            violations.push(describe("reported as not run, but ran"));
        }
        let Some(code) = wait_for_result(fleet, key).await else {
            violations.push(describe(&format!(
                "still in progress or without a code {IN_PROGRESS_TIMEOUT:?} after the faults"
            )));
            continue;
        };
        let runs = fleet.service.executions().get(key).copied().unwrap_or(0);
        let is_consistent = match code.class() {
            Class::Ok => runs == 1,
            Class::NotRun => runs == 0,
            Class::Failed | Class::Unknown => runs <= 1,
        };
        if !is_consistent {
            violations.push(format!("the retry of {key} ended as {code}, and it ran {runs} times"));
        }
    }
}

/// Retries the charge with an idempotency key until it is answered with a code other than "in
/// progress", and returns the code, or `None` after [`IN_PROGRESS_TIMEOUT`].
async fn wait_for_result(fleet: &Fleet, key: &str) -> Option<ResultCode> {
    let started = Instant::now();
    while started.elapsed() < IN_PROGRESS_TIMEOUT {
        let outcome = first_caller(fleet).call(&charge(key)).await;
        match outcome.code {
            Some(ResultCode::InProgress) | None => {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            Some(code) => return Some(code),
        }
    }
    None
}

/// Checks that no engine holds a stream any more after [`MEMORY_FREE_TIMEOUT`].
async fn check_memory(fleet: &Fleet, violations: &mut Vec<String>) {
    let started = Instant::now();
    for engine in &fleet.engines {
        while !engine.held_streams().is_empty() {
            if started.elapsed() > MEMORY_FREE_TIMEOUT {
                violations.push(format!(
                    "engine memory is not free after {MEMORY_FREE_TIMEOUT:?}, streams: {:?}",
                    engine.held_streams()
                ));
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Checks that no entry reverted to an older revision, that each accepted change has a revision of
/// its own, and that every entry has the last accepted one in force.
async fn check_revisions(fleet: &Fleet, revisions: &Revisions, violations: &mut Vec<String>) {
    let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
    for (entry, revision) in &revisions.in_force {
        let before = newest.insert(*entry, *revision).unwrap_or(0);
        if *revision < before {
            violations.push(format!("entry {entry} reverted from revision {before} to {revision}"));
        }
    }
    let mut seen_revisions = BTreeSet::new();
    for (id, revision) in &revisions.accepted {
        if !seen_revisions.insert(*revision) {
            violations
                .push(format!("two changes were accepted as revision {revision}, one is {id}"));
        }
    }
    let last = revisions.accepted.iter().map(|(_, revision)| *revision).max().unwrap_or(0);
    for entry in &fleet.entries {
        let revision = fleet.env.connect_operator(entry).await.revision().await;
        if revision < last {
            violations.push(format!(
                "revision {last} was accepted, but the entry at {} has {revision} in force",
                entry.address("entry", "operators")
            ));
        }
    }
}
