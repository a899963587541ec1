//! Systems that run over a gateway's tables; `tick` sets their order.

pub mod announcements;
pub mod arrivals;
pub mod attempts;
pub mod availability;
pub mod deferral;
pub mod ending;
pub mod expiry;
pub mod feeds;
pub mod health;
pub mod helpers;
pub mod leaving;
pub mod membership;
pub mod notifications;
pub mod pauses;
pub mod peers;
pub mod placing;
pub mod prediction;
pub mod process;
pub mod prompt_parts;
pub mod relays;
pub mod routing;
pub mod serving;
pub mod spans;
pub mod splitting;
pub mod stalls;
