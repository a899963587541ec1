//! Checks of a whole configuration: items that can never match, limits that contradict each other,
//! and differences between two versions. Free of I/O.
//!
//! The checks run over a [`Subject`](subject::Subject), a view that both the project's own
//! [`Configuration`](crate::configuration::Configuration) and the
//! [`ServingConfiguration`](crate::gateway::serving::ServingConfiguration) of a gateway fill in. A
//! configuration with findings is still valid and is put in force: whether a finding is a mistake
//! is for operators to say.

pub mod checks;
pub mod difference;
pub mod finding;
pub mod own;
pub mod serving;
pub mod subject;
