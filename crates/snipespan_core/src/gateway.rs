//! Decisions of a gateway: an entry that sends requests to backend servers directly, without side
//! processes.
//!
//! Gateways report their dispatches to each other, so that each of them places requests by the open
//! work of all gateways.

pub mod decision;
pub mod effect;
pub mod engine;
pub mod event;
pub mod serving;
pub mod settings;
pub mod systems;
pub mod tables;
pub mod tick;
pub mod world;
