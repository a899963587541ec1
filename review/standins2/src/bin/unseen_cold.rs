//! Case: a replica becomes cold again while the store is silent, and says so in its health responses.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use standins2::client;
use standins2::client::Call;
use standins2::gateway::Gateway;
use standins2::gateway::Settings;
use standins2::has_trouble;
use standins2::record::Record;
use standins2::replica::Replica;
use standins2::replica::Spec;
use standins2::store::Fault;
use standins2::store::Store;

const ZONES: [&str; 3] = ["karoo-a", "karoo-b", "karoo-c"];
/// `cold_per_s` x `cold_excess` + `cold_slack` of the site: 28 x 1.5 + 5.
const BOUND: usize = 47;
/// `cold_s` of the site.
const COLD: Duration = Duration::from_secs(3);
/// Length of the outage of the store, below the site's 4.5 s.
const OUTAGE: Duration = Duration::from_millis(4400);
/// Time after a replica became cold from which requests are counted; a health check a second would
/// have told of it.
const NOTICE: Duration = Duration::from_secs(1);
const SECOND: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let (folder, record) = (Path::new(&args[1]), Record::create(Path::new(&args[2])));
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let replicas: Vec<_> = (0..3).map(|n| Replica::start(spec(n), &store, &record)).collect();
    let mut gateways = ZONES.map(|zone| {
        let zones = ZONES.map(|zone| (zone.to_owned(), "karoo".to_owned()));
        let settings = Settings {
            store: store.address(),
            zone: zone.to_owned(),
            zones: zones.to_vec(),
            extra: "cold_excess = 1.5\ncold_slack = 5\n".to_owned(),
        };
        Gateway::prepare(&format!("edge-{zone}-1"), folder, &settings)
    });
    gateways.iter_mut().for_each(Gateway::start);
    gateways.iter().for_each(Gateway::wait_until_ready);
    record.say("all gateways are ready");
    let addresses = gateways.each_ref().map(|gateway| gateway.clients);
    let sent: Arc<Mutex<BTreeMap<String, Duration>>> = Arc::default();
    let (calls_record, calls_sent) = (record.clone(), Arc::clone(&sent));
    std::thread::spawn(move || {
        for number in 0u64.. {
            let (record, sent) = (calls_record.clone(), Arc::clone(&calls_sent));
            let gateway = addresses[number as usize % 3];
            std::thread::spawn(move || {
                let call = call(number);
                sent.lock().expect("no panic").insert(call.id.clone(), record.now());
                let outcome = client::send(gateway, &call);
                let end = if outcome.is_complete { "complete" } else { "cut" };
                record.note(&format!("{} ends: status {}, {end}", call.id, outcome.status));
            });
            std::thread::sleep(Duration::from_micros(11_500));
        }
    });
    std::thread::sleep(Duration::from_secs(8));
    let mut cold_from = record.now();
    if has_trouble() {
        record.say("the store falls silent");
        store.set_fault(Fault::Silent);
        std::thread::sleep(Duration::from_millis(500));
        cold_from = record.now();
        let lately = |replica: &&Replica| {
            let from = cold_from.saturating_sub(SECOND);
            replica.arrivals().iter().filter(|arrival| arrival.at >= from).count()
        };
        if let Some(busiest) = replicas.iter().max_by_key(lately) {
            record.say(&format!("{} is cold for 3 s", busiest.id()));
            busiest.make_cold(COLD);
        }
        std::thread::sleep(OUTAGE - Duration::from_millis(500));
        store.set_fault(Fault::None);
        record.say("the store answers again");
    }
    std::thread::sleep(Duration::from_secs(3));
    let sent = sent.lock().expect("no panic").clone();
    let mut is_broken = false;
    for replica in &replicas {
        let crashes = replica.crashes().len();
        let (most, from) = busiest_second(replica, &sent, cold_from + NOTICE);
        record.say(&format!(
            "{}: at most {most} requests in a second from {:.3} on while it was cold, {BOUND} are \
             allowed; it crashed {crashes} times",
            replica.id(),
            from.as_secs_f64()
        ));
        is_broken |= most > BOUND;
    }
    drop(gateways);
    record.say(if is_broken { "BROKEN" } else { "held" });
    if is_broken { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Returns the most requests that were sent and arrived within a second that begins at `from` or later,
/// while the replica was cold, and the begin of that second.
fn busiest_second(
    replica: &Replica,
    sent: &BTreeMap<String, Duration>,
    from: Duration,
) -> (usize, Duration) {
    let mut cold: Vec<_> = replica.arrivals().into_iter().filter(|a| a.is_cold).collect();
    cold.retain(|arrival| arrival.at >= from);
    let sent_at = |id: &String| sent.get(id).copied();
    let begins = cold.iter().filter_map(|first| sent_at(&first.id)).filter(|begin| *begin >= from);
    let counts = begins.map(|begin| {
        let within = |at: Duration| at >= begin && at < begin + SECOND;
        let is_counted = |id: &String, at: Duration| within(at) && sent_at(id).is_some_and(within);
        (cold.iter().filter(|arrival| is_counted(&arrival.id, arrival.at)).count(), begin)
    });
    counts.max().unwrap_or_default()
}

fn call(number: u64) -> Call {
    Call {
        method: "POST",
        path: "/alarm/x".to_owned(),
        host: "wind.example".to_owned(),
        id: format!("alarm-{number}"),
        key: "key-1".to_owned(),
        deadline: Duration::from_secs(10),
        patience: Some(Duration::from_secs(2)),
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
        zone: ZONES[number].to_owned(),
        slots: 12,
        events: 4,
        first: Duration::from_millis(15),
        gap: Duration::from_millis(10),
        is_plain: false,
        deadly_part: None,
        spoiler: None,
        crash_delay: None,
        down: Duration::from_secs(3),
        crash_rate: Some(BOUND + BOUND / 2),
    }
}

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"alarm","host":"wind.example",
    "prefix":"/alarm/","route_kind":"streaming","timeout_ms":10000,"latency_goal_ms":250,
    "priority":0,"service":"llm","max_attempts":2,"public":false,"resumable":false,
    "gap_goal_ms":250,"sticky":true}],
    "services":[{"name":"llm","health_path":"/healthz","cold_per_s":28.0,"engine":{"slots":12,
    "kv_capacity":267750,"stride":43,"step_ms":0.85,"per_seq_ms":0.00226,"context_per_k":0.00431,
    "read_per_s":177000.0,"pairs_per_m":0.0138,"chunk":2048,
    "usual":{"prompt":5000,"answer":1303}}}],
    "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["key-1"]}]}"#;
