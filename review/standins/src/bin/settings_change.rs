//! The settings change to a bound that is a fraction; later all processes are killed and start again.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::Route;
use review_standins::client;
use review_standins::client::Request;
use review_standins::configuration;
use review_standins::gateway::Gateway;
use review_standins::record::Record;
use review_standins::record::Verdict;
use review_standins::record::has_trouble;
use review_standins::replica::Replica;
use review_standins::start_gateways;
use review_standins::store::Store;

const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// `recovery_s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);

/// Delay after which the platform starts a process again that was killed or has ended.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Interval between two requests.
const PAUSE: Duration = Duration::from_millis(50);

/// Requests of a phase.
#[derive(Default)]
struct Phase {
    sent: usize,
    served: usize,
}

/// Sends one safe request to each gateway in turn for the time `length`, while the platform starts
/// again what has ended.
fn run_phase(
    record: &Record,
    gateways: &mut [Gateway],
    ended: &mut [Option<Instant>],
    first: usize,
    length: Duration,
) -> Phase {
    let began = Instant::now();
    let mut phase = Phase::default();
    while began.elapsed() < length {
        restart_ended(record, gateways, ended);
        let id = format!("{:016x}", first + phase.sent);
        let address = gateways[phase.sent % gateways.len()].clients;
        phase.served += usize::from(is_served(address, &id));
        phase.sent += 1;
        thread::sleep(PAUSE);
    }
    record.line(&format!("{} of {} requests were served", phase.served, phase.sent));
    phase
}

fn is_served(address: SocketAddr, id: &str) -> bool {
    let req = Request {
        method: "GET",
        path: "/cufi504/fi50/2f",
        id,
        key: KEY,
        deadline: Duration::from_millis(1500),
        body: b"",
    };
    let answer = client::call(address, &req);
    answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status() == 200))
}

/// Starts processes again that have ended, each after a short delay.
fn restart_ended(record: &Record, gateways: &mut [Gateway], ended: &mut [Option<Instant>]) {
    for (gateway, ended) in gateways.iter_mut().zip(ended) {
        let Some(status) = gateway.exit_status() else { continue };
        let at = *ended.get_or_insert_with(|| {
            record.line(&format!("a process has ended: {status}"));
            Instant::now()
        });
        if at.elapsed() >= RESTART_DELAY {
            *ended = None;
            let _ = gateway.start_again();
        }
    }
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let replicas: Vec<_> = (0..3)
        .map(|number| {
            Replica::start(&format!("i-{number}"), "shop-api", Duration::from_millis(15), 800)
        })
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.listing("ready"));
    }
    let route = Route { prefix: "/cufi504/", kind: "safe", service: "shop-api", timeout_ms: 800 };
    store.put("op", "config", &configuration(1, &[route], &["shop-api"], &[("hule930", KEY)]));
    let mut gateways = start_gateways(&record, &store, 3);
    let mut ended = vec![None; gateways.len()];
    let before = run_phase(&record, &mut gateways, &mut ended, 0, Duration::from_secs(4));
    let mut sent = before.sent;

    if has_trouble() {
        for gateway in &mut gateways {
            let changed = gateway.change_settings("bounds.grace_s", "7.5");
            changed.expect("the settings file can be written");
        }
        record.line("the settings files change, without a signal: grace_s is 7.5");
    }
    sent += run_phase(&record, &mut gateways, &mut ended, sent, Duration::from_secs(4)).sent;

    for gateway in &gateways {
        gateway.signal("KILL");
    }
    record.line("the final fault: all processes are killed");
    let recovering = RESTART_DELAY + RECOVERY;
    sent += run_phase(&record, &mut gateways, &mut ended, sent, recovering).sent;
    record.line("recovery_s after the machines are back");
    let after = run_phase(&record, &mut gateways, &mut ended, sent, Duration::from_secs(8));

    let log = gateways[0].log();
    // Without the path of the settings file.
    let complaint = log.lines().rfind(|line| line.starts_with("snipespand:"));
    let complaint = complaint.and_then(|line| line.split_once("node.ini: ")).map(|(_, why)| why);
    record.line(&format!("last words of the first gateway: {complaint:?}"));
    drop(gateways);
    if before.served * 4 < before.sent {
        record.end(Verdict::Invalid, "less than a quarter was served before the final fault");
    }
    let what =
        format!("{} of {} requests were served after the recovery", after.served, after.sent);
    match after.served * 4 < after.sent {
        true => record.end(Verdict::Broken, &format!("RECOVER: {what}")),
        false => record.end(Verdict::Held, &what),
    }
}
