//! The TLS keys in use. Connections that were accepted with earlier keys continue after the keys are replaced.

use crate::roles::Identity;
use crate::tls_files::{certificate_names, TlsFileError, TlsFiles};
use ironstair::Millis;
use ironstair_runtime::clock::duration;
use rustls::ServerConfig;
use slog::{info, warn, Logger};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_rustls::TlsAcceptor;

/// How often the files are checked for changes.
const CHECK_INTERVAL: Millis = 2000.0;

/// The keys in use and the files that they come from.
pub struct TlsKeys {
    files: TlsFiles,
    config: Mutex<Arc<ServerConfig>>,
}

impl TlsKeys {
    /// Reads the files.
    ///
    /// # Errors
    /// A file can't be used; the error names it.
    pub fn open(files: TlsFiles) -> Result<Arc<TlsKeys>, TlsFileError> {
        Ok(Arc::new(TlsKeys {
            config: Mutex::new(files.read()?),
            files,
        }))
    }

    pub(crate) fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.config().clone())
    }

    /// The identity of the client with that certificate; `None` if its names have no role.
    pub(crate) fn identify(&self, certificate: &[u8]) -> Option<Identity> {
        self.files.roles.identify(&certificate_names(certificate))
    }

    fn config(&self) -> MutexGuard<'_, Arc<ServerConfig>> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the files again. If they can't be used, the earlier keys stay in use.
    fn reload(&self, log: &Logger) {
        match self.files.read() {
            Ok(config) => {
                *self.config() = config;
                info!(log, "management TLS keys reloaded");
            }
            Err(error) => {
                warn!(log, "new management TLS keys rejected, earlier keys stay in use"; "error" => %error);
            }
        }
    }

    /// Reloads the keys on each message, and whenever the files have changed.
    pub(crate) async fn watch_files(&self, mut reload: mpsc::Receiver<()>, log: Logger) {
        let mut loaded = self.files.versions();
        let mut last_seen = loaded.clone();
        loop {
            let is_requested = tokio::select! {
                request = reload.recv() => match request {
                    Some(()) => true,
                    None => std::future::pending().await,
                },
                () = sleep(duration(CHECK_INTERVAL)) => false,
            };
            let current = self.files.versions();
            // Certificate and key are two files: during a rotation only one may be new. A change is therefore loaded
            // only after the files have stayed the same for one interval.
            let is_settled_change = current != loaded && current == last_seen;
            if is_requested || is_settled_change {
                self.reload(&log);
                loaded = current.clone();
            }
            last_seen = current;
        }
    }
}
