//! Points in time as the decisions see them.

use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Microseconds since the process started, by its monotonic clock.
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
    /// The start of the process.
    pub const ZERO: Self = Self(0);

    /// The timestamp `micros` microseconds after the start of the process.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Microseconds since the start of the process.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The time from `earlier` to `self`, zero when `earlier` is the later one.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The timestamp `duration` later, saturating at the end of time.
    pub const fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }

    /// The earlier of `self` and what is due already.
    pub fn or_sooner(self, due: Option<Self>) -> Self {
        due.map_or(self, |due| due.min(self))
    }
}
