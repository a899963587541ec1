//! The operators' command line, a client of the gRPC service of an entry.

pub mod args;
pub mod commands;
pub mod connection;
pub mod exit;
pub mod output;
