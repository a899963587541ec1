//! Metrics in the StatsD format over UDP.

use std::net::SocketAddr;
use std::net::UdpSocket;

use cadence::BufferedUdpMetricSink;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use eyre::Result;

/// Metrics that wait to be sent; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 4096;

/// A client that sends to `address`, or nowhere.
///
/// # Errors
/// When no UDP socket can be opened.
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
