//! Tests of the decisions of a side process.
#![allow(clippy::expect_used, reason = "a test panics on an unexpected result")]

mod admission;
mod kit;
mod memory;
