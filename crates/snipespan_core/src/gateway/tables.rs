//! Tables of a gateway.

pub mod backend_servers;
pub mod data_centres;
pub mod evacuations;
pub mod memory_budget;
pub mod named_limits;
pub mod part_record;
pub mod peers;
pub mod prompt_parts;
pub mod relays;
pub mod remote_shares;
pub mod requests;
pub mod retry_budgets;
pub mod serving_fetch;
pub mod shared_rates;
pub mod sound_parts;
pub mod suspects;
pub mod work;
