//! Messages between entries and side processes, and their encoding.
//!
//! An entry serves callers; a side process runs beside one backend server and is the only path to
//! it. The entry opens one QUIC stream for control messages, one for each attempt to run a request
//! at the backend server, and one for each [fence request](opening::Opening::Fence).
//!
//! Each message is encoded with postcard and prefixed with its length in bytes as a little-endian
//! 32-bit number. After the opening message of an attempt the entry sends the request body unframed
//! and finishes its half of the stream.

pub mod codec;
pub mod control;
pub mod opening;
pub mod relay;
