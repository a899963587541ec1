//! Mutual TLS between the processes of the system, with a CA of the operators.

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

/// DNS name in the certificate of every process.
pub const SERVER_NAME: &str = "snipespan";

/// ALPN identifier of the protocol between entries and side processes.
const ALPN: &[u8] = b"snipespan/1";

/// CA certificates, certificate chain and private key of this process.
#[derive(Debug)]
pub struct Identity {
    roots: RootCertStore,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Identity {
    /// Loads the PEM files named in `settings`.
    ///
    /// # Errors
    /// If a file cannot be read, or holds an invalid certificate or no private key.
    pub fn load(settings: &TlsSettings) -> Result<Self> {
        let mut roots = RootCertStore::empty();
        let ca = fs::read(&settings.ca)
            .wrap_err_with(|| format!("could not read CA file {}", settings.ca.display()))?;
        for certificate in CertificateDer::pem_slice_iter(&ca) {
            roots.add(certificate?)?;
        }
        let certificate = &settings.certificate;
        let chain = fs::read(certificate).wrap_err_with(|| {
            format!("could not read certificate file {}", certificate.display())
        })?;
        let chain = CertificateDer::pem_slice_iter(&chain).collect::<Result<Vec<_>, _>>()?;
        let key = PrivateKeyDer::from_pem_file(&settings.key);
        let key = key.wrap_err_with(|| {
            format!("could not load private key file {}", settings.key.display())
        })?;
        Ok(Self { roots, chain, key })
    }

    /// Returns the TLS settings of a server, which requires a client certificate issued by the CA.
    ///
    /// # Errors
    /// If the CA certificates are unusable or certificate and key do not match.
    pub fn server_config(&self) -> Result<ServerConfig> {
        let roots = Arc::new(self.roots.clone());
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider()).build()?;
        let builder = ServerConfig::builder_with_provider(provider());
        let mut config = builder
            .with_protocol_versions(&[&TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![ALPN.to_vec()];
        // An attacker could replay early data (0-RTT).
        config.max_early_data_size = 0;
        Ok(config)
    }

    /// Returns the TLS settings of a client.
    ///
    /// # Errors
    /// If certificate and key do not match.
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
