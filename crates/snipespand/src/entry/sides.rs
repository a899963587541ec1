//! Connections of an entry to side processes.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use eyre::bail;
use eyre::eyre;
use quinn::Connection;
use quinn::Endpoint;
use quinn::RecvStream;
use quinn::SendStream;
use snipespan_core::entry::event::Event;
use snipespan_core::entry::event::Hello;
use snipespan_core::keys::BackendServerKey;
use snipespan_platform::configuration_store::ChainedConfiguration;
use snipespan_protocol::codec;
use snipespan_protocol::codec::MessageReader;
use snipespan_protocol::control::FromEntry;
use snipespan_protocol::control::FromSide;
use snipespan_protocol::opening::Opening;
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::entry::configuration::ConfigurationHandle;
use crate::entry::shell::Input;
use crate::tls::SERVER_NAME;

/// Maximum wait for a connection and its first message.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time between two configurations sent to one side process.
const MIN_CONFIGURATION_INTERVAL: Duration = Duration::from_secs(1);

/// Opens connections to side processes on the traffic threads.
#[derive(Clone)]
pub(super) struct SideConnector {
    endpoint: Endpoint,
    control: mpsc::Sender<Input>,
    configuration: ConfigurationHandle,
    traffic: Handle,
}

impl SideConnector {
    /// Creates a connector that uses `endpoint`. Needs a running tokio runtime.
    pub(super) fn new(
        endpoint: Endpoint,
        control: mpsc::Sender<Input>,
        configuration: ConfigurationHandle,
    ) -> Self {
        Self { endpoint, control, configuration, traffic: Handle::current() }
    }

    /// Opens a connection in the background, and reports its messages and its loss to the control
    /// thread.
    pub(super) fn connect(&self, backend_server: BackendServerKey, address: &str) {
        let this = self.clone();
        let address = address.to_owned();
        self.traffic.spawn(async move {
            if let Err(e) = this.run_connection(backend_server, &address).await {
                log::debug!("the connection to the side process at {address} failed: {e}");
            }
            let lost = Input::Event(Event::BackendServerLost { backend_server });
            let _ = this.control.send(lost).await;
        });
    }

    async fn run_connection(&self, backend_server: BackendServerKey, address: &str) -> Result<()> {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, self.open_connection(address)).await;
        let (connection, hello, reader, send) =
            opened.map_err(|_| eyre!("no hello within {CONNECT_TIMEOUT:?}"))??;
        log::info!("side process at {address} connected, incarnation={}", hello.incarnation);
        let connected =
            Input::SideConnected { backend_server, connection: connection.clone(), hello };
        self.control.send(connected).await.map_err(|_| eyre!("the entry is stopping"))?;
        let sender = tokio::spawn(send_configurations(self.configuration.clone(), send));
        let received = self.receive_messages(backend_server, reader).await;
        sender.abort();
        received
    }

    async fn open_connection(
        &self,
        address: &str,
    ) -> Result<(Connection, Hello, MessageReader<RecvStream>, SendStream)> {
        let address: SocketAddr = address.parse()?;
        let connection = self.endpoint.connect(address, SERVER_NAME)?.await?;
        let (mut send, recv) = connection.open_bi().await?;
        codec::write_message(&mut send, &Opening::Control).await?;
        let mut reader = MessageReader::new(recv);
        match reader.next().await? {
            Some(FromSide::Hello(hello)) => Ok((connection, hello, reader, send)),
            _ => bail!("the side process did not send a hello as its first message"),
        }
    }

    async fn receive_messages(
        &self,
        backend_server: BackendServerKey,
        mut reader: MessageReader<RecvStream>,
    ) -> Result<()> {
        while let Some(message) = reader.next::<FromSide>().await? {
            match message {
                FromSide::Hello(_) => {
                    bail!("received a second hello; only the first message may be one")
                }
                FromSide::Load(load) => {
                    let input = Input::Event(Event::BackendServerLoad { backend_server, load });
                    self.control.send(input).await.map_err(|_| eyre!("the entry is stopping"))?;
                }
                FromSide::Configuration { encoded, .. } => {
                    self.configuration.offer(serde_json::from_slice(&encoded)?);
                }
            }
        }
        Ok(())
    }
}

/// Sends the configuration in force to a side process, at first and after each change.
async fn send_configurations(
    configuration: ConfigurationHandle,
    mut send: SendStream,
) -> Result<()> {
    let mut current = configuration.subscribe();
    loop {
        let latest = current.borrow_and_update().clone();
        if let Some(latest) = latest {
            codec::write_message(&mut send, &configuration_message(&latest)?).await?;
        }
        tokio::time::sleep(MIN_CONFIGURATION_INTERVAL).await;
        current.changed().await?;
    }
}

fn configuration_message(configuration: &ChainedConfiguration) -> Result<FromEntry> {
    let revision = configuration.configuration.revision.0;
    Ok(FromEntry::Configuration { revision, encoded: serde_json::to_vec(configuration)? })
}
