//! Follows the configuration in the store, and passes it on through the side processes.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use snipespan_core::entry::event::Event;
use snipespan_platform::client::PlatformClient;
use snipespan_platform::configuration_store::ChainedConfiguration;
use snipespan_platform::configuration_store::ConfigurationStore;
use snipespan_settings::daemon::PlatformSettings;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::entry::shell::Input;

/// Configurations from peers that wait to be looked at; further ones are dropped, as the next
/// connection brings them again.
const MAX_PENDING_CONFIGURATIONS: usize = 16;

/// Handle of the task that keeps this entry's configuration; clones share it.
#[derive(Clone, Debug)]
pub(super) struct ConfigurationHandle {
    current: watch::Receiver<Option<Arc<ChainedConfiguration>>>,
    from_peers: mpsc::Sender<ChainedConfiguration>,
    refresh: Arc<Notify>,
}

struct ConfigurationFollower {
    store: ConfigurationStore,
    control: mpsc::Sender<Input>,
    current: watch::Sender<Option<Arc<ChainedConfiguration>>>,
}

impl ConfigurationHandle {
    /// Starts to follow the store.
    pub(super) fn start(
        platform: PlatformClient,
        control: mpsc::Sender<Input>,
        settings: &PlatformSettings,
    ) -> Self {
        let (current_tx, current) = watch::channel(None);
        let (from_peers, peers_rx) = mpsc::channel(MAX_PENDING_CONFIGURATIONS);
        let refresh = Arc::new(Notify::new());
        let store = ConfigurationStore::new(platform);
        let follower = ConfigurationFollower { store, control, current: current_tx };
        let interval = settings.configuration_interval;
        tokio::spawn(follower.run(interval, peers_rx, Arc::clone(&refresh)));
        Self { current, from_peers, refresh }
    }

    /// The configuration in force here, as it changes.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<Arc<ChainedConfiguration>>> {
        self.current.clone()
    }

    /// Takes in a configuration that a peer left at a side process.
    pub(super) fn offer(&self, configuration: ChainedConfiguration) {
        if self.from_peers.try_send(configuration).is_err() {
            log::debug!("a peer's configuration was dropped");
        }
    }

    /// Looks at the store now.
    pub(super) fn refresh_now(&self) {
        self.refresh.notify_one();
    }
}

impl ConfigurationFollower {
    async fn run(
        self,
        interval: Duration,
        mut from_peers: mpsc::Receiver<ChainedConfiguration>,
        refresh: Arc<Notify>,
    ) {
        loop {
            self.poll_store().await;
            let delay = interval.mul_f64(rand::rng().random_range(0.75..1.0));
            let wait = async {
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = refresh.notified() => {}
                }
            };
            tokio::pin!(wait);
            loop {
                tokio::select! {
                    () = &mut wait => break,
                    Some(candidate) = from_peers.recv() => self.apply_if_newer(candidate).await,
                }
            }
        }
    }

    async fn poll_store(&self) {
        let own = self.current.borrow().clone();
        let update = match &own {
            Some(own) => self.store.follow(own).await,
            None => self.store.load().await.map(Some),
        };
        match update {
            Ok(Some(newer)) => self.apply_if_newer(newer).await,
            Ok(None) => {}
            Err(e) => log::warn!("the configuration was not followed: {e}"),
        }
    }

    /// Takes over a configuration unless the one in force is as new.
    async fn apply_if_newer(&self, candidate: ChainedConfiguration) {
        let own = self.current.borrow().as_ref().map(|own| own.configuration.revision);
        if own.is_some_and(|own| candidate.configuration.revision <= own) {
            return;
        }
        log::info!("configuration revision {} is in force", candidate.configuration.revision);
        let event = Event::ConfigurationReceived(Box::new(candidate.configuration.clone()));
        self.current.send_replace(Some(Arc::new(candidate)));
        let _ = self.control.send(Input::Event(event)).await;
    }
}
