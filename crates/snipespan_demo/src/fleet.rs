//! A fleet in this process: an entry, side processes, fake backend servers and a fake platform.

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::bail;
use eyre::eyre;
use sha2::Digest;
use sha2::Sha256;
use snipespan_admin::v1;
use snipespan_admin::v1::admin_client::AdminClient;
use snipespan_admin::v1::change::Change;
use snipespan_caller::caller::Caller;
use snipespan_core::entry::settings::RoutingPolicy;
use snipespan_fakes::deployment::Backend;
use snipespan_fakes::deployment::Deployment;
use snipespan_fakes::deployment::OPERATOR_TOKEN;
use snipespan_fakes::model_engine::EngineConfig;
use snipespan_fakes::model_engine::FakeEngine;
use snipespan_fakes::plain_service::FakeService;
use snipespan_fakes::platform::FakePlatform;
use snipespan_platform::v1 as platform_v1;
use snipespan_settings::daemon;
use snipespand::process::Addresses;
use tempfile::TempDir;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tonic::Request;
use tonic::metadata::MetadataValue;
use tonic::transport::Certificate;
use tonic::transport::Channel;
use tonic::transport::ClientTlsConfig;
use tonic::transport::Endpoint;

/// API key of the client account of the demo.
pub const API_KEY: &str = "demo-key";

/// Names of the models; each engine serves one of them.
pub const MODELS: [&str; 2] = ["drafts", "digests"];

/// Name of the plain service.
pub const SERVICE: &str = "orders";

/// Maximum time from the configuration of the fleet until it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and behaviour of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    /// Number of engines, which serve the models in turn.
    pub engines: usize,
    /// Behaviour of each engine.
    pub engine: EngineConfig,
    /// Policy by which the entry chooses a backend server.
    pub routing: RoutingPolicy,
}

impl FleetConfig {
    /// Returns a fleet of `engines` default engines with the policy
    /// [`RoutingPolicy::EarliestFirstToken`].
    pub fn with_engines(engines: usize) -> Self {
        let routing = RoutingPolicy::EarliestFirstToken;
        Self { engines, engine: EngineConfig::default(), routing }
    }
}

/// Names of the data centres, to which the engines are assigned in turn.
const DATA_CENTRES: [&str; 3] = ["graz-1", "graz-2", "graz-3"];

/// A running fleet, which is stopped when it is dropped.
pub struct Fleet {
    /// Fake engines, each behind a side process of its own.
    pub engines: Vec<FakeEngine>,
    /// Fake plain service.
    pub service: FakeService,
    /// Fake platform, which holds the store and the list of VMs.
    pub platform: FakePlatform,
    /// URL of the entry for callers.
    pub callers_url: String,
    operators_url: String,
    folder: TempDir,
    /// Signal to the processes to stop. It is never sent: they run until the fleet is dropped.
    stop: watch::Sender<bool>,
    /// One runtime for each process of the system, with all tasks of that process. Its threads have
    /// the id of the VM as their name.
    processes: Vec<Runtime>,
    vms: Vec<platform_v1::Vm>,
}

impl Fleet {
    /// Starts a fleet, configures it and waits until all its backend servers are ready.
    ///
    /// # Errors
    /// When a part does not start, or the fleet is not ready in time.
    pub async fn start(config: FleetConfig) -> Result<Self> {
        let platform = FakePlatform::start().await?;
        let folder = TempDir::new()?;
        let deployment = Deployment::new(folder.path(), &platform.url())?;
        let service = FakeService::start(None).await?;
        let (stop, _) = watch::channel(false);
        let mut fleet = Self {
            engines: Vec::new(),
            service,
            platform,
            callers_url: String::new(),
            operators_url: String::new(),
            folder,
            stop,
            processes: Vec::new(),
            vms: Vec::new(),
        };
        let url = fleet.service.url();
        let backend = Backend::Service { url, name: SERVICE.to_owned() };
        fleet.start_side_process(&deployment, "vm-service", DATA_CENTRES[0], &backend).await?;
        for index in 0..config.engines {
            let engine = FakeEngine::start(config.engine, None).await?;
            let models = vec![MODELS[index % MODELS.len()].to_owned()];
            let backend = Backend::Engine { url: engine.url(), models };
            fleet.engines.push(engine);
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            let vm = format!("vm-engine-{index}");
            fleet.start_side_process(&deployment, &vm, data_centre, &backend).await?;
        }
        fleet.platform.set_vms(fleet.vms.clone());
        let lines = format!("routing = {}", config.routing);
        let path = deployment.write_entry("vm-entry", DATA_CENTRES[0], &lines)?;
        if let Addresses::Entry { callers, operators } = fleet.start_process(&path).await? {
            fleet.callers_url = format!("http://{callers}");
            fleet.operators_url = format!("https://{operators}");
        }
        fleet.apply_configuration().await?;
        Ok(fleet)
    }

    /// Returns a caller with the API key of the demo.
    pub fn caller(&self) -> Caller {
        Caller::new(&self.callers_url, API_KEY)
    }

    /// Returns the folder with the settings files and certificates.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// Returns the URL of the entry for operators.
    pub fn operators_url(&self) -> &str {
        &self.operators_url
    }

    /// Starts a side process for `backend` and adds its VM to those of the fleet.
    async fn start_side_process(
        &mut self,
        deployment: &Deployment,
        vm: &str,
        data_centre: &str,
        backend: &Backend,
    ) -> Result<()> {
        let path = deployment.write_side(vm, data_centre, "127.0.0.1:0", backend, "")?;
        let Addresses::Side { entries, .. } = self.start_process(&path).await? else {
            bail!("the process of VM {vm} did not start as a side process");
        };
        self.vms.push(platform_v1::Vm {
            id: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            side_address: entries,
            state: platform_v1::VmState::Live.into(),
        });
        Ok(())
    }

    /// Starts the process with the settings file `path` and returns its listening addresses.
    async fn start_process(&mut self, path: &Path) -> Result<Addresses> {
        let settings = daemon::load(path)?;
        let (listening, addresses) = oneshot::channel();
        let stopping = self.stop.subscribe();
        let process = Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name(settings.vm.to_string())
            .enable_all()
            .build()?;
        process.spawn(snipespand::daemon::run(settings, stopping, listening));
        self.processes.push(process);
        addresses
            .await
            .map_err(|_| eyre!("the process with the settings {} did not start", path.display()))
    }

    /// Adds the client account, the plain service and the models, then waits until the fleet is
    /// ready.
    async fn apply_configuration(&self) -> Result<()> {
        let mut client = self.connect_operator().await?;
        let account = v1::Account {
            name: "demo".to_owned(),
            credential_digests: vec![Sha256::digest(API_KEY).to_vec()],
            priority: 1,
            weight: 1,
            max_open: 100_000,
            disabled: false,
            home_regions: Vec::new(),
        };
        let service = v1::Service {
            name: SERVICE.to_owned(),
            time_limit_ms: 30_000,
            repeatable_prefixes: Vec::new(),
        };
        let mut changes = vec![Change::PutAccount(account), Change::PutService(service)];
        changes.extend(MODELS.iter().map(|model| Change::PutModel(build_model(model))));
        for (index, change) in changes.into_iter().enumerate() {
            let message = v1::ApplyChangeRequest {
                change_id: format!("demo-{index}"),
                base_revision: None,
                change: Some(v1::Change { change: Some(change) }),
            };
            client.apply_change(operator_request(message)?).await?;
        }
        self.wait_until_ready(&mut client).await
    }

    /// Connects to the entry as an operator.
    ///
    /// # Errors
    /// When the CA certificate cannot be read or the connection fails.
    pub async fn connect_operator(&self) -> Result<AdminClient<Channel>> {
        let ca = std::fs::read(self.folder.path().join("ca.pem"))?;
        let tls = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(ca))
            .domain_name("snipespan");
        let endpoint = Endpoint::from_shared(self.operators_url.clone())?.tls_config(tls)?;
        Ok(AdminClient::new(endpoint.connect().await?))
    }

    async fn wait_until_ready(&self, client: &mut AdminClient<Channel>) -> Result<()> {
        let ready = i32::from(v1::BackendServerState::Ready);
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let servers = operator_request(v1::ListBackendServersRequest {})?;
            let servers = client.list_backend_servers(servers).await?.into_inner();
            let count = servers.backend_servers.iter().filter(|s| s.state == ready).count();
            let configuration = operator_request(v1::GetConfigurationRequest {})?;
            let configuration = client.get_configuration(configuration).await;
            let models = configuration.map_or(0, |c| c.into_inner().models.len());
            if count == self.vms.len() && models == MODELS.len() {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bail!("the fleet was not ready within {READY_TIMEOUT:?}")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.drain(..).for_each(Runtime::shutdown_background);
    }
}

/// Returns a request with the operator's token.
///
/// # Errors
/// When the token is not valid as metadata; never with the built-in token.
pub fn operator_request<T>(message: T) -> Result<Request<T>> {
    let mut req = Request::new(message);
    let token = MetadataValue::try_from(format!("Bearer {OPERATOR_TOKEN}"))?;
    req.metadata_mut().insert("authorization", token);
    Ok(req)
}

fn build_model(name: &str) -> v1::Model {
    v1::Model {
        name: name.to_owned(),
        max_prompt_tokens: 1_100_000,
        max_output_tokens: 4096,
        time_limit_ms: 600_000,
        home_regions: Vec::new(),
    }
}
