//! Messages between entries and side processes, and their encoding.
//!
//! An entry opens one QUIC stream for control messages, one for each attempt and one for each fence
//! request. Each message is encoded with postcard and prefixed with its length in bytes as a
//! little-endian 32-bit number. After the opening message of an attempt the entry sends the request
//! body unframed and finishes its half of the stream.

pub mod codec;
pub mod control;
pub mod opening;
pub mod relay;
