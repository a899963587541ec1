//! The gRPC server for operators.

mod convert;
mod report;

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use eyre::Result;
use sha2::Digest;
use sha2::Sha256;
use snipespan_admin::RESULT_CODE_METADATA;
use snipespan_admin::v1;
use snipespan_admin::v1::admin_server::Admin;
use snipespan_admin::v1::admin_server::AdminServer;
use snipespan_core::configuration::Change;
use snipespan_core::configuration::Revision;
use snipespan_core::identity::DataCentre;
use snipespan_core::result_code::ResultCode;
use snipespan_platform::client::PlatformClient;
use snipespan_platform::configuration_store::ChainedConfiguration;
use snipespan_platform::configuration_store::ChangeFailure;
use snipespan_platform::configuration_store::ChangeRequest;
use snipespan_platform::configuration_store::ConfigurationStore;
use snipespan_platform::report_store;
use snipespan_settings::daemon::EntryRole;
use snipespan_settings::daemon::TlsSettings;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::Code;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::metadata::MetadataValue;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Identity;
use tonic::transport::Server;
use tonic::transport::ServerTlsConfig;

use crate::clock::Clock;
use crate::entry::configuration::ConfigurationHandle;
use crate::entry::operators::convert::configuration_message;
use crate::entry::shell::DataCentreUnknown;
use crate::entry::shell::Input;
use crate::process::wait_for_stop;

/// Maximum length of a change id in bytes.
const MAX_CHANGE_ID_BYTES: usize = 64;

/// Period that a report covers unless the operator requests another one.
const DEFAULT_REPORT_PERIOD: Duration = Duration::from_secs(86_400);

/// The name of the authenticated operator, an extension of each request.
#[derive(Clone, Debug)]
struct OperatorName(CompactString);

struct AdminService {
    platform: PlatformClient,
    store: ConfigurationStore,
    configuration: ConfigurationHandle,
    current: watch::Receiver<Option<Arc<ChainedConfiguration>>>,
    control: mpsc::Sender<Input>,
    clock: Clock,
}

/// Serves operators until `closing` turns true; returns the bound address.
///
/// # Errors
/// If the address cannot be bound, or the certificate or its key cannot be used.
pub(super) async fn serve(
    role: &EntryRole,
    tls: &TlsSettings,
    platform: PlatformClient,
    configuration: &ConfigurationHandle,
    control: mpsc::Sender<Input>,
    closing: watch::Receiver<bool>,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind(role.operators_listen).await?;
    let address = listener.local_addr()?;
    let identity = Identity::from_pem(fs::read(&tls.certificate)?, fs::read(&tls.key)?);
    let service = AdminServer::new(AdminService {
        store: ConfigurationStore::new(platform.clone()),
        platform,
        configuration: configuration.clone(),
        current: configuration.subscribe(),
        control,
        clock: Clock::start(),
    });
    let operators: BTreeMap<_, _> =
        role.operators.iter().map(|(name, digest)| (digest.clone(), name.clone())).collect();
    let service = InterceptedService::new(service, move |req| authenticate(&operators, req));
    let server = Server::builder()
        .tls_config(ServerTlsConfig::new().identity(identity))?
        .add_service(service);
    let incoming = TcpListenerStream::new(listener);
    tokio::spawn(async move {
        let stopped = wait_for_stop(closing);
        if let Err(e) = server.serve_with_incoming_shutdown(incoming, stopped).await {
            log::error!("the gRPC server for operators failed: {e}");
        }
    });
    Ok(address)
}

/// Identifies the operator by the SHA-256 digest of the bearer token.
fn authenticate(
    operators: &BTreeMap<CompactString, CompactString>,
    mut req: Request<()>,
) -> Result<Request<()>, Status> {
    let token = req.metadata().get("authorization").and_then(|value| value.to_str().ok());
    let token = token.and_then(|value| value.strip_prefix("Bearer "));
    let digest = token.map(|token| CompactString::from(hex::encode(Sha256::digest(token))));
    let name = digest.and_then(|digest| operators.get(&digest).cloned());
    let Some(name) = name else {
        return Err(error_status(
            ResultCode::Unauthenticated,
            "the authorization metadata must be 'Bearer ' followed by an operator's token",
        ));
    };
    req.extensions_mut().insert(OperatorName(name));
    Ok(req)
}

/// Builds the gRPC status of a result code, with the code in its metadata.
fn error_status(code: ResultCode, detail: &str) -> Status {
    let row = code.row();
    let message = format!("{}: {detail}", row.meaning);
    let mut status = Status::new(Code::from(i32::from(row.grpc_status)), message);
    status.metadata_mut().insert(RESULT_CODE_METADATA, MetadataValue::from(row.number));
    status
}

fn change_error_status(failure: &ChangeFailure) -> Status {
    let code = match failure {
        ChangeFailure::Conflict { .. } => ResultCode::ConfigurationConflict,
        ChangeFailure::Invalid(_) => ResultCode::InvalidChange,
        ChangeFailure::Unknown(_) => ResultCode::ChangeUnknown,
        ChangeFailure::Unavailable(_) => ResultCode::StoreUnavailable,
    };
    error_status(code, &failure.to_string())
}

fn unknown_data_centre_status(unknown: &DataCentreUnknown) -> Status {
    match unknown {
        DataCentreUnknown::NoVmList => error_status(
            ResultCode::NotReady,
            "the entry has not read the platform's list of VMs yet, which names the data centres",
        ),
        DataCentreUnknown::NotListed(e) => error_status(ResultCode::InvalidChange, &e.to_string()),
    }
}

fn parse_change_id(id: &str) -> Result<CompactString, Status> {
    let has_valid_characters =
        id.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if id.is_empty() || id.len() > MAX_CHANGE_ID_BYTES || !has_valid_characters {
        let detail = "change_id must be 1 to 64 characters of a-z, A-Z, 0-9, '-', '_', '.'";
        return Err(error_status(ResultCode::InvalidRequest, detail));
    }
    Ok(id.into())
}

impl AdminService {
    /// Sends the control thread the input that `input` builds, and returns its reply.
    async fn ask_control<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> Result<T, Status> {
        let (reply, answer) = oneshot::channel();
        let stopping = |_| error_status(ResultCode::Leaving, "the entry is stopping");
        self.control.send(input(reply)).await.map_err(|_| stopping(()))?;
        answer.await.map_err(|_| stopping(()))
    }

    /// Checks that the data centre of an evacuation is known, so that a misspelt name is not
    /// accepted. A retry of an accepted change is not checked, as the name may be gone since.
    async fn check_data_centre(&self, name: &DataCentre, change_id: &str) -> Result<(), Status> {
        let input = |reply| Input::CheckDataCentre(name.clone(), reply);
        let Err(unknown) = self.ask_control(input).await? else { return Ok(()) };
        let accepted = self.store.find_revision(change_id).await;
        let accepted =
            accepted.map_err(|e| error_status(ResultCode::StoreUnavailable, &e.to_string()))?;
        match accepted {
            Some(_) => Ok(()),
            None => Err(unknown_data_centre_status(&unknown)),
        }
    }
}

#[tonic::async_trait]
impl Admin for AdminService {
    async fn apply_change(
        &self,
        req: Request<v1::ApplyChangeRequest>,
    ) -> Result<Response<v1::ApplyChangeResponse>, Status> {
        let operator = req.extensions().get::<OperatorName>().map(|operator| operator.0.clone());
        let req = req.into_inner();
        let change = req.change.and_then(|change| change.change);
        let change = change.ok_or_else(|| {
            error_status(ResultCode::InvalidRequest, "the field 'change' is missing")
        })?;
        let change = convert::change_from_message(change)
            .map_err(|detail| error_status(ResultCode::InvalidRequest, &detail))?;
        let req = ChangeRequest {
            change_id: parse_change_id(&req.change_id)?,
            operator: operator.unwrap_or_default(),
            base: req.base_revision.map(Revision),
            change,
        };
        if let Change::Evacuate(name) = &req.change {
            self.check_data_centre(name, &req.change_id).await?;
        }
        let applied = self.store.apply(&req).await;
        self.configuration.refresh_now();
        match applied {
            Ok(revision) => {
                log::info!(
                    "operator={} change={} accepted as revision {revision}",
                    req.operator,
                    req.change_id
                );
                Ok(Response::new(v1::ApplyChangeResponse { revision: revision.0 }))
            }
            Err(failure) => {
                log::info!("operator={} change={} failed: {failure}", req.operator, req.change_id);
                Err(change_error_status(&failure))
            }
        }
    }

    async fn get_change(
        &self,
        req: Request<v1::GetChangeRequest>,
    ) -> Result<Response<v1::GetChangeResponse>, Status> {
        let change_id = parse_change_id(&req.into_inner().change_id)?;
        let revision = self.store.find_revision(&change_id).await;
        let revision =
            revision.map_err(|e| error_status(ResultCode::StoreUnavailable, &e.to_string()))?;
        Ok(Response::new(v1::GetChangeResponse { revision: revision.map(|r| r.0) }))
    }

    async fn get_configuration(
        &self,
        _req: Request<v1::GetConfigurationRequest>,
    ) -> Result<Response<v1::Configuration>, Status> {
        let current = self.current.borrow().clone();
        let current = current.ok_or_else(|| {
            error_status(ResultCode::NotReady, "the entry has not received a configuration yet")
        })?;
        Ok(Response::new(configuration_message(&current.configuration)))
    }

    async fn list_backend_servers(
        &self,
        _req: Request<v1::ListBackendServersRequest>,
    ) -> Result<Response<v1::ListBackendServersResponse>, Status> {
        let views = self.ask_control(Input::InspectBackendServers).await?;
        let backend_servers = views.iter().map(convert::backend_server_message).collect();
        Ok(Response::new(v1::ListBackendServersResponse { backend_servers }))
    }

    async fn list_data_centres(
        &self,
        _req: Request<v1::ListDataCentresRequest>,
    ) -> Result<Response<v1::ListDataCentresResponse>, Status> {
        let views = self.ask_control(Input::InspectDataCentres).await?;
        let data_centres = views.iter().map(convert::data_centre_message).collect();
        Ok(Response::new(v1::ListDataCentresResponse { data_centres }))
    }

    async fn get_report(
        &self,
        req: Request<v1::GetReportRequest>,
    ) -> Result<Response<v1::Report>, Status> {
        let period = match req.into_inner().last_seconds {
            0 => DEFAULT_REPORT_PERIOD,
            seconds => Duration::from_secs(seconds),
        };
        let now = self.clock.unix_ms();
        let since = now.saturating_sub(period.as_millis() as u64);
        let total = report_store::read_report(&self.platform, since).await;
        let total =
            total.map_err(|e| error_status(ResultCode::StoreUnavailable, &e.to_string()))?;
        Ok(Response::new(report::report_message(&total, now)))
    }
}
