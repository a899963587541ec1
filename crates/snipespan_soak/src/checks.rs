//! Checks of the promises of the gateways against what clients and replicas observed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
    /// A stream that ends each replica that begins to answer it.
    #[display("deadly stream")]
    Deadly,
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

/// Time after which a request whose connection ends without an answer counts as read.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// Time within which a gateway sends nothing more to a replica that says it is leaving.
const LEAVING_LIMIT: Duration = Duration::from_secs(2);

/// Time within which a gateway sends nothing more to a replica that refuses for a time.
const REFUSAL_SLACK: Duration = Duration::from_millis(500);

/// Maximum number of requests of a gateway that reach a replica that wants nothing.
const MAX_WHILE_REFUSING: usize = 2;

/// Time without a fault after which a gateway must know what others know.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Number of crashes after which [`MAX_DEADLY_RUNS`] holds.
const CRASHES_BEFORE_LIMIT: usize = 5;

/// Maximum number of requests with a deadly part that still reach replicas.
const MAX_DEADLY_RUNS: usize = 3;

/// Number of requests from which shares are compared.
const MIN_SOUND_REQUESTS: usize = 20;

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
    /// Whether the client gave up before the answer had ended.
    pub is_timed_out: bool,
    /// Id of the replica that says in the answer that it is leaving, and time at which the head of
    /// the answer was received.
    pub leaving: Option<(String, Instant)>,
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
    /// Id of the replica's incarnation.
    pub incarnation: String,
    /// Whether the prompt has the deadly part.
    pub is_deadly: bool,
    /// Time at which the run began.
    pub began: Instant,
}

/// A refusal of a request with a time for which the replica wants nothing.
#[derive(Clone, Debug)]
pub struct ObservedRefusal {
    /// Id of the request; empty for an order.
    pub id: String,
    /// Index of the replica.
    pub replica: usize,
    /// Time at which the request arrived.
    pub at: Instant,
    /// Time for which the replica wants nothing from the gateway.
    pub retry_after: Duration,
}

/// What excuses a gateway for a period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A kill or a freeze of the process.
    Unplanned,
    /// A planned stop, to the restart.
    Planned,
    /// A fault of the store or of the connections to it.
    Store,
}

/// A period in which a replica, or the connections to it, may break off answers.
#[derive(Clone, Copy, Debug)]
pub struct FaultPeriod {
    /// Index of the replica.
    pub replica: usize,
    /// Start of the period.
    pub from: Instant,
    /// End of the period.
    pub until: Instant,
}

/// A period in which promises with a time bound are not checked for a gateway.
#[derive(Clone, Copy, Debug)]
pub struct ExemptPeriod {
    /// What excuses the gateway.
    pub cause: Cause,
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
    /// Refusals observed by replicas.
    pub refusals: Vec<ObservedRefusal>,
    /// Times at which a deadly part ended a replica, in order.
    pub crashes: Vec<Instant>,
    /// Time at which clients began to send deadly parts.
    pub deadly_from: Option<Instant>,
    /// Time by which clients had ended to send deadly parts.
    pub deadly_until: Option<Instant>,
    /// Periods in which replicas may break off answers.
    pub replica_faults: Vec<FaultPeriod>,
    /// Indexes of gateways that ended by themselves.
    pub unplanned_exits: Vec<usize>,
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
        check_loss(history, request, request_runs, &mut report);
    }
    check_unsent_runs(history, &mut report);
    check_draining_replicas(history, &mut report);
    check_leaving_replicas(history, &mut report);
    check_refusing_replicas(history, &mut report);
    check_deadly_part(history, &mut report);
    for index in &history.unplanned_exits {
        report("a gateway does not end by itself", format!("gateway g{index} ended"));
    }
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
        RequestKind::Stream | RequestKind::Span | RequestKind::Deadly => {
            (1..=STREAM_EVENTS).map(stream_event).collect()
        }
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
    let sent: BTreeSet<_> = history.requests.iter().map(|request| request.id.as_str()).collect();
    for run in &history.runs {
        if !sent.contains(run.id.as_str()) {
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

/// Checks that a gateway that has read a request answers it, and does not break off the answer of a
/// sound replica.
fn check_loss(
    history: &History,
    request: &ObservedRequest,
    runs: &[&ObservedRun],
    report: &mut impl FnMut(&'static str, String),
) {
    let elapsed = request.ended - request.sent;
    let is_whole = request.status.is_some() && request.is_complete;
    let is_out_of_time = request.is_timed_out || elapsed >= REQUEST_TIMEOUT;
    // A request that crosses the close of its connection is not read.
    let may_be_unread = request.status.is_none() && runs.is_empty() && elapsed <= LOSS_SLACK;
    let is_replica_faulty = runs.iter().any(|run| {
        let faults = history.replica_faults.iter().filter(|fault| fault.replica == run.replica);
        faults.clone().any(|fault| fault.from <= request.ended && run.began <= fault.until)
    });
    if is_whole
        || is_out_of_time
        || may_be_unread
        || is_replica_faulty
        || request.kind == RequestKind::Deadly
        || is_exempt_by(
            history,
            &[Cause::Unplanned],
            Some(request.gateway),
            request.sent,
            request.ended,
        )
    {
        return;
    }
    let detail = format!(
        "{} request {} to g{} ended after {elapsed:?} with status {:?} and {} bytes; \
         it ran on {} replicas, which had no fault",
        request.kind,
        request.id,
        request.gateway,
        request.status,
        request.body.len(),
        runs.len()
    );
    report("a request that was read is answered", detail);
}

/// Checks that a replica gets nothing that was sent later than [`LEAVING_LIMIT`] after its gateway
/// had passed on an answer in which the replica says that it is leaving.
fn check_leaving_replicas(history: &History, report: &mut impl FnMut(&'static str, String)) {
    let requests: BTreeMap<_, _> = history.requests.iter().map(|r| (r.id.as_str(), r)).collect();
    let mut told: BTreeMap<(usize, &str), Instant> = BTreeMap::new();
    for request in &history.requests {
        let Some((replica, at)) = &request.leaving else { continue };
        let first = told.entry((request.gateway, replica)).or_insert(*at);
        *first = (*first).min(*at);
    }
    for run in &history.runs {
        let Some(request) = requests.get(run.id.as_str()) else { continue };
        let Some(at) = told.get(&(request.gateway, run.incarnation.as_str())) else { continue };
        let causes = [Cause::Unplanned, Cause::Planned];
        let is_exempt = is_exempt_by(history, &causes, Some(request.gateway), *at, run.began);
        if request.sent > *at + LEAVING_LIMIT && !is_exempt {
            let after = request.sent - *at;
            report(
                "a replica that says it is leaving gets no new requests",
                format!(
                    "{} request {} was sent {after:?} after g{} had passed on that {} is leaving; \
                     the limit is {LEAVING_LIMIT:?}",
                    request.kind, request.id, request.gateway, run.incarnation
                ),
            );
        }
    }
}

/// Checks that a replica gets at most [`MAX_WHILE_REFUSING`] requests from a gateway between
/// [`REFUSAL_SLACK`] after a refusal and the end of the time for which it wants nothing.
fn check_refusing_replicas(history: &History, report: &mut impl FnMut(&'static str, String)) {
    let gateways: BTreeMap<_, _> =
        history.requests.iter().map(|r| (r.id.as_str(), r.gateway)).collect();
    let refused = history.refusals.iter().map(|refusal| (&refusal.id, refusal.replica, refusal.at));
    let ran = history.runs.iter().map(|run| (&run.id, run.replica, run.began));
    let arrivals: Vec<_> = refused
        .chain(ran)
        .filter_map(|(id, replica, at)| Some((*gateways.get(id.as_str())?, replica, at)))
        .collect();
    let mut reported = BTreeSet::new();
    for refusal in &history.refusals {
        let Some(gateway) = gateways.get(refusal.id.as_str()) else { continue };
        let from = refusal.at + REFUSAL_SLACK;
        let until = refusal.at + refusal.retry_after;
        let is_late = |(sender, replica, at): &&(usize, usize, Instant)| {
            sender == gateway && *replica == refusal.replica && (from..until).contains(at)
        };
        let count = arrivals.iter().filter(is_late).count();
        let causes = [Cause::Unplanned, Cause::Planned];
        let is_cut = history.replica_faults.iter().any(|fault| {
            fault.replica == refusal.replica && fault.from <= until && refusal.at <= fault.until
        });
        let is_exempt = is_exempt_by(history, &causes, Some(*gateway), refusal.at, until) || is_cut;
        if count > MAX_WHILE_REFUSING && !is_exempt && reported.insert((*gateway, refusal.replica))
        {
            report(
                "a replica that refuses for a time gets nothing",
                format!(
                    "replica {} got {count} requests from g{gateway} within {:?} after it had \
                     refused request {}; the limit is {MAX_WHILE_REFUSING}",
                    refusal.replica, refusal.retry_after, refusal.id
                ),
            );
        }
    }
}

/// Checks that a deadly part reaches few replicas once it has ended several, and that sound requests
/// with the same first part are still served.
fn check_deadly_part(history: &History, report: &mut impl FnMut(&'static str, String)) {
    let requests: BTreeMap<_, _> = history.requests.iter().map(|r| (r.id.as_str(), r)).collect();
    if let Some(last) = history.crashes.get(CRASHES_BEFORE_LIMIT - 1) {
        let from = *last + CONTACT_TIME;
        let late = history.runs.iter().filter(|run| run.is_deadly && run.began > from);
        let late: Vec<_> = late
            .filter(|run| {
                let gateway = requests.get(run.id.as_str()).map(|request| request.gateway);
                !is_exempt(history, gateway, run.began, run.began)
            })
            .map(|run| run.id.as_str())
            .collect();
        if late.len() > MAX_DEADLY_RUNS {
            report(
                "a deadly part reaches few replicas",
                format!(
                    "{} runs began later than {CONTACT_TIME:?} after crash {CRASHES_BEFORE_LIMIT} \
                     of {}, the last with request {:?}; the limit is {MAX_DEADLY_RUNS}",
                    late.len(),
                    history.crashes.len(),
                    late.last()
                ),
            );
        }
    }
    let bound = history.crashes.get(CRASHES_BEFORE_LIMIT - 1).or(history.crashes.last());
    let (Some(began), Some(last), Some(until)) = (history.deadly_from, bound, history.deadly_until)
    else {
        return;
    };
    let from = *last + 2 * CONTACT_TIME;
    let share_served = |is_counted: &dyn Fn(Instant) -> bool| {
        let sound = history.requests.iter().filter(|request| {
            request.kind == RequestKind::Stream
                && is_counted(request.sent)
                && !is_exempt(history, Some(request.gateway), request.sent, request.ended)
        });
        let (served, all) = sound.fold((0usize, 0usize), |(served, all), request| {
            let is_begun = request.status == Some(200) && !request.body.is_empty();
            (served + usize::from(is_begun), all + 1)
        });
        (all >= MIN_SOUND_REQUESTS).then(|| served as f64 / all as f64)
    };
    let before = share_served(&|sent| sent < began);
    let meanwhile = share_served(&|sent| (from..until).contains(&sent));
    if let (Some(before), Some(meanwhile)) = (before, meanwhile)
        && meanwhile * 2.0 < before
    {
        report(
            "sound requests are served beside a deadly part",
            format!("{before:.2} of the streams began before, {meanwhile:.2} meanwhile"),
        );
    }
}

/// Returns whether promises with a time bound are not checked for a gateway between two times. If
/// the gateway is `None`, only the periods of all gateways count.
fn is_exempt(history: &History, gateway: Option<usize>, from: Instant, until: Instant) -> bool {
    let causes = [Cause::Unplanned, Cause::Planned, Cause::Store];
    // A gateway needs up to `PROPAGATION_LIMIT` after a fault to reach all others again.
    let from = from.checked_sub(PROPAGATION_LIMIT).unwrap_or(from);
    is_exempt_by(history, &causes, gateway, from, until)
}

/// Returns whether one of the causes excuses a gateway at some time between two.
fn is_exempt_by(
    history: &History,
    causes: &[Cause],
    gateway: Option<usize>,
    from: Instant,
    until: Instant,
) -> bool {
    history.exempt_periods.iter().any(|period| {
        let applies = period.gateway.is_none() || period.gateway == gateway;
        let overlaps = period.from <= until && from <= period.until;
        applies && causes.contains(&period.cause) && overlaps
    })
}
