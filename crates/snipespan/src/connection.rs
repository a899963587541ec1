//! The connection to an entry.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use eyre::Context;
use eyre::Result;
use eyre::eyre;
use snipespan_admin::v1;
use snipespan_admin::v1::admin_client::AdminClient;
use snipespan_admin::v1::change::Change;
use tonic::Request;
use tonic::metadata::MetadataValue;
use tonic::transport::Certificate;
use tonic::transport::Channel;
use tonic::transport::ClientTlsConfig;
use tonic::transport::Endpoint;
use uuid::Uuid;

/// The DNS name that the certificate of every entry carries.
const SERVER_NAME: &str = "snipespan";

/// An entry that takes an operator's calls.
#[derive(Debug)]
pub struct Connection {
    client: AdminClient<Channel>,
    token: String,
    timeout: Duration,
}

impl Connection {
    /// Connects as the arguments say.
    ///
    /// # Errors
    /// When a file cannot be read or the entry cannot be reached.
    pub async fn open(matches: &ArgMatches) -> Result<Self> {
        let ca = read_file_argument(matches, "ca", "--ca")?;
        let token = read_file_argument(matches, "token-file", "--token-file")?;
        let url = matches.get_one::<String>("entry").cloned().unwrap_or_default();
        let seconds = matches.get_one::<u64>("timeout").copied().unwrap_or(10);
        let timeout = Duration::from_secs(seconds);
        let tls = ClientTlsConfig::new()
            .ca_certificate(Certificate::from_pem(ca))
            .domain_name(SERVER_NAME);
        let endpoint = Endpoint::from_shared(url)?.tls_config(tls)?.connect_timeout(timeout);
        let client = AdminClient::new(endpoint.connect().await?);
        Ok(Self { client, token: token.trim().to_owned(), timeout })
    }

    fn authorized_request<T>(&self, message: T) -> Result<Request<T>> {
        let mut req = Request::new(message);
        let value = MetadataValue::try_from(format!("Bearer {}", self.token))?;
        req.metadata_mut().insert("authorization", value);
        req.set_timeout(self.timeout);
        Ok(req)
    }

    /// Makes a change under the id in the arguments, or a random one; returns id and revision.
    ///
    /// # Errors
    /// When the change is refused or its outcome is not known.
    pub async fn apply_change(
        &mut self,
        matches: &ArgMatches,
        change: Change,
    ) -> Result<(String, u64)> {
        let change_id = matches.get_one::<String>("change-id").cloned();
        let change_id = change_id.unwrap_or_else(|| Uuid::new_v4().to_string());
        let message = v1::ApplyChangeRequest {
            change_id: change_id.clone(),
            base_revision: matches.get_one::<u64>("base-revision").copied(),
            change: Some(v1::Change { change: Some(change) }),
        };
        let req = self.authorized_request(message)?;
        let applied = self.client.apply_change(req).await;
        if applied.is_err() {
            // The id to ask with, where the outcome is not known.
            eprintln!("snipespan: change {change_id}");
        }
        Ok((change_id, applied?.into_inner().revision))
    }

    /// The revision that a change made, if it took effect.
    ///
    /// # Errors
    /// When the entry gives no answer.
    pub async fn find_revision(&mut self, change_id: &str) -> Result<Option<u64>> {
        let req =
            self.authorized_request(v1::GetChangeRequest { change_id: change_id.to_owned() })?;
        Ok(self.client.get_change(req).await?.into_inner().revision)
    }

    /// The configuration in force at the entry.
    ///
    /// # Errors
    /// When the entry gives no answer.
    pub async fn fetch_configuration(&mut self) -> Result<v1::Configuration> {
        let req = self.authorized_request(v1::GetConfigurationRequest {})?;
        Ok(self.client.get_configuration(req).await?.into_inner())
    }

    /// The backend servers as the entry sees them.
    ///
    /// # Errors
    /// When the entry gives no answer.
    pub async fn list_backend_servers(&mut self) -> Result<Vec<v1::BackendServer>> {
        let req = self.authorized_request(v1::ListBackendServersRequest {})?;
        Ok(self.client.list_backend_servers(req).await?.into_inner().backend_servers)
    }

    /// The report over all entries.
    ///
    /// # Errors
    /// When the entry gives no answer.
    pub async fn fetch_report(&mut self, last_seconds: u64) -> Result<v1::Report> {
        let req = self.authorized_request(v1::GetReportRequest { last_seconds })?;
        Ok(self.client.get_report(req).await?.into_inner())
    }
}

fn read_file_argument(matches: &ArgMatches, id: &str, flag: &str) -> Result<String> {
    let path = matches.get_one::<PathBuf>(id).ok_or_else(|| eyre!("{flag} is missing"))?;
    fs::read_to_string(path).wrap_err_with(|| path.display().to_string())
}
