//! Small stand-ins for what surrounds the system: engines, plain services, the platform, a trace
//! collector, and a proxy that injects faults. For tests and for trying the system out.

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
