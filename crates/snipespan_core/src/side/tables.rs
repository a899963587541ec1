//! Tables of a side process.

pub mod shares;
pub mod streams;
pub mod unrepeatable;
