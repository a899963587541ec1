//! Decisions of an entry: admission, placement, retries, expiry and the report.

pub mod decision;
pub mod effect;
pub mod event;
pub mod settings;
pub mod systems;
pub mod tables;
pub mod tick;
pub mod world;
