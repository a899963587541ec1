//! Tests of an entry's decisions.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

mod arrivals;
mod attempts;
mod evacuation;
mod home_regions;
mod kit;
mod membership;
mod replay;
