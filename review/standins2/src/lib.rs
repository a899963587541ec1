//! Stand-ins for the second review: the platform's store, replicas, clients, and gateways as separate
//! processes. They use the standard library only, and loopback addresses only.

pub mod client;
pub mod deadly;
pub mod gateway;
pub mod http;
pub mod json;
pub mod record;
pub mod replica;
pub mod store;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns loopback addresses with different ports that are free now.
pub fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.each_ref().map(|listener| listener.local_addr().expect("an address"))
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis() as u64
}

/// Returns whether the disruption of the case takes place, which `TROUBLE=0` switches off.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
