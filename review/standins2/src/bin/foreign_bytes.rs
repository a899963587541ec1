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
use standins2::replica::event_text;
use standins2::store::Store;

const ZONES: [&str; 3] = ["graz-a", "graz-b", "graz-c"];
const REPLICAS: usize = 10;
/// Number of replicas that spoil answers, within the site's share of 0.6.
const SPOILING: usize = 6;
const EVENTS: u64 = 32;
const LENGTH: Duration = Duration::from_secs(25);

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let (folder, record) = (Path::new(&args[1]), Record::create(Path::new(&args[2])));
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let replicas = (0..REPLICAS).map(|n| Replica::start(spec(n), &store, &record));
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
    std::thread::sleep(LENGTH);
    let (foreign, answered) = (foreign.load(Ordering::Relaxed), answered.load(Ordering::Relaxed));
    drop(gateways);
    let verdict = if foreign > 0 { "BROKEN" } else { "held" };
    record.say(&format!(
        "{verdict}: {foreign} of {answered} complete answers have bytes that the replica of their \
         stamp did not send"
    ));
    if foreign > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Returns 1 if a complete answer is not the whole body of the replica that its stamp names.
fn has_foreign_bytes(record: &Record, id: &str, outcome: &Outcome) -> usize {
    let whole: String = (1..=EVENTS).map(|event| event_text(event, id)).collect();
    if outcome.body == whole.as_bytes() {
        return 0;
    }
    let stamp = outcome.header("server-stamp").unwrap_or("none");
    let body = String::from_utf8_lossy(&outcome.body);
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
        more: format!(
            "Model: m\r\nToken-Count: 540,60\r\nPrompt-Prefix: aa01:40,{:x}:500\r\n",
            0x10000 + number
        ),
        body: b"the prompt".to_vec(),
    }
}

fn spec(number: usize) -> Spec {
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
        is_spoiling: number < SPOILING && has_trouble(),
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
