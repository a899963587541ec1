//! Settings of the daemon, read from an INI file and fully validated before anything starts.

pub mod daemon;
pub mod error;
pub mod gateway;
pub mod ini_file;
pub mod units;
