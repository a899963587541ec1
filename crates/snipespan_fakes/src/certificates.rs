//! A certificate authority (CA) and a certificate for the processes of one deployment.

use std::fs;
use std::path::Path;

use eyre::Result;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;

/// DNS name in the certificate that all processes share.
pub const SERVER_NAME: &str = "snipespan";

/// Creates a CA and a certificate that it signed, and writes `ca.pem`, `cert.pem` and `key.pem`
/// into `folder`. The certificate is valid for servers and clients.
///
/// # Errors
/// When a key or certificate cannot be created, or a file cannot be written.
pub fn write_certificates(folder: &Path) -> Result<()> {
    let ca_key = KeyPair::generate()?;
    let mut ca = CertificateParams::new(Vec::new())?;
    ca.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca_certificate = ca.self_signed(&ca_key)?;
    let issuer = Issuer::new(ca, ca_key);
    let key = KeyPair::generate()?;
    let mut params = CertificateParams::new(vec![SERVER_NAME.to_owned()])?;
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    let certificate = params.signed_by(&key, &issuer)?;
    fs::write(folder.join("ca.pem"), ca_certificate.pem())?;
    fs::write(folder.join("cert.pem"), certificate.pem())?;
    fs::write(folder.join("key.pem"), key.serialize_pem())?;
    Ok(())
}
