//! Tables of an entry.

pub mod accounts;
pub mod attempts;
pub mod backend_servers;
pub mod data_centres;
pub mod regions;
pub mod report;
pub mod requests;
