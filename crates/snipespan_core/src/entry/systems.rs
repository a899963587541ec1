//! Systems that run over an entry's tables; `tick` sets their order.

pub mod arrivals;
pub mod attempts;
pub mod availability;
pub mod checking;
pub mod configuration;
pub mod ending;
pub mod expiry;
pub mod membership;
pub mod placing;
pub mod process;
pub mod records;
pub mod reporting;
pub mod routing;
