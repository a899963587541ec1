//! Monotonic and wall clock of the process. Only traffic code and the loop of the control thread
//! read it.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use snipespan_core::time::Timestamp;
use snipespan_platform::idempotency::UnixMillis;

/// Clock whose timestamps count from the time of its creation, usually the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock whose timestamps start at 0 now.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Converts a timestamp of this clock to an [`Instant`].
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        self.started + Duration::from_micros(timestamp.as_micros())
    }

    /// Returns the current wall-clock time in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> UnixMillis {
        time_since_epoch().as_millis() as UnixMillis
    }

    /// Returns the current wall-clock time in microseconds since the Unix epoch.
    pub fn unix_us(&self) -> u64 {
        time_since_epoch().as_micros() as u64
    }
}

fn time_since_epoch() -> Duration {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(since) => since,
        Err(e) => {
            log::error!("the wall clock is set before 1970; using 1970 instead: {e}");
            Duration::ZERO
        }
    }
}
