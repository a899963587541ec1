//! A planned stop while a client on a narrow link reads a long answer.

use std::io::Read;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::Route;
use review_standins::client;
use review_standins::client::Request;
use review_standins::configuration;
use review_standins::http;
use review_standins::record::Record;
use review_standins::record::Verdict;
use review_standins::record::has_trouble;
use review_standins::replica::Replica;
use review_standins::start_gateways;
use review_standins::store::Store;

const ANSWER_BYTES: usize = 14 << 20;

/// Rate at which the client's link delivers, in bytes per second (18 Mbit/s).
const LINK_BYTES_PER_S: usize = 2_250_000;

const SLICE: Duration = Duration::from_millis(20);

const GRACE: Duration = Duration::from_secs(8);

const KEY: &str = "n2ctnfzs989anu6wsjnb";

fn main() {
    let record = Record::create();
    let store = Store::start();
    let replicas: Vec<_> = (0..2)
        .map(|number| {
            let work = Duration::from_millis(20);
            Replica::start(&format!("i-{number}"), "shop-api", work, ANSWER_BYTES)
        })
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.listing("ready"));
    }
    let route =
        Route { prefix: "/lohu930/", kind: "unsafe", service: "shop-api", timeout_ms: 15_000 };
    store.put("op", "config", &configuration(1, &[route], &["shop-api"], &[("hule930", KEY)]));
    let mut gateways = start_gateways(&record, &store, 2);
    // Longer than contact_ms, so that the gateways are in touch.
    thread::sleep(Duration::from_secs(4));

    let req = Request {
        method: "POST",
        path: "/lohu930/2f",
        id: "9c41d07be2a35f68",
        key: KEY,
        deadline: Duration::from_secs(15),
        body: b"order 1",
    };
    let mut reader = client::send(gateways[0].clients, &req).expect("the gateway accepts it");
    let sent = Instant::now();
    record.line("the client has sent its whole request, 15,000 ms before its deadline");
    let head = http::read_head(&mut reader).expect("a head").expect("a head");
    let whole: usize = head.field("content-length").and_then(|t| t.parse().ok()).unwrap_or(0);
    record.line(&format!("the client reads the head: {}, {whole} bytes follow", head.start));

    let mut stopped: Option<Instant> = None;
    let mut exited: Option<Duration> = None;
    let mut read = 0;
    let mut slice = vec![0; LINK_BYTES_PER_S * SLICE.as_millis() as usize / 1000];
    let end = loop {
        if has_trouble() && stopped.is_none() && sent.elapsed() > Duration::from_millis(500) {
            gateways[0].signal("TERM");
            stopped = Some(Instant::now());
            record.line(&format!("SIGTERM to the gateway; the client has {read} bytes"));
        }
        if let Some(stopped) = stopped
            && exited.is_none()
            && gateways[0].has_ended()
        {
            exited = Some(stopped.elapsed());
            record.line(&format!("the gateway has exited; the client has {read} bytes"));
        }
        let wanted = slice.len().min(whole - read);
        if wanted == 0 {
            break Ok(());
        }
        match reader.read_exact(&mut slice[..wanted]) {
            Ok(()) => read += wanted,
            Err(e) => break Err(e),
        }
        thread::sleep(SLICE);
    };
    let took = sent.elapsed();
    let runs: Vec<_> = replicas.iter().flat_map(Replica::runs).collect();
    for run in &runs {
        record.line(&format!("a replica has run {}", run.id));
    }
    record.line(&format!("after {took:.1?} the client has {read} of {whole} bytes: {end:?}"));
    drop(gateways);
    if runs.len() != 1 || head.status() != 200 || whole != ANSWER_BYTES {
        record.end(Verdict::Invalid, "the request was not run and answered");
    }
    match end {
        Ok(()) => record.end(Verdict::Held, "the client has the whole answer"),
        Err(_) if exited.is_some_and(|exited| exited < GRACE) => {
            record.end(Verdict::Broken, "LOST: the planned stop has cut off the answer")
        }
        Err(_) => record.end(Verdict::Invalid, "the answer ended for another reason"),
    }
}
