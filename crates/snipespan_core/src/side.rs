//! Decisions of a side process: which attempts its backend server runs, in which order, and which
//! memory the engine must free.

pub mod effect;
pub mod event;
pub mod settings;
pub mod systems;
pub mod tables;
pub mod tick;
pub mod world;
