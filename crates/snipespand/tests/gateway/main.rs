//! A gateway as a real process, before stand-ins for the users' platform.
#![allow(clippy::expect_used, reason = "a test stops at what it did not expect")]

mod answers;
mod configuration;
mod draining;
mod faults;
mod harness;
mod observing;
mod spans;
mod store;
