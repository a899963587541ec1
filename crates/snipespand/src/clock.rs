//! The process's clocks; only traffic code and the control loop read them.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use snipespan_core::time::Timestamp;
use snipespan_platform::idempotency::UnixMillis;

/// A monotonic clock that starts with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// The instant of a timestamp.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.started + Duration::from_micros(timestamp.as_micros())
    }

    /// The present wall-clock time.
    pub fn unix_ms(&self) -> UnixMillis {
        time_since_epoch().as_millis() as UnixMillis
    }

    /// The present wall-clock time in microseconds since the Unix epoch.
    pub fn unix_us(&self) -> u64 {
        time_since_epoch().as_micros() as u64
    }
}

fn time_since_epoch() -> Duration {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since,
        Err(e) => {
            log::error!("the wall clock is before 1970 and counts as 1970: {e}");
            Duration::ZERO
        }
    }
}
