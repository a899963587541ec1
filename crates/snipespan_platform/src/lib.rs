//! Access to the platform's services, and the data that snipespan stores in them.
//!
//! All calls to the platform go through this crate; another platform needs another [`client`].

pub mod client;
pub mod configuration_store;
pub mod error;
pub mod idempotency;
pub mod report_store;

#[allow(missing_docs, clippy::all, unreachable_pub, reason = "generated from proto/platform.proto")]
#[rustfmt::skip]
#[path = "generated/snipespan.platform.v1.rs"]
pub mod v1;
