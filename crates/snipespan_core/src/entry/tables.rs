//! Tables of an entry's entities.

pub mod accounts;
pub mod attempts;
pub mod backend_servers;
pub mod report;
pub mod requests;
