//! Measures the idle control traffic by the number of connections from the entry to side processes.

use std::time::Duration;

use eyre::Result;

use crate::fleet::Fleet;
use crate::fleet::FleetConfig;

/// Time during which idle traffic is counted.
const WINDOW: Duration = Duration::from_secs(10);

/// Wait before counting, so that traffic of the start is skipped.
const WARM_UP: Duration = Duration::from_secs(2);

/// Prints the loopback traffic and, as `store calls/s`, the reads of the platform's table and list
/// of VMs per second, for three idle fleets of different sizes.
///
/// All traffic on the loopback device is counted, including polls of the platform and probes of the
/// engines.
///
/// # Errors
/// When a part of the system does not start or the counters of the device cannot be read.
pub async fn run() -> Result<()> {
    println!("{:>12} {:>14} {:>14} {:>14}", "connections", "bytes/s", "packets/s", "store calls/s");
    for engines in [4, 8, 16] {
        let fleet = Fleet::start(FleetConfig::with_engines(engines)).await?;
        tokio::time::sleep(WARM_UP).await;
        let (bytes, packets) = read_loopback_counters()?;
        let calls = fleet.platform.counts();
        tokio::time::sleep(WINDOW).await;
        let (bytes_after, packets_after) = read_loopback_counters()?;
        let calls_after = fleet.platform.counts();
        let reads = calls_after.reads + calls_after.vm_lists - calls.reads - calls.vm_lists;
        let seconds = WINDOW.as_secs();
        println!(
            "{:>12} {:>14} {:>14} {:>14}",
            engines + 1,
            (bytes_after - bytes) / seconds,
            (packets_after - packets) / seconds,
            reads / seconds,
        );
    }
    Ok(())
}

/// Returns the numbers of bytes and packets that the loopback device has sent so far.
fn read_loopback_counters() -> Result<(u64, u64)> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text.lines().find(|line| line.trim_start().starts_with("lo:"));
    let fields = line.and_then(|line| line.split(':').nth(1)).unwrap_or_default();
    let mut numbers = fields.split_whitespace().map(|field| field.parse().unwrap_or(0));
    let bytes = numbers.nth(8).unwrap_or(0);
    Ok((bytes, numbers.next().unwrap_or(0)))
}
