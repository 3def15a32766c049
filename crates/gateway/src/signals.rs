//! Signal handling: SIGHUP reloads the configuration file and the TLS keys; SIGTERM and SIGINT begin the shutdown.

use crate::config::{self, ConfigError, GatewayConfig};
use crate::connection_limiter::ConnectionLimiter;
use crate::discovery::DiscoveryUpdate;
use crate::management::KeyReloadSender;
use crate::shutdown::response_budget;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use ironstair_config_change::{ReloadError, RunningConfig};
use ironstair_runtime::state_watch::{ConfigUpdate, ManagementCommand};
use ironstair_runtime::{DispatcherMessage, Shared};
use ironstair_settings::TransportConfig;
use slog::{info, warn};
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// The source of the settings in effect. Settings from other sources are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SettingsSource {
    /// The configuration file, which SIGHUP reloads.
    File,
    /// Management: the settings are changed over gNMI.
    Management,
    /// The fleet's policy.
    Fleet,
}

/// Why a reloaded configuration file is rejected.
#[derive(Debug, thiserror::Error)]
enum RejectedConfig {
    /// The file cannot be read or decoded.
    #[error(transparent)]
    File(#[from] ConfigError),
    /// Its settings cannot replace those in effect.
    #[error(transparent)]
    Settings(#[from] ReloadError),
}

/// Registers the signal handlers. Must be called before the listener is bound: another process may send a signal as
/// soon as the gateway listens, and a signal without a handler would kill the gateway.
///
/// # Errors
/// The operating system rejects a handler.
pub(crate) fn register() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Handles signals until the process ends, also while connections drain, so that a signal never kills the process.
pub(crate) struct SignalHandler {
    /// The registered signals.
    pub(crate) signals: Signals,
    /// The path of the configuration file.
    pub(crate) config_path: PathBuf,
    /// Sends the address of the name service and the endpoint list of a reloaded file to discovery.
    pub(crate) discovery: Sender<DiscoveryUpdate>,
    /// Requests a reload of the TLS keys; `None` without management.
    pub(crate) reload_keys: Option<KeyReloadSender>,
    /// The source of the settings in effect.
    pub(crate) source: SettingsSource,
    /// The settings that were last applied from the file.
    pub(crate) running_config: RunningConfig,
    /// The connection limiter, which holds the state of the shutdown.
    pub(crate) limiter: Rc<ConnectionLimiter>,
    /// The state that all actors share.
    pub(crate) shared: Rc<Shared>,
}

impl SignalHandler {
    /// Runs until the process ends.
    pub(crate) async fn run(mut self) {
        while let Some(signal) = self.signals.next().await {
            match signal {
                Ok(Signal::Hup) => self.reload().await,
                _ if self.limiter.is_shutting_down() => {
                    info!(self.shared.log, "shutdown requested again");
                }
                _ => self.begin_shutdown().await,
            }
        }
    }

    async fn begin_shutdown(&self) {
        info!(self.shared.log, "shutdown requested");
        self.limiter.begin_shutdown();
        let deadline = self.shared.clock.now() + response_budget(&self.shared);
        let _ = self
            .shared
            .dispatcher
            .send(DispatcherMessage::ShutdownRequested(deadline))
            .await;
    }

    async fn reload(&mut self) {
        if let Some(reload_keys) = &self.reload_keys {
            // If the queue is full, it already holds a pending request, which is enough.
            let _ = reload_keys.try_send(());
        }
        let (reloaded, mut config) = match self.read_config() {
            Ok(read) => read,
            Err(error) => {
                let error = error.to_string();
                warn!(self.shared.log, "configuration rejected, keeping the previous one"; "error" => error);
                return;
            }
        };
        // A file may change only the transport settings, which are not part of the running config.
        if reloaded.is_some() || config.transport_config != *self.shared.transport_config() {
            self.apply_settings(reloaded, config.transport_config.clone())
                .await;
        }
        config.translate_endpoints(self.running_config.name_index());
        self.send_discovery_update(config).await;
    }

    /// Reads the file, and derives the running config from it; `None` if that equals the present one. A file with
    /// invalid settings is rejected as a whole, because its endpoint list may refer to zones and machine types that are
    /// new in those settings.
    fn read_config(&self) -> Result<(Option<RunningConfig>, GatewayConfig), RejectedConfig> {
        let config = config::read(&self.config_path)?;
        let reloaded = self.running_config.reload(config.reloadable())?;
        Ok((reloaded, config))
    }

    async fn apply_settings(
        &mut self,
        reloaded: Option<RunningConfig>,
        transport_config: TransportConfig,
    ) {
        let log = &self.shared.log;
        match self.source {
            SettingsSource::File => {
                if let Some(reloaded) = reloaded {
                    self.running_config = reloaded;
                }
                self.update_policy(transport_config).await;
            }
            SettingsSource::Management => {
                warn!(
                    log,
                    "settings of the configuration file ignored: they are changed over gNMI"
                );
            }
            SettingsSource::Fleet => {
                warn!(
                    log,
                    "settings of the configuration file ignored: they come from the fleet, use ironstair set --fleet"
                );
            }
        }
    }

    /// Sends the settings to the dispatcher and waits until they are applied: the endpoint list that follows may refer
    /// to zones and machine types that are new in them.
    async fn update_policy(&self, transport_config: TransportConfig) {
        let policy_config = self.running_config.policy_config();
        let (classes, max_deadline) = ironstair_management::classes(
            self.running_config.registry(),
            self.running_config.document(),
            &policy_config,
        );
        let (done, applied) = async_channel::bounded(1);
        let update = ConfigUpdate {
            policy_config,
            classes,
            max_deadline,
            cells: None,
            transport_config: Some(transport_config),
            done,
        };
        let command = ManagementCommand::UpdateConfig(Box::new(update));
        let _ = self
            .shared
            .dispatcher
            .send(DispatcherMessage::Command(command))
            .await;
        if applied.recv().await.is_ok() {
            let classes = self.shared.classes();
            let in_service = classes.iter().filter(|class| class.in_service).count();
            info!(self.shared.log, "configuration reloaded"; "classes" => in_service);
        }
    }

    async fn send_discovery_update(&self, config: GatewayConfig) {
        let update = DiscoveryUpdate {
            name_service: config.name_service,
            endpoints: config.endpoints,
            serial: config.endpoint_serial,
            name_index: config.name_index,
        };
        let _ = self.discovery.send(update).await;
    }
}
