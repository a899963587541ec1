//! Counts the calls to the store, which is the platform's table and object store, by configuration
//! changes and by calls that must not be repeated.

use eyre::Result;
use eyre::ensure;
use hyper::Method;
use snipespan_admin::v1;
use snipespan_admin::v1::change::Change;
use snipespan_caller::caller::ServiceCall;
use snipespan_fakes::platform::PlatformCounts;

use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::fleet::SERVICE;
use crate::fleet::operator_request;

/// Prints the numbers of store calls for three counts of configuration changes and of service
/// calls.
///
/// The columns are reads of the table, commits to it, and reads and writes of the object store.
/// Polls of the store by the running processes are included.
///
/// # Errors
/// When a part of the system does not start, or a change or call fails.
pub async fn run() -> Result<()> {
    let fleet = Fleet::start(FleetConfig::with_engines(2)).await?;
    println!("{:>28} {:>8} {:>8} {:>8}", "work", "reads", "writes", "objects");
    for changes in [10, 100, 400] {
        let before = fleet.platform.counts();
        apply_changes(&fleet, changes).await?;
        print_row(&format!("{changes} changes"), before, fleet.platform.counts());
    }
    for calls in [10, 100, 1_000] {
        let before = fleet.platform.counts();
        send_unrepeatable_calls(&fleet, calls).await?;
        print_row(&format!("{calls} unrepeatable"), before, fleet.platform.counts());
    }
    Ok(())
}

/// Drains and undrains VMs that do not exist, in `count` configuration changes.
async fn apply_changes(fleet: &Fleet, count: u64) -> Result<()> {
    let mut client = fleet.connect_operator().await?;
    for index in 0..count {
        let vm = format!("absent-{}", index % 2);
        let change = match index % 4 < 2 {
            true => Change::Drain(vm),
            false => Change::Undrain(vm),
        };
        let message = v1::ApplyChangeRequest {
            change_id: format!("store-{count}-{index}"),
            base_revision: None,
            change: Some(v1::Change { change: Some(change) }),
        };
        client.apply_change(operator_request(message)?).await?;
    }
    Ok(())
}

/// Sends `count` POST calls, each with an idempotency key of its own.
async fn send_unrepeatable_calls(fleet: &Fleet, count: u64) -> Result<()> {
    let caller = fleet.caller();
    for index in 0..count {
        let key = format!("charge-{count}-{index}");
        let call = ServiceCall {
            method: Method::POST,
            service: SERVICE,
            path: "/charge",
            idempotency_key: Some(&key),
            body: "{}",
            time_limit: None,
        };
        let outcome = caller.call(&call).await;
        ensure!(outcome.status == 200, "expected status 200 from {SERVICE}, got {outcome:?}");
    }
    Ok(())
}

fn print_row(work: &str, before: PlatformCounts, after: PlatformCounts) {
    println!(
        "{work:>28} {:>8} {:>8} {:>8}",
        after.reads - before.reads,
        after.commits - before.commits,
        after.objects - before.objects,
    );
}
