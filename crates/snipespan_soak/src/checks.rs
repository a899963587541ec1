//! The promises, checked on what clients and replicas have seen.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use snipespan_fakes::users_platform::replica::plain_body;
use snipespan_fakes::users_platform::replica::stream_event;

/// Kinds of request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestKind {
    /// A stream that may go on at another replica.
    #[display("stream")]
    Stream,
    /// A stream over several engines.
    #[display("span")]
    Span,
    /// A call that may run once.
    #[display("unsafe")]
    Unsafe,
    /// A call that may run more than once.
    #[display("safe")]
    Safe,
}

/// Events of a stream in a soak.
pub const EVENTS_PER_STREAM: u64 = 8;

/// Most replicas that one request may run on, by its route.
pub const MAX_ATTEMPTS: usize = 2;

/// Time that clients give a request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Time beyond the limit within which the final answer must be there.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// Time within which a change that the store has acknowledged must be in force: two seconds, and
/// a margin for processes that share a busy machine.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: RequestKind,
    /// The gateway.
    pub gateway: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When the answer ended.
    pub ended: Instant,
    /// The status; `None` when the connection ended without one.
    pub status: Option<u16>,
    /// The body as far as it came.
    pub body: String,
    /// Whether the answer ended as a whole one.
    pub is_complete: bool,
    /// Whether it was sent with the API key that configurations take away and give back.
    pub has_revocable_key: bool,
}

/// A run that a replica saw.
#[derive(Clone, Debug)]
pub struct ObservedRun {
    /// The request's id.
    pub id: String,
    /// The replica.
    pub replica: usize,
    /// When it began.
    pub began: Instant,
}

/// A time in which a promise with a time bound does not hold for a gateway.
#[derive(Clone, Copy, Debug)]
pub struct ExemptPeriod {
    /// The gateway; `None` for all.
    pub gateway: Option<usize>,
    /// Its beginning.
    pub from: Instant,
    /// Its end.
    pub until: Instant,
}

/// A state that was written to the store at a time.
#[derive(Clone, Copy, Debug)]
pub struct StoreWrite {
    /// When the store acknowledged it.
    pub acknowledged: Instant,
    /// The replica that drains, or `None` for a configuration.
    pub replica: Option<usize>,
    /// Whether the replica takes work, or the second key is valid.
    pub is_enabled: bool,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// By clients.
    pub requests: Vec<ObservedRequest>,
    /// By replicas.
    pub runs: Vec<ObservedRun>,
    /// Times that excuse time bounds.
    pub exempt_periods: Vec<ExemptPeriod>,
    /// What was written to the store, in order.
    pub store_writes: Vec<StoreWrite>,
    /// Tokens still set aside after all was over.
    pub reserved_tokens: u64,
    /// Gateways that did not end a planned stop well.
    pub failed_stops: usize,
    /// Requests that failed after all faults were over.
    pub failed_after_recovery: Vec<String>,
}

/// A promise that does not hold.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{promise}: {detail}")]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub detail: String,
}

/// Checks all promises.
pub fn check_history(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut report = |promise, detail| violations.push(Violation { promise, detail });
    let mut runs_by_request: BTreeMap<&str, Vec<&ObservedRun>> = BTreeMap::new();
    for run in &history.runs {
        runs_by_request.entry(&run.id).or_default().push(run);
    }
    for request in &history.requests {
        let request_runs = runs_by_request.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_answer(request, &mut report);
        check_runs(request, request_runs, &mut report);
        check_duration(history, request, &mut report);
        check_api_key(history, request, &mut report);
    }
    check_unsent_runs(history, &mut report);
    check_draining_replicas(history, &mut report);
    if history.reserved_tokens > 0 {
        report("memory is freed", format!("{} tokens are set aside", history.reserved_tokens));
    }
    if history.failed_stops > 0 {
        report("a planned stop ends in time", format!("{} did not", history.failed_stops));
    }
    for id in &history.failed_after_recovery {
        report("it recovers", format!("{id} failed after all faults were over"));
    }
    violations
}

fn check_answer(request: &ObservedRequest, report: &mut impl FnMut(&'static str, String)) {
    let Some(200) = request.status else { return };
    let expected = match request.kind {
        RequestKind::Stream | RequestKind::Span => {
            (1..=EVENTS_PER_STREAM).map(stream_event).collect()
        }
        RequestKind::Unsafe | RequestKind::Safe => plain_body(&request.id),
    };
    let is_correct = match request.is_complete {
        true => request.body == expected,
        false => expected.starts_with(&request.body),
    };
    if !is_correct {
        let detail = format!(
            "{} {} whole={} {:?}",
            request.kind, request.id, request.is_complete, request.body
        );
        report("an answer is whole and the caller's own", detail);
    }
}

fn check_runs(
    request: &ObservedRequest,
    runs: &[&ObservedRun],
    report: &mut impl FnMut(&'static str, String),
) {
    if request.kind == RequestKind::Unsafe && runs.len() > 1 {
        report("an unsafe request runs at most once", format!("{} ran {}", request.id, runs.len()));
    }
    if runs.len() > MAX_ATTEMPTS {
        report("no more runs than the route allows", format!("{} ran {}", request.id, runs.len()));
    }
    let reports_not_run = matches!(request.status, Some(408 | 421 | 429 | 503));
    if reports_not_run && !runs.is_empty() {
        report("'not run' is true", format!("{} {} ran {}", request.kind, request.id, runs.len()));
    }
}

fn check_duration(
    history: &History,
    request: &ObservedRequest,
    report: &mut impl FnMut(&'static str, String),
) {
    let elapsed = request.ended - request.sent;
    let is_late = elapsed > REQUEST_TIMEOUT + ANSWER_SLACK;
    if is_late && !is_exempt(history, Some(request.gateway), request.sent, request.ended) {
        report("a request ends in its time", format!("{} took {elapsed:?}", request.id));
    }
}

fn check_api_key(
    history: &History,
    request: &ObservedRequest,
    report: &mut impl FnMut(&'static str, String),
) {
    let from = request.sent - PROPAGATION_LIMIT;
    if !request.has_revocable_key || is_exempt(history, Some(request.gateway), from, request.ended)
    {
        return;
    }
    let states = history.store_writes.iter().filter(|write| write.replica.is_none());
    let before: Vec<_> =
        states.clone().filter(|write| write.acknowledged <= request.ended).collect();
    let is_in_force = before.last().is_some_and(|write| write.acknowledged <= from);
    let is_valid = before.last().is_none_or(|write| write.is_enabled);
    let is_denied = request.status == Some(401);
    if is_in_force && is_denied == is_valid {
        let detail =
            format!("{} got {:?} with a key that is valid={is_valid}", request.id, request.status);
        report("a configuration is in force and stays so", detail);
    }
}

fn check_unsent_runs(history: &History, report: &mut impl FnMut(&'static str, String)) {
    for run in &history.runs {
        if !history.requests.iter().any(|request| request.id == run.id) {
            report("only what a client sent runs", format!("{} was not sent", run.id));
        }
    }
}

fn check_draining_replicas(history: &History, report: &mut impl FnMut(&'static str, String)) {
    for run in &history.runs {
        let mut states =
            history.store_writes.iter().filter(|write| write.replica == Some(run.replica));
        let last = states.rfind(|write| write.acknowledged <= run.began);
        let Some(drained) = last.filter(|last| !last.is_enabled) else { continue };
        let is_late = run.began - drained.acknowledged > PROPAGATION_LIMIT;
        let gateway = history
            .requests
            .iter()
            .find(|request| request.id == run.id)
            .map(|request| request.gateway);
        if is_late && !is_exempt(history, gateway, drained.acknowledged, run.began) {
            let after = run.began - drained.acknowledged;
            report("a draining replica gets nothing new", format!("{} {after:?} later", run.id));
        }
    }
}

fn is_exempt(history: &History, gateway: Option<usize>, from: Instant, until: Instant) -> bool {
    history.exempt_periods.iter().any(|period| {
        let applies = period.gateway.is_none() || period.gateway == gateway;
        // A gateway needs some time after a fault to reach all others again.
        applies && period.from <= until && from <= period.until + PROPAGATION_LIMIT
    })
}
