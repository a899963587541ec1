//! Systems that run over a side process's tables; `tick` sets their order.

pub mod admission;
pub mod expiry;
pub mod offers;
pub mod process;
pub mod progress;
pub mod reclaim;
pub mod release;
pub mod reporting;
