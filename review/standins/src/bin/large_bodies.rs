//! Many users come at once, and each sends a body of the greatest length that the operator allows.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use review_standins::Route;
use review_standins::client::Request;
use review_standins::configuration;
use review_standins::http;
use review_standins::record::Record;
use review_standins::record::Verdict;
use review_standins::record::has_trouble;
use review_standins::replica::Replica;
use review_standins::start_gateways;
use review_standins::store::Store;

/// `memory_mb` of an `edge` machine of the site, in KiB, with a megabyte of 2^20 bytes.
const MEMORY_LIMIT_KIB: u64 = 260 * 1024;

/// `body_bytes` of the site.
const BODY_BYTES: usize = 4 << 20;

/// Time from one upload to the next; with the other requests, 1.7 times the 14.2 requests a second
/// of the zone with the most.
const UPLOAD_INTERVAL: Duration = Duration::from_nanos(1_000_000_000 / 14);

/// Length of the burst.
const BURST: Duration = Duration::from_millis(9500);

/// Rate of each upload; all of them take less than half of the 1,000 Mbit/s of the gateway's link.
const UPLOAD_BYTES_PER_S: usize = 450_000;

const SLICE: Duration = Duration::from_millis(40);

/// Clients that send one request after the other, ten a second together.
const CLIENTS: usize = 10;

const WORK: Duration = Duration::from_secs(1);

const DEADLINE: Duration = Duration::from_secs(10);

const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A request for which the client got no answer.
struct Unanswered {
    id: String,
    is_kept_connection: bool,
}

/// Sends one request after the other on a connection that it keeps, until `is_over`.
fn send_requests(
    address: SocketAddr,
    client: usize,
    is_over: &AtomicBool,
    unanswered: &Mutex<Vec<Unanswered>>,
    statuses: &Mutex<Vec<u16>>,
) {
    let Ok(stream) = TcpStream::connect(address) else { return };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(DEADLINE));
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("{client:04x}{number:012x}");
        let req = Request {
            method: "POST",
            path: "/lohu930/2f",
            id: &id,
            key: KEY,
            deadline: DEADLINE,
            body: &[b'o'; 600],
        };
        let sent = out.write_all(req.head().as_bytes()).and_then(|()| out.write_all(req.body));
        let answer = sent.and_then(|()| http::read_message(&mut reader));
        match answer {
            Ok(Some(answer)) => statuses.lock().expect("no panic").push(answer.status()),
            _ => {
                let is_kept_connection = number > 0;
                unanswered.lock().expect("no panic").push(Unanswered { id, is_kept_connection });
                return;
            }
        }
    }
}

/// Sends a body of the greatest length; returns the status of the answer, 0 without one.
fn upload(address: SocketAddr, number: usize, body: &[u8]) -> u16 {
    let id = format!("f{number:015x}");
    let req = Request {
        method: "POST",
        path: "/manifest/1",
        id: &id,
        key: KEY,
        deadline: Duration::from_secs(15),
        body,
    };
    let Ok(mut stream) = TcpStream::connect(address) else { return 0 };
    let _ = stream.set_read_timeout(Some(req.deadline));
    if stream.write_all(req.head().as_bytes()).is_err() {
        return 0;
    }
    for slice in body.chunks(UPLOAD_BYTES_PER_S * SLICE.as_millis() as usize / 1000) {
        if stream.write_all(slice).is_err() {
            return 0;
        }
        thread::sleep(SLICE);
    }
    match http::read_message(&mut BufReader::new(stream)) {
        Ok(Some(answer)) => answer.status(),
        _ => 0,
    }
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    let replicas: Vec<_> = (0..3)
        .map(|number| Replica::start(&format!("i-{number}"), "shop-api", WORK, 800))
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.listing("ready"));
    }
    let route =
        |prefix, timeout_ms| Route { prefix, kind: "unsafe", service: "shop-api", timeout_ms };
    let routes = [route("/lohu930/", 10_000), route("/manifest/", 15_000)];
    store.put("op", "config", &configuration(1, &routes, &["shop-api"], &[("hule930", KEY)]));
    let mut gateways = start_gateways(&record, &store, 3);
    let address = gateways[0].clients;
    let is_over = Arc::new(AtomicBool::new(false));
    let unanswered = Arc::new(Mutex::new(Vec::new()));
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (over, missing) = (Arc::clone(&is_over), Arc::clone(&unanswered));
            let statuses = Arc::clone(&statuses);
            thread::spawn(move || send_requests(address, client, &over, &missing, &statuses))
        })
        .collect();
    record.line(&format!("{CLIENTS} clients send requests on connections that they keep"));
    // Longer than contact_ms, so that the gateways are in touch.
    thread::sleep(Duration::from_secs(4));
    let usual = gateways[0].memory_kib();
    record.line(&format!("the gateway takes {usual} KiB; {MEMORY_LIMIT_KIB} KiB are allowed"));

    let body = Arc::new(vec![b'b'; BODY_BYTES]);
    let mut uploads = Vec::new();
    if has_trouble() {
        record.line(&format!("the burst: 14 clients a second begin to send {BODY_BYTES} bytes"));
    }
    // The platform ends a process that takes more memory than it may.
    let began = record.elapsed();
    let mut killed = false;
    let mut most = 0;
    while record.elapsed() - began < BURST + Duration::from_secs(3) && !killed {
        let elapsed = record.elapsed() - began;
        let is_due = elapsed >= UPLOAD_INTERVAL * uploads.len() as u32;
        if has_trouble() && elapsed < BURST && is_due {
            let (number, body) = (uploads.len(), Arc::clone(&body));
            uploads.push(thread::spawn(move || upload(address, number, &body)));
        }
        let taken = gateways[0].memory_kib();
        most = taken.max(most);
        if taken > MEMORY_LIMIT_KIB {
            gateways[0].signal("KILL");
            killed = true;
            let open = uploads.iter().filter(|upload| !upload.is_finished()).count();
            record.line(&format!(
                "the gateway takes {taken} KiB: killed by the platform; {} uploads began, {open} are open",
                uploads.len()
            ));
        }
        thread::sleep(Duration::from_millis(10));
    }
    let has_ended = gateways[0].has_ended();
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let uploaded: Vec<_> = uploads.into_iter().filter_map(|upload| upload.join().ok()).collect();
    drop(gateways);

    record.line(&format!("most memory seen: {most} KiB; answers to the uploads: {uploaded:?}"));
    let statuses = statuses.lock().expect("no panic");
    let served = statuses.iter().filter(|status| **status == 200).count();
    record.line(&format!("{} requests were answered, {served} of them with 200", statuses.len()));
    let runs: Vec<_> = replicas.iter().flat_map(Replica::runs).map(|run| run.id).collect();
    let unanswered = unanswered.lock().expect("no panic");
    let mut lost = 0;
    for request in unanswered.iter() {
        let has_run = runs.contains(&request.id);
        let kept = request.is_kept_connection;
        record.line(&format!(
            "request {}: run {has_run}, kept connection {kept}, no answer",
            request.id
        ));
        lost += usize::from(has_run && kept);
    }
    if served == 0 || has_ended && !killed {
        record.end(
            Verdict::Invalid,
            "no request was served, or the gateway ended for another reason",
        );
    }
    match lost > 3 {
        true => {
            record.end(Verdict::Broken, &format!("LOST: {lost} requests ran and were not answered"))
        }
        false => record.end(Verdict::Held, &format!("{lost} requests ran and were not answered")),
    }
}
