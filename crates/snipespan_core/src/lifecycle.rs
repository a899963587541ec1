//! State machines of entity lifecycles, stored in the rows of the tables.

pub mod backend_server;
pub mod process;
pub mod request;
pub mod stream;
