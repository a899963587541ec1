//! The promises, checked on what clients and replicas have seen.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use snipespan_fakes::users_platform::replica::plain_body;
use snipespan_fakes::users_platform::replica::stream_event;

/// Kinds of request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
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
pub const EVENTS: u64 = 8;

/// Most replicas that one request may run on, by its route.
pub const MAX_ATTEMPTS: usize = 2;

/// Time that clients give a request.
pub const TIME_LIMIT: Duration = Duration::from_secs(6);

/// Time beyond the limit within which the final answer must be there.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// Time within which a change that the store has acknowledged must be in force: two seconds, and
/// a margin for processes that share a busy machine.
pub const IN_FORCE: Duration = Duration::from_secs(3);

/// What a client saw of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Its id.
    pub id: String,
    /// Its kind.
    pub kind: Kind,
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
    pub is_whole: bool,
    /// Whether it was sent with the API key that configurations take away and give back.
    pub has_second_key: bool,
}

/// A run that a replica saw.
#[derive(Clone, Debug)]
pub struct Ran {
    /// The request's id.
    pub id: String,
    /// The replica.
    pub replica: usize,
    /// When it began.
    pub began: Instant,
}

/// A time in which a promise with a time bound does not hold for a gateway.
#[derive(Clone, Copy, Debug)]
pub struct Excused {
    /// The gateway; `None` for all.
    pub gateway: Option<usize>,
    /// Its beginning.
    pub from: Instant,
    /// Its end.
    pub until: Instant,
}

/// A state that was written to the store at a time.
#[derive(Clone, Copy, Debug)]
pub struct Written {
    /// When the store acknowledged it.
    pub at: Instant,
    /// The replica that drains, or `None` for a configuration.
    pub replica: Option<usize>,
    /// Whether the replica takes work, or the second key is valid.
    pub is_open: bool,
}

/// All that was seen in a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// By clients.
    pub seen: Vec<Seen>,
    /// By replicas.
    pub ran: Vec<Ran>,
    /// Times that excuse time bounds.
    pub excused: Vec<Excused>,
    /// What was written to the store, in order.
    pub written: Vec<Written>,
    /// Tokens still set aside after all was over.
    pub reserved_tokens: u64,
    /// Gateways that did not end a planned stop well.
    pub bad_stops: usize,
    /// Requests that failed after all faults were over.
    pub failed_after: Vec<String>,
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
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut add = |promise, detail| violations.push(Violation { promise, detail });
    let mut runs: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
    for ran in &history.ran {
        runs.entry(&ran.id).or_default().push(ran);
    }
    for seen in &history.seen {
        let of_it = runs.get(seen.id.as_str()).map_or(&[][..], Vec::as_slice);
        check_answer(seen, &mut add);
        check_runs(seen, of_it, &mut add);
        check_time(history, seen, &mut add);
        check_key(history, seen, &mut add);
    }
    check_unasked(history, &mut add);
    check_drains(history, &mut add);
    if history.reserved_tokens > 0 {
        add("memory is freed", format!("{} tokens are set aside", history.reserved_tokens));
    }
    if history.bad_stops > 0 {
        add("a planned stop ends in time", format!("{} did not", history.bad_stops));
    }
    for request in &history.failed_after {
        add("it recovers", format!("{request} failed after all faults were over"));
    }
    violations
}

fn check_answer(seen: &Seen, add: &mut impl FnMut(&'static str, String)) {
    let Some(200) = seen.status else { return };
    let expected = match seen.kind {
        Kind::Stream | Kind::Span => (1..=EVENTS).map(stream_event).collect(),
        Kind::Unsafe | Kind::Safe => plain_body(&seen.id),
    };
    let is_right = match seen.is_whole {
        true => seen.body == expected,
        false => expected.starts_with(&seen.body),
    };
    if !is_right {
        let detail = format!("{} {} whole={} {:?}", seen.kind, seen.id, seen.is_whole, seen.body);
        add("an answer is whole and the caller's own", detail);
    }
}

fn check_runs(seen: &Seen, runs: &[&Ran], add: &mut impl FnMut(&'static str, String)) {
    if seen.kind == Kind::Unsafe && runs.len() > 1 {
        add("an unsafe request runs at most once", format!("{} ran {}", seen.id, runs.len()));
    }
    if runs.len() > MAX_ATTEMPTS {
        add("no more runs than the route allows", format!("{} ran {}", seen.id, runs.len()));
    }
    let says_not_run = matches!(seen.status, Some(408 | 421 | 429 | 503));
    if says_not_run && !runs.is_empty() {
        add("'not run' is true", format!("{} {} ran {}", seen.kind, seen.id, runs.len()));
    }
}

fn check_time(history: &History, seen: &Seen, add: &mut impl FnMut(&'static str, String)) {
    let took = seen.ended - seen.sent;
    let is_late = took > TIME_LIMIT + ANSWER_SLACK;
    if is_late && !is_excused(history, Some(seen.gateway), seen.sent, seen.ended) {
        add("a request ends in its time", format!("{} took {took:?}", seen.id));
    }
}

fn check_key(history: &History, seen: &Seen, add: &mut impl FnMut(&'static str, String)) {
    let from = seen.sent - IN_FORCE;
    if !seen.has_second_key || is_excused(history, Some(seen.gateway), from, seen.ended) {
        return;
    }
    let states = history.written.iter().filter(|written| written.replica.is_none());
    let before: Vec<_> = states.clone().filter(|written| written.at <= seen.ended).collect();
    let is_settled = before.last().is_some_and(|written| written.at <= from);
    let is_valid = before.last().is_none_or(|written| written.is_open);
    let is_denied = seen.status == Some(401);
    if is_settled && is_denied == is_valid {
        let detail =
            format!("{} got {:?} with a key that is valid={is_valid}", seen.id, seen.status);
        add("a configuration is in force and stays so", detail);
    }
}

fn check_unasked(history: &History, add: &mut impl FnMut(&'static str, String)) {
    for ran in &history.ran {
        if !history.seen.iter().any(|seen| seen.id == ran.id) {
            add("only what a client sent runs", format!("{} was not sent", ran.id));
        }
    }
}

fn check_drains(history: &History, add: &mut impl FnMut(&'static str, String)) {
    for ran in &history.ran {
        let mut states =
            history.written.iter().filter(|written| written.replica == Some(ran.replica));
        let last = states.rfind(|written| written.at <= ran.began);
        let Some(drained) = last.filter(|last| !last.is_open) else { continue };
        let is_late = ran.began - drained.at > IN_FORCE;
        let gateway = history.seen.iter().find(|seen| seen.id == ran.id).map(|seen| seen.gateway);
        if is_late && !is_excused(history, gateway, drained.at, ran.began) {
            let after = ran.began - drained.at;
            add("a draining replica gets nothing new", format!("{} {after:?} later", ran.id));
        }
    }
}

fn is_excused(history: &History, gateway: Option<usize>, from: Instant, until: Instant) -> bool {
    history.excused.iter().any(|excused| {
        let concerns = excused.gateway.is_none() || excused.gateway == gateway;
        // A gateway needs some time after a fault to reach all others again.
        concerns && excused.from <= until && from <= excused.until + IN_FORCE
    })
}
