//! Signals: SIGHUP reloads the configuration file and the TLS keys, SIGTERM and SIGINT begin the shutdown.

use crate::config::{self, ConfigError, GatewayConfig};
use crate::connection_limiter::ConnectionLimiter;
use crate::discovery::DiscoveryUpdate;
use crate::management::KeyReloadSender;
use crate::shutdown::answer_budget;
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

/// Whose settings run. The others are not taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SettingsSource {
    /// Those of the configuration file, which SIGHUP reloads.
    File,
    /// Those of management, changed over gNMI.
    Management,
    /// Those of the fleet's policy.
    Fleet,
}

/// Why a changed configuration file is not taken over.
#[derive(Debug, thiserror::Error)]
enum RejectedConfig {
    /// The file can't be read or decoded.
    #[error(transparent)]
    File(#[from] ConfigError),
    /// Its settings can't replace those that run.
    #[error(transparent)]
    Settings(#[from] ReloadError),
}

/// Registers the signals. Must be called before the listener is bound: a process that sees the gateway listen may send
/// one, and a signal without a handler kills the gateway.
///
/// # Errors
/// The system refuses the handlers.
pub(crate) fn register() -> io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
}

/// Handles signals until the process ends: also during a drain, none of them kills it.
pub(crate) struct SignalHandler {
    /// The registered signals.
    pub(crate) signals: Signals,
    /// The configuration file.
    pub(crate) config_path: PathBuf,
    /// Changes of the name service or the endpoint list, to discovery.
    pub(crate) discovery: Sender<DiscoveryUpdate>,
    /// Requests to read the TLS keys again; none without management.
    pub(crate) reload_keys: Option<KeyReloadSender>,
    /// Whose settings run.
    pub(crate) source: SettingsSource,
    /// The settings of the file that were taken over last.
    pub(crate) running_config: RunningConfig,
    /// Keeps track of the shutdown.
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
        let end = self.shared.clock.now() + answer_budget(&self.shared);
        let _ = self
            .shared
            .dispatcher
            .send(DispatcherMessage::ShutdownRequested(end))
            .await;
    }

    async fn reload(&mut self) {
        if let Some(reload_keys) = &self.reload_keys {
            // A full queue holds a request that has not been handled yet: one is enough.
            let _ = reload_keys.try_send(());
        }
        let (reloaded, mut config) = match self.read_config() {
            Ok(read) => read,
            Err(error) => {
                let error = error.to_string();
                warn!(self.shared.log, "configuration rejected, the earlier one stays"; "error" => error);
                return;
            }
        };
        // A file may change the transport settings alone: they are no part of the running config.
        if reloaded.is_some() || config.transport_config != *self.shared.transport_config() {
            self.apply_settings(reloaded, config.transport_config.clone())
                .await;
        }
        config.translate_endpoints(self.running_config.name_index());
        self.send_discovery_update(config).await;
    }

    /// Reads the file, and the running config that it makes; none if that would be the present one. A file whose settings
    /// can't be used is rejected whole: the zones and machine types of its endpoint list may be new in its settings.
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
                warn!(log, "settings of the file ignored, they come by management");
            }
            SettingsSource::Fleet => {
                warn!(
                    log,
                    "settings of the file ignored, they are the fleet's: ironstair set --fleet"
                );
            }
        }
    }

    /// Hands the settings to the dispatcher and waits until it has applied them: the endpoint list that follows may name
    /// zones and machine types that are new in them.
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
