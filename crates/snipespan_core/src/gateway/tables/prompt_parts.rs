//! Parts of prompts that are suspected of crashing backend servers.
//!
//! All gateways hold the same rows and merge those of their peers. A row counts crashes since the
//! part was last cleared; its generation counts how often that was, so that reports of crashes from
//! before a clearance change nothing, however late they arrive.

use std::time::Duration;

use derive_more::Display;
use derive_more::LowerHex;
use serde::Deserialize;
use serde::Serialize;

use crate::gateway::message::CrashReport;
use crate::gateway::message::PartHistory;
use crate::keys::RequestKey;
use crate::keys::SuspectKey;
use crate::table::Entity;
use crate::time::Timestamp;

/// Number of crashes from which a part is blocked.
const CRASHES_TO_BLOCK: usize = 3;

/// Number of crashes from which a part is blocked that was sound before. Prompts with a part that
/// crashes backend servers have other parts as well, mostly sound ones.
const CRASHES_TO_BLOCK_SOUND: usize = 6;

/// Maximum number of crashes in a row of the table; with more, the last one is replaced.
pub const MAX_CRASHES: usize = 8;

/// Time within which crashes count as one: a rack or a network fails at many backend servers at
/// once, whatever they were running.
const SAME_CAUSE_SPAN: Duration = Duration::from_millis(250);

/// Time within which crashes of two parts may be the same although each counts another one of several.
const MAX_APART: Duration = Duration::from_millis(500);

/// Minimum time from the end of a backend server until it takes requests again under the same id. One
/// that takes some sooner did not end: its connections were reset.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// Time for which a part is blocked at first; a sound part that was blocked by mistake is back
/// soon after.
const FIRST_HOLD: Duration = Duration::from_secs(5);

/// Factor on the hold for each probe that crashed its backend server.
const HOLD_FACTOR: u32 = 8;

/// Maximum number of failed probes that are counted; more would lengthen the hold beyond [`MAX_HOLD`].
const MAX_FAILED_PROBES: u32 = 2;

/// Maximum time for which a part is blocked before it is probed again; with it, the probes crash
/// one backend server in five minutes.
const MAX_HOLD: Duration = Duration::from_secs(320);

/// Time after which a probe without an outcome no longer keeps other gateways from probing; the
/// longest time that most clients wait.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a change after which a part that is not blocked is no longer suspected.
const SUSPICION_LIFETIME: Duration = Duration::from_secs(60);

/// Time after its hold within which a blocked part that no request names is forgotten.
const BLOCK_LIFETIME: Duration = Duration::from_secs(600);

/// Hash of the id of a part of a prompt.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    LowerHex,
    Serialize,
    Deserialize,
)]
pub struct PromptPart(pub u64);

/// A crash of a backend server that had not yet answered a prompt with the part, or had just begun to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// [`crate::gateway::event::Listing::instance_hash`] of the backend server.
    pub instance_hash: u64,
    /// Hash of what the request shares with no other one.
    pub request_hash: u64,
    /// When the request was sent there.
    pub sent: Timestamp,
    /// When the connection to the backend server broke.
    pub at: Timestamp,
}

impl Crash {
    /// Returns whether two failures are of one crash, or of one common cause. A backend server may come
    /// back as the same incarnation, as far as its listing tells, so a request that was sent there
    /// long enough after another one broke met another crash.
    fn is_same(&self, other: &Self) -> bool {
        let is_of_one_life = self.instance_hash == other.instance_hash
            && self.sent < other.at.after(MIN_RESTART_TIME)
            && other.sent < self.at.after(MIN_RESTART_TIME);
        is_of_one_life || self.apart(other) < SAME_CAUSE_SPAN
    }

    /// Returns the time between two crashes.
    fn apart(&self, other: &Self) -> Duration {
        self.at.since(other.at).max(other.at.since(self.at))
    }
}

/// Whether a failed attempt counts against the parts of its prompt, and why it does not.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CrashEvidence {
    /// It counts against one part or more.
    #[display("counted")]
    Counted,
    /// For each part, the same crash is known already.
    #[display("known crash")]
    KnownCrash,
    /// The connection did not break.
    #[display("no crash")]
    NoCrash,
    /// The answer had gone on for longer than one that crashes its backend server.
    #[display("answer went on")]
    WentOn,
    /// The prompt has no part that other prompts may share.
    #[display("no parts")]
    NoParts,
    /// The table has no room for the parts.
    #[display("table full")]
    TableFull,
}

/// A request that was sent although it has a blocked part, to see whether the part still crashes
/// backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The request, if this gateway sent it.
    pub request: Option<RequestKey>,
    /// When it was sent.
    pub began: Timestamp,
}

/// A part of prompts that is suspected of crashing backend servers, or was until lately.
#[derive(Clone, Debug)]
pub struct Suspect {
    /// The part.
    pub part: PromptPart,
    /// Number of times that it was cleared.
    pub generation: u32,
    /// Whether an answer to a prompt with it was sound before these crashes.
    pub was_sound: bool,
    /// Crashes since it was last cleared, oldest first, each [`SAME_CAUSE_SPAN`] after the one
    /// before.
    pub crashes: Vec<Crash>,
    /// Number of crashes by requests that were sent although the part had been blocked, up to
    /// [`MAX_FAILED_PROBES`].
    pub failed_probes: u32,
    /// The open probe.
    pub probe: Option<Probe>,
    /// When a crash was last added or it was last cleared.
    pub changed: Timestamp,
}

impl Entity for Suspect {
    type Key = SuspectKey;
}

impl Suspect {
    /// Creates a row without any crash.
    pub const fn new(part: PromptPart, now: Timestamp) -> Self {
        Self {
            part,
            generation: 0,
            was_sound: false,
            crashes: Vec::new(),
            failed_probes: 0,
            probe: None,
            changed: now,
        }
    }

    /// Returns the number of crashes that block the part. While all are those of one request, it is
    /// one more: a sound request may meet several.
    fn crashes_to_block(&self) -> usize {
        let count = match self.was_sound {
            true => CRASHES_TO_BLOCK_SOUND,
            false => CRASHES_TO_BLOCK,
        };
        let mut requests = self.crashes.iter().map(|crash| crash.request_hash);
        let first = requests.next();
        let is_of_several = requests.any(|request| Some(request) != first);
        count + usize::from(!is_of_several)
    }

    /// Returns whether requests with the part are refused, apart from probes.
    pub fn is_blocked(&self) -> bool {
        self.crashes.len() >= self.crashes_to_block()
    }

    /// Returns the time from which a blocked part may be probed; `None` if it is not blocked.
    pub fn probe_from(&self) -> Option<Timestamp> {
        let last = self.crashes.last().filter(|_| self.is_blocked())?;
        let hold = FIRST_HOLD * HOLD_FACTOR.pow(self.failed_probes);
        let held_until = last.at.after(hold.min(MAX_HOLD));
        Some(held_until.max(self.probe_end()))
    }

    /// Returns whether a request that was sent at `sent` was a probe: the part had been blocked for long
    /// enough that all gateways knew. Requests that were on their way by then are no sign that the part
    /// still crashes backend servers.
    fn is_probe(&self, sent: Timestamp) -> bool {
        let blocking = self.crashes.get(self.crashes_to_block() - 1);
        blocking.is_some_and(|crash| sent >= crash.at.after(SAME_CAUSE_SPAN))
    }

    /// Returns the time until which the outcome of the last probe is waited for.
    pub fn probe_end(&self) -> Timestamp {
        self.probe.map_or(Timestamp::ZERO, |probe| probe.began.after(PROBE_TIMEOUT))
    }

    /// Returns whether another part met all of its crashes as well. Which of several crashes count as
    /// one may differ between two parts.
    pub fn is_explained_by(&self, other: &Self) -> bool {
        let met = |crash: &Crash| {
            let is_met = |known: &Crash| known.is_same(crash) || known.apart(crash) < MAX_APART;
            other.crashes.iter().any(is_met)
        };
        self.crashes.iter().all(met)
    }

    /// Returns whether the row is no longer needed.
    pub fn is_expired(&self, now: Timestamp) -> bool {
        match self.probe_from() {
            Some(from) => now >= from.after(BLOCK_LIFETIME),
            None => now.since(self.changed) >= SUSPICION_LIFETIME,
        }
    }

    /// Adds a crash that this gateway saw; returns false if it counts as one with a crash that is known.
    pub fn record_crash(&mut self, crash: Crash) -> bool {
        let is_probe = self.is_probe(crash.sent);
        let is_new = self.add_crash(crash);
        let failed_probes = self.failed_probes + u32::from(is_new && is_probe);
        self.failed_probes = failed_probes.min(MAX_FAILED_PROBES);
        is_new
    }

    fn add_crash(&mut self, crash: Crash) -> bool {
        if self.crashes.iter().any(|known| known.is_same(&crash)) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            if self.crashes.last().is_some_and(|last| last.at > crash.at) {
                return false;
            }
            self.crashes.pop();
        }
        let at = self.crashes.partition_point(|known| known.at < crash.at);
        // Most rows have one crash.
        self.crashes.reserve_exact(1);
        self.crashes.insert(at, crash);
        self.probe = None;
        true
    }

    /// Forgets all crashes, as an answer that began at `began` goes on; returns false if no crash
    /// is known, or all are later.
    pub fn clear(&mut self, now: Timestamp, began: Timestamp) -> bool {
        if self.crashes.first().is_none_or(|first| began < first.at) {
            return false;
        }
        self.generation += 1;
        self.was_sound = true;
        self.crashes.clear();
        self.failed_probes = 0;
        self.probe = None;
        self.changed = now;
        true
    }

    /// Merges what a peer knows of the part; returns whether this changed the crashes.
    pub fn merge(&mut self, now: Timestamp, report: &PartHistory) -> bool {
        if report.generation < self.generation {
            return false;
        }
        let reported = report.crashes.iter().take(MAX_CRASHES).map(|crash| {
            let at = now.before(Duration::from_millis(u64::from(crash.age_ms)));
            Crash {
                instance_hash: crash.instance_hash,
                request_hash: crash.request_hash,
                sent: at.before(Duration::from_millis(u64::from(crash.ran_ms))),
                at,
            }
        });
        let reported: Vec<_> = reported.collect();
        let mut is_changed = report.generation > self.generation;
        if is_changed {
            self.generation = report.generation;
            self.was_sound = false;
            self.crashes.clear();
            self.failed_probes = 0;
            self.probe = None;
        }
        self.was_sound |= report.was_sound;
        self.failed_probes = self.failed_probes.max(report.failed_probes).min(MAX_FAILED_PROBES);
        // Crashes that counted as one here may count as two at the peer; the higher count wins, so
        // that all gateways block the part at the same time.
        let others = match reported.len() > self.crashes.len() {
            true => {
                is_changed = true;
                self.probe = None;
                std::mem::replace(&mut self.crashes, reported)
            }
            false => reported,
        };
        for crash in others {
            is_changed |= self.add_crash(crash);
        }
        if is_changed {
            self.changed = now;
        }
        self.merge_probe(now, report);
        is_changed
    }

    fn merge_probe(&mut self, now: Timestamp, report: &PartHistory) {
        let Some(age_ms) = report.probe_age_ms else { return };
        let began = now.before(Duration::from_millis(u64::from(age_ms)));
        let is_same = self.crashes.len() == report.crashes.len();
        let is_over = |probe: Probe| began >= probe.began.after(PROBE_TIMEOUT);
        if is_same && self.is_blocked() && self.probe.is_none_or(is_over) {
            self.probe = Some(Probe { request: None, began });
        }
    }

    /// Returns what is known of the part as it is reported to peers.
    pub fn history(&self, now: Timestamp) -> PartHistory {
        let ms = |time: Duration| time.as_millis().min(u128::from(u32::MAX)) as u32;
        let age_ms = |at| ms(now.since(at));
        let crashes = self.crashes.iter().map(|crash| CrashReport {
            instance_hash: crash.instance_hash,
            request_hash: crash.request_hash,
            ran_ms: ms(crash.at.since(crash.sent)),
            age_ms: age_ms(crash.at),
        });
        PartHistory {
            generation: self.generation,
            was_sound: self.was_sound,
            idle_ms: age_ms(self.changed),
            crashes: crashes.collect(),
            failed_probes: self.failed_probes,
            probe_age_ms: self.probe.map(|probe| age_ms(probe.began)),
        }
    }
}
