//! Tests of a gateway process in front of fakes of the users' platform.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

mod announcements;
mod answers;
mod configuration;
mod draining;
mod endless;
mod faults;
mod harness;
mod observing;
mod relaying;
mod spans;
mod store;
