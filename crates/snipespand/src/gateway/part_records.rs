//! Reads and writes the record of blocked parts in the store, as the control thread orders.

use std::sync::Arc;
use std::time::Duration;

use snipespan_core::gateway::event::BlockedPartsRecord;
use snipespan_core::gateway::event::Event;
use snipespan_core::gateway::event::StoreClock;
use snipespan_core::gateway::message::PromptPartsReport;
use snipespan_platform_adapter::blocked_parts;
use snipespan_platform_adapter::error::CallError;
use snipespan_platform_adapter::paths::BLOCKED_PARTS_KEY;
use snipespan_platform_adapter::paths::RECORDS_TABLE;
use snipespan_platform_adapter::store::ConditionalWrite;
use snipespan_platform_adapter::store::Row;
use snipespan_platform_adapter::store::StoreClient;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::gateway::GatewayContext;
use crate::gateway::shell::Input;

/// Maximum number of queued orders; the control thread waits for the outcome of one before the next.
const MAX_QUEUED_ORDERS: usize = 4;

/// An order of the control thread.
#[derive(Debug)]
pub(super) enum RecordOrder {
    /// Read the record.
    Read,
    /// Write the record if its row has the version that it names; otherwise read it.
    Write(BlockedPartsRecord),
}

struct RecordClient {
    store: StoreClient,
    cx: Arc<GatewayContext>,
}

/// Starts to execute orders, and returns the queue for them.
pub(super) fn start(store: StoreClient, cx: &Arc<GatewayContext>) -> mpsc::Sender<RecordOrder> {
    let (orders_tx, mut orders) = mpsc::channel(MAX_QUEUED_ORDERS);
    let cx = Arc::clone(cx);
    let mut client = RecordClient { store, cx };
    tokio::spawn(async move {
        while let Some(order) = orders.recv().await {
            let event = client.execute(order).await;
            // Sending fails only after the control thread has ended, when nothing needs the event.
            let _ = client.cx.control.send(Input::Event(event)).await;
        }
    });
    orders_tx
}

impl RecordClient {
    async fn execute(&mut self, order: RecordOrder) -> Event {
        let executed = match order {
            RecordOrder::Read => self.read().await,
            RecordOrder::Write(record) => self.write(record).await,
        };
        executed.unwrap_or_else(|e| {
            self.cx.metrics.count("store_calls_failed");
            log::info!("the record of blocked parts was not read or written: {e}");
            Event::BlockedPartsCallFailed
        })
    }

    async fn read(&mut self) -> Result<Event, CallError> {
        read(&mut self.store, self.cx.clock).await.map(Event::BlockedPartsRead)
    }

    async fn write(&mut self, record: BlockedPartsRecord) -> Result<Event, CallError> {
        let BlockedPartsRecord { version, clock, reports } = record;
        let parts: usize = reports.iter().map(|report| report.parts.len()).sum();
        let store_time = clock.at(self.cx.clock.now());
        let value = match reports.is_empty() {
            true => None,
            false => Some(
                blocked_parts::encode(reports, store_time)
                    .map_err(|e| CallError::Malformed { detail: e.to_string() })?,
            ),
        };
        let (table, key) = (RECORDS_TABLE, BLOCKED_PARTS_KEY);
        match self.store.replace_row(table, key, value.as_deref(), version).await? {
            ConditionalWrite::Written => {
                self.cx.metrics.count("blocked_parts_written");
                log::info!(parts, replaced = version.0; "record of blocked parts written");
                Ok(Event::BlockedPartsWritten)
            }
            ConditionalWrite::Conflict => self.read().await,
        }
    }
}

/// Reads the record; a row that cannot be decoded names no part.
///
/// # Errors
/// [`CallError`] if the store did not answer.
pub(super) async fn read(
    store: &mut StoreClient,
    clock: Clock,
) -> Result<BlockedPartsRecord, CallError> {
    let read = store.read_row(RECORDS_TABLE, BLOCKED_PARTS_KEY).await?;
    let row = read.rows.first();
    let reports = row.and_then(|row| decode(row, read.store_time)).unwrap_or_default();
    let version = row.map(|row| row.version).unwrap_or_default();
    let parts: usize = reports.iter().map(|report| report.parts.len()).sum();
    log::info!(parts, version = version.0; "record of blocked parts read");
    let clock = StoreClock { time: read.store_time, read: clock.now() };
    Ok(BlockedPartsRecord { version, clock, reports })
}

fn decode(row: &Row, store_time: Duration) -> Option<Vec<PromptPartsReport>> {
    let decoded = blocked_parts::decode(row.value.as_ref()?, store_time);
    decoded.inspect_err(|e| log::warn!("could not decode the record of blocked parts: {e}")).ok()
}
