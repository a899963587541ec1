//! Connections of an entry to the side processes.

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

use crate::entry::configuration::ConfigurationKeeper;
use crate::entry::shell::Input;
use crate::tls::SERVER_NAME;

/// Longest wait for a connection and its first message.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Shortest time between two configurations that one side process is sent.
const CONFIGURATION_PAUSE: Duration = Duration::from_secs(1);

/// Opens connections to side processes on the traffic threads.
#[derive(Clone)]
pub(super) struct SideConnector {
    endpoint: Endpoint,
    control: mpsc::Sender<Input>,
    keeper: ConfigurationKeeper,
    traffic: Handle,
}

impl SideConnector {
    /// Connects from `endpoint`. Needs a running tokio runtime.
    pub(super) fn new(
        endpoint: Endpoint,
        control: mpsc::Sender<Input>,
        keeper: ConfigurationKeeper,
    ) -> Self {
        Self { endpoint, control, keeper, traffic: Handle::current() }
    }

    /// Opens a connection and reports what comes of it.
    pub(super) fn connect(&self, backend_server: BackendServerKey, address: &str) {
        let this = self.clone();
        let address = address.to_owned();
        self.traffic.spawn(async move {
            if let Err(e) = this.follow(backend_server, &address).await {
                log::debug!("side process at {address}: {e}");
            }
            let lost = Input::Event(Event::BackendServerLost { backend_server });
            let _ = this.control.send(lost).await;
        });
    }

    async fn follow(&self, backend_server: BackendServerKey, address: &str) -> Result<()> {
        let opened = tokio::time::timeout(CONNECT_LIMIT, self.open(address)).await;
        let (connection, hello, reader, send) =
            opened.map_err(|_| eyre!("no answer in time"))??;
        log::info!("side process at {address} connected, incarnation={}", hello.incarnation);
        let connected =
            Input::SideConnected { backend_server, connection: connection.clone(), hello };
        self.control.send(connected).await.map_err(|_| eyre!("the entry stops"))?;
        let telling = tokio::spawn(tell(self.keeper.clone(), send));
        let heard = self.listen(backend_server, reader).await;
        telling.abort();
        heard
    }

    async fn open(
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
            _ => bail!("the first message is not a hello"),
        }
    }

    async fn listen(
        &self,
        backend_server: BackendServerKey,
        mut reader: MessageReader<RecvStream>,
    ) -> Result<()> {
        while let Some(message) = reader.next::<FromSide>().await? {
            match message {
                FromSide::Hello(_) => bail!("a second hello"),
                FromSide::Load(load) => {
                    let input = Input::Event(Event::BackendServerLoad { backend_server, load });
                    self.control.send(input).await.map_err(|_| eyre!("the entry stops"))?;
                }
                FromSide::Configuration { encoded, .. } => {
                    self.keeper.offer(serde_json::from_slice(&encoded)?);
                }
            }
        }
        Ok(())
    }
}

/// Leaves the configuration in force at a side process whenever it changes.
async fn tell(keeper: ConfigurationKeeper, mut send: SendStream) -> Result<()> {
    let mut current = keeper.subscribe();
    loop {
        let known = current.borrow_and_update().clone();
        if let Some(known) = known {
            codec::write_message(&mut send, &message(&known)?).await?;
        }
        tokio::time::sleep(CONFIGURATION_PAUSE).await;
        current.changed().await?;
    }
}

fn message(configuration: &ChainedConfiguration) -> Result<FromEntry> {
    let revision = configuration.configuration.revision.0;
    Ok(FromEntry::Configuration { revision, encoded: serde_json::to_vec(configuration)? })
}
