//! Settings files and certificates for one deployment of the system on the loopback address.

use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use eyre::Result;
use sha2::Digest;
use sha2::Sha256;

use crate::certificates;

/// Token of the operator whom every entry of a deployment accepts.
pub const OPERATOR_TOKEN: &str = "operator-token-for-trials";

/// The backend server of a side process.
#[derive(Clone, Debug)]
pub enum Backend {
    /// A model engine.
    Engine {
        /// Its URL.
        url: String,
        /// Names of the models that it serves.
        models: Vec<String>,
    },
    /// A plain service.
    Service {
        /// Its URL.
        url: String,
        /// Name of the service.
        name: String,
    },
}

/// Writes the files of one deployment into a folder.
#[derive(Clone, Debug)]
pub struct Deployment {
    folder: PathBuf,
    platform_url: String,
    extra_lines: String,
}

impl Deployment {
    /// Creates a deployment in `folder` whose processes use the platform at `platform_url`, and
    /// writes its certificates.
    ///
    /// # Errors
    /// When a certificate cannot be created or a file cannot be written.
    pub fn new(folder: &Path, platform_url: &str) -> Result<Self> {
        certificates::write_certificates(folder)?;
        let folder = folder.to_owned();
        Ok(Self { folder, platform_url: platform_url.to_owned(), extra_lines: String::new() })
    }

    /// Appends lines to the section `[platform]` of every settings file that is written later. The
    /// lines may start further sections.
    pub fn add_lines(&mut self, lines: &str) {
        let _ = writeln!(self.extra_lines, "{lines}");
    }

    /// Sets the URL of the platform in every settings file that is written later.
    pub fn set_platform_url(&mut self, url: &str) {
        self.platform_url = url.to_owned();
    }

    /// Writes the settings of an entry to `{vm}.ini` and returns the path. `lines` are appended to
    /// the section `[entry]`.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn write_entry(&self, vm: &str, data_centre: &str, lines: &str) -> Result<PathBuf> {
        let token_digest = hex::encode(Sha256::digest(OPERATOR_TOKEN));
        let text = format!(
            "{head}\n[operators]\ntrial = {token_digest}\n\n[entry]\ncallers_listen = 127.0.0.1:0\n\
             operators_listen = 127.0.0.1:0\nsides_bind = 127.0.0.1:0\n{lines}\n",
            head = self.common_sections(vm, data_centre, "entry"),
        );
        self.write_settings(vm, &text)
    }

    /// Writes the settings of a side process that listens on `listen` to `{vm}.ini` and returns
    /// the path. `lines` are appended to the section `[side]`.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn write_side(
        &self,
        vm: &str,
        data_centre: &str,
        listen: &str,
        backend: &Backend,
        lines: &str,
    ) -> Result<PathBuf> {
        let (kind, url, serves) = match backend {
            Backend::Engine { url, models } => ("model_engine", url, models.join(",")),
            Backend::Service { url, name } => ("plain_service", url, name.clone()),
        };
        let text = format!(
            "{head}\n[side]\nlisten = {listen}\nhealth_listen = 127.0.0.1:0\nkind = {kind}\n\
             backend_url = {url}\nserves = {serves}\n{lines}\n",
            head = self.common_sections(vm, data_centre, "side"),
        );
        self.write_settings(vm, &text)
    }

    /// Returns the sections that all roles have. `[platform]` is the last of them, so that the
    /// extra lines belong to it.
    fn common_sections(&self, vm: &str, data_centre: &str, role: &str) -> String {
        format!(
            "[process]\nrole = {role}\nvm = {vm}\ndata_centre = {data_centre}\n\n[tls]\n\
             ca = ca.pem\ncertificate = cert.pem\nkey = key.pem\n\n[platform]\nurl = {url}\n{extra}",
            url = self.platform_url,
            extra = self.extra_lines,
        )
    }

    fn write_settings(&self, vm: &str, text: &str) -> Result<PathBuf> {
        let path = self.folder.join(format!("{vm}.ini"));
        fs::write(&path, text)?;
        Ok(path)
    }
}
