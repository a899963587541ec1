//! Case: replicas answer a few requests with comments without end; these are moved to other replicas.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use standins2::client;
use standins2::client::Call;
use standins2::client::Outcome;
use standins2::gateway::Gateway;
use standins2::gateway::Settings;
use standins2::has_trouble;
use standins2::record::Record;
use standins2::replica::Replica;
use standins2::replica::Spec;
use standins2::replica::Spoiler;
use standins2::replica::event_text;
use standins2::store::Store;

const ZONES: [&str; 3] = ["graz-a", "graz-b", "graz-c"];
const REPLICAS: usize = 10;
/// Number of replicas that spoil answers, within the site's share of 0.6.
const SPOILING: usize = 6;
const EVENTS: u64 = 32;
/// `for_s` of `garble` with share 0.6 and x 0.03 in the site file, and the time between two.
const SPOILED: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(4);
const WINDOWS: usize = 4;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let (folder, record) = (Path::new(&args[1]), Record::create(Path::new(&args[2])));
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let spoiler = Arc::new(Spoiler::default());
    let replicas = (0..REPLICAS).map(|n| Replica::start(spec(n, &spoiler), &store, &record));
    let _replicas: Vec<_> = replicas.collect();
    let mut gateways = ZONES.map(|zone| {
        let zones = ZONES.map(|zone| (zone.to_owned(), "at-graz".to_owned()));
        let settings = Settings {
            store: store.address(),
            zone: zone.to_owned(),
            zones: zones.to_vec(),
            extra: String::new(),
        };
        Gateway::prepare(&format!("edge-{zone}-1"), folder, &settings)
    });
    gateways.iter_mut().for_each(Gateway::start);
    gateways.iter().for_each(Gateway::wait_until_ready);
    record.say("all gateways are ready");
    let addresses = gateways.each_ref().map(|gateway| gateway.clients);
    let (foreign, answered): (Arc<AtomicUsize>, Arc<AtomicUsize>) = Default::default();
    let (seen_foreign, seen_answered) = (Arc::clone(&foreign), Arc::clone(&answered));
    let calls_record = record.clone();
    std::thread::spawn(move || {
        for number in 0u64.. {
            let (foreign, answered) = (Arc::clone(&seen_foreign), Arc::clone(&seen_answered));
            let (record, gateway) = (calls_record.clone(), addresses[number as usize % 3]);
            std::thread::spawn(move || {
                let call = call(number);
                let outcome = client::send(gateway, &call);
                if outcome.status == 200 && outcome.is_complete {
                    answered.fetch_add(1, Ordering::Relaxed);
                    foreign.fetch_add(
                        has_foreign_bytes(&record, &call.id, &outcome),
                        Ordering::Relaxed,
                    );
                }
            });
            std::thread::sleep(Duration::from_millis(33));
        }
    });
    for _ in 0..WINDOWS {
        std::thread::sleep(CALM);
        if has_trouble() {
            record.say("six of ten replicas spoil 3 in 100 of their answers for 5 s");
            spoiler.add_window(record.now(), SPOILED);
        }
        std::thread::sleep(SPOILED);
    }
    std::thread::sleep(CALM);
    let (foreign, answered) = (foreign.load(Ordering::Relaxed), answered.load(Ordering::Relaxed));
    drop(gateways);
    let verdict = if foreign > 0 { "BROKEN" } else { "held" };
    record.say(&format!(
        "{verdict}: {foreign} of {answered} complete answers have bytes that the replica of their \
         stamp did not send"
    ));
    if foreign > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Returns 1 if a complete answer has bytes that are not of the replica that its stamp names. A stream that
/// a second replica goes on with keeps the stamp of the first, whose comments then may stand in it.
fn has_foreign_bytes(record: &Record, id: &str, outcome: &Outcome) -> usize {
    let body = String::from_utf8_lossy(&outcome.body);
    let stamp = outcome.header("server-stamp").unwrap_or("none");
    let name = stamp.trim_start_matches("stamp.");
    let own_comment = format!(": {name} waits\n\n");
    let whole: String = (1..=EVENTS).map(|event| event_text(event, id)).collect();
    if body.replace(&own_comment, "") == whole {
        return 0;
    }
    let begin: String = body.chars().take(60).collect();
    record.say(&format!("{id}: stamp {stamp}, the body begins with {begin:?}"));
    1
}

fn call(number: u64) -> Call {
    Call {
        method: "POST",
        path: "/draft/x".to_owned(),
        host: "shop.example".to_owned(),
        id: format!("draft-{number}"),
        key: "key-1".to_owned(),
        deadline: Duration::from_secs(10),
        // By PROTOCOL: two seconds, four goals or eight pauses, whichever is longest.
        patience: Some(Duration::from_secs(2)),
        more: format!(
            "Model: m\r\nToken-Count: 540,60\r\nPrompt-Prefix: aa01:40,{:x}:500\r\n",
            0x10000 + number
        ),
        body: b"the prompt".to_vec(),
    }
}

fn spec(number: usize, spoiler: &Arc<Spoiler>) -> Spec {
    Spec {
        name: format!("i-{number}"),
        service: "llm".to_owned(),
        zone: ZONES[number % 3].to_owned(),
        slots: 16,
        events: EVENTS,
        first: Duration::from_millis(60),
        gap: Duration::from_millis(60),
        is_plain: false,
        deadly_part: None,
        spoiler: (number < SPOILING).then(|| Arc::clone(spoiler)),
        crash_delay: None,
        down: Duration::from_secs(3),
        crash_rate: None,
    }
}

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"draft","host":"shop.example",
    "prefix":"/draft/","route_kind":"streaming","timeout_ms":10000,"latency_goal_ms":300,
    "priority":0,"service":"llm","max_attempts":2,"public":false,"resumable":true,
    "gap_goal_ms":250,"sticky":true}],
    "services":[{"name":"llm","health_path":"/healthz","engine":{"slots":16,"kv_capacity":232000,
    "stride":43,"step_ms":1.02,"per_seq_ms":0.00226,"context_per_k":0.00431,"read_per_s":206000.0,
    "pairs_per_m":0.0138,"chunk":2048,"usual":{"prompt":5000,"answer":1303}}}],
    "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["key-1"]}]}"#;
