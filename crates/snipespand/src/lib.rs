//! The daemon of snipespan: one control thread makes the decisions, and traffic threads transfer
//! the data.
//!
//! A process has one of three roles. An entry serves callers and operators. A side process runs
//! beside one backend server, which is a model engine or a plain service, and is the only path to
//! it; an entry sends each request to a side process as an attempt, and may send further attempts
//! if one fails. A gateway forwards clients' requests directly to backend servers of the users'
//! platform.

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
