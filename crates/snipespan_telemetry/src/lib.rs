//! Logs, metrics, and traces with a span for each hop.

pub mod json_logs;
pub mod logs;
pub mod metrics;
pub mod traces;
