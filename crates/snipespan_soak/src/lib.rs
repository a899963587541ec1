//! A randomized soak of gateways: real processes, faults from outside, and checks of what clients
//! and backend servers see.
//!
//! A seed fixes the plan of faults and requests. Faults come in series and overlap.

pub mod args;
pub mod checks;
pub mod clients;
pub mod gateway;
pub mod plan;
pub mod run;
pub mod site;
