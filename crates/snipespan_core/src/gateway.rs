//! Decisions of a gateway: it receives requests of clients, as an entry does, and sends them to
//! backend servers directly, without side processes beside these.
//!
//! Gateways report their dispatches to each other, so that each of them places requests by the open
//! work of all gateways.
//!
//! The terms of this folder:
//!
//! - Caller: the task that waits for the answer to one request at its client's connection. Each
//!   request has a [`CallerKey`](crate::keys::CallerKey) of its own, also if the connection carries
//!   several.
//! - Store: the platform's service that holds the serving configuration and the listings of backend
//!   servers and gateways. A feed is a series of calls that it answers at the next change.
//! - Attempt: one send of a request to a backend server.
//! - Work: the load of an attempt, a helper or a reservation at one backend server.
//! - Helper: an engine that prefills a part of a prompt besides the one that gets the request.
//! - Span: several engines that together hold a prompt for which none has the memory.
//! - First event: the first event of a stream, or the answer of a plain service.
//! - Loss: the value that requests are expected to lose, see [`systems::prediction`].

pub mod decision;
pub mod effect;
pub mod engine;
pub mod event;
pub mod message;
pub mod serving;
pub mod settings;
pub mod systems;
pub mod tables;
pub mod tick;
pub mod world;
