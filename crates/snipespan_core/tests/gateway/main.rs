//! Tests of a gateway's decisions.
#![allow(clippy::expect_used, reason = "a test fails at an unexpected value")]

mod announcements;
mod arrivals;
mod attempts;
mod crashing_part;
mod crest;
mod data_centre_fleet;
mod deferral;
mod engine;
mod feeds;
mod kit;
mod leaving;
mod membership;
mod pauses;
mod peers;
mod placing;
mod process;
mod prompt_parts;
mod relays;
mod retry_budgets;
mod serving;
mod spans;
mod stalls;
