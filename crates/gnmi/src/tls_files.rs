//! The files with the server's key and certificate, and with the certificate authority of the clients.

use crate::roles::Roles;
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{VerifierBuilderError, WebPkiClientVerifier};
use rustls::{RootCertStore, ServerConfig};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::SystemTime;
use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};

/// The limit on the size of a file; no key or certificate bundle is as large.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The ALPN identifier of HTTP/2.
const HTTP_2: &[u8] = b"h2";

/// The paths of the files, and the roles of the clients that the authority certifies.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// The server's certificate chain.
    pub certificate: PathBuf,
    /// The server's private key.
    pub key: PathBuf,
    /// The certificates of the authority that signs the clients' certificates.
    pub client_authority: PathBuf,
    /// What clients may do.
    pub roles: Roles,
}

/// Why the files can't be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsFileError {
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A file is larger than any key or certificate.
    #[error("{}: the file has {bytes} bytes, at most {MAX_FILE_BYTES} are allowed", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Its size.
        bytes: u64,
    },
    /// A file is not in the PEM format.
    #[error("{}: invalid PEM: {source}", path.display())]
    Pem {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: pem::Error,
    },
    /// A file contains no certificate.
    #[error("{}: the file contains no certificate", path.display())]
    NoCertificate {
        /// The file.
        path: PathBuf,
    },
    /// The authority's certificates can't be used.
    #[error("{}: unusable certificate authority: {source}", path.display())]
    Authority {
        /// The file.
        path: PathBuf,
        /// The verifier's error.
        source: VerifierBuilderError,
    },
    /// A certificate can't be used, or does not belong to the key.
    #[error("{}: unusable certificate or key: {source}", path.display())]
    Certificate {
        /// The file.
        path: PathBuf,
        /// The TLS library's error.
        source: rustls::Error,
    },
    /// The TLS library's default protocol versions are not supported.
    #[error(transparent)]
    Protocol(rustls::Error),
}

/// The modification times and sizes of the files, by which changes are detected; `None` for a file that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct FileVersions([Option<FileVersion>; 3]);

#[derive(Clone, Debug, PartialEq, Eq)]
struct FileVersion {
    modified: SystemTime,
    bytes: u64,
}

impl FileVersion {
    fn of(path: &Path) -> Option<FileVersion> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(FileVersion {
            modified: metadata.modified().ok()?,
            bytes: metadata.len(),
        })
    }
}

impl TlsFiles {
    pub(crate) fn versions(&self) -> FileVersions {
        let files = [&self.certificate, &self.key, &self.client_authority];
        FileVersions(files.map(|path| FileVersion::of(path)))
    }

    /// Reads the files into a TLS configuration for connections that are accepted from now on.
    ///
    /// # Errors
    /// A file can't be used; the error names it.
    pub fn read(&self) -> Result<Arc<ServerConfig>, TlsFileError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(self.read_authority()?);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
            .build()
            .map_err(|source| TlsFileError::Authority {
                path: self.client_authority.clone(),
                source,
            })?;
        let key = self.read_key()?;
        let builder = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(TlsFileError::Protocol)?
            .with_client_cert_verifier(verifier);
        let mut config = builder
            .with_single_cert(certificates(&self.certificate)?, key)
            .map_err(|source| TlsFileError::Certificate {
                path: self.certificate.clone(),
                source,
            })?;
        config.alpn_protocols = vec![HTTP_2.to_vec()];
        Ok(Arc::new(config))
    }

    fn read_authority(&self) -> Result<RootCertStore, TlsFileError> {
        let mut roots = RootCertStore::empty();
        for certificate in certificates(&self.client_authority)? {
            roots
                .add(certificate)
                .map_err(|source| TlsFileError::Certificate {
                    path: self.client_authority.clone(),
                    source,
                })?;
        }
        Ok(roots)
    }

    fn read_key(&self) -> Result<PrivateKeyDer<'static>, TlsFileError> {
        let bytes = read_file(&self.key)?;
        PrivateKeyDer::from_pem_slice(&bytes).map_err(|source| TlsFileError::Pem {
            path: self.key.clone(),
            source,
        })
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, TlsFileError> {
    let io_error = |source| TlsFileError::Io {
        path: path.to_path_buf(),
        source,
    };
    let bytes = std::fs::metadata(path).map_err(io_error)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(TlsFileError::TooLarge {
            path: path.to_path_buf(),
            bytes,
        });
    }
    std::fs::read(path).map_err(io_error)
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsFileError> {
    let bytes = read_file(path)?;
    let certificates: Result<Vec<_>, pem::Error> = CertificateDer::pem_slice_iter(&bytes).collect();
    let certificates = certificates.map_err(|source| TlsFileError::Pem {
        path: path.to_path_buf(),
        source,
    })?;
    if certificates.is_empty() {
        return Err(TlsFileError::NoCertificate {
            path: path.to_path_buf(),
        });
    }
    Ok(certificates)
}

/// The names in a certificate: the subject's common names, then its alternative names.
pub(crate) fn certificate_names(certificate: &[u8]) -> Vec<String> {
    let Ok((_, certificate)) = X509Certificate::from_der(certificate) else {
        return Vec::new();
    };
    let common_names = certificate.subject().iter_common_name();
    let mut names: Vec<String> = common_names
        .filter_map(|name| name.as_str().ok().map(String::from))
        .collect();
    if let Ok(Some(alternative)) = certificate.subject_alternative_name() {
        let alternative_names = alternative.value.general_names.iter();
        names.extend(alternative_names.filter_map(|name| match name {
            GeneralName::DNSName(name) | GeneralName::RFC822Name(name) | GeneralName::URI(name) => {
                Some(name.to_string())
            }
            _ => None,
        }));
    }
    names
}
