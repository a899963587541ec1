//! A small deployment with a bound on the requests to cold replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::load::Call;
use crate::record::Record;
use crate::replica::Kind;
use crate::replica::Replica;
use crate::site;
use crate::site::Run;
use crate::store::Store;

/// Figures of the site `kwoa-watch-grown`.
pub const COLD_S: f64 = 3.0;
const COLD_PER_S: f64 = 28.0;
const COLD_EXCESS: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Factor on the bound of the rules at which a cold replica crashes.
pub const CRASH_FACTOR: f64 = 1.5;

/// Returns the bound on the requests in a second to a cold replica.
pub fn bound() -> f64 {
    COLD_PER_S * COLD_EXCESS + COLD_SLACK
}

/// Starts the store, two replicas of a plain service and three gateways.
pub fn start(run: &Run) -> (Store, Vec<Replica>, Vec<Gateway>) {
    let record = &run.record;
    let store = Store::start();
    store.put("op", "config", &site::configuration_with_cold_rate(1, COLD_PER_S));
    let kind = |number: usize| Kind {
        id: format!("i-{number}"),
        service: "orders".into(),
        zone: ["graz-a", "graz-b", "graz-c"][number % 3].into(),
        slots: 16,
        work: Duration::from_millis(20),
        events: None,
        event_bytes: 0,
        has_early_head: false,
    };
    let replicas: Vec<_> = (0..2).map(|number| Replica::start(kind(number), record)).collect();
    for replica in &replicas {
        store.put("servers", replica.id(), &replica.entry());
    }
    let more = format!("cold_excess = {COLD_EXCESS}\ncold_slack = {COLD_SLACK}\n");
    let zones = ["graz-a", "graz-b", "graz-c"];
    let start = |zone: &&str| {
        Gateway::start(&run.folder, &format!("edge-{zone}-1"), zone, store.address(), &[], &more)
    };
    let gateways: Vec<_> = zones.iter().map(start).collect();
    (store, replicas, gateways)
}

/// Returns whether a replica got more than the bound in a second while it was cold. With
/// `is_client_counted`, only requests count that their clients, too, had sent inside that second.
pub fn is_overrun(
    record: &Record,
    replica: &Replica,
    calls: &[Call],
    (from, until): (u64, u64),
    is_client_counted: bool,
) -> bool {
    let sent: BTreeMap<_, _> = calls.iter().map(|c| (c.attempt.as_str(), c.sent_ms)).collect();
    let arrivals: Vec<_> = replica.arrivals().into_iter().filter(|a| a.is_run).collect();
    let cold: Vec<_> = arrivals.iter().filter(|a| (from..until).contains(&a.ms)).collect();
    let count_from = |first: u64, is_client_counted: bool| {
        let in_second = cold.iter().filter(|a| (first..first + 1000).contains(&a.ms));
        let counted = in_second.filter(|a| {
            !is_client_counted || sent.get(a.attempt.as_str()).is_some_and(|ms| *ms >= first)
        });
        counted.count()
    };
    let most = |is_client_counted| {
        (from.saturating_sub(1000)..until).map(|first| count_from(first, is_client_counted)).max()
    };
    let (all, of_second) = (most(false).unwrap_or(0), most(true).unwrap_or(0));
    let bound = bound();
    record.report(format!(
        "at most {all} requests in a second at the cold replica, {of_second} of them also sent by \
         their clients in that second; bound {bound}"
    ));
    let counted = if is_client_counted { of_second } else { all };
    counted as f64 > bound
}
