//! The store is silent for a second. After its return a key is taken away (`configuration`), or a
//! replica leaves without reporting that it drains (`leaving`).

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::Route;
use review_standins::client;
use review_standins::client::Request;
use review_standins::configuration;
use review_standins::record::Record;
use review_standins::record::Verdict;
use review_standins::record::has_trouble;
use review_standins::replica::Replica;
use review_standins::start_gateways;
use review_standins::store::Store;

const KEY: &str = "n2ctnfzs989anu6wsjnb";

const REVOKED_KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// `contact_ms` of the site.
const CONTACT: Duration = Duration::from_millis(3000);

/// `config_ms` and `drain_ms` of the site.
const BOUND: Duration = Duration::from_millis(2000);

const SILENCE: Duration = Duration::from_secs(1);

/// Interval between two requests.
const PAUSE: Duration = Duration::from_millis(20);

fn main() {
    let is_leaving = std::env::args().nth(1).is_some_and(|case| case == "leaving");
    let record = Record::create();
    let store = Store::start();
    let replicas: Vec<_> = (0..4)
        .map(|number| {
            Replica::start(&format!("i-{number}"), "shop-api", Duration::from_millis(15), 800)
        })
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.listing("ready"));
    }
    let route = Route { prefix: "/cufi504/", kind: "safe", service: "shop-api", timeout_ms: 800 };
    let configure = |version, tenants: &[(&str, &str)]| {
        store.put("op", "config", &configuration(version, &[route], &["shop-api"], tenants));
    };
    let all = [("hule930", KEY), ("wuko114", REVOKED_KEY)];
    configure(1, &all);
    let gateways = start_gateways(&record, &store, 3);
    thread::sleep(Duration::from_secs(4));

    // The gateways call the feed again soon after this change.
    match is_leaving {
        true => store.put("servers", &replicas[3].id, &replicas[3].listing("draining")),
        false => configure(2, &all),
    }
    record.line("a change just before the silence is acknowledged");
    thread::sleep(Duration::from_millis(if is_leaving { 200 } else { 100 }));
    if has_trouble() {
        store.set_silent(true);
        record.line("the store is silent");
    }
    thread::sleep(SILENCE);
    store.set_silent(false);
    let returned = Instant::now();
    record.line("the store answers");

    // A replica's leaving counts only if the store acknowledges it while it is stable.
    thread::sleep(if is_leaving { CONTACT + Duration::from_millis(200) } else { PAUSE });
    match is_leaving {
        true => store.remove("servers", &replicas[0].id),
        false => configure(3, &[("hule930", KEY), ("wuko114", "")]),
    }
    let acknowledged = Instant::now();
    record.line(match is_leaving {
        true => "the entry of i-0 is removed: acknowledged",
        false => "the key of wuko114 is taken away: acknowledged",
    });

    // From here on the change must be in force, and all gateways are in touch.
    let due = (acknowledged + BOUND).max(returned + CONTACT);
    let mut sent = BTreeMap::new();
    let mut statuses = BTreeMap::new();
    for number in 0_usize.. {
        let now = Instant::now();
        if now > due + Duration::from_secs(2) {
            break;
        }
        let id = format!("{number:016x}");
        let key = if is_leaving { KEY } else { REVOKED_KEY };
        let deadline = Duration::from_millis(1500);
        let path = "/cufi504/fi50/2f";
        let req = Request { method: "GET", path, id: &id, key, deadline, body: b"" };
        sent.insert(id.clone(), now);
        let answer = client::call(gateways[number % gateways.len()].clients, &req);
        let status = answer.ok().flatten().map_or(0, |answer| answer.status());
        if now > due {
            *statuses.entry(status).or_insert(0) += 1;
        }
        thread::sleep(PAUSE);
    }
    record.line(&format!("answers to requests after the bound, by status: {statuses:?}"));
    drop(gateways);

    let runs = if is_leaving {
        replicas[0].runs()
    } else {
        replicas.iter().flat_map(Replica::runs).collect()
    };
    let late: Vec<_> =
        runs.iter().filter(|run| sent.get(&run.id).is_some_and(|at| *at > due)).collect();
    for run in &late {
        let after = run.at.duration_since(acknowledged).as_millis();
        record.line(&format!("request {} ran {after} ms after the acknowledgement", run.id));
    }
    let rule = if is_leaving { "DRAIN" } else { "CONFIG" };
    if statuses.values().sum::<usize>() == 0 {
        record.end(Verdict::Invalid, "no request was sent after the bound");
    }
    match late.is_empty() {
        true => record.end(Verdict::Held, "no request ran after the bound"),
        false => record
            .end(Verdict::Broken, &format!("{rule}: {} requests ran after the bound", late.len())),
    }
}
