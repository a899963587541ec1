//! Runs the whole system in one process with fake backend servers and a fake platform, for trials
//! and measurements.

pub mod args;
pub mod commands;
pub mod fleet;
pub mod prompts;
pub mod statistics;
