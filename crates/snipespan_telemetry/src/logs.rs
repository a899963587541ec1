//! Text logs of entries, side processes and tools, on standard error.

use env_logger::Builder;
use env_logger::Env;
use env_logger::Target;

/// Starts logging with `filters`, which the environment variable `RUST_LOG` overrides.
///
/// A second call in the same process has no effect.
pub fn start(filters: &str) {
    let env = Env::default().default_filter_or(filters);
    let started =
        Builder::from_env(env).target(Target::Stderr).format_timestamp_micros().try_init();
    if started.is_err() {
        log::debug!("logging is already started");
    }
}
