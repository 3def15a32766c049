//! Keys, certificates and who clients are by theirs: replaced while connections that were made with the old ones go on.

use crate::roles::Roles;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{RootCertStore, ServerConfig};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// A key file or a bundle beyond this is none.
const FILE_MOST: u64 = 1 << 20;

/// Where keys are, and who may do what.
#[derive(Clone, Debug)]
pub struct Files {
    pub certificate: PathBuf,
    pub key: PathBuf,
    /// The authority that signs clients' certificates.
    pub clients: PathBuf,
    pub roles: Roles,
}

/// The files as they were at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp(Vec<Option<(SystemTime, u64)>>);

fn file(path: &Path) -> Result<Vec<u8>, String> {
    let fault = |e: std::io::Error| format!("{}: {e}", path.display());
    let size = std::fs::metadata(path).map_err(fault)?.len();
    if size > FILE_MOST {
        return Err(format!(
            "{}: {size} bytes are no key or certificate",
            path.display()
        ));
    }
    std::fs::read(path).map_err(fault)
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let text = file(path)?;
    let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
    let all = all.map_err(|e| format!("{}: {e}", path.display()))?;
    if all.is_empty() {
        return Err(format!("{}: holds no certificate", path.display()));
    }
    Ok(all)
}

impl Files {
    pub fn stamp(&self) -> Stamp {
        let one = |p: &PathBuf| {
            let m = std::fs::metadata(p).ok()?;
            Some((m.modified().ok()?, m.len()))
        };
        Stamp(
            [&self.certificate, &self.key, &self.clients]
                .map(one)
                .to_vec(),
        )
    }

    /// What connections from now on are made with.
    ///
    /// # Errors
    /// A file can't be read, or the key does not fit its certificate; the sentence names the file.
    pub fn read(&self) -> Result<Arc<ServerConfig>, String> {
        let mut roots = RootCertStore::empty();
        for c in certificates(&self.clients)? {
            roots
                .add(c)
                .map_err(|e| format!("{}: {e}", self.clients.display()))?;
        }
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone());
        let verifier = verifier
            .build()
            .map_err(|e| format!("{}: {e}", self.clients.display()))?;
        let key = PrivateKeyDer::from_pem_slice(&file(&self.key)?);
        let key = key.map_err(|e| format!("{}: {e}", self.key.display()))?;
        let server = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?
            .with_client_cert_verifier(verifier)
            .with_single_cert(certificates(&self.certificate)?, key);
        let mut server = server.map_err(|e| format!("{}: {e}", self.certificate.display()))?;
        server.alpn_protocols = vec![b"h2".to_vec()];
        Ok(Arc::new(server))
    }
}

/// The subject's common names, then its alternative names.
pub fn names(certificate: &[u8]) -> Vec<String> {
    let Ok((_, c)) = X509Certificate::from_der(certificate) else {
        return Vec::new();
    };
    let common = c
        .subject()
        .iter_common_name()
        .filter_map(|n| n.as_str().ok().map(String::from));
    let mut all: Vec<String> = common.collect();
    if let Ok(Some(more)) = c.subject_alternative_name() {
        all.extend(more.value.general_names.iter().filter_map(|n| match n {
            GeneralName::DNSName(n) | GeneralName::RFC822Name(n) | GeneralName::URI(n) => {
                Some(n.to_string())
            }
            _ => None,
        }));
    }
    all
}
