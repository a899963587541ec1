//! Writes windows of the report to the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use snipespan_core::entry::event::Event;
use snipespan_core::entry::tables::report::Report;
use snipespan_core::identity::Incarnation;
use snipespan_platform::client::PlatformClient;
use snipespan_platform::idempotency::UnixMillis;
use snipespan_platform::report_store;
use snipespan_platform::report_store::WindowId;
use tokio::runtime::Handle;
use tokio::sync::Mutex;
use tokio::sync::mpsc;

use crate::clock::Clock;
use crate::entry::shell::Input;

/// Writes the windows of one entry.
pub(super) struct ReportWriter {
    entry: Incarnation,
    clock: Clock,
    platform: PlatformClient,
    control: mpsc::Sender<Input>,
    traffic: Handle,
    began: BTreeMap<u64, UnixMillis>,
    order: Arc<Mutex<()>>,
}

impl ReportWriter {
    /// Writes as `entry`. Needs a running tokio runtime.
    pub(super) fn new(
        entry: Incarnation,
        clock: Clock,
        platform: PlatformClient,
        control: mpsc::Sender<Input>,
    ) -> Self {
        let traffic = Handle::current();
        let order = Arc::default();
        Self { entry, clock, platform, control, traffic, began: BTreeMap::new(), order }
    }

    /// Writes a window as it is now and reports when the store has it.
    pub(super) fn write(&mut self, window: u64, report: Box<Report>) {
        let now = self.clock.unix_ms();
        let began = *self.began.entry(window).or_insert(now);
        self.began.retain(|known, _| *known >= window);
        let id = WindowId { entry: self.entry, window, began };
        let platform = self.platform.clone();
        let control = self.control.clone();
        let order = Arc::clone(&self.order);
        self.traffic.spawn(async move {
            // An older state of a window must not overwrite a newer one.
            let _turn = order.lock().await;
            match report_store::write_window(&platform, id, &report, now).await {
                Ok(()) => {
                    let event = Event::ReportWritten { window, changes: report.changes };
                    let _ = control.send(Input::Event(event)).await;
                }
                Err(e) => log::warn!("a window of the report was not written: {e}"),
            }
        });
    }
}
