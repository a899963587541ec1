//! Caller of the system: sends chat completions and calls to plain services, and measures and
//! checks their answers.

pub mod caller;
pub mod outcome;
