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

/// DNS name in the certificate of every entry.
const SERVER_NAME: &str = "snipespan";

/// Connection to an entry for the calls of an operator.
#[derive(Debug)]
pub struct Connection {
    client: AdminClient<Channel>,
    token: String,
    timeout: Duration,
}

impl Connection {
    /// Connects to the entry that the arguments name, over TLS.
    ///
    /// # Errors
    /// If a file argument is missing, a file cannot be read, the URL or the CA certificates are
    /// invalid, or the entry cannot be reached within the timeout.
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

    /// Builds a request with the operator's token and the timeout of one call.
    fn authorized_request<T>(&self, message: T) -> Result<Request<T>> {
        let mut req = Request::new(message);
        let value = MetadataValue::try_from(format!("Bearer {}", self.token))?;
        req.metadata_mut().insert("authorization", value);
        req.set_timeout(self.timeout);
        Ok(req)
    }

    /// Applies a change under the id in the arguments, or a random id; returns the id and the
    /// new revision.
    ///
    /// Prints the id to standard error if the call fails.
    ///
    /// # Errors
    /// If the change is refused or its outcome is unknown.
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
            // The operator needs the id for `change show` if the outcome is unknown.
            eprintln!("snipespan: change {change_id}");
        }
        Ok((change_id, applied?.into_inner().revision))
    }

    /// Returns the revision that a change created, or `None` if it did not take effect.
    ///
    /// # Errors
    /// If the entry refuses the call or does not reply within the timeout.
    pub async fn find_revision(&mut self, change_id: &str) -> Result<Option<u64>> {
        let req =
            self.authorized_request(v1::GetChangeRequest { change_id: change_id.to_owned() })?;
        Ok(self.client.get_change(req).await?.into_inner().revision)
    }

    /// Returns the configuration in force at the entry.
    ///
    /// # Errors
    /// If the entry refuses the call or does not reply within the timeout.
    pub async fn fetch_configuration(&mut self) -> Result<v1::Configuration> {
        let req = self.authorized_request(v1::GetConfigurationRequest {})?;
        Ok(self.client.get_configuration(req).await?.into_inner())
    }

    /// Returns the backend servers as seen by the entry.
    ///
    /// # Errors
    /// If the entry refuses the call or does not reply within the timeout.
    pub async fn list_backend_servers(&mut self) -> Result<Vec<v1::BackendServer>> {
        let req = self.authorized_request(v1::ListBackendServersRequest {})?;
        Ok(self.client.list_backend_servers(req).await?.into_inner().backend_servers)
    }

    /// Returns the data centres as known to the entry.
    ///
    /// # Errors
    /// If the entry refuses the call or does not reply within the timeout.
    pub async fn list_data_centres(&mut self) -> Result<Vec<v1::DataCentre>> {
        let req = self.authorized_request(v1::ListDataCentresRequest {})?;
        Ok(self.client.list_data_centres(req).await?.into_inner().data_centres)
    }

    /// Returns the report over all entries for the last `last_seconds` seconds; 0 means one day.
    ///
    /// # Errors
    /// If the entry refuses the call or does not reply within the timeout.
    pub async fn fetch_report(&mut self, last_seconds: u64) -> Result<v1::Report> {
        let req = self.authorized_request(v1::GetReportRequest { last_seconds })?;
        Ok(self.client.get_report(req).await?.into_inner())
    }
}

/// Reads the file at the path in the argument `id`, named `flag` in error messages.
fn read_file_argument(matches: &ArgMatches, id: &str, flag: &str) -> Result<String> {
    let path = matches
        .get_one::<PathBuf>(id)
        .ok_or_else(|| eyre!("{flag} is missing; it must be the path of a file"))?;
    fs::read_to_string(path).wrap_err_with(|| format!("{flag}: could not read {}", path.display()))
}
