//! Mutual TLS between the system's processes, with the operators' own CA.

use std::fs;
use std::sync::Arc;

use eyre::Context;
use eyre::Result;
use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::crypto::CryptoProvider;
use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;
use rustls::version::TLS13;
use snipespan_settings::daemon::TlsSettings;

/// The DNS name that the certificate of every process carries.
pub const SERVER_NAME: &str = "snipespan";

/// The protocol between entries and side processes.
const ALPN: &[u8] = b"snipespan/1";

/// Certificates and key of this process, as read from the files.
#[derive(Debug)]
pub struct Identity {
    roots: RootCertStore,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Reads the files.
    ///
    /// # Errors
    /// When a file cannot be read or holds no certificate or key.
    pub fn load(settings: &TlsSettings) -> Result<Self> {
        let mut roots = RootCertStore::empty();
        let ca = fs::read(&settings.ca).wrap_err_with(|| settings.ca.display().to_string())?;
        for certificate in CertificateDer::pem_slice_iter(&ca) {
            roots.add(certificate?)?;
        }
        let certificate = &settings.certificate;
        let chain = fs::read(certificate).wrap_err_with(|| certificate.display().to_string())?;
        let chain = CertificateDer::pem_slice_iter(&chain).collect::<Result<Vec<_>, _>>()?;
        let key = PrivateKeyDer::from_pem_file(&settings.key);
        let key = key.wrap_err_with(|| settings.key.display().to_string())?;
        Ok(Self { roots, chain, key })
    }

    /// Settings for the side that is connected to; it demands a certificate of the CA.
    ///
    /// # Errors
    /// When certificate and key do not fit.
    pub fn server_config(&self) -> Result<ServerConfig> {
        let roots = Arc::new(self.roots.clone());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider()).build()?;
        let builder = ServerConfig::builder_with_provider(provider());
        let mut config = builder
            .with_protocol_versions(&[&TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        // Early data could be replayed.
        config.max_early_data_size = 0;
        Ok(config)
    }

    /// Settings for the side that connects.
    ///
    /// # Errors
    /// When certificate and key do not fit.
    pub fn client_config(&self) -> Result<ClientConfig> {
        let builder = ClientConfig::builder_with_provider(provider());
        let mut config = builder
            .with_protocol_versions(&[&TLS13])?
            .with_root_certificates(self.roots.clone())
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        config.enable_early_data = false;
        Ok(config)
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}
