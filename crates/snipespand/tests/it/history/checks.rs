//! What must fit together afterwards.

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

/// Time over its limit in which a request must have ended. A frozen entry holds its callers for
/// as long as it is frozen, which is at most five seconds here.
const END_GRACE: Duration = Duration::from_secs(2 + 5);

/// Time in which engine memory must be free.
const MEMORY_FREE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time in which a key that is in progress must have settled.
const IN_PROGRESS_TIMEOUT: Duration = Duration::from_secs(60);

/// All that does not fit, each with what was seen of it.
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
                violations.push(format!("too late: {observation:?}"));
            }
            Observation::Charge { .. } => {}
        }
    }
    check_charges(fleet, history, &mut violations).await;
    check_memory(fleet, &mut violations).await;
    check_revisions(fleet, revisions, &mut violations).await;
    violations
}

/// Identities of the requests that an engine began to run.
fn started_request_ids(fleet: &Fleet) -> BTreeSet<String> {
    let logs = fleet.engines.iter().flat_map(|engine| engine.log().started.into_keys());
    logs.filter_map(|identity| identity.split('-').next().map(str::to_owned)).collect()
}

fn check_chat(
    prompt: &str,
    outcome: &ChatOutcome,
    started: &BTreeSet<String>,
    violations: &mut Vec<String>,
) {
    let expected = expected_answer(prompt, OUTPUT_TOKENS);
    if outcome.total > TIME_LIMIT + END_GRACE {
        violations.push(format!("too late: {outcome:?}"));
    }
    if outcome.is_complete && outcome.text != expected {
        violations.push(format!("ended whole and is not: {outcome:?}"));
    }
    if !expected.starts_with(&outcome.text) {
        violations.push(format!("part of another answer: {outcome:?}"));
    }
    let is_not_run = outcome.code.is_some_and(ResultCode::is_not_run);
    let has_run = outcome.request_id.as_ref().is_some_and(|id| started.contains(id.as_str()));
    if is_not_run && has_run {
        violations.push(format!("said not run, and ran: {outcome:?}"));
    }
}

/// Asks for every key once more and compares all that was said of it with what ran.
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
        let describe = |what: &str| format!("{what}: {key} ran {runs} times, said: {reported:?}");
        if runs > 1 {
            violations.push(describe("ran twice"));
        }
        if runs == 0 && reported.iter().any(|(status, _)| *status == 200) {
            violations.push(describe("said done, and did not run"));
        }
        let is_not_run = |code: &Option<ResultCode>| code.is_some_and(ResultCode::is_not_run);
        if runs > 0 && reported.iter().all(|(_, code)| is_not_run(code)) {
            violations.push(describe("said not run, and ran"));
        }
        let Some(code) = wait_for_result(fleet, key).await else {
            violations.push(describe("never settled"));
            continue;
        };
        let runs = fleet.service.executions().get(key).copied().unwrap_or(0);
        let is_consistent = match code.class() {
            Class::Ok => runs == 1,
            Class::NotRun => runs == 0,
            Class::Failed | Class::Unknown => runs <= 1,
        };
        if !is_consistent {
            violations.push(format!("{key} settled as {code} and ran {runs} times"));
        }
    }
}

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

async fn check_memory(fleet: &Fleet, violations: &mut Vec<String>) {
    let started = Instant::now();
    for engine in &fleet.engines {
        while !engine.held().is_empty() {
            if started.elapsed() > MEMORY_FREE_TIMEOUT {
                violations.push(format!("engine memory is lost: {:?}", engine.held()));
                break;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn check_revisions(fleet: &Fleet, revisions: &Revisions, violations: &mut Vec<String>) {
    let mut newest: BTreeMap<usize, u64> = BTreeMap::new();
    for (entry, revision) in &revisions.in_force {
        let before = newest.insert(*entry, *revision).unwrap_or(0);
        if *revision < before {
            violations.push(format!("entry {entry} went back from {before} to {revision}"));
        }
    }
    let mut seen_revisions = BTreeSet::new();
    for (id, revision) in &revisions.accepted {
        if !seen_revisions.insert(*revision) {
            violations.push(format!("two changes made revision {revision}, one is {id}"));
        }
    }
    let last = revisions.accepted.iter().map(|(_, revision)| *revision).max().unwrap_or(0);
    for entry in &fleet.entries {
        let revision = fleet.env.operator(entry).await.revision().await;
        if revision < last {
            violations.push(format!("revision {last} was accepted, in force is {revision}"));
        }
    }
}
