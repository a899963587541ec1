//! A scenario: requests with a part that crashes replicas, beside sound ones.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::client;
use crate::client::Call;
use crate::gateway::Gateway;
use crate::gateway::Settings;
use crate::record::Record;
use crate::replica::Replica;
use crate::replica::Spec;
use crate::store::Store;

/// `contact_ms` of the site.
pub const CONTACT: Duration = Duration::from_millis(3000);

/// The part that crashes replicas.
pub const DEADLY_PART: &str = "dead";

const HOST: &str = "shop.example";
const ZONES: [&str; 3] = ["graz-a", "graz-b", "graz-c"];

/// Figures of a run.
pub struct Plan {
    /// Pause between requests with the deadly part.
    pub deadly_pause: Duration,
    /// Value of `Prompt-Prefix` of the deadly request with a number.
    pub deadly_parts: fn(u64) -> String,
    /// Pause between sound requests.
    pub sound_pause: Duration,
    /// Value of `Prompt-Prefix` of the sound request with a number.
    pub sound_parts: fn(u64) -> String,
    /// Whether the replicas crash at the part.
    pub is_deadly: bool,
    /// Time from the first event of an answer to the crash; `None` if no event is written before.
    pub crash_delay: Option<Duration>,
    /// When all gateways are killed, each a second before its restart.
    pub kills: Vec<Duration>,
    /// Length of the run.
    pub length: Duration,
}

/// Runs the scenario; returns the number of requests that break the rule if there are over three.
pub fn run(folder: &Path, record: &Record, plan: &Plan) -> usize {
    let store = Store::start();
    store.put("op", "config", CONFIGURATION);
    let spec = |number| spec(number, plan);
    let replicas: Vec<_> = (0..8).map(|n| Replica::start(spec(n), &store, record)).collect();
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
    let addresses = Arc::new(gateways.each_ref().map(|gateway| gateway.clients));
    send_series("sound", plan.sound_parts, plan.sound_pause, &addresses, record);
    send_series("deadly", plan.deadly_parts, plan.deadly_pause, &addresses, record);
    let start = record.now();
    let mut out_of_touch = Vec::new();
    for kill in &plan.kills {
        std::thread::sleep((start + *kill).saturating_sub(record.now()));
        record.say("SIGKILL to all gateways");
        let from = record.now();
        gateways.iter_mut().for_each(Gateway::kill);
        std::thread::sleep(Duration::from_secs(1));
        gateways.iter_mut().for_each(Gateway::start);
        record.say("all gateways are started again");
        out_of_touch.push((from, record.now() + CONTACT));
    }
    std::thread::sleep((start + plan.length).saturating_sub(record.now()));
    judge(record, &replicas, &out_of_touch)
}

/// Counts the requests of the rule: those with the part that reached replicas later than `contact_ms`
/// after the fifth crash, by gateways in touch.
fn judge(record: &Record, replicas: &[Replica], out_of_touch: &[(Duration, Duration)]) -> usize {
    let mut crashes: Vec<_> = replicas.iter().flat_map(Replica::crashes).collect();
    crashes.sort();
    let seconds: Vec<_> = crashes.iter().map(|at| format!("{:.1}", at.as_secs_f64())).collect();
    record.say(&format!("{} crashes, at {}", crashes.len(), seconds.join(", ")));
    let Some(fifth) = crashes.get(4).copied() else {
        record.say("held: fewer than five crashes");
        return 0;
    };
    let is_in_touch =
        |at: Duration| out_of_touch.iter().all(|(from, until)| at < *from || at > *until);
    let all = replicas.iter().flat_map(Replica::arrivals).filter(|arrival| arrival.is_deadly);
    let counted = all.filter(|a| a.at > fifth + CONTACT && is_in_touch(a.at));
    let mut counted: Vec<_> = counted.collect();
    counted.sort_by_key(|arrival| arrival.at);
    for arrival in &counted {
        let at = arrival.at.as_secs_f64();
        record.say(&format!("counted: {} reached {} at {at:.3}", arrival.id, arrival.replica));
    }
    let count = counted.len();
    let verdict = if count > 3 { "BROKEN" } else { "held" };
    record.say(&format!(
        "{verdict}: {count} requests with the part reached replicas later than 3 s after the fifth \
         crash, by gateways in touch; 3 are allowed"
    ));
    count
}

fn send_series(
    name: &'static str,
    parts: impl Fn(u64) -> String + Send + 'static,
    pause: Duration,
    gateways: &Arc<[SocketAddr; 3]>,
    record: &Record,
) {
    let (gateways, record) = (Arc::clone(gateways), record.clone());
    std::thread::spawn(move || {
        for number in 0u64.. {
            std::thread::sleep(pause);
            let gateway = gateways[number as usize % 3];
            let record = record.clone();
            let parts = parts(number);
            std::thread::spawn(move || {
                let call = Call {
                    method: "POST",
                    path: "/draft/x".to_owned(),
                    host: HOST.to_owned(),
                    id: format!("{name}-{number}"),
                    key: "key-1".to_owned(),
                    deadline: Duration::from_secs(10),
                    patience: None,
                    more: format!("Model: m\r\nToken-Count: 540,60\r\nPrompt-Prefix: {parts}\r\n"),
                    body: b"the prompt".to_vec(),
                };
                record.note(&format!("{} is sent", call.id));
                let outcome = client::send(gateway, &call);
                let end = if outcome.is_complete { "complete" } else { "cut" };
                record.note(&format!("{} ends: status {}, {end}", call.id, outcome.status));
            });
        }
    });
}

fn spec(number: usize, plan: &Plan) -> Spec {
    Spec {
        name: format!("i-{number}"),
        service: "llm".to_owned(),
        zone: ZONES[number % 3].to_owned(),
        slots: 16,
        events: 10,
        first: Duration::from_millis(60),
        gap: Duration::from_millis(30),
        is_plain: false,
        deadly_part: plan.is_deadly.then(|| DEADLY_PART.to_owned()),
        spoiler: None,
        crash_delay: plan.crash_delay,
        down: Duration::from_millis(3000),
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
