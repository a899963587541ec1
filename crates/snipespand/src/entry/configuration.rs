//! Follows the configuration in the store and in the copies that side processes received from other
//! entries.

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

/// Maximum number of configurations from side processes that wait to be compared with the current
/// one; further ones are dropped, as the next connection delivers them again.
const MAX_PENDING_CONFIGURATIONS: usize = 16;

/// Handle of the task that keeps this entry's configuration current; clones share the task.
#[derive(Clone, Debug)]
pub(super) struct ConfigurationHandle {
    current: watch::Receiver<Option<Arc<ChainedConfiguration>>>,
    from_sides: mpsc::Sender<ChainedConfiguration>,
    refresh: Arc<Notify>,
}

struct ConfigurationFollower {
    store: ConfigurationStore,
    control: mpsc::Sender<Input>,
    current: watch::Sender<Option<Arc<ChainedConfiguration>>>,
}

impl ConfigurationHandle {
    /// Starts the task. Needs a running tokio runtime.
    pub(super) fn start(
        platform: PlatformClient,
        control: mpsc::Sender<Input>,
        settings: &PlatformSettings,
    ) -> Self {
        let (current_tx, current) = watch::channel(None);
        let (from_sides, sides_rx) = mpsc::channel(MAX_PENDING_CONFIGURATIONS);
        let refresh = Arc::new(Notify::new());
        let store = ConfigurationStore::new(platform);
        let follower = ConfigurationFollower { store, control, current: current_tx };
        let interval = settings.configuration_interval;
        tokio::spawn(follower.run(interval, sides_rx, Arc::clone(&refresh)));
        Self { current, from_sides, refresh }
    }

    /// Returns a receiver of the configuration in force at this entry.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<Arc<ChainedConfiguration>>> {
        self.current.clone()
    }

    /// Offers a configuration that a side process received from another entry.
    pub(super) fn offer(&self, configuration: ChainedConfiguration) {
        if self.from_sides.try_send(configuration).is_err() {
            log::debug!("dropped a configuration from a side process: the queue is full");
        }
    }

    /// Polls the store now rather than at the end of the interval.
    pub(super) fn refresh_now(&self) {
        self.refresh.notify_one();
    }
}

impl ConfigurationFollower {
    async fn run(
        self,
        interval: Duration,
        mut from_sides: mpsc::Receiver<ChainedConfiguration>,
        refresh: Arc<Notify>,
    ) {
        loop {
            self.poll_store().await;
            // Random delays keep the polls of the entries apart.
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
                    Some(candidate) = from_sides.recv() => self.apply_if_newer(candidate).await,
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
            Err(e) => log::warn!("could not read the configuration from the store: {e}"),
        }
    }

    /// Puts a configuration in force if its revision is higher than the current one.
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
