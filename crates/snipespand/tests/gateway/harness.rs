//! Starts the fake platform and the gateways of a test, and stops them when they are dropped.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use snipespan_fakes::users_platform::replica::FakeReplica;
use snipespan_fakes::users_platform::replica::HeadTiming;
use snipespan_fakes::users_platform::replica::ReplicaConfig;
use snipespan_fakes::users_platform::store::FakeStore;
use snipespan_platform_adapter::connection::AnswerLimits;
use snipespan_platform_adapter::connection::Connection;
use tempfile::TempDir;

/// Host that the routes of the serving configuration match.
pub(crate) const HOST: &str = "shop.example";

/// API key of the only client account, `account-1`.
pub(crate) const API_KEY: &str = "key-1";

/// Name of the service whose replicas are engines and stream their answers.
pub(crate) const ENGINE: &str = "llm";

/// Name of the plain service.
pub(crate) const PLAIN: &str = "orders";

/// Maximum time to wait for something that must happen in a test.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway process, which is killed when this is dropped.
pub(crate) struct Gateway {
    child: Child,
    pub(crate) clients: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) config: PathBuf,
    lines: Arc<Mutex<Vec<Value>>>,
}

/// Fakes of the users' platform for one test: the store and the replicas (fake backend servers) of
/// two services. `folder` holds the settings files of gateways.
pub(crate) struct TestPlatform {
    folder: TempDir,
    pub(crate) store: FakeStore,
    pub(crate) engines: Vec<FakeReplica>,
    pub(crate) plain: Vec<FakeReplica>,
}

/// An answer as a client received it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
    /// Whether the body ended without an error.
    pub(crate) is_complete: bool,
}

/// Returns the identity, speed and capacity of replica `number` of a service: streams of 6 events,
/// 30 ms before each event or plain answer, and memory for 232,000 tokens.
pub(crate) fn replica_config(service: &str, number: usize) -> ReplicaConfig {
    ReplicaConfig {
        id: format!("{service}-{number}"),
        service: service.to_owned(),
        events: 6,
        pause: Duration::from_millis(30),
        slots: 16,
        memory_tokens: 232_000,
        head_timing: HeadTiming::default(),
    }
}

/// Returns the serving configuration of the tests, with `version` as its version.
///
/// Requests time out after 8 s, those below `/brief/` after 400 ms. Bodies have at most 65,536
/// bytes. The gateway ignores `sticky` and `health_path`, as it does all fields that it does not
/// know.
pub(crate) fn configuration(version: u64) -> Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": format!("r{}", prefix.replace('/', "-")), "host": HOST, "prefix": prefix,
            "route_kind": kind, "timeout_ms": 8000, "latency_goal_ms": 1500, "priority": 1,
            "service": service, "max_attempts": 2, "public": false, "resumable": true,
            "gap_goal_ms": 250, "sticky": true,
        })
    };
    let mut brief = route("/brief/", "unsafe", PLAIN);
    brief["timeout_ms"] = json!(400);
    json!({
        "version": version,
        "routes": [
            route("/stream/", "streaming", ENGINE), route("/order/", "unsafe", PLAIN),
            route("/look/", "safe", PLAIN), brief,
        ],
        "services": [
            { "name": ENGINE, "health_path": "/healthz", "engine": {
                "slots": 16, "kv_capacity": 232_000, "stride": 43, "step_ms": 1.02,
                "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206_000.0,
                "pairs_per_m": 0.0138, "chunk": 2048, "usual": { "answer": 1303 },
            } },
            { "name": PLAIN, "health_path": "/healthz" },
        ],
        "limits": {
            "header_bytes": 16384, "body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{ "name": "account-1", "api_keys": [API_KEY] }],
    })
}

/// Returns [`configuration`] with this number of further routes to the plain service.
pub(crate) fn configuration_with_routes(version: u64, count: usize) -> Value {
    let mut configuration = configuration(version);
    let routes = configuration["routes"].as_array_mut().expect("routes");
    let template = routes[1].clone();
    for number in 0..count {
        let mut route = template.clone();
        route["name"] = json!(format!("r-more-{number}"));
        route["prefix"] = json!(format!("/more/{number}/"));
        routes.push(route);
    }
    configuration
}

impl TestPlatform {
    /// Starts the store with a configuration, and `count` replicas of each service; no gateway yet.
    pub(crate) async fn start(count: usize) -> Self {
        let store = FakeStore::start().await.expect("the store starts");
        let mut engines = Vec::new();
        let mut plain = Vec::new();
        for number in 0..count {
            engines.push(
                FakeReplica::start(replica_config(ENGINE, number), None).await.expect("it starts"),
            );
            plain.push(
                FakeReplica::start(replica_config(PLAIN, number), None).await.expect("it starts"),
            );
        }
        for replica in engines.iter().chain(&plain) {
            store.put("servers", replica.id(), &replica.listing(replica.address(), "ready"));
        }
        store.put("op", "config", &configuration(1));
        Self { folder: TempDir::new().expect("a folder"), store, engines, plain }
    }

    /// Starts a gateway that uses the store at the address `store`, with `extra_settings` at the
    /// end of its settings file, and waits until it is ready.
    pub(crate) async fn gateway_at(
        &self,
        name: &str,
        store: SocketAddr,
        extra_settings: &str,
    ) -> Gateway {
        let gateway = self.start_gateway(name, store, extra_settings);
        gateway.wait_until_ready(true).await;
        gateway
    }

    /// Starts a gateway with the default settings, and waits until it is ready.
    pub(crate) async fn gateway(&self, name: &str) -> Gateway {
        self.gateway_at(name, self.store.address(), "").await
    }

    /// Starts a gateway like [`Self::gateway_at`], without waiting until it is ready.
    pub(crate) fn start_gateway(
        &self,
        name: &str,
        store: SocketAddr,
        extra_settings: &str,
    ) -> Gateway {
        let config = self.folder.path().join(format!("{name}.ini"));
        let text = format!(
            "[process]\nrole = gateway\nvm = {name}\ndata_centre = graz-a\ntraffic_threads = 1\n\
             [gateway]\nclients_listen = 127.0.0.1:0\nready_listen = 127.0.0.1:0\n\
             peers_listen = 127.0.0.1:0\nstore = {store}\nretry_ratio = 0.2\n\
             retry_slack = 100\nstop_limit = 8s\n{extra_settings}"
        );
        std::fs::write(&config, text).expect("the settings are written");
        Gateway::start(config)
    }

    /// Lists a replica in the store with another state.
    pub(crate) fn set_state(&self, replica: &FakeReplica, state: &str) {
        self.store.put("servers", replica.id(), &replica.listing(replica.address(), state));
    }

    /// Returns the number of runs on all plain replicas.
    pub(crate) fn plain_runs(&self) -> usize {
        self.plain.iter().map(|replica| replica.runs().len()).sum()
    }
}

impl Gateway {
    /// Starts a gateway with the settings file `config`, without waiting until it is ready.
    pub(crate) fn start(config: PathBuf) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_snipespand"))
            .arg("--config")
            .arg(&config)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let stdout = child.stdout.take().expect("stdout is piped");
        let mut reader = BufReader::new(stdout);
        let lines = Arc::new(Mutex::new(Vec::new()));
        let mut addresses = None;
        while addresses.is_none() {
            let mut line = String::new();
            let read = reader.read_line(&mut line).expect("stdout can be read");
            assert!(read > 0, "the daemon ended before it reported its addresses");
            let value: Value = serde_json::from_str(&line).expect("lines are JSON");
            match value.get("gateway") {
                Some(reported) => addresses = Some(reported.clone()),
                None => lines.lock().expect("no panic").push(value),
            }
        }
        let stored_lines = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                let value = serde_json::from_str(&line).expect("lines are JSON");
                stored_lines.lock().expect("no panic").push(value);
            }
        });
        let addresses = addresses.expect("addresses");
        let address = |what: &str| {
            addresses[what].as_str().and_then(|text| text.parse().ok()).expect("an address")
        };
        Self {
            child,
            clients: address("clients"),
            ready: address("ready"),
            peers: address("peers"),
            config,
            lines,
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the process exists");
    }

    /// Returns whether the readiness check is answered with status 200.
    pub(crate) async fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(2);
        let Ok(mut connection) = Connection::open(self.ready, limit).await else { return false };
        let req = Request::get("/snipespan/readyz").header("host", "x");
        let req = req.body(Full::default()).expect("a request");
        connection
            .call(req, AnswerLimits::new(limit))
            .await
            .is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the peak of the memory that the process has had resident, in KiB.
    pub(crate) fn peak_memory_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let mut peak = status.lines().filter_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.next().expect("a peak").trim().trim_end_matches("kB").trim();
        peak.parse().expect("a number")
    }

    /// Waits until the readiness check reports `wanted`.
    pub(crate) async fn wait_until_ready(&self, wanted: bool) {
        let began = Instant::now();
        while self.is_ready().await != wanted {
            assert!(began.elapsed() < WAIT_TIMEOUT, "readiness does not become {wanted}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits for the end of the process and returns its exit status.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("it can be waited for") {
                return status;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "the gateway does not stop");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the log lines with a message, and with the value of a field if one is given.
    pub(crate) fn log_lines(&self, message: &str, field: Option<(&str, &str)>) -> Vec<Value> {
        let lines = self.lines.lock().expect("no panic");
        let named = lines.iter().filter(|line| line["message"] == message);
        named
            .filter(|line| field.is_none_or(|(name, value)| line[name] == value))
            .cloned()
            .collect()
    }

    /// Waits for a line that [`Self::log_lines`] returns, and returns the first one.
    pub(crate) async fn wait_for_log(&self, message: &str, field: Option<(&str, &str)>) -> Value {
        let began = Instant::now();
        loop {
            if let Some(line) = self.log_lines(message, field).into_iter().next() {
                return line;
            }
            assert!(began.elapsed() < WAIT_TIMEOUT, "{message:?} {field:?} is not logged");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request as a client does, and reads the answer to its end.
    pub(crate) async fn call(&self, method: Method, path: &str, id: &str) -> Answer {
        self.call_with(method, path, id, &[]).await
    }

    /// Sends a request with further header fields, which replace default ones of the same name.
    pub(crate) async fn call_with(
        &self,
        method: Method,
        path: &str,
        id: &str,
        fields: &[(&str, &str)],
    ) -> Answer {
        let opened = Connection::open(self.clients, WAIT_TIMEOUT).await;
        let mut connection = opened.expect("the gateway accepts a connection");
        let response = connection.send(request(method, path, id, fields)).await;
        let response = response.expect("the gateway answers");
        read_answer(response).await
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let pid = Pid::from_raw(self.child.id() as i32);
        // Resumes a suspended process so that it can end. Errors mean that it has ended already.
        let _ = kill(pid, Signal::SIGCONT);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a client's request with the default header fields and `fields`, which replace default
/// ones of the same name.
pub(crate) fn request(
    method: Method,
    path: &str,
    id: &str,
    fields: &[(&str, &str)],
) -> Request<Full<Bytes>> {
    let key = format!("Token {API_KEY}");
    let defaults = [
        ("host", HOST),
        ("attempt-id", id),
        ("deadline-ms", "8000"),
        ("authorization", key.as_str()),
    ];
    let mut builder = Request::builder().method(method).uri(path);
    for (name, value) in defaults {
        if !fields.iter().any(|(given, _)| *given == name) {
            builder = builder.header(name, value);
        }
    }
    for (name, value) in fields {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::from_static(b"the body"))).expect("a request")
}

/// Reads an answer to its end.
pub(crate) async fn read_answer(response: hyper::Response<hyper::body::Incoming>) -> Answer {
    let (head, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut is_complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_) => {
                is_complete = false;
                break;
            }
        }
    }
    let body = String::from_utf8(bytes).expect("text");
    Answer { status: head.status.as_u16(), headers: head.headers, body, is_complete }
}

/// Waits until `holds` returns true; `what` describes this if it does not in time.
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "not reached: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until a request with the API key `key-1` is denied, which shows that the configuration
/// with the other key is in force.
pub(crate) async fn wait_until_denied(gateway: &Gateway) {
    let began = Instant::now();
    for number in 0.. {
        let id = format!("probe-{number}");
        if gateway.call(Method::GET, "/look/1", &id).await.status == 401 {
            return;
        }
        assert!(began.elapsed() < Duration::from_secs(5), "the key is still accepted");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns a serving configuration that accepts the API key `key-2` in place of `key-1`.
pub(crate) fn configuration_with_other_key(version: u64) -> Value {
    let mut changed = configuration(version);
    changed["tenants"][0]["api_keys"] = json!(["key-2"]);
    changed
}
