//! Load generator for a deployment: arrivals with a fixed seed that are independent of the
//! answers, and measures of latency and completion as callers see them.

pub mod arrivals;
pub mod measures;
pub mod output;
pub mod plan;
pub mod prompts;
pub mod runner;
