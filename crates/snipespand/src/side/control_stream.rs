//! Control stream of one entry: sends the hello of this side process, reports the load of its
//! backend server and exchanges the configuration, which is stored here for entries that start.

use std::sync::Arc;

use quinn::RecvStream;
use quinn::SendStream;
use snipespan_core::entry::event::Hello;
use snipespan_core::entry::event::Load;
use snipespan_core::identity::Target;
use snipespan_protocol::codec;
use snipespan_protocol::codec::CodecError;
use snipespan_protocol::codec::MessageReader;
use snipespan_protocol::control::FromEntry;
use snipespan_protocol::control::FromSide;
use tokio::sync::watch;

use crate::side::SideContext;

/// Newest configuration received, as an entry encoded it; empty before the first one.
#[derive(Clone, Debug, Default)]
struct LatestConfiguration {
    revision: u64,
    encoded: Vec<u8>,
}

/// Values that are sent to all entries.
#[derive(Debug)]
pub(super) struct Announcements {
    targets: Vec<Target>,
    load: watch::Sender<Option<Load>>,
    configuration: watch::Sender<LatestConfiguration>,
}

impl Announcements {
    /// Creates announcements of `targets`, with no load and no configuration yet.
    pub(super) fn new(targets: Vec<Target>) -> Self {
        let load = watch::Sender::new(None);
        let configuration = watch::Sender::new(LatestConfiguration::default());
        Self { targets, load, configuration }
    }

    /// Sends `load` to all entries.
    pub(super) fn set_load(&self, load: Load) {
        self.load.send_replace(Some(load));
    }

    /// Returns the last load, or `None` before the first one.
    pub(super) fn load(&self) -> Option<Load> {
        *self.load.borrow()
    }

    /// Stores a configuration if it is newer than the stored one.
    fn update_configuration(&self, revision: u64, encoded: Vec<u8>) {
        self.configuration.send_if_modified(|latest| {
            let is_newer = latest.encoded.is_empty() || revision > latest.revision;
            if is_newer {
                *latest = LatestConfiguration { revision, encoded };
            }
            is_newer
        });
    }
}

/// Exchanges control messages with one entry until its connection ends.
pub(super) async fn serve_entry(
    cx: Arc<SideContext>,
    mut send: SendStream,
    reader: MessageReader<RecvStream>,
) {
    let receiver = tokio::spawn(receive_configurations(Arc::clone(&cx), reader));
    if let Err(e) = send_updates(&cx, &mut send).await {
        log::debug!("vm={} the control stream of an entry ended: {e}", cx.vm);
    }
    receiver.abort();
}

/// Sends the hello, then each change of load and configuration.
async fn send_updates(cx: &SideContext, send: &mut SendStream) -> Result<(), CodecError> {
    let announcements = &cx.announcements;
    let mut load = announcements.load.subscribe();
    let mut configuration = announcements.configuration.subscribe();
    // An entry that connects before the first report of the backend server receives nothing until
    // then.
    let first = load.wait_for(Option::is_some).await.map(|load| load.unwrap_or_default());
    let first = first.unwrap_or_default();
    let hello = Hello {
        incarnation: cx.incarnation,
        targets: announcements.targets.clone(),
        is_leaving: first.is_leaving,
    };
    codec::write_message(send, &FromSide::Hello(hello)).await?;
    codec::write_message(send, &FromSide::Load(first)).await?;
    send_configuration(send, &mut configuration).await?;
    loop {
        tokio::select! {
            _ = load.changed() => {
                let current = load.borrow_and_update().unwrap_or_default();
                codec::write_message(send, &FromSide::Load(current)).await?;
            }
            _ = configuration.changed() => send_configuration(send, &mut configuration).await?,
            _ = send.stopped() => return Ok(()),
        }
    }
}

async fn send_configuration(
    send: &mut SendStream,
    configuration: &mut watch::Receiver<LatestConfiguration>,
) -> Result<(), CodecError> {
    let latest = configuration.borrow_and_update().clone();
    if latest.encoded.is_empty() {
        return Ok(());
    }
    let LatestConfiguration { revision, encoded } = latest;
    codec::write_message(send, &FromSide::Configuration { revision, encoded }).await
}

async fn receive_configurations(cx: Arc<SideContext>, mut reader: MessageReader<RecvStream>) {
    while let Ok(Some(message)) = reader.next::<FromEntry>().await {
        match message {
            FromEntry::Configuration { revision, encoded } => {
                cx.announcements.update_configuration(revision, encoded);
            }
        }
    }
}
