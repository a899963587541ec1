//! Polls the platform's list of VMs.

use std::time::Duration;

use rand::RngExt;
use snipespan_core::entry::event::Event;
use snipespan_platform::client::PlatformClient;
use tokio::sync::mpsc;

use crate::entry::shell::Input;

/// Polls the list after delays of 75% to 100% of `interval`, at random so that entries do not poll
/// at the same time.
pub(super) async fn run(
    platform: PlatformClient,
    control: mpsc::Sender<Input>,
    interval: Duration,
) {
    loop {
        match platform.list_vms().await {
            Ok(vms) => {
                if control.send(Input::Event(Event::VmListRead { vms })).await.is_err() {
                    return;
                }
            }
            Err(e) => log::warn!("could not read the platform's list of VMs: {e}"),
        }
        let jitter = rand::rng().random_range(0.75..1.0);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}
