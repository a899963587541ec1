//! The operators' command line, a client of the gRPC service of an entry.
//!
//! An entry is a process that serves callers and operators.

pub mod args;
pub mod commands;
pub mod configuration_file;
pub mod connection;
pub mod exit;
pub mod output;
