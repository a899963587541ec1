//! Metrics in the StatsD format over UDP.

use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::BufferedUdpMetricSink;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use eyre::Result;

/// Maximum number of metrics in the send queue; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4096;

/// Creates a client that sends metrics with names under `prefix` to `address`, or discards them if
/// `address` is `None`.
///
/// # Errors
/// If no UDP socket can be opened.
pub fn client(prefix: &str, address: Option<SocketAddr>) -> Result<StatsdClient> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(prefix, NopMetricSink));
    };
    let local = match address.is_ipv4() {
        true => "0.0.0.0:0",
        false => "[::]:0",
    };
    let sink = BufferedUdpMetricSink::from(address, UdpSocket::bind(local)?)?;
    let sink = QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS);
    Ok(StatsdClient::from_sink(prefix, sink))
}
