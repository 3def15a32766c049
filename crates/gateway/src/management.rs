//! The management thread. It is separate so that a busy management client costs the gateway's thread no more than
//! building the state view that the client requests.

use crate::config::GatewayConfig;
use crate::log::LevelHandle;
use crate::operator_config::{self, Management, OperatorConfig, Tls};
use async_channel::{Receiver, Sender};
use ironstair::{Millis, PolicyConfig};
use ironstair_cells::CellDirectory;
use ironstair_fleet_agent::config::ConfigError;
use ironstair_fleet_agent::error::StartError;
use ironstair_fleet_agent::{Actor, AgentChannels, AgentHandle, FleetConfig, PreparedAgent};
use ironstair_gnmi::roles::Roles;
use ironstair_gnmi::server::{self, ServerError};
use ironstair_gnmi::tls_files::{TlsFileError, TlsFiles};
use ironstair_gnmi::{Service, TlsKeys};
use ironstair_management::fleet_channel::FleetChannel;
use ironstair_management::{InitialState, Manager, ManagerContext, OpenError};
use ironstair_runtime::clock::Clock;
use ironstair_runtime::state_watch::{ClassSummary, ManagementCommand, StateWatch};
use ironstair_runtime::DispatcherMessage;
use slog::{error, info, Logger};
use std::io;
use std::net::TcpListener;
use std::sync::{mpsc, Arc};
use std::thread;

/// The capacity of the command queues to the gateway's thread and to the fleet agent.
const COMMAND_QUEUE: usize = 16;

/// Requests a reload of the TLS keys.
pub(crate) type KeyReloadSender = tokio::sync::mpsc::Sender<()>;

/// Why management cannot start, or has stopped.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ManagementError {
    /// The section `fleet` is invalid.
    #[error(transparent)]
    FleetConfig(#[from] ConfigError),
    /// The settings do not fit the data tree, or the persisted revisions cannot be read.
    #[error(transparent)]
    Settings(#[from] OpenError),
    /// The TLS keys cannot be loaded.
    #[error("management.tls: {0}")]
    Tls(#[source] TlsFileError),
    /// The gNMI server cannot bind its address, or has stopped.
    #[error(transparent)]
    Server(#[from] ServerError),
    /// The fleet agent cannot start.
    #[error(transparent)]
    FleetAgent(#[from] StartError),
    /// The address of the bound listener cannot be read.
    #[error("management.listen: cannot read the address of the listener: {0}")]
    Address(#[source] io::Error),
    /// The management thread cannot be started.
    #[error("cannot start the management thread: {0}")]
    Thread(#[source] io::Error),
    /// The async runtime of the management thread cannot be started.
    #[error("cannot start the async runtime of management: {0}")]
    Runtime(#[source] io::Error),
}

/// The gateway thread's channels to the running management thread.
pub(crate) struct RunningManagement {
    /// Commands for the dispatcher.
    pub(crate) commands: Receiver<ManagementCommand>,
    /// Requests a reload of the TLS keys.
    pub(crate) reload_keys: KeyReloadSender,
    /// Announces the end of this process to the fleet; `None` outside a fleet.
    pub(crate) leave_fleet: Option<AgentHandle>,
}

/// Management with its files read and its listeners bound, but its thread not yet started.
pub(crate) struct PreparedManagement {
    started: InitialState,
    listener: TcpListener,
    streams: usize,
    keys: Option<Arc<TlsKeys>>,
    fleet: Option<PreparedAgent>,
    /// The watch on which the dispatcher publishes its state.
    pub(crate) state_watch: Arc<StateWatch>,
}

/// Reads the persisted revisions and the TLS keys, and binds the listeners.
///
/// # Errors
/// The settings do not fit the data tree, a folder or key cannot be read, or an address is in use.
pub(crate) fn open(
    section: &Management,
    config: &GatewayConfig,
    operator: &OperatorConfig,
) -> Result<PreparedManagement, ManagementError> {
    let fleet = fleet_config(config, operator)?;
    let cells = operator.cells.as_ref().map(operator_config::cell_settings);
    let started = ironstair_management::open(config.reloadable(), cells, section.state.as_deref())?;
    let keys = section
        .tls
        .as_ref()
        .map(|tls| TlsKeys::open(tls_files(tls)));
    let keys = keys.transpose().map_err(ManagementError::Tls)?;
    let listener = server::bind(section.listen)?;
    Ok(PreparedManagement {
        started,
        listener,
        streams: section.streams,
        keys,
        fleet: fleet.map(PreparedAgent::open).transpose()?,
        state_watch: Arc::default(),
    })
}

/// Converts and validates the section `fleet`, if present.
fn fleet_config(
    config: &GatewayConfig,
    operator: &OperatorConfig,
) -> Result<Option<FleetConfig>, ConfigError> {
    let section = operator.fleet.as_ref();
    section
        .map(|section| operator_config::fleet_config(section, &config.name))
        .transpose()
}

fn tls_files(tls: &Tls) -> TlsFiles {
    TlsFiles {
        certificate: tls.certificate.clone(),
        key: tls.key.clone(),
        client_authority: tls.clients.clone(),
        roles: Roles {
            change: tls.change.clone(),
            read: tls.read.clone(),
        },
    }
}

/// Validates the sections that management uses, and that the settings fit the data tree. Opens no files or listeners.
///
/// # Errors
/// The section `fleet` is invalid, or the settings do not fit the data tree; the error names the field.
pub(crate) fn check(
    config: &GatewayConfig,
    operator: &OperatorConfig,
) -> Result<(), ManagementError> {
    fleet_config(config, operator)?;
    let cells = operator.cells.as_ref().map(operator_config::cell_settings);
    ironstair_management::open(config.reloadable(), cells, None)?;
    Ok(())
}

impl PreparedManagement {
    /// The policy settings of the running revision.
    pub(crate) fn policy_config(&self) -> PolicyConfig {
        self.started.policy_config()
    }

    /// The cells of the running revision; `None` without cells.
    pub(crate) fn cells(&self) -> Option<CellDirectory> {
        self.started.cells()
    }

    /// The classes of the running revision, and the longest hard limit, in ms.
    pub(crate) fn classes(&self) -> (Vec<ClassSummary>, Millis) {
        self.started.classes()
    }

    /// Whether the gateway is in a fleet, where the policy makes no decisions without a lease.
    pub(crate) fn in_fleet(&self) -> bool {
        self.fleet.is_some()
    }

    /// Starts the management thread.
    ///
    /// # Errors
    /// The listener has no address, or the thread cannot be started.
    pub(crate) fn start(
        self,
        name: &str,
        clock: Clock,
        log: Logger,
        level: LevelHandle,
    ) -> Result<RunningManagement, ManagementError> {
        let (command_sender, commands) = async_channel::bounded(COMMAND_QUEUE);
        let (reload_keys, key_reloads) = tokio::sync::mpsc::channel(1);
        let (agent_sender, agent) = mpsc::channel();
        let address = self.listener.local_addr();
        let address = address.map_err(ManagementError::Address)?;
        info!(log, "management listening"; "address" => address);
        let in_fleet = self.in_fleet();
        let thread = ManagementThread {
            opened: self,
            name: name.to_owned(),
            clock,
            log,
            level,
            commands: command_sender,
            key_reloads,
            agent: agent_sender,
        };
        thread::Builder::new()
            .name("management".into())
            .spawn(move || thread.run())
            .map_err(ManagementError::Thread)?;
        // Receiving fails if the agent did not start; the management thread logs why.
        let leave_fleet = if in_fleet { agent.recv().ok() } else { None };
        Ok(RunningManagement {
            commands,
            reload_keys,
            leave_fleet,
        })
    }
}

/// The management thread, which owns the manager, the gNMI server and the fleet agent.
struct ManagementThread {
    opened: PreparedManagement,
    name: String,
    clock: Clock,
    log: Logger,
    level: LevelHandle,
    /// Sends commands to the gateway's thread.
    commands: Sender<ManagementCommand>,
    /// Requests to reload the TLS keys.
    key_reloads: tokio::sync::mpsc::Receiver<()>,
    /// Hands over the fleet agent's handle once the agent has started.
    agent: mpsc::Sender<AgentHandle>,
}

impl ManagementThread {
    fn run(self) {
        let log = self.log.clone();
        if let Err(error) = self.serve() {
            error!(log, "management stopped"; "error" => error.to_string());
        }
    }

    fn serve(self) -> Result<(), ManagementError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(ManagementError::Runtime)?;
        runtime.block_on(self.run_actors())
    }

    async fn run_actors(self) -> Result<(), ManagementError> {
        let (requests, manager_requests) = tokio::sync::mpsc::channel(COMMAND_QUEUE);
        let (status_publisher, status) = tokio::sync::watch::channel(Default::default());
        let in_fleet = self.opened.in_fleet();
        let context = ManagerContext {
            clock: self.clock,
            state_watch: self.opened.state_watch,
            commands: self.commands.clone(),
            log: self.log.clone(),
            level: self.level,
            fleet: in_fleet.then_some(FleetChannel { requests, status }),
        };
        let (manager, management) = Manager::new(self.opened.started, &self.name, context);
        let service = Service::new(management.clone(), &self.name, self.opened.streams);
        tokio::spawn(manager.run());
        if let Some(prepared) = self.opened.fleet {
            let channels = AgentChannels {
                manager_requests,
                status: status_publisher,
                management,
                gateway_commands: self.commands,
            };
            let (actor, handle) = Actor::start(prepared, channels, self.clock, self.log.clone())?;
            let _ = self.agent.send(handle);
            tokio::spawn(actor.run());
        }
        let listener = self.opened.listener;
        let keys = self.opened.keys;
        server::serve(listener, service, keys, self.key_reloads, self.log).await?;
        Ok(())
    }
}

/// Forwards commands of the management thread to the dispatcher's queue, until either side ends.
pub(crate) async fn forward_commands(
    commands: Receiver<ManagementCommand>,
    dispatcher: Sender<DispatcherMessage>,
) {
    while let Ok(command) = commands.recv().await {
        let message = DispatcherMessage::Command(command);
        if dispatcher.send(message).await.is_err() {
            return;
        }
    }
}
