//! Writes this entry's part of the operators' report to the store, in consecutive windows of time
//! numbered from 0.

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

/// Writes the report windows of this entry; `window_starts` holds when each was first written.
pub(super) struct ReportWriter {
    entry: Incarnation,
    clock: Clock,
    platform: PlatformClient,
    control: mpsc::Sender<Input>,
    traffic: Handle,
    window_starts: BTreeMap<u64, UnixMillis>,
    write_lock: Arc<Mutex<()>>,
}

impl ReportWriter {
    /// Creates a writer for the incarnation `entry`. Needs a running tokio runtime.
    pub(super) fn new(
        entry: Incarnation,
        clock: Clock,
        platform: PlatformClient,
        control: mpsc::Sender<Input>,
    ) -> Self {
        let traffic = Handle::current();
        let write_lock = Arc::default();
        Self {
            entry,
            clock,
            platform,
            control,
            traffic,
            window_starts: BTreeMap::new(),
            write_lock,
        }
    }

    /// Writes the current state of a window in the background and reports when the store has it.
    pub(super) fn write_window(&mut self, window: u64, report: Box<Report>) {
        let now = self.clock.unix_ms();
        let began = *self.window_starts.entry(window).or_insert(now);
        self.window_starts.retain(|known, _| *known >= window);
        let id = WindowId { entry: self.entry, window, began };
        let platform = self.platform.clone();
        let control = self.control.clone();
        let write_lock = Arc::clone(&self.write_lock);
        self.traffic.spawn(async move {
            // Writes run one at a time, so that an older state never overwrites a newer one.
            let _guard = write_lock.lock().await;
            match report_store::write_window(&platform, id, &report, now).await {
                Ok(()) => {
                    let event = Event::ReportWritten { window, changes: report.changes };
                    let _ = control.send(Input::Event(event)).await;
                }
                Err(e) => log::warn!("could not write window {window} of the report: {e}"),
            }
        });
    }
}
