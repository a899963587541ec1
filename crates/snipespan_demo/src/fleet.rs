//! One entry, its side processes and stand-ins, all in this process.

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

/// API key of the account of the demo.
pub const API_KEY: &str = "demo-key";

/// Models of the demo, each on engines of its own.
pub const MODELS: [&str; 2] = ["drafts", "digests"];

/// The plain service of the demo.
pub const SERVICE: &str = "orders";

/// Longest wait for the fleet to be ready.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// What a fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    /// Engines, shared evenly among the models.
    pub engines: usize,
    /// What each engine is like.
    pub engine: EngineConfig,
    /// How the entry chooses among them.
    pub routing: RoutingPolicy,
}

impl FleetShape {
    /// So many engines of the usual kind.
    pub fn of_engines(engines: usize) -> Self {
        let routing = RoutingPolicy::EarliestFirstToken;
        Self { engines, engine: EngineConfig::default(), routing }
    }
}

/// The data centres, over which the engines are spread evenly.
const DATA_CENTRES: [&str; 3] = ["graz-1", "graz-2", "graz-3"];

/// A running fleet; it stops when it is dropped.
pub struct Fleet {
    /// The engines.
    pub engines: Vec<FakeEngine>,
    /// The plain service.
    pub service: FakeService,
    /// The platform.
    pub platform: FakePlatform,
    /// URL for callers.
    pub callers_url: String,
    operators: String,
    folder: TempDir,
    stop: watch::Sender<bool>,
    /// Each runs a process of the system and all that it started, until the fleet is dropped.
    /// Its threads carry the name of the VM.
    processes: Vec<Runtime>,
    vms: Vec<platform_v1::Vm>,
}

impl Fleet {
    /// Starts everything and waits until the entry can serve.
    ///
    /// # Errors
    /// When a part does not start.
    pub async fn start(shape: FleetShape) -> Result<Self> {
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
            operators: String::new(),
            folder,
            stop,
            processes: Vec::new(),
            vms: Vec::new(),
        };
        let url = fleet.service.url();
        let backend = Backend::Service { url, name: SERVICE.to_owned() };
        fleet.start_side(&deployment, "vm-service", DATA_CENTRES[0], &backend).await?;
        for index in 0..shape.engines {
            let engine = FakeEngine::start(shape.engine, None).await?;
            let models = vec![MODELS[index % MODELS.len()].to_owned()];
            let backend = Backend::Engine { url: engine.url(), models };
            fleet.engines.push(engine);
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            let vm = format!("vm-engine-{index}");
            fleet.start_side(&deployment, &vm, data_centre, &backend).await?;
        }
        fleet.platform.set_vms(fleet.vms.clone());
        let lines = format!("routing = {}", shape.routing);
        let entry = deployment.write_entry("vm-entry", DATA_CENTRES[0], &lines)?;
        if let Addresses::Entry { callers, operators } = fleet.start_process(&entry).await? {
            fleet.callers_url = format!("http://{callers}");
            fleet.operators = format!("https://{operators}");
        }
        fleet.configure().await?;
        Ok(fleet)
    }

    /// A caller with the API key of the demo.
    pub fn caller(&self) -> Caller {
        Caller::new(&self.callers_url, API_KEY)
    }

    /// Folder with the CA's certificates.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// URL for operators.
    pub fn operators_url(&self) -> &str {
        &self.operators
    }

    async fn start_side(
        &mut self,
        deployment: &Deployment,
        vm: &str,
        data_centre: &str,
        backend: &Backend,
    ) -> Result<()> {
        let config = deployment.write_side(vm, data_centre, "127.0.0.1:0", backend, "")?;
        let Addresses::Side { entries, .. } = self.start_process(&config).await? else {
            bail!("not a side process");
        };
        self.vms.push(platform_v1::Vm {
            id: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            side_address: entries,
            state: platform_v1::VmState::Live.into(),
        });
        Ok(())
    }

    async fn start_process(&mut self, config: &Path) -> Result<Addresses> {
        let settings = daemon::load(config)?;
        let (listening, addresses) = oneshot::channel();
        let stopping = self.stop.subscribe();
        let process = Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name(settings.vm.to_string())
            .enable_all()
            .build()?;
        process.spawn(snipespand::daemon::run(settings, stopping, listening));
        self.processes.push(process);
        addresses.await.map_err(|_| eyre!("{} did not start", config.display()))
    }

    async fn configure(&self) -> Result<()> {
        let mut client = self.operator().await?;
        let account = v1::Account {
            name: "demo".to_owned(),
            credential_digests: vec![Sha256::digest(API_KEY).to_vec()],
            priority: 1,
            weight: 1,
            max_open: 100_000,
            disabled: false,
        };
        let service = v1::Service {
            name: SERVICE.to_owned(),
            time_limit_ms: 30_000,
            repeatable_prefixes: Vec::new(),
        };
        let mut changes = vec![Change::PutAccount(account), Change::PutService(service)];
        changes.extend(MODELS.iter().map(|model| Change::PutModel(model_spec(model))));
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

    /// A connection for an operator.
    ///
    /// # Errors
    /// When the entry does not answer.
    pub async fn operator(&self) -> Result<AdminClient<Channel>> {
        let ca = std::fs::read(self.folder.path().join("ca.pem"))?;
        let tls = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(ca))
            .domain_name("snipespan");
        let endpoint = Endpoint::from_shared(self.operators.clone())?.tls_config(tls)?;
        Ok(AdminClient::new(endpoint.connect().await?))
    }

    async fn wait_until_ready(&self, client: &mut AdminClient<Channel>) -> Result<()> {
        let ready = i32::from(v1::BackendServerState::Ready);
        let started = Instant::now();
        while started.elapsed() < READY_LIMIT {
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
        bail!("the fleet was not ready in {READY_LIMIT:?}")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.drain(..).for_each(Runtime::shutdown_background);
    }
}

/// A call with the operator's token.
///
/// # Errors
/// Never with the token that is built in.
pub fn operator_request<T>(message: T) -> Result<Request<T>> {
    let mut req = Request::new(message);
    let token = MetadataValue::try_from(format!("Bearer {OPERATOR_TOKEN}"))?;
    req.metadata_mut().insert("authorization", token);
    Ok(req)
}

fn model_spec(name: &str) -> v1::Model {
    v1::Model {
        name: name.to_owned(),
        max_prompt_tokens: 1_100_000,
        max_output_tokens: 4096,
        time_limit_ms: 600_000,
    }
}
