//! A gateway that is frozen for a moment while a replica comes back cold.

use std::thread::sleep;
use std::time::Duration;

use crate::client::Request;
use crate::cold;
use crate::cold::COLD_S;
use crate::gateway::Gateway;
use crate::load;
use crate::load::Load;
use crate::site::Run;

/// Time for which the replica is down.
const DOWN_MS: u64 = 500;

/// Time for which the gateway is frozen, from 0.1 s before the end of the replica.
const FREEZE_MS: u64 = 1300;

/// Requests a second at all gateways together, the mean of the site, and what a burst of 1.7 times adds.
const LOAD_PER_S: f64 = 87.1;
const BURST_PER_S: f64 = 0.7 * LOAD_PER_S;

/// Number of connections to the first gateway for one to each other: the shares are uneven.
const FIRST_SHARE: usize = 4;

/// Runs the case; returns whether the rule was broken.
pub fn run(run: &Run) -> bool {
    let record = &run.record;
    let (store, replicas, gateways) = cold::start(run);
    gateways.iter().for_each(Gateway::wait_until_ready);
    sleep(Duration::from_secs(3));
    let mut addresses = vec![gateways[0].clients; FIRST_SHARE];
    addresses.extend(gateways[1..].iter().map(|gateway| gateway.clients));
    let order = |prefix: &'static str| {
        move |number: usize| Request {
            method: "POST",
            path: "/order/1".into(),
            attempt: format!("{prefix}{number:05}"),
            deadline_ms: 2500,
            fields: String::new(),
            body: b"one order".to_vec(),
        }
    };
    let load = Load::start(addresses.clone(), LOAD_PER_S, record, order("a"));
    sleep(Duration::from_secs(3));
    record.report("the burst begins".into());
    let burst = Load::start(addresses, BURST_PER_S, record, order("b"));
    sleep(Duration::from_secs(1));
    let returning = &replicas[0];
    returning.crash_when_cold_at((cold::bound() * cold::CRASH_FACTOR) as u64);
    let freezes = run.has_trouble;
    // For comparison: the same return while no gateway is frozen.
    let returns = freezes || std::env::var("RETURN").is_ok();
    let mut cold = None;
    if returns {
        if freezes {
            record.report("a gateway is frozen".into());
            gateways[0].signal("STOP");
        }
        sleep(Duration::from_millis(100));
        record.report(format!("{} ends", returning.id()));
        returning.end();
        sleep(Duration::from_millis(DOWN_MS));
        let from = record.now_ms();
        returning.start_again(Duration::from_secs_f64(COLD_S));
        store.put("servers", returning.id(), &returning.entry());
        cold = Some((from, from + (COLD_S * 1e3) as u64));
        record.report(format!("{} is back and listed, cold for {COLD_S} s", returning.id()));
        sleep(Duration::from_millis(FREEZE_MS - 100 - DOWN_MS));
        if freezes {
            gateways[0].signal("CONT");
            record.report("the gateway wakes".into());
        }
    }
    // The burst lasts 3 s.
    sleep(Duration::from_millis(2000 - FREEZE_MS));
    let mut calls = burst.finish();
    record.report("the burst is over".into());
    sleep(Duration::from_secs(3));
    calls.extend(load.finish());
    record.report(load::summary(&calls));
    let Some(period) = cold else { return false };
    cold::is_overrun(record, returning, &calls, period, true)
}
