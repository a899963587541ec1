//! The store comes back from an older copy, and a zone is evacuated later.

use std::thread::sleep;
use std::time::Duration;

use crate::client::Request;
use crate::gateway::Gateway;
use crate::load;
use crate::load::Load;
use crate::replica::Kind;
use crate::replica::Replica;
use crate::site;
use crate::site::Run;
use crate::store::Mode;
use crate::store::Store;

/// Bounds of the site `kwoa-watch-grown`.
const CONTACT_MS: u64 = 4000;
const EVACUATION_MS: u64 = 5000;

/// Time after the acknowledgement of the evacuation at which a replica of the zone crashes.
const CRASH_AFTER_MS: u64 = EVACUATION_MS + 4000;

/// Number of replicas, three in each zone.
const REPLICAS: usize = 9;

/// Requests a second at all gateways together.
const LOAD_PER_S: f64 = 30.0;

const ZONES: [&str; 3] = ["graz-a", "graz-b", "graz-c"];

/// Runs the case; returns whether the rule was broken.
pub fn run(run: &Run) -> bool {
    let record = &run.record;
    let store = Store::start();
    store.put("op", "config", &site::configuration(1));
    let kind = |number: usize| Kind {
        id: format!("i-{number}"),
        service: "orders".into(),
        zone: ZONES[number % 3].into(),
        slots: 6,
        work: Duration::from_millis(600),
        events: None,
        event_bytes: 0,
        has_early_head: false,
    };
    let replicas: Vec<_> =
        (0..REPLICAS).map(|number| Replica::start(kind(number), record)).collect();
    for replica in &replicas {
        store.put("servers", replica.id(), &replica.entry());
    }
    let start = |zone: &&str| {
        Gateway::start(&run.folder, &format!("edge-{zone}-1"), zone, store.address(), &[], "")
    };
    let gateways: Vec<_> = ZONES.iter().map(start).collect();
    gateways.iter().for_each(Gateway::wait_until_ready);
    let addresses = gateways.iter().map(|gateway| gateway.clients).collect();
    let load = Load::start(addresses, LOAD_PER_S, record, |number| Request {
        method: "POST",
        path: "/order/1".into(),
        attempt: format!("a{number:05}"),
        deadline_ms: 2500,
        fields: String::new(),
        body: b"one order".to_vec(),
    });
    sleep(Duration::from_secs(2));
    let copy = store.copy();
    record.report(format!("the copy has version {}", copy.version()));
    sleep(Duration::from_millis(500));
    let version = store.put("op", "evacuate/graz-a", "{}");
    record.report(format!("graz-a is evacuated, accepted as version {version}"));
    sleep(Duration::from_millis(3000));
    let version = store.remove("op", "evacuate/graz-a");
    record.report(format!("graz-a is taken back, accepted as version {version}"));
    sleep(Duration::from_millis(1500));
    if run.has_trouble {
        record.report(format!("the store goes away at version {}", store.version()));
        store.set_mode(Mode::Away);
        sleep(Duration::from_secs(1));
        // What the operator and the replicas wrote last is what the copy has.
        store.restore(copy);
        record.report(format!(
            "the store is back at version {}, era {}",
            store.version(),
            store.era()
        ));
    }
    // From now on the core is stable.
    sleep(Duration::from_millis(CONTACT_MS + 1000));
    let version = store.put("op", "evacuate/graz-b", "{}");
    let accepted_ms = record.now_ms();
    record.report(format!("graz-b is evacuated, accepted as version {version}"));
    sleep(Duration::from_millis(CRASH_AFTER_MS));
    let of_zone: Vec<_> = replicas.iter().filter(|replica| replica.zone() == "graz-b").collect();
    if run.has_trouble {
        record.report(format!("{} crashes", of_zone[0].id()));
        of_zone[0].end();
    }
    sleep(Duration::from_secs(2));
    let calls = load.finish();
    record.report(load::summary(&calls));
    let arrivals = of_zone.iter().flat_map(|replica| replica.arrivals());
    let late = arrivals.filter(|a| a.is_run && a.ms > accepted_ms + EVACUATION_MS).count();
    record.report(format!("{late} requests reached graz-b later than {EVACUATION_MS} ms"));
    late > 0
}
