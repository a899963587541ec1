//! Decisions of the serving layer, free of I/O, clocks, threads and message encodings.
//!
//! Entities are rows of bounded tables, identified by small `Copy` keys. On each tick the
//! control thread passes the pending events and the current time, the systems run in a fixed
//! order, and the tick returns the effects for the caller to execute. The result is
//! deterministic: equal state, time and events give equal effects.
//!
//! - A backend server is a model engine or a plain service on a VM; a plain service is any other
//!   HTTP service.
//! - The target of a request is the model or plain service that it is addressed to.
//! - A side process runs in front of one backend server and decides when it runs which attempt.
//! - An entry admits the requests of callers and sends them to side processes.
//! - A gateway admits the requests of clients, as an entry does those of callers, and sends them to
//!   backend servers directly.
//! - An attempt is one dispatch of a request to one backend server.
//! - A stream is an attempt that a side process has accepted.
//! - To fence a request is to have a side process confirm that it has not accepted the request and
//!   never will.

pub mod attempt;
pub mod configuration;
pub mod configuration_check;
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
