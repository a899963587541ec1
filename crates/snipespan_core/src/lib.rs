//! Decisions of the serving layer, free of I/O, clocks, threads and message encodings.
//!
//! Entities are rows of bounded tables, identified by small `Copy` keys. On each tick the
//! control thread passes the pending events and the current time, the systems run in a fixed
//! order, and the tick returns the effects for the caller to execute. The result is
//! deterministic: equal state, time and events give equal effects.

pub mod attempt;
pub mod configuration;
pub mod cost;
pub mod entry;
pub mod gateway;
pub mod identity;
pub mod keys;
pub mod lifecycle;
pub mod result_code;
pub mod side;
pub mod table;
pub mod time;
