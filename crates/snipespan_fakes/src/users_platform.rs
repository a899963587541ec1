//! Fakes of the users' platform: its store and its backend servers.

pub mod replica;
pub mod store;
