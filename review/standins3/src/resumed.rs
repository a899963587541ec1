//! Streams are resumed at a replica that crashes before its first event.

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
use crate::store::Store;

/// Number of events of each stream.
const EVENTS: u32 = 8;

/// Number of engines, as on the sheet of the site.
const REPLICAS: usize = 16;

/// Time for which a crashed replica is down.
const DOWN: Duration = Duration::from_millis(3000);

/// Streams a second at all gateways together.
const LOAD_PER_S: f64 = 8.0;

/// Time from the first crash to the second one; streams are resumed meanwhile.
const BETWEEN_CRASHES: Duration = Duration::from_millis(600);

/// Runs the case; returns whether the rule was broken.
pub fn run(run: &Run) -> bool {
    let record = &run.record;
    let store = Store::start();
    store.put("op", "config", &site::configuration(1));
    let kind = |number: usize| Kind {
        id: format!("i-{number}"),
        service: "llm".into(),
        zone: ["graz-a", "graz-b", "graz-c"][number % 3].into(),
        slots: 16,
        work: Duration::from_millis(1000),
        events: Some((EVENTS, Duration::from_millis(250))),
        event_bytes: 0,
        has_early_head: true,
    };
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
    let addresses = gateways.iter().map(|gateway| gateway.clients).collect();
    let load = Load::start(addresses, LOAD_PER_S, record, |number| Request {
        method: "POST",
        path: "/stream/1".into(),
        attempt: format!("a{number:05}"),
        deadline_ms: 10000,
        fields: format!(
            "Model: m\r\nToken-Count: 5000,300\r\nPrompt-Prefix: 5c1e07a2:40,{number:08x}:4960\r\n"
        ),
        body: b"a prompt".to_vec(),
    });
    for _ in 0..3 {
        sleep(Duration::from_secs(6));
        if !run.has_trouble {
            continue;
        }
        let mut crashed = Vec::new();
        for _ in 0..2 {
            let alive = replicas.iter().filter(|replica| !replica.is_down());
            let busiest = alive.max_by_key(|replica| replica.running()).expect("a replica");
            record.report(format!("{} crashes with {} streams", busiest.id(), busiest.running()));
            busiest.end();
            crashed.push(busiest);
            sleep(BETWEEN_CRASHES);
        }
        sleep(DOWN);
        for replica in crashed {
            replica.start_again(Duration::ZERO);
            store.put("servers", replica.id(), &replica.entry());
        }
    }
    sleep(Duration::from_secs(3));
    let calls = load.finish();
    record.report(load::summary(&calls));
    let expected = |attempt: &str| -> String {
        (1..=EVENTS).map(|number| format!("id: {number}\ndata: {attempt} {number}\n\n")).collect()
    };
    let mut short = 0;
    for call in &calls {
        let is_whole = call.outcome.body == expected(&call.attempt);
        if call.outcome.is_success() && !is_whole {
            short += 1;
            let events = call.outcome.body.matches("id: ").count();
            record
                .report(format!("ORDER: {} ends as complete after {events} events", call.attempt));
        }
    }
    short > 0
}
