//! The daemon: one control thread makes the decisions, and traffic threads transfer the data.

pub mod args;
pub mod clock;
pub mod control;
pub mod daemon;
pub mod entry;
mod error_body;
pub mod gateway;
pub mod metrics;
pub mod process;
pub mod quic;
pub mod side;
pub mod tls;
