//! Integration tests of the daemon: real entries and side processes with fakes of the platform, the
//! model engines and the plain service.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test panics on an unexpected result"
)]

mod at_most_once;
mod configuration;
mod ends_in_time;
mod engine_memory;
mod evacuation;
mod harness;
mod history;
mod home_regions;
mod leaving;
mod own_answer;
mod path;
