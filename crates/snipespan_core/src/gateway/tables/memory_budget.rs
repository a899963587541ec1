//! Memory that request bodies and answers may take at a gateway, and the bodies that wait for it.
//!
//! The traffic threads ask this table before they read a body. Load pattern: many clients send the
//! longest bodies that are allowed at once, beside short requests.

use std::collections::BTreeSet;

use derive_more::Display;

use crate::keys::BodyKey;
use crate::table::Entity;
use crate::table::Table;
use crate::time::Timestamp;

/// Maximum length of a short body in bytes; the users' usual bodies have 1 to 31 kB.
pub const MAX_SHORT_BODY: u64 = 64 << 10;

/// Memory in bytes that is counted for each request whose body is read, in addition to the body: its
/// head, its task and the read buffer of its connection.
pub const REQUEST_OVERHEAD: u64 = 16 << 10;

/// Receive buffer in bytes that the kernel keeps for a connection whose body waits; what it has
/// received counts toward the limit of the process.
pub const RECEIVE_BUFFER: u64 = 64 << 10;

/// Maximum number of bytes of incomplete answers where the memory of the process has no limit.
const MAX_UNLIMITED_ANSWERS: u64 = 32 << 20;

/// Maximum number of waiting bodies, as many as requests that a gateway has open by default.
const MAX_WAITING: u64 = 3000;

/// Share of the limit that bodies and answers may take. The rest is for the process without traffic
/// (10 MB), memory that the allocator keeps after it was freed, and the kernel's receive buffers.
const BUDGET_SHARE: f64 = 0.6;

/// Share of the budget that long bodies may take together.
const LONG_BODY_SHARE: f64 = 0.5;

/// Share of the budget that answers may take together. Short bodies have the rest at least.
const ANSWER_SHARE: f64 = 0.3;

/// Share of the limit that the receive buffers of waiting bodies may take.
const WAITING_SHARE: f64 = 0.125;

/// What memory is used for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryUse {
    /// A body of at most [`MAX_SHORT_BODY`]; it gets memory before long ones.
    #[display("short body")]
    ShortBody,
    /// A longer body, or one whose length is not known before it is read.
    #[display("long body")]
    LongBody,
    /// An answer on its way to the client.
    #[display("answer")]
    Answer,
}

/// Number of variants of [`MemoryUse`].
const USES: usize = 3;

/// Bounds of a [`MemoryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Bytes of all uses together.
    pub total: u64,
    /// Bytes of long bodies.
    pub long_bodies: u64,
    /// Bytes of answers.
    pub answers: u64,
    /// Number of bodies that wait.
    pub waiting: usize,
}

impl MemoryLimits {
    /// Returns the bounds for a process that may take `limit` bytes; `None` if that has no limit.
    pub fn new(limit: Option<u64>) -> Self {
        let Some(limit) = limit else {
            return Self {
                total: u64::MAX,
                long_bodies: u64::MAX,
                answers: MAX_UNLIMITED_ANSWERS,
                waiting: 0,
            };
        };
        let share = |of: u64, share: f64| (of as f64 * share) as u64;
        let total = share(limit, BUDGET_SHARE);
        let waiting = share(limit, WAITING_SHARE) / RECEIVE_BUFFER;
        Self {
            total,
            long_bodies: share(total, LONG_BODY_SHARE),
            answers: share(total, ANSWER_SHARE),
            waiting: waiting.min(MAX_WAITING) as usize,
        }
    }

    const fn of(&self, memory_use: MemoryUse) -> u64 {
        match memory_use {
            MemoryUse::ShortBody => self.total,
            MemoryUse::LongBody => self.long_bodies,
            MemoryUse::Answer => self.answers,
        }
    }
}

/// Why a body is not read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BodyRefusal {
    /// It is longer than all long bodies together may be.
    #[display("never fits")]
    NeverFits,
    /// Too many bodies wait already.
    #[display("too many waiting")]
    TooManyWaiting,
    /// No memory became free within its wait.
    #[display("no memory in time")]
    NoMemoryInTime,
    /// It has no stated length, and there is no memory for more of it.
    #[display("cannot grow")]
    CannotGrow,
}

/// What happens to a body that asks for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has the memory.
    Granted,
    /// It waits; [`MemoryBudget::take_granted`] returns its key once it has the memory.
    Waiting(BodyKey),
    /// It is refused.
    Refused(BodyRefusal),
}

/// A body that waits for memory.
#[derive(Clone, Copy, Debug)]
pub struct WaitingBody {
    /// Its class.
    pub memory_use: MemoryUse,
    /// Bytes that it asks for.
    pub bytes: u64,
    /// When it asked.
    pub since: Timestamp,
    /// Number that orders the bodies of a class by their arrival.
    turn: u64,
}

impl Entity for WaitingBody {
    type Key = BodyKey;
}

/// Memory in use, and the bodies that wait for some: short ones before long ones, and those of a
/// class in the order of their arrival, so that none is passed over for ever.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: MemoryLimits,
    used: [u64; USES],
    waiting: Table<WaitingBody>,
    queue: BTreeSet<(MemoryUse, u64, BodyKey)>,
    next_turn: u64,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limits: MemoryLimits) -> Self {
        let waiting = Table::new(limits.waiting);
        Self { limits, used: [0; USES], waiting, queue: BTreeSet::new(), next_turn: 0 }
    }

    /// Returns the class of a body with this length; `None` if that is not known.
    pub fn body_use(length: Option<u64>) -> MemoryUse {
        match length {
            Some(0..=MAX_SHORT_BODY) => MemoryUse::ShortBody,
            _ => MemoryUse::LongBody,
        }
    }

    /// Returns the bytes that are in use.
    pub fn used(&self) -> u64 {
        self.used.iter().sum()
    }

    /// Returns the number of bodies that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes memory for a body at once if there is some and no body waits that goes before it;
    /// otherwise it waits.
    pub fn admit_body(&mut self, now: Timestamp, memory_use: MemoryUse, bytes: u64) -> Admission {
        if bytes > self.limits.of(memory_use) {
            return Admission::Refused(BodyRefusal::NeverFits);
        }
        let is_next = self.queue.first().is_none_or(|(first, ..)| memory_use < *first);
        if is_next && self.try_take(memory_use, bytes) {
            return Admission::Granted;
        }
        let turn = self.next_turn;
        self.next_turn += 1;
        match self.waiting.insert(WaitingBody { memory_use, bytes, since: now, turn }) {
            Ok(key) => {
                self.queue.insert((memory_use, turn, key));
                Admission::Waiting(key)
            }
            Err(_) => Admission::Refused(BodyRefusal::TooManyWaiting),
        }
    }

    /// Takes memory for the next waiting body and returns it, if there is enough for that one.
    pub fn take_granted(&mut self) -> Option<(BodyKey, WaitingBody)> {
        let (memory_use, turn, key) = *self.queue.first()?;
        let bytes = self.waiting.get(key)?.bytes;
        if !self.try_take(memory_use, bytes) {
            return None;
        }
        self.queue.remove(&(memory_use, turn, key));
        Some((key, self.waiting.remove(key)?))
    }

    /// Removes a body that no longer waits, as its time is over or its client has left; `None` if it
    /// has got its memory before.
    pub fn withdraw(&mut self, key: BodyKey) -> Option<WaitingBody> {
        let row = self.waiting.remove(key)?;
        self.queue.remove(&(row.memory_use, row.turn, key));
        Some(row)
    }

    /// Takes memory without waiting; returns whether there was enough.
    pub fn try_take(&mut self, memory_use: MemoryUse, bytes: u64) -> bool {
        let used = &mut self.used[memory_use as usize];
        let fits = |used: u64, limit: u64| used.checked_add(bytes).is_some_and(|sum| sum <= limit);
        if !fits(*used, self.limits.of(memory_use)) {
            return false;
        }
        let total: u64 = self.used.iter().sum();
        if !fits(total, self.limits.total) {
            return false;
        }
        self.used[memory_use as usize] += bytes;
        true
    }

    /// Gives memory back.
    pub fn release(&mut self, memory_use: MemoryUse, bytes: u64) {
        let used = &mut self.used[memory_use as usize];
        *used = used.saturating_sub(bytes);
    }
}
