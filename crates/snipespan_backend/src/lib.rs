//! HTTP clients of backend servers: model engines and plain services.

pub mod error;
pub mod http;
pub mod model_engine;
pub mod plain_service;
