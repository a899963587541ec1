//! Logs, metrics, and traces with one span per hop.

pub mod json_logs;
pub mod logs;
pub mod metrics;
pub mod traces;
