//! Case 11: the store comes back from an older copy, and servers leave later.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

use crate::client;
use crate::client::Request;
use crate::gateway::Gateway;
use crate::replica::Kind;
use crate::replica::Replica;
use crate::site;
use crate::site::CONTACT_MS;
use crate::site::DRAIN_MS;
use crate::site::Run;
use crate::store::Mode;
use crate::store::Store;

/// Time for which a leaving replica serves after the store has accepted its report.
const SERVE_AFTER_REPORT: Duration = Duration::from_millis(DRAIN_MS + 8000);

/// Number of replicas, and of those that the release replaces: a share of 0.44.
const REPLICAS: usize = 9;
const REPLACED: usize = 4;

/// Interval of a replica's beats.
const BEAT: Duration = Duration::from_millis(1200);

/// Pause between requests to one gateway.
const PAUSE: Duration = Duration::from_millis(250);

fn kind(number: usize) -> Kind {
    let zone = ["graz-a", "graz-b", "graz-c"][number % 3];
    Kind {
        id: format!("i-{number}"),
        service: "orders".into(),
        zone: zone.into(),
        slots: 6,
        work: Duration::from_millis(400),
        events: None,
        event_bytes: 0,
        has_early_head: false,
    }
}

/// Runs the case; returns whether the rule was broken.
pub fn run(run: &Run) -> bool {
    let record = &run.record;
    let store = Store::start();
    store.put("op", "config", &site::configuration(1));
    let replicas: Vec<_> =
        (0..REPLICAS).map(|number| Replica::start(kind(number), record)).collect();
    for replica in &replicas {
        store.put("servers", replica.id(), &replica.entry());
    }
    let zones = ["graz-a", "graz-b", "graz-c"];
    let start = |zone: &&str| {
        Gateway::start(&run.folder, &format!("edge-{zone}-1"), zone, store.address(), &[], "")
    };
    let gateways: Vec<_> = zones.iter().map(start).collect();
    gateways.iter().for_each(Gateway::wait_until_ready);

    // Each replica repeats its entry; the store keeps it as it is unless it has changed.
    let is_over = Arc::new(AtomicBool::new(false));
    let is_away = Arc::new(AtomicBool::new(false));
    let listed = Arc::new(Mutex::new(replicas.clone()));
    let beats = {
        let (store, is_over, is_away) = (store.clone(), is_over.clone(), is_away.clone());
        let listed = listed.clone();
        std::thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                sleep(BEAT);
                if !is_away.load(Ordering::SeqCst) {
                    for replica in listed.lock().expect("no panic").iter() {
                        store.put_if_changed("servers", replica.id(), &replica.entry());
                    }
                }
            }
        })
    };
    // Clients.
    let sent = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = gateways
        .iter()
        .enumerate()
        .map(|(number, gateway)| {
            let (to, record) = (gateway.clients, record.clone());
            let (is_over, sent) = (is_over.clone(), sent.clone());
            std::thread::spawn(move || {
                let mut calls = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let count = sent.fetch_add(1, Ordering::SeqCst);
                    let request = Request {
                        method: "POST",
                        path: "/order/1".into(),
                        attempt: format!("a{count:05}"),
                        deadline_ms: 5000,
                        fields: String::new(),
                        body: b"one order".to_vec(),
                    };
                    let record = record.clone();
                    calls.push(std::thread::spawn(move || {
                        record.add(format!("sent {} to gateway {number}", request.attempt));
                        let outcome = client::call(to, &request);
                        record.add(format!(
                            "answered {}: {} signed {} complete {}",
                            request.attempt, outcome.status, outcome.is_signed, outcome.is_complete
                        ));
                        outcome
                    }));
                    sleep(PAUSE);
                }
                calls.into_iter().filter_map(|call| call.join().ok()).collect::<Vec<_>>()
            })
        })
        .collect();

    sleep(Duration::from_secs(2));
    let copy = store.copy();
    record.report(format!("the copy has version {}", copy.version()));
    // Configurations come in quick succession: 12 within 4 s.
    let mut newest = 1;
    for _ in 0..12 {
        newest += 1;
        store.put("op", "config", &site::configuration(newest));
        sleep(Duration::from_millis(333));
    }
    sleep(Duration::from_secs(1));
    if run.has_trouble {
        record.report(format!("the store goes away at version {}", store.version()));
        is_away.store(true, Ordering::SeqCst);
        store.set_mode(Mode::Away);
        sleep(Duration::from_secs(1));
        store.restore(copy);
        // What the operator and the replicas wrote is written again.
        store.put_if_changed("op", "config", &site::configuration(newest));
        for replica in &replicas {
            store.put_if_changed("servers", replica.id(), &replica.entry());
        }
        is_away.store(false, Ordering::SeqCst);
        record.report(format!(
            "the store is back at version {}, era {}",
            store.version(),
            store.era()
        ));
    }
    // From now on the core is stable.
    sleep(Duration::from_millis(CONTACT_MS + 1000));

    // A release: each new replica starts first, then an old one leaves.
    let mut left = Vec::new();
    let mut leaving = Vec::new();
    for old in replicas[..REPLACED].to_vec() {
        let new = Replica::start(kind(replicas.len() + left.len()), record);
        store.put("servers", new.id(), &new.entry());
        listed.lock().expect("no panic").push(new);
        sleep(Duration::from_millis(500));
        old.leave();
        let version = store.put("servers", old.id(), &old.entry());
        let reported_ms = record.now_ms();
        record.report(format!("{} reports draining, accepted as version {version}", old.id()));
        left.push((old.clone(), reported_ms));
        let (store, record, listed) = (store.clone(), record.clone(), listed.clone());
        leaving.push(std::thread::spawn(move || {
            sleep(SERVE_AFTER_REPORT);
            listed.lock().expect("no panic").retain(|known| known.id() != old.id());
            store.remove("servers", old.id());
            old.end();
            record.add(format!("{} has ended", old.id()));
        }));
        sleep(Duration::from_millis(1500));
    }
    for end in leaving {
        end.join().expect("no panic");
    }
    sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    beats.join().expect("no panic");
    let outcomes: Vec<_> = clients.into_iter().flat_map(|c| c.join().unwrap_or_default()).collect();

    // DRAIN: a request reaches a replica later than the bound after the store accepted its report.
    let mut late = 0;
    for (replica, reported_ms) in &left {
        for arrival in replica.arrivals() {
            if arrival.ms > reported_ms + DRAIN_MS && arrival.is_run {
                late += 1;
                record.report(format!(
                    "DRAIN: {} reached {} {} ms after its report was accepted",
                    arrival.attempt,
                    replica.id(),
                    arrival.ms - reported_ms
                ));
            }
        }
    }
    let count = |status: u16| outcomes.iter().filter(|outcome| outcome.status == status).count();
    record.report(format!(
        "{} requests: {} with success, {} with 502, {} with 503, {} with 504; {late} too late at a \
         leaving replica",
        outcomes.len(),
        outcomes.iter().filter(|outcome| outcome.is_success()).count(),
        count(502),
        count(503),
        count(504),
    ));
    late > 0
}
