//! Datagrams between gateways, and the HTTP server for peers and for readers of metrics.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::UdpSocket as StdUdpSocket;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use eyre::Result;
use eyre::eyre;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::message;
use snipespan_core::gateway::message::MessageRoute;
use snipespan_core::gateway::message::PeerMessage;
use snipespan_core::gateway::world::World;
use snipespan_settings::gateway::GatewayRole;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

use crate::gateway::GatewayContext;
use crate::gateway::byte_meters;
use crate::gateway::byte_meters::Place;
use crate::gateway::configurations;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::shell::Input;

/// Size of the receive buffer for a datagram in bytes; those that gateways send are far smaller.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Pause after the datagrams that have arrived, so that one wake-up receives several while hundreds
/// of gateways send; a few times the delay between data centres of a region.
const RECEIVE_PAUSE: Duration = Duration::from_millis(3);

/// Number of ports to try if the settings leave the choice to the system, which picks one that is
/// free for TCP; another process may hold its number for UDP.
const MAX_PORT_CHOICES: usize = 16;

/// Maximum length of the name of a data centre in bytes.
const MAX_NAME_BYTES: usize = 200;

const METRICS_PATH: &str = "/metrics";

/// The sockets for peers.
pub(super) struct PeerLink {
    cx: Arc<GatewayContext>,
    datagrams: UdpSocket,
    sender: StdUdpSocket,
    listener: TcpListener,
    address: SocketAddr,
}

impl PeerLink {
    /// Opens the TCP and the UDP socket on the same address and port.
    pub(super) async fn bind(role: &GatewayRole, cx: Arc<GatewayContext>) -> Result<Self> {
        let (listener, socket) = bind_both(role.peers_listen).await?;
        let address = listener.local_addr()?;
        socket.set_nonblocking(true)?;
        let sender = socket.try_clone()?;
        let datagrams = UdpSocket::from_std(socket)?;
        let address = role.peers_address.unwrap_or(address);
        Ok(Self { cx, datagrams, sender, listener, address })
    }

    /// Returns the address at which peers reach this gateway.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a sender of datagrams for the control thread; it sends none if the socket cannot be
    /// duplicated.
    pub(super) fn sender(&self) -> PeerSender {
        match self.sender.try_clone() {
            Ok(socket) => PeerSender::new(Some(socket), Arc::clone(&self.cx.metrics)),
            Err(e) => {
                log::error!("could not clone the socket to peers, so none is notified: {e}");
                PeerSender::new(None, Arc::clone(&self.cx.metrics))
            }
        }
    }

    /// Starts to serve peers, and passes those that the settings name to the control thread.
    pub(super) fn start(self, role: &GatewayRole) {
        let seeds = role.seeds.iter().filter(|seed| **seed != self.address).copied().collect();
        let control = self.cx.control.clone();
        let cx = Arc::clone(&self.cx);
        tokio::spawn(async move {
            // Sending fails only after the control thread has ended, when no peers are needed.
            let _ = control.send(Input::Event(Event::SeedsNamed(seeds))).await;
            receive_datagrams(self.datagrams, cx).await;
        });
        let router = Router::new()
            .route(configurations::SERVING_PATH, get(configurations::get_serving))
            .route(METRICS_PATH, get(get_metrics))
            // Nothing else is run here, also if a listing of a backend server has this address.
            .fallback(async || StatusCode::MISDIRECTED_REQUEST)
            .with_state(self.cx);
        tokio::spawn(async move {
            if let Err(e) = axum::serve(self.listener, router).await {
                log::error!("the HTTP server for peers failed: {e}");
            }
        });
    }
}

/// Opens a TCP and a UDP socket on the same address; on the same port too if it is 0.
async fn bind_both(address: SocketAddr) -> Result<(TcpListener, StdUdpSocket)> {
    let mut choices_left = if address.port() == 0 { MAX_PORT_CHOICES } else { 1 };
    loop {
        let listener = TcpListener::bind(address).await?;
        choices_left -= 1;
        match StdUdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(e) if e.kind() == ErrorKind::AddrInUse && choices_left > 0 => {}
            Err(e) => return Err(e.into()),
        }
    }
}

async fn receive_datagrams(datagrams: UdpSocket, cx: Arc<GatewayContext>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Err(e) = datagrams.readable().await {
            log::debug!("could not wait for a datagram from a peer: {e}");
        }
        while let Some((length, from)) = receive_datagram(&datagrams, &mut buf) {
            match decode_datagram(&buf[..length]) {
                Ok((message, route)) => {
                    for event in message::received_events(from, message, route) {
                        if cx.control.send(Input::Event(event)).await.is_err() {
                            return;
                        }
                    }
                }
                Err(e) => log::warn!(peer:% = from; "could not decode a datagram from a peer: {e}"),
            }
        }
        tokio::time::sleep(RECEIVE_PAUSE).await;
    }
}

/// Decodes a message, and the route that follows it if the sender states one.
fn decode_datagram(bytes: &[u8]) -> Result<(PeerMessage, Option<MessageRoute>)> {
    let (message, rest) = postcard::take_from_bytes::<PeerMessage>(bytes)?;
    if rest.is_empty() {
        return Ok((message, None));
    }
    let route = postcard::from_bytes::<MessageRoute>(rest)?;
    match route.data_centre.len() <= MAX_NAME_BYTES {
        true => Ok((message, Some(route))),
        false => Err(eyre!("the name of a data centre has {} bytes", route.data_centre.len())),
    }
}

fn encode_datagram(message: &PeerMessage, route: Option<&MessageRoute>) -> Result<Vec<u8>> {
    let mut bytes = postcard::to_stdvec(message)?;
    if let Some(route) = route {
        bytes.extend(postcard::to_stdvec(route)?);
    }
    Ok(bytes)
}

/// Returns the length and sender of a datagram that has arrived, or `None` if there is none.
fn receive_datagram(datagrams: &UdpSocket, buf: &mut [u8]) -> Option<(usize, SocketAddr)> {
    match datagrams.try_recv_from(buf) {
        Ok(received) => Some(received),
        Err(e) if e.kind() == ErrorKind::WouldBlock => None,
        Err(e) => {
            // The peer of an earlier datagram was not listening; the socket itself is usable.
            log::debug!("could not receive a datagram from a peer: {e}");
            None
        }
    }
}

/// Sends datagrams to peers without blocking.
#[derive(Debug)]
pub(super) struct PeerSender {
    socket: Option<StdUdpSocket>,
    metrics: Arc<GatewayMetrics>,
    /// Places of the peers whose data centre is known, by ascending address.
    places: Vec<(SocketAddr, Place)>,
}

impl PeerSender {
    const fn new(socket: Option<StdUdpSocket>, metrics: Arc<GatewayMetrics>) -> Self {
        Self { socket, metrics, places: Vec::new() }
    }

    /// Updates the places of the peers, by which bytes are counted.
    pub(super) fn update_places(&mut self, world: &World) {
        self.places.clear();
        let known = world.peers.iter().filter_map(|(_, peer)| {
            let data_centre = world.data_centres.rows.get(peer.data_centre?)?;
            Some((peer.address, Place::of_data_centre(world, &data_centre.name)))
        });
        self.places.extend(known);
        self.places.sort_by_key(|(address, _)| *address);
    }

    fn place_of(&self, address: SocketAddr) -> Place {
        let found = self.places.binary_search_by_key(&address, |(known, _)| *known);
        found.map_or(Place::Unknown, |index| self.places[index].1)
    }

    fn count_bytes(&self, to: &[SocketAddr], message: &PeerMessage, bytes: usize) {
        let kind = byte_meters::message_kind(&message.update);
        for place in [Place::Same, Place::Other, Place::Unknown] {
            let receivers = to.iter().filter(|address| self.place_of(**address) == place).count();
            self.metrics.add_bytes(kind, place, (receivers * bytes) as u64);
        }
    }

    /// Sends `message` to all addresses in `to`; peers recover from a lost datagram by the next
    /// snapshot of this gateway's open work.
    pub(super) fn notify(
        &self,
        to: &[SocketAddr],
        message: &PeerMessage,
        route: Option<&MessageRoute>,
    ) {
        let Some(socket) = &self.socket else { return };
        let bytes = match encode_datagram(message, route) {
            Ok(bytes) => bytes,
            Err(e) => return log::error!("could not encode a message to peers: {e}"),
        };
        self.count_bytes(to, message, bytes.len());
        for address in to {
            if let Err(e) = socket.send_to(&bytes, address) {
                log::debug!(peer:% = address; "could not send a datagram to a peer: {e}");
            }
        }
    }
}

async fn get_metrics(State(cx): State<Arc<GatewayContext>>) -> Result<Vec<u8>, StatusCode> {
    cx.metrics.render().map_err(|e| {
        log::error!("could not encode the metrics: {e}");
        StatusCode::INTERNAL_SERVER_ERROR
    })
}
