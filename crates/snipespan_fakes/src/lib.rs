//! Fakes of everything that surrounds the system, for tests, demos and load runs: model engines,
//! plain services, the platform that entries and side processes use over gRPC, the users' platform
//! that gateways use over HTTP, a trace collector, and a TCP proxy that injects faults.

pub mod certificates;
pub mod deployment;
pub mod fault_proxy;
pub mod model_engine;
pub mod plain_service;
pub mod platform;
pub mod server;
pub mod sync;
pub mod trace_collector;
pub mod users_platform;
