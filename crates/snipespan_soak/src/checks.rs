//! Checks of the promises of the gateways against what clients and replicas observed.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use snipespan_fakes::users_platform::replica::plain_body;
use snipespan_fakes::users_platform::replica::stream_event;

/// Kind of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RequestKind {
    /// A stream that another replica may resume.
    #[display("stream")]
    Stream,
    /// A stream whose prompt is spread over several engines.
    #[display("span")]
    Span,
    /// A call that may run at most once.
    #[display("unsafe")]
    Unsafe,
    /// A call that may run more than once.
    #[display("safe")]
    Safe,
}

/// Number of events in each stream.
pub const STREAM_EVENTS: u64 = 8;

/// Maximum number of runs of a request, set as `max_attempts` of every route.
pub const MAX_ATTEMPTS: usize = 2;

/// Time limit that clients set for each request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Maximum time after [`REQUEST_TIMEOUT`] until the final answer has ended.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// Maximum time until a change that the store has acknowledged is in force: two seconds, plus a
/// margin for processes that share a busy machine.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

/// One request, as observed by its client.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    /// Id of the request.
    pub id: String,
    /// Kind of the request.
    pub kind: RequestKind,
    /// Index of the gateway to which it was sent.
    pub gateway: usize,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Time at which the answer ended or the client timed out.
    pub ended: Instant,
    /// HTTP status; `None` if the connection failed or the client timed out.
    pub status: Option<u16>,
    /// Body of the answer as far as it was received.
    pub body: String,
    /// Whether the HTTP message of the answer was received to its end.
    pub is_complete: bool,
    /// Whether it carried the API key that configurations revoke and restore.
    pub has_revocable_key: bool,
}

/// One run of a request, as observed by a replica.
#[derive(Clone, Debug)]
pub struct ObservedRun {
    /// Id of the request.
    pub id: String,
    /// Target, headers and addresses of a run without an id; otherwise empty.
    pub origin: String,
    /// Index of the replica.
    pub replica: usize,
    /// Time at which the run began.
    pub began: Instant,
}

/// A period in which promises with a time bound are not checked for a gateway.
#[derive(Clone, Copy, Debug)]
pub struct ExemptPeriod {
    /// Index of the gateway; `None` for all gateways.
    pub gateway: Option<usize>,
    /// Start of the period.
    pub from: Instant,
    /// End of the period.
    pub until: Instant,
}

/// A write of a replica's listing or of a configuration to the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreWrite {
    /// Time at which the store acknowledged it.
    pub acknowledged: Instant,
    /// Index of the listed replica; `None` for a configuration.
    pub replica: Option<usize>,
    /// Whether the replica accepts work, or the revocable API key is valid.
    pub is_enabled: bool,
}

/// All observations of one soak run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Requests observed by clients.
    pub requests: Vec<ObservedRequest>,
    /// Runs observed by replicas.
    pub runs: Vec<ObservedRun>,
    /// Periods in which time bounds are not checked.
    pub exempt_periods: Vec<ExemptPeriod>,
    /// Writes to the store, in order.
    pub store_writes: Vec<StoreWrite>,
    /// Tokens of engine memory that were still reserved at the end.
    pub reserved_tokens: u64,
    /// Number of planned stops that timed out or ended with an error.
    pub failed_stops: usize,
    /// Ids of requests that failed after the recovery from all faults.
    pub failed_after_recovery: Vec<String>,
}

/// A violation of a promise.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{promise}: {detail}")]
pub struct Violation {
    /// The violated promise.
    pub promise: &'static str,
    /// The request, the observed value and the allowed one, as far as they apply.
    pub detail: String,
}

/// Checks all promises and returns their violations.
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
        report(
            "reserved memory is released",
            format!("{} tokens are still reserved at the end", history.reserved_tokens),
        );
    }
    if history.failed_stops > 0 {
        report(
            "a planned stop ends in time",
            format!("{} planned stops timed out or ended with an error", history.failed_stops),
        );
    }
    for id in &history.failed_after_recovery {
        report(
            "requests succeed after recovery",
            format!("request {id} failed after all faults had ended"),
        );
    }
    violations
}

fn check_answer(request: &ObservedRequest, report: &mut impl FnMut(&'static str, String)) {
    let Some(200) = request.status else { return };
    let expected = match request.kind {
        RequestKind::Stream | RequestKind::Span => (1..=STREAM_EVENTS).map(stream_event).collect(),
        RequestKind::Unsafe | RequestKind::Safe => plain_body(&request.id),
    };
    let is_correct = match request.is_complete {
        true => request.body == expected,
        false => expected.starts_with(&request.body),
    };
    if !is_correct {
        let detail = format!(
            "{} request {}: complete={}, body {:?}, expected {expected:?}",
            request.kind, request.id, request.is_complete, request.body
        );
        report("an answer is complete and belongs to its request", detail);
    }
}

fn check_runs(
    request: &ObservedRequest,
    runs: &[&ObservedRun],
    report: &mut impl FnMut(&'static str, String),
) {
    if request.kind == RequestKind::Unsafe && runs.len() > 1 {
        report(
            "an unsafe request runs at most once",
            format!("request {} ran {} times; the limit is 1", request.id, runs.len()),
        );
    }
    if runs.len() > MAX_ATTEMPTS {
        report(
            "a request runs no more often than its route allows",
            format!("request {} ran {} times; the limit is {MAX_ATTEMPTS}", request.id, runs.len()),
        );
    }
    let reports_not_run = matches!(request.status, Some(408 | 421 | 429 | 503));
    if reports_not_run && !runs.is_empty() {
        report(
            "a request reported as not run did not run",
            format!(
                "{} request {} got status {:?} but ran {} times",
                request.kind,
                request.id,
                request.status,
                runs.len()
            ),
        );
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
        report(
            "a request ends within its time limit",
            format!(
                "request {} took {elapsed:?}; \
                 the limit is {REQUEST_TIMEOUT:?} plus {ANSWER_SLACK:?}",
                request.id
            ),
        );
    }
}

/// Checks that a request with the revocable API key is answered with 401 if, and only if, the last
/// configuration revokes the key. Skips requests that were sent less than [`PROPAGATION_LIMIT`]
/// after the store acknowledged that configuration.
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
    let configurations = history.store_writes.iter().filter(|write| write.replica.is_none());
    let written: Vec<_> =
        configurations.clone().filter(|write| write.acknowledged <= request.ended).collect();
    let is_in_force = written.last().is_some_and(|write| write.acknowledged <= from);
    let is_valid = written.last().is_none_or(|write| write.is_enabled);
    let is_denied = request.status == Some(401);
    if is_in_force && is_denied == is_valid {
        let detail = format!(
            "request {} got status {:?}; its API key had been valid={is_valid} \
             for {PROPAGATION_LIMIT:?} or longer when it was sent",
            request.id, request.status
        );
        report("a configuration takes effect and persists", detail);
    }
}

fn check_unsent_runs(history: &History, report: &mut impl FnMut(&'static str, String)) {
    for run in &history.runs {
        if !history.requests.iter().any(|request| request.id == run.id) {
            report(
                "only requests that a client sent run",
                format!("request {:?} ran, but no client sent it; {}", run.id, run.origin),
            );
        }
    }
}

fn check_draining_replicas(history: &History, report: &mut impl FnMut(&'static str, String)) {
    for run in &history.runs {
        let mut listings =
            history.store_writes.iter().filter(|write| write.replica == Some(run.replica));
        let last = listings.rfind(|write| write.acknowledged <= run.began);
        let Some(drained) = last.filter(|last| !last.is_enabled) else { continue };
        let is_late = run.began - drained.acknowledged > PROPAGATION_LIMIT;
        let gateway = history
            .requests
            .iter()
            .find(|request| request.id == run.id)
            .map(|request| request.gateway);
        if is_late && !is_exempt(history, gateway, drained.acknowledged, run.began) {
            let after = run.began - drained.acknowledged;
            report(
                "a draining replica gets no new requests",
                format!(
                    "request {} began {after:?} after its replica {} was listed as draining; \
                     the limit is {PROPAGATION_LIMIT:?}",
                    run.id, run.replica
                ),
            );
        }
    }
}

/// Returns whether promises with a time bound are not checked for a gateway between two times. If
/// the gateway is `None`, only the periods of all gateways count.
fn is_exempt(history: &History, gateway: Option<usize>, from: Instant, until: Instant) -> bool {
    history.exempt_periods.iter().any(|period| {
        let applies = period.gateway.is_none() || period.gateway == gateway;
        // A gateway needs up to `PROPAGATION_LIMIT` after a fault to reach all others again.
        applies && period.from <= until && from <= period.until + PROPAGATION_LIMIT
    })
}
