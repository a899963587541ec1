//! Decisions of a gateway: an entry that sends requests straight to the backend servers.
//!
//! Gateways tell each other what they have dispatched, so that each of them places requests by
//! the work of all.

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
