//! Systems that run over the tables of a side process; `tick` defines their order.

pub mod admission;
pub mod expiry;
pub mod offers;
pub mod process;
pub mod progress;
pub mod reclaim;
pub mod release;
pub mod reporting;
