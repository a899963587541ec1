//! Starts the processes and fakes of one test, and stops them when they are dropped.

use std::future::Future;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;
use snipespan_admin::v1;
use snipespan_admin::v1::admin_client::AdminClient;
use snipespan_admin::v1::change::Change;
use snipespan_caller::caller::Caller;
use snipespan_caller::caller::ChatCall;
use snipespan_caller::caller::ServiceCall;
use snipespan_fakes::deployment::Backend;
use snipespan_fakes::deployment::Deployment;
use snipespan_fakes::deployment::OPERATOR_TOKEN;
use snipespan_fakes::model_engine::EngineConfig;
use snipespan_fakes::model_engine::FakeEngine;
use snipespan_fakes::plain_service::FakeService;
use snipespan_fakes::platform::FakePlatform;
use snipespan_platform::v1 as platform_v1;
use tempfile::TempDir;
use tonic::Request;
use tonic::Status;
use tonic::metadata::MetadataValue;
use tonic::transport::Certificate;
use tonic::transport::Channel;
use tonic::transport::ClientTlsConfig;
use tonic::transport::Endpoint;

/// API key of the account `desk`.
pub(crate) const API_KEY: &str = "key-of-desk";

/// Model that the fake engines serve.
pub(crate) const MODEL: &str = "drafts";

/// Name of the plain service.
pub(crate) const SERVICE: &str = "orders";

/// Configuration revision after [`TestEnv::configure`], which applies three changes.
pub(crate) const SETUP_REVISION: u64 = 3;

/// Maximum time to wait for something that must happen in a test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A running daemon, which is killed when this value is dropped.
pub(crate) struct Process {
    child: Child,
    pub(crate) addresses: Value,
}

impl Process {
    /// Starts the daemon with a settings file and reads the addresses that it prints.
    pub(crate) fn start(config: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_snipespand"))
            .arg("--config")
            .arg(config)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        BufReader::new(stdout).read_line(&mut line).expect("the daemon prints its addresses");
        let addresses = serde_json::from_str(&line).expect("the addresses are JSON");
        Self { child, addresses }
    }

    pub(crate) fn send_signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        kill(pid, signal).expect("the process exists");
    }

    /// Kills the process and reaps it.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has exited, as after `SIGTERM`.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the process exits", || {
            status = self.child.try_wait().expect("the process can be waited for");
            let is_over = status.is_some();
            async move { is_over }
        })
        .await;
        status.expect("the process has exited")
    }

    /// Returns the listening address `name` of the role `role`, for example `callers` of `entry`.
    pub(crate) fn address(&self, role: &str, name: &str) -> String {
        self.addresses[role][name].as_str().expect("an address").to_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Resumes a process that a test has stopped with SIGSTOP before it is killed.
        let _ = kill(Pid::from_raw(self.child.id() as i32), Signal::SIGCONT);
        self.kill();
    }
}

/// The fake platform, the settings files and the VM list of one test.
pub(crate) struct TestEnv {
    pub(crate) folder: TempDir,
    pub(crate) platform: FakePlatform,
    pub(crate) deployment: Deployment,
    vms: Vec<platform_v1::Vm>,
}

impl TestEnv {
    pub(crate) async fn start() -> Self {
        let platform = FakePlatform::start().await.expect("the platform starts");
        let url = platform.url();
        Self::with_platform(platform, &url)
    }

    /// Creates an environment whose processes reach a platform at `url`, which may be the address
    /// of a proxy or of another environment's platform.
    pub(crate) fn with_platform(platform: FakePlatform, url: &str) -> Self {
        let folder = TempDir::new().expect("a temporary folder is created");
        let mut deployment = Deployment::new(folder.path(), url).expect("the files are written");
        deployment.add_lines("vm_list_interval = 200ms");
        Self { folder, platform, deployment, vms: Vec::new() }
    }

    pub(crate) fn start_entry(&self, vm: &str, extra_settings: &str) -> Process {
        let config = self.deployment.write_entry(vm, "graz-1", extra_settings);
        Process::start(&config.expect("the settings are written"))
    }

    /// Starts a side process on a free port and adds it to the VM list as live.
    pub(crate) fn start_side(
        &mut self,
        vm: &str,
        backend: &Backend,
        extra_settings: &str,
    ) -> Process {
        let process = self.start_side_unlisted(vm, "127.0.0.1:0", backend, extra_settings);
        let address = process.address("side", "entries");
        self.list_vm(vm, &address, platform_v1::VmState::Live);
        process
    }

    /// Starts a side process that listens on `listen`, without a change to the VM list.
    pub(crate) fn start_side_unlisted(
        &self,
        vm: &str,
        listen: &str,
        backend: &Backend,
        extra_settings: &str,
    ) -> Process {
        let config = self.deployment.write_side(vm, "graz-1", listen, backend, extra_settings);
        Process::start(&config.expect("the settings are written"))
    }

    /// Adds a VM to the VM list of the platform, or replaces its row.
    pub(crate) fn list_vm(&mut self, id: &str, address: &str, state: platform_v1::VmState) {
        self.list_vm_in("graz-1", id, address, state);
    }

    /// Adds a VM of a data centre to the VM list of the platform, or replaces its row.
    pub(crate) fn list_vm_in(
        &mut self,
        data_centre: &str,
        id: &str,
        address: &str,
        state: platform_v1::VmState,
    ) {
        self.vms.retain(|vm| vm.id != id);
        self.vms.push(platform_v1::Vm {
            id: id.to_owned(),
            data_centre: data_centre.to_owned(),
            side_address: address.to_owned(),
            state: state.into(),
        });
        self.platform.set_vms(self.vms.clone());
    }

    /// Connects to the operators' port of an entry.
    pub(crate) async fn connect_operator(&self, entry: &Process) -> Operator {
        self.connect_operator_with_token(entry, OPERATOR_TOKEN).await
    }

    pub(crate) async fn connect_operator_with_token(
        &self,
        entry: &Process,
        token: &str,
    ) -> Operator {
        let ca = std::fs::read(self.folder.path().join("ca.pem"))
            .expect("the CA certificate is readable");
        let tls = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(ca))
            .domain_name("snipespan");
        let url = format!("https://{}", entry.address("entry", "operators"));
        let endpoint = Endpoint::from_shared(url)
            .expect("the URL is valid")
            .tls_config(tls)
            .expect("the TLS settings are valid");
        let channel = endpoint.connect().await.expect("the entry accepts the connection");
        Operator { client: AdminClient::new(channel), token: token.to_owned() }
    }

    /// Applies the account, the model and the service of the tests, as revisions 1 to 3.
    pub(crate) async fn configure(&self, entry: &Process) {
        let mut operator = self.connect_operator(entry).await;
        let changes = [
            Change::PutAccount(account("desk", API_KEY)),
            Change::PutModel(model(MODEL)),
            Change::PutService(service(SERVICE)),
        ];
        for (index, change) in changes.into_iter().enumerate() {
            let id = format!("setup-{index}");
            operator.apply_change(&id, None, change).await.expect("the change is accepted");
        }
    }
}

/// Entries, model engines and a plain service with their side processes. All are configured, and
/// every entry has all backend servers ready.
pub(crate) struct Fleet {
    pub(crate) env: TestEnv,
    pub(crate) entries: Vec<Process>,
    /// Side process of the plain service, followed by one per engine: `sides[i + 1]` is that of
    /// `engines[i]`.
    pub(crate) sides: Vec<Process>,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) service: FakeService,
}

impl Fleet {
    /// Starts a fleet whose engines have the default configuration.
    pub(crate) async fn start(entries: usize, engines: usize) -> Self {
        Self::start_with(entries, engines, EngineConfig::default()).await
    }

    /// Starts a fleet whose engines have the configuration `config`.
    pub(crate) async fn start_with(entries: usize, engines: usize, config: EngineConfig) -> Self {
        let mut env = TestEnv::start().await;
        let service = start_service().await;
        let mut sides = vec![env.start_side("vm-service", &service_backend(&service), "")];
        let mut started = Vec::new();
        for index in 0..engines {
            let engine = start_engine(config).await;
            let vm = format!("vm-engine-{index}");
            sides.push(env.start_side(&vm, &engine_backend(&engine), ""));
            started.push(engine);
        }
        // Shorter than the default of 2 s, as no load balancer has to notice that an entry stops.
        let start = |index| env.start_entry(&format!("vm-entry-{index}"), "stop_grace = 300ms");
        let entries: Vec<_> = (0..entries).map(start).collect();
        env.configure(&entries[0]).await;
        let fleet = Self { env, entries, sides, engines: started, service };
        for entry in &fleet.entries {
            fleet.wait_for_ready(entry).await;
        }
        fleet
    }

    /// Waits until an entry has the initial configuration in force and every backend server ready.
    pub(crate) async fn wait_for_ready(&self, entry: &Process) {
        let mut operator = self.env.connect_operator(entry).await;
        operator.wait_for_ready(self.sides.len()).await;
        operator.wait_for_revision(SETUP_REVISION).await;
    }
}

/// Returns an enabled account with one API key.
pub(crate) fn account(name: &str, key: &str) -> v1::Account {
    v1::Account {
        name: name.to_owned(),
        credential_digests: vec![Sha256::digest(key).to_vec()],
        priority: 1,
        weight: 1,
        max_open: 10_000,
        disabled: false,
        home_regions: Vec::new(),
    }
}

/// Returns a model with prompts of up to 1.1 million tokens and a time limit of two minutes.
pub(crate) fn model(name: &str) -> v1::Model {
    v1::Model {
        name: name.to_owned(),
        max_prompt_tokens: 1_100_000,
        max_output_tokens: 100_000,
        time_limit_ms: 120_000,
        home_regions: Vec::new(),
    }
}

/// Returns a plain service whose requests may be repeated only below `/search`.
pub(crate) fn service(name: &str) -> v1::Service {
    v1::Service {
        name: name.to_owned(),
        time_limit_ms: 30_000,
        repeatable_prefixes: vec!["/search".to_owned()],
    }
}

/// A client of the operators' API that sends a bearer token.
pub(crate) struct Operator {
    pub(crate) client: AdminClient<Channel>,
    token: String,
}

impl Operator {
    /// Wraps a message in a request with the operator's token.
    pub(crate) fn authorized_request<T>(&self, message: T) -> Request<T> {
        let mut req = Request::new(message);
        let value = format!("Bearer {}", self.token);
        let value = MetadataValue::try_from(value).expect("the token is ASCII");
        req.metadata_mut().insert("authorization", value);
        req
    }

    /// Applies a change under a change id, and returns the revision that it created.
    pub(crate) async fn apply_change(
        &mut self,
        id: &str,
        base_revision: Option<u64>,
        change: Change,
    ) -> Result<u64, Status> {
        let change = Some(v1::Change { change: Some(change) });
        let message = v1::ApplyChangeRequest { change_id: id.to_owned(), base_revision, change };
        let req = self.authorized_request(message);
        Ok(self.client.apply_change(req).await?.into_inner().revision)
    }

    /// Returns the revision in force at the entry, or 0 if the entry has none or does not answer.
    pub(crate) async fn revision(&mut self) -> u64 {
        let req = self.authorized_request(v1::GetConfigurationRequest {});
        let response = self.client.get_configuration(req).await;
        response.map_or(0, |response| response.into_inner().revision)
    }

    /// Waits until the entry has `revision` or a later one in force.
    pub(crate) async fn wait_for_revision(&mut self, revision: u64) {
        let started = Instant::now();
        while self.revision().await < revision {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "revision {revision} is not in force after {WAIT_TIMEOUT:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the backend servers that the entry has in view.
    pub(crate) async fn backend_servers(&mut self) -> Vec<v1::BackendServer> {
        let req = self.authorized_request(v1::ListBackendServersRequest {});
        let response =
            self.client.list_backend_servers(req).await.expect("the entry lists backend servers");
        response.into_inner().backend_servers
    }

    /// Returns the report of the last day's requests that the entries have written to the store.
    pub(crate) async fn report(&mut self) -> v1::Report {
        let req = self.authorized_request(v1::GetReportRequest { last_seconds: 0 });
        self.client.get_report(req).await.expect("the entry returns the report").into_inner()
    }

    /// Waits until the entry has at least `count` backend servers ready.
    pub(crate) async fn wait_for_ready(&mut self, count: usize) {
        self.wait_for_ready_count(|ready| ready >= count).await;
    }

    /// Waits until the entry has exactly `count` backend servers ready.
    pub(crate) async fn wait_for_ready_exactly(&mut self, count: usize) {
        self.wait_for_ready_count(|ready| ready == count).await;
    }

    /// Waits until the number of ready backend servers satisfies `is_enough`.
    async fn wait_for_ready_count(&mut self, is_enough: impl Fn(usize) -> bool) {
        let started = Instant::now();
        loop {
            let ready = i32::from(v1::BackendServerState::Ready);
            let servers = self.backend_servers().await;
            let count = servers.iter().filter(|server| server.state == ready).count();
            if is_enough(count) {
                return;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{count} backend servers are ready after {WAIT_TIMEOUT:?}, which is not the number \
                 waited for: {servers:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

pub(crate) async fn start_engine(config: EngineConfig) -> FakeEngine {
    FakeEngine::start(config, None).await.expect("the engine starts")
}

pub(crate) async fn start_service() -> FakeService {
    FakeService::start(None).await.expect("the service starts")
}

pub(crate) fn engine_backend(engine: &FakeEngine) -> Backend {
    Backend::Engine { url: engine.url(), models: vec![MODEL.to_owned()] }
}

pub(crate) fn service_backend(service: &FakeService) -> Backend {
    Backend::Service { url: service.url(), name: SERVICE.to_owned() }
}

/// Returns a caller of one entry with the API key of the account `desk`.
pub(crate) fn caller(entry: &Process) -> Caller {
    Caller::new(&format!("http://{}", entry.address("entry", "callers")), API_KEY)
}

/// Returns a streamed chat call that sends no time limit, so that the model's time limit holds.
pub(crate) fn chat(prompt: &str, max_tokens: u64) -> ChatCall<'_> {
    ChatCall { model: MODEL, prompt, max_tokens, is_stream: true, time_limit: None }
}

/// Returns a call of the plain service that may not be repeated, with an idempotency key.
pub(crate) fn charge(key: &str) -> ServiceCall<'_> {
    ServiceCall {
        method: Method::POST,
        service: SERVICE,
        path: "/charge",
        idempotency_key: Some(key),
        body: "{\"amount\":1}",
        time_limit: None,
    }
}

/// Returns a prompt of `tokens` tokens of four bytes each. Prompts of two seeds differ if the seeds
/// differ modulo 4096.
pub(crate) fn generate_prompt(tokens: usize, seed: u64) -> String {
    let word = |index: usize| format!("{:03x} ", (index as u64 * 2_654_435_761 + seed) & 0xfff);
    (0..tokens).map(word).collect()
}

/// Polls `condition` until it holds; `what` names it in the error.
pub(crate) async fn wait_until<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "not true after {WAIT_TIMEOUT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
