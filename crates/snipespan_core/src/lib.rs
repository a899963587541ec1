//! Decisions of the serving layer, free of I/O, clocks, threads and message encodings.
//!
//! Entities live in bounded tables and are named by small `Copy` keys. Once a tick the
//! control thread hands over the waiting events and the present time, the systems run in a
//! fixed order, and the effects they asked for come back. Equal events give equal effects.

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
