//! Follows those tables of the platform's store that a gateway needs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use snipespan_core::gateway::effect::FeedMode;
use snipespan_core::gateway::effect::FeedPlan;
use snipespan_core::gateway::event::EvacuationSet;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::Listing;
use snipespan_core::gateway::event::ListingChange;
use snipespan_core::gateway::event::ListingsUpdate;
use snipespan_core::gateway::event::StoreVersion;
use snipespan_core::time::Timestamp;
use snipespan_platform_adapter::error::CallError;
use snipespan_platform_adapter::evacuation;
use snipespan_platform_adapter::listing;
use snipespan_platform_adapter::paths::CONFIGURATION_KEY;
use snipespan_platform_adapter::paths::EVACUATION_PREFIX;
use snipespan_platform_adapter::paths::GATEWAYS_TABLE;
use snipespan_platform_adapter::paths::LISTINGS_TABLE;
use snipespan_platform_adapter::paths::OPERATOR_TABLE;
use snipespan_platform_adapter::store::FeedUpdate;
use snipespan_platform_adapter::store::Row;
use snipespan_platform_adapter::store::StoreClient;
use snipespan_platform_adapter::store::VersionedRows;
use snipespan_settings::gateway::GatewayRole;
use tokio::sync::watch;

use crate::gateway::GatewayContext;
use crate::gateway::configurations;
use crate::gateway::part_records;
use crate::gateway::shell::Input;

/// Maximum pause after a failed call to the store; each pause is random between half of it and all
/// of it. A store that becomes reachable again is used well within the two seconds in which a
/// configuration must be in force.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Pause after a change of the operator's table before the next call for changes, so that one call
/// returns several changes of a series. The first change of a series is applied at once, and later
/// ones well within the two seconds in which a configuration must be in force.
const OPERATOR_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a change of the backend servers' listings before the next call for changes, so that
/// one call returns several changes of a series. The first change of a series is applied at once,
/// and later ones well within the two seconds in which draining must be in force.
const LISTINGS_PAUSE: Duration = Duration::from_millis(600);

/// Pause after a change of the gateways' listings before the next call for changes, so that one
/// call returns several changes of a series; there is no time limit for them.
const GATEWAYS_PAUSE: Duration = Duration::from_secs(8);

/// Maximum pause after a read of a whole table in place of its changes. Shorter reads are followed by
/// as long a pause, so that they take half of a link at most; with the wait of a follower, its copy
/// stays current.
const MAX_READ_PAUSE: Duration = Duration::from_millis(600);

/// Maximum pause after a failed call for the gateways' listings, for which there is no time limit;
/// peers find each other by the seeds as well.
const GATEWAYS_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Factor on the maximum wait for changes of the gateways' listings, for which there is no time
/// limit.
const GATEWAYS_WAIT_FACTOR: u32 = 7;

/// Time after an answer within which the next call waits for changes. A later call may reach a store
/// that has fallen silent meanwhile, which shows only when the whole wait is over.
const CONFIRMED_FOR: Duration = Duration::from_millis(50);

/// Maximum wait of one call for changes while peers rely on this gateway. A store that no longer
/// answers this gateway is noticed within this time and the time for an answer.
const FOLLOWER_WAIT: Duration = Duration::from_millis(800);

/// A table of the store that a gateway follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Table {
    /// The operator's table, with the serving configuration.
    Operator,
    /// The backend servers' listings.
    Listings,
    /// The gateways' listings.
    Gateways,
}

impl Table {
    /// Returns the pause after a change of the table before the next call for changes.
    const fn pause(self) -> Duration {
        match self {
            Self::Operator => OPERATOR_PAUSE,
            Self::Listings => LISTINGS_PAUSE,
            Self::Gateways => GATEWAYS_PAUSE,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_TABLE,
            Self::Listings => LISTINGS_TABLE,
            Self::Gateways => GATEWAYS_TABLE,
        }
    }
}

/// Follows one table and sends its changes to the control thread.
struct Watcher {
    table: Table,
    store: StoreClient,
    /// Maximum time that one call for changes waits for a change.
    feed_wait: Duration,
    /// How the control thread wants the feeds to be followed.
    plan: watch::Receiver<FeedPlan>,
    cx: Arc<GatewayContext>,
    node: CompactString,
    own_address: SocketAddr,
    /// Keys and addresses of the other gateways that the store lists.
    gateways: Vec<(CompactString, SocketAddr)>,
    /// Whether the store answered the last call; `None` before the first one.
    is_reachable: Option<bool>,
    /// When the store last answered.
    answered: Timestamp,
    /// When the last call was sent.
    called: Timestamp,
    /// Number of calls that failed since the last answer.
    failures: u32,
    /// Whether the record of blocked parts was read, or is read later by another task.
    has_read_blocked_parts: bool,
}

/// Starts to follow the tables, and lists this gateway as `node` at `own_address` in the store.
pub(super) fn start(
    role: &GatewayRole,
    plan: &watch::Receiver<FeedPlan>,
    cx: &Arc<GatewayContext>,
    node: &str,
    own_address: SocketAddr,
) {
    for table in [Table::Operator, Table::Listings, Table::Gateways] {
        let watcher = Watcher {
            table,
            store: StoreClient::metered(role.store, cx.metrics.meters.store.clone()),
            feed_wait: match table {
                Table::Operator | Table::Listings => role.feed_wait,
                Table::Gateways => role.feed_wait * GATEWAYS_WAIT_FACTOR,
            },
            plan: plan.clone(),
            cx: Arc::clone(cx),
            node: node.into(),
            own_address,
            gateways: Vec::new(),
            is_reachable: None,
            answered: Timestamp::ZERO,
            called: Timestamp::ZERO,
            failures: 0,
            has_read_blocked_parts: false,
        };
        tokio::spawn(watcher.run());
    }
}

impl Watcher {
    async fn run(mut self) {
        loop {
            if let Err(e) = self.follow_table().await {
                self.record_reachability(false, Some(&e)).await;
                pause_before_retry(self.table).await;
            }
        }
    }

    /// Reads the table, then applies its changes until the store no longer has the next ones.
    /// Retries failed calls for changes; only a read of the table returns an error.
    async fn follow_table(&mut self) -> Result<(), CallError> {
        let mut version = self.read_table().await?;
        loop {
            version = self.wait_until_followed(version).await;
            self.called = self.cx.clock.now();
            let wait = self.current_wait(self.called);
            let update = match self.store.poll_feed(self.table.name(), version, wait).await {
                Ok(update) => update,
                Err(e) => {
                    let was_reachable = self.is_reachable == Some(true);
                    self.record_reachability(false, Some(&e)).await;
                    // The store may be back long before the loss of a call that waits is noticed.
                    if !was_reachable || !e.is_connection_lost() {
                        pause_before_retry(self.table).await;
                    }
                    continue;
                }
            };
            self.record_reachability(true, None).await;
            match update {
                FeedUpdate::Changes(changes) => {
                    let is_changed = !changes.rows.is_empty();
                    if is_changed {
                        self.log_read("changes read", &changes);
                    }
                    let after = version;
                    version = changes.version.max(version);
                    self.apply_changes(after, version, changes.rows).await;
                    if is_changed {
                        tokio::time::sleep(self.table.pause()).await;
                    }
                }
                FeedUpdate::TooLong => {
                    let began = self.called;
                    version = self.read_table().await?;
                    let took = self.cx.clock.now().since(began);
                    let pause = took.min(MAX_READ_PAUSE).max(self.table.pause());
                    tokio::time::sleep(pause).await;
                }
                FeedUpdate::HistoryGone => {
                    log::info!(
                        table = self.table.name(), version = version.0;
                        "the store no longer has the changes since this version; reading the table"
                    );
                    return Ok(());
                }
            }
        }
    }

    /// Reads and applies all rows; returns the version from which the feed continues.
    async fn read_table(&mut self) -> Result<StoreVersion, CallError> {
        self.called = self.cx.clock.now();
        match self.table {
            Table::Operator => self.read_operator_table().await,
            Table::Listings => {
                let read = self.store.read_table(LISTINGS_TABLE).await?;
                self.record_reachability(true, None).await;
                self.log_read("table read", &read);
                let listings = read.rows.iter().filter_map(decode_listing).collect();
                self.send(Event::ListingsRead { version: read.version, listings }).await;
                Ok(read.version)
            }
            Table::Gateways => {
                let mut read = self.store.read_table(GATEWAYS_TABLE).await?;
                if !self.is_listed_in(&read.rows) {
                    // Of two gateways that start at the same time, the one that reads last finds the
                    // other.
                    let encoded = listing::encode_gateway_listing(self.own_address);
                    self.store.put_row(GATEWAYS_TABLE, &self.node, &encoded).await?;
                    read = self.store.read_table(GATEWAYS_TABLE).await?;
                }
                self.record_reachability(true, None).await;
                self.log_read("table read", &read);
                self.gateways.clear();
                self.update_gateways(&read.rows).await;
                Ok(read.version)
            }
        }
    }

    /// Reads the evacuations, at first the blocked parts of prompts, and then the configuration, which may
    /// take seconds. No request is sent without a configuration, and so none before the others are known.
    async fn read_operator_table(&mut self) -> Result<StoreVersion, CallError> {
        let read = self.store.read_prefix(OPERATOR_TABLE, EVACUATION_PREFIX).await?;
        self.record_reachability(true, None).await;
        let version = read.version;
        let data_centres = evacuation::evacuated_data_centres(&read.rows);
        self.send(Event::EvacuationsRead(EvacuationSet { version, data_centres })).await;
        self.read_blocked_parts().await;
        self.called = self.cx.clock.now();
        match self.store.read_row(OPERATOR_TABLE, CONFIGURATION_KEY).await {
            Ok(read) => {
                self.record_reachability(true, None).await;
                self.log_read("table read", &read);
                self.apply_configuration(&read.rows).await;
            }
            Err(e @ CallError::TooLong { .. }) => {
                log::error!(
                    "the configuration in the store is not read, the one in force stays: {e}"
                );
            }
            Err(e) => return Err(e),
        }
        Ok(version)
    }

    /// Reads the record of blocked parts once. It is read later if the store does not answer.
    async fn read_blocked_parts(&mut self) {
        if std::mem::replace(&mut self.has_read_blocked_parts, true) {
            return;
        }
        let event = match part_records::read(&mut self.store, self.cx.clock).await {
            Ok(record) => Event::BlockedPartsRead(record),
            Err(e) => {
                log::info!("the record of blocked parts was not read: {e}");
                Event::BlockedPartsCallFailed
            }
        };
        self.send(event).await;
    }

    fn is_listed_in(&self, rows: &[Row]) -> bool {
        let mut own = rows.iter().filter(|row| row.key == self.node);
        own.any(|row| {
            let value = row.value.as_ref();
            value.is_some_and(|value| {
                listing::decode_gateway_listing(value).is_ok_and(|at| at == self.own_address)
            })
        })
    }

    fn mode(&self) -> FeedMode {
        let plan = *self.plan.borrow();
        match self.table {
            Table::Operator => plan.operator,
            Table::Listings => plan.listings,
            Table::Gateways => FeedMode::Alone,
        }
    }

    /// Returns how long a call sent at `now` waits for a change: not at all after an outage, and if
    /// a long wait would begin though the store has not just answered, so that an outage or its end
    /// shows at once.
    fn current_wait(&self, now: Timestamp) -> Duration {
        if self.is_reachable != Some(true) {
            return Duration::ZERO;
        }
        let is_confirmed = now.since(self.answered) < CONFIRMED_FOR;
        match (self.table, self.mode()) {
            (_, FeedMode::ForPeers) => self.feed_wait.min(FOLLOWER_WAIT),
            (Table::Operator | Table::Listings, _) if !is_confirmed => Duration::ZERO,
            (_, FeedMode::Alone | FeedMode::Relayed) => self.feed_wait,
        }
    }

    /// Waits while peers relay the changes of the table; returns the version from which its feed
    /// continues.
    async fn wait_until_followed(&mut self, version: StoreVersion) -> StoreVersion {
        while self.mode() == FeedMode::Relayed {
            if self.plan.changed().await.is_err() {
                // The control thread has ended, and nothing needs the table.
                std::future::pending::<()>().await;
            }
        }
        match self.table {
            Table::Listings => version.max(self.plan.borrow().listings_version),
            Table::Operator | Table::Gateways => version,
        }
    }

    async fn send(&self, event: Event) {
        // Sending fails only after the control thread has ended, when nothing needs the event.
        let _ = self.cx.control.send(Input::Event(event)).await;
    }

    /// Records whether the store answers, and reports each answer to the control thread; the watcher
    /// of the listings also reports the first of a series of failures.
    async fn record_reachability(&mut self, is_reachable: bool, cause: Option<&CallError>) {
        let is_changed = self.is_reachable != Some(is_reachable);
        self.is_reachable = Some(is_reachable);
        let now = self.cx.clock.now();
        if is_reachable {
            self.answered = now;
            let failures = std::mem::take(&mut self.failures);
            if failures > 0 {
                log::info!(table = self.table.name(), failures; "the store answers again");
            }
        }
        if let Some(cause) = cause {
            self.failures += 1;
            self.cx.metrics.count("store_calls_failed");
            if is_changed {
                let took_ms = now.since(self.called).as_secs_f64() * 1e3;
                log::info!(
                    table = self.table.name(), took_ms; "the store does not answer: {cause}"
                );
            }
        }
        match (self.table, is_reachable) {
            (Table::Operator, true) => self.send(Event::OperatorTableAnswered).await,
            (Table::Listings, true) => self.send(Event::StoreAnswered).await,
            (Table::Listings, false) if is_changed => self.send(Event::StoreLost).await,
            (Table::Operator | Table::Listings, false) | (Table::Gateways, _) => {}
        }
    }

    /// Logs what the last call returned. `took_ms` includes the wait for a change.
    fn log_read(&self, message: &str, read: &VersionedRows) {
        let took_ms = self.cx.clock.now().since(self.called).as_secs_f64() * 1e3;
        log::info!(
            table = self.table.name(), version = read.version.0, rows = read.rows.len(),
            bytes = read.bytes, took_ms; "{message}"
        );
    }

    async fn apply_changes(&mut self, after: StoreVersion, version: StoreVersion, rows: Vec<Row>) {
        match self.table {
            Table::Operator => {
                let changes: Vec<_> = rows.iter().filter_map(evacuation::decode).collect();
                if !changes.is_empty() {
                    self.send(Event::EvacuationsChanged { version, changes }).await;
                }
                self.apply_configuration(&rows).await;
            }
            Table::Listings => {
                let changes = rows.into_iter().map(listing_change).collect();
                let update = ListingsUpdate { after, version, changes };
                self.send(Event::ListingsChanged(update)).await;
            }
            Table::Gateways if rows.is_empty() => {}
            Table::Gateways => self.update_gateways(&rows).await,
        }
    }

    /// Applies the newest configuration in rows that are in the order of their changes.
    async fn apply_configuration(&self, rows: &[Row]) {
        let mut values = rows.iter().filter(|row| row.key == CONFIGURATION_KEY);
        if let Some(bytes) =
            values.rfind(|row| row.value.is_some()).and_then(|row| row.value.as_ref())
        {
            configurations::apply_from_store(bytes, &self.cx).await;
        }
    }

    async fn update_gateways(&mut self, rows: &[Row]) {
        rows.iter().for_each(|row| self.update_gateway(row));
        let addresses = self.gateways.iter().map(|(_, address)| *address).collect();
        self.send(Event::PeersRead(addresses)).await;
    }

    fn update_gateway(&mut self, row: &Row) {
        self.gateways.retain(|(key, _)| *key != row.key);
        let Some(value) = &row.value else { return };
        match listing::decode_gateway_listing(value) {
            Ok(address) if address == self.own_address => {}
            Ok(address) => self.gateways.push((row.key.clone(), address)),
            Err(e) => {
                log::warn!(key = row.key.as_str(); "could not decode a gateway's listing: {e}")
            }
        }
    }
}

/// Waits after a failed call, for a random time, so that gateways do not all retry at once.
async fn pause_before_retry(table: Table) {
    let limit = match table {
        Table::Operator | Table::Listings => RETRY_PAUSE,
        Table::Gateways => GATEWAYS_RETRY_PAUSE,
    };
    let pause = limit.mul_f64(rand::rng().random_range(0.5..1.0));
    tokio::time::sleep(pause).await;
}

/// Returns the change of a listing in a row of the feed; a row that cannot be decoded names no
/// backend server.
fn listing_change(row: Row) -> ListingChange {
    match decode_listing(&row) {
        Some(listing) => ListingChange::Listed(listing),
        None => ListingChange::Removed { id: row.key },
    }
}

/// Returns the listing in a row, or `None` if the row was removed or cannot be decoded.
fn decode_listing(row: &Row) -> Option<Listing> {
    let value = row.value.as_ref()?;
    match listing::decode(&row.key, value) {
        Ok(listing) => Some(listing),
        Err(e) => {
            log::warn!(backend_server = row.key.as_str(); "could not decode the listing: {e}");
            None
        }
    }
}
