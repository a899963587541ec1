//! Starts the processes of one trial and ends them with it.

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
use snipespan_fakes::model_engine::EngineShape;
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

/// The model that engines of a trial serve.
pub(crate) const MODEL: &str = "drafts";

/// The plain service of a trial.
pub(crate) const SERVICE: &str = "orders";

/// The revision that the configuration of a trial starts from.
pub(crate) const SETUP_REVISION: u64 = 3;

/// Longest wait for something that a trial is certain to reach.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A process of the system.
pub(crate) struct Process {
    child: Child,
    pub(crate) addresses: Value,
}

impl Process {
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
        kill(pid, signal).expect("the process is there");
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of a planned stop.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the process has stopped", || {
            status = self.child.try_wait().expect("the process can be waited for");
            let is_over = status.is_some();
            async move { is_over }
        })
        .await;
        status.expect("the process has stopped")
    }

    pub(crate) fn address(&self, role: &str, name: &str) -> String {
        self.addresses[role][name].as_str().expect("an address").to_owned()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A frozen process must be able to die.
        let _ = kill(Pid::from_raw(self.child.id() as i32), Signal::SIGCONT);
        self.kill();
    }
}

/// The stand-ins and files of a trial.
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

    /// A trial whose processes reach the platform at `url`.
    pub(crate) fn with_platform(platform: FakePlatform, url: &str) -> Self {
        let folder = TempDir::new().expect("a folder");
        let mut deployment = Deployment::new(folder.path(), url).expect("the files are written");
        deployment.add_lines("vm_list_interval = 200ms");
        Self { folder, platform, deployment, vms: Vec::new() }
    }

    pub(crate) fn start_entry(&self, vm: &str, extra_settings: &str) -> Process {
        let config = self.deployment.write_entry(vm, "graz-1", extra_settings);
        Process::start(&config.expect("the settings are written"))
    }

    /// Starts a side process and puts it on the list of VMs.
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

    pub(crate) fn list_vm(&mut self, id: &str, address: &str, state: platform_v1::VmState) {
        self.vms.retain(|vm| vm.id != id);
        self.vms.push(platform_v1::Vm {
            id: id.to_owned(),
            data_centre: "graz-1".to_owned(),
            side_address: address.to_owned(),
            state: state.into(),
        });
        self.platform.set_vms(self.vms.clone());
    }

    pub(crate) async fn operator(&self, entry: &Process) -> Operator {
        self.operator_with_token(entry, OPERATOR_TOKEN).await
    }

    pub(crate) async fn operator_with_token(&self, entry: &Process, token: &str) -> Operator {
        let ca = std::fs::read(self.folder.path().join("ca.pem")).expect("the CA is there");
        let tls = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(ca))
            .domain_name("snipespan");
        let url = format!("https://{}", entry.address("entry", "operators"));
        let endpoint = Endpoint::from_shared(url).expect("a URL").tls_config(tls).expect("TLS");
        let channel = endpoint.connect().await.expect("the entry answers");
        Operator { client: AdminClient::new(channel), token: token.to_owned() }
    }

    /// Configures the account, the model and the service that the tests use.
    pub(crate) async fn configure(&self, entry: &Process) {
        let mut operator = self.operator(entry).await;
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

/// Entries, engines and a plain service with their side processes, configured and ready.
pub(crate) struct Fleet {
    pub(crate) env: TestEnv,
    pub(crate) entries: Vec<Process>,
    /// The side process of the plain service, then one for each engine.
    pub(crate) sides: Vec<Process>,
    pub(crate) engines: Vec<FakeEngine>,
    pub(crate) service: FakeService,
}

impl Fleet {
    pub(crate) async fn start(entries: usize, engines: usize) -> Self {
        Self::start_with(entries, engines, EngineShape::default()).await
    }

    pub(crate) async fn start_with(entries: usize, engines: usize, config: EngineShape) -> Self {
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
        let start = |index| env.start_entry(&format!("vm-entry-{index}"), "stop_grace = 300ms");
        let entries: Vec<_> = (0..entries).map(start).collect();
        env.configure(&entries[0]).await;
        let fleet = Self { env, entries, sides, engines: started, service };
        for entry in &fleet.entries {
            fleet.wait_for_ready(entry).await;
        }
        fleet
    }

    /// Waits until an entry knows the configuration and every backend server.
    pub(crate) async fn wait_for_ready(&self, entry: &Process) {
        let mut operator = self.env.operator(entry).await;
        operator.wait_for_ready(self.sides.len()).await;
        operator.wait_for_revision(SETUP_REVISION).await;
    }
}

pub(crate) fn account(name: &str, key: &str) -> v1::Account {
    v1::Account {
        name: name.to_owned(),
        credential_digests: vec![Sha256::digest(key).to_vec()],
        priority: 1,
        weight: 1,
        max_open: 10_000,
        disabled: false,
    }
}

pub(crate) fn model(name: &str) -> v1::Model {
    v1::Model {
        name: name.to_owned(),
        max_prompt_tokens: 1_100_000,
        max_output_tokens: 100_000,
        time_limit_ms: 120_000,
    }
}

pub(crate) fn service(name: &str) -> v1::Service {
    v1::Service {
        name: name.to_owned(),
        time_limit_ms: 30_000,
        repeatable_prefixes: vec!["/search".to_owned()],
    }
}

/// An operator with a token.
pub(crate) struct Operator {
    pub(crate) client: AdminClient<Channel>,
    token: String,
}

impl Operator {
    pub(crate) fn authorized_request<T>(&self, message: T) -> Request<T> {
        let mut req = Request::new(message);
        let value = format!("Bearer {}", self.token);
        let value = MetadataValue::try_from(value).expect("the token is ASCII");
        req.metadata_mut().insert("authorization", value);
        req
    }

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

    pub(crate) async fn revision(&mut self) -> u64 {
        let req = self.authorized_request(v1::GetConfigurationRequest {});
        let response = self.client.get_configuration(req).await;
        response.map_or(0, |response| response.into_inner().revision)
    }

    /// Waits until the entry has a revision in force.
    pub(crate) async fn wait_for_revision(&mut self, revision: u64) {
        let started = Instant::now();
        while self.revision().await < revision {
            assert!(started.elapsed() < WAIT_TIMEOUT, "revision {revision} is not in force");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub(crate) async fn backend_servers(&mut self) -> Vec<v1::BackendServer> {
        let req = self.authorized_request(v1::ListBackendServersRequest {});
        let response = self.client.list_backend_servers(req).await.expect("the entry answers");
        response.into_inner().backend_servers
    }

    pub(crate) async fn report(&mut self) -> v1::Report {
        let req = self.authorized_request(v1::GetReportRequest { last_seconds: 0 });
        self.client.get_report(req).await.expect("the report is read").into_inner()
    }

    /// Waits until the entry can send work to so many backend servers or more.
    pub(crate) async fn wait_for_ready(&mut self, count: usize) {
        self.wait_for_ready_count(|ready| ready >= count).await;
    }

    /// Waits until the entry can send work to just so many backend servers.
    pub(crate) async fn wait_for_ready_exactly(&mut self, count: usize) {
        self.wait_for_ready_count(|ready| ready == count).await;
    }

    async fn wait_for_ready_count(&mut self, is_enough: impl Fn(usize) -> bool) {
        let started = Instant::now();
        loop {
            let ready = i32::from(v1::BackendServerState::Ready);
            let servers = self.backend_servers().await;
            let count = servers.iter().filter(|server| server.state == ready).count();
            if is_enough(count) {
                return;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "{count} are ready: {servers:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

pub(crate) async fn start_engine(config: EngineShape) -> FakeEngine {
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

pub(crate) fn caller(entry: &Process) -> Caller {
    Caller::new(&format!("http://{}", entry.address("entry", "callers")), API_KEY)
}

pub(crate) fn chat(prompt: &str, max_tokens: u64) -> ChatCall<'_> {
    ChatCall { model: MODEL, prompt, max_tokens, is_stream: true, time_limit: None }
}

/// A call that may not be repeated.
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

/// A prompt of so many tokens of four bytes, different for each seed.
pub(crate) fn prompt(tokens: usize, seed: u64) -> String {
    let word = |index: usize| format!("{:03x} ", (index as u64 * 2_654_435_761 + seed) & 0xfff);
    (0..tokens).map(word).collect()
}

/// Waits until `check` holds.
pub(crate) async fn wait_until<F>(what: &str, mut condition: impl FnMut() -> F)
where
    F: Future<Output = bool>,
{
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "never came true: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
