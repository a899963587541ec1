//! Randomized soak test of gateways: runs them as real processes, injects faults from outside, and
//! checks what clients and replicas, the fakes of backend servers, observe.
//!
//! A seed fixes the plan of faults and requests. Faults come in series and overlap.

pub mod addresses;
pub mod args;
pub mod checks;
pub mod clients;
pub mod gateway;
pub mod plan;
pub mod run;
pub mod site;
