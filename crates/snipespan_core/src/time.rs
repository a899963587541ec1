//! Timestamps passed to the decisions, which read no clock themselves.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Microseconds since the process started, measured by its monotonic clock.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0} us")]
pub struct Timestamp(u64);

impl Timestamp {
    /// Start of the process.
    pub const ZERO: Self = Self(0);

    /// A time that is never reached.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates the timestamp `micros` microseconds after the start of the process.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the start of the process.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is the later one.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the timestamp `duration` later, saturating at the maximum.
    pub const fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(whole_micros(duration)))
    }

    /// Returns the timestamp `duration` earlier, saturating at the start of the process.
    pub const fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(whole_micros(duration)))
    }

    /// Returns the earlier of `self` and `due`, or `self` if `due` is `None`.
    pub fn or_sooner(self, due: Option<Self>) -> Self {
        due.map_or(self, |due| due.min(self))
    }
}

/// Returns the microseconds of `duration`, at most [`u64::MAX`].
const fn whole_micros(duration: Duration) -> u64 {
    let micros = duration.as_micros();
    if micros > u64::MAX as u128 { u64::MAX } else { micros as u64 }
}
