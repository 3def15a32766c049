//! The start-up of the gateway, step by step, and its run until the shutdown is complete.

mod actors;
mod initial_state;

use crate::accept::Acceptor;
use crate::config::{self, GatewayConfig};
use crate::connection_limiter::ConnectionLimiter;
use crate::descriptors;
use crate::discovery::Discovery;
use crate::dispatcher::Dispatcher;
use crate::error::StartError;
use crate::log::LevelHandle;
use crate::operator_config::OperatorConfig;
use crate::signals::{self, SignalHandler};
use crate::snapshot_store::SnapshotStore;
use crate::{log, management, shutdown};
use actors::{
    settings_source, start_discovery, start_dispatcher, start_limiter, start_management,
    state_publisher,
};
use async_channel::Receiver;
use async_io::{block_on, Async};
use futures_lite::future::or;
use initial_state::{
    initial_cells, initial_lease, initial_policy, names_tenants, new_shared, open_management,
    read_snapshot, start_snapshot_store, warn_of_descriptor_shortage,
};
use ironstair::policy::Gateway;
use ironstair::Millis;
use ironstair_cells::CellDirectory;
use ironstair_config_change::RunningConfig;
use ironstair_fleet_agent::handle::AgentHandle;
use ironstair_runtime::{DispatcherMessage, Shared};
use slog::info;
use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// The capacity of the dispatcher's queue; senders wait while it is full.
const DISPATCHER_QUEUE: usize = 1024;

/// Everything that is read, validated and opened before the executor runs.
struct Prepared {
    path: PathBuf,
    config: GatewayConfig,
    running_config: RunningConfig,
    management: Option<management::PreparedManagement>,
    cells: Option<CellDirectory>,
    gateway: Gateway,
    messages: Receiver<DispatcherMessage>,
    snapshot_store: Option<SnapshotStore>,
    level: LevelHandle,
    shared: Rc<Shared>,
}

/// Runs the gateway until a signal begins the shutdown and its phases are complete.
///
/// # Errors
/// A file is invalid, or an address or a folder is not available.
pub(crate) fn serve(
    path: &Path,
    operator: Option<OperatorConfig>,
    format: log::LogFormat,
) -> Result<(), StartError> {
    let operator = operator.as_ref();
    let mut config = config::read(path)?;
    // Must precede the start of a second thread (incident 008).
    let shortage = descriptors::reserve(config.descriptors);
    let snapshot = read_snapshot(operator, &mut config);
    let management = open_management(operator, &config)?;
    let cells = initial_cells(operator, management.as_ref())?;
    // Lines are written until the guard is dropped.
    let (log, _guard, level) = log::open(&config.name, format);
    warn_of_descriptor_shortage(shortage, &log);
    let (dispatcher, messages) = async_channel::bounded(DISPATCHER_QUEUE);
    let policy = initial_policy(management.as_ref(), &config);
    let key_quarantine = policy.config.key_quarantine;
    let gateway = Gateway::new(policy.config, config.seed);
    let shared = Rc::new(Shared {
        lease_until: Cell::new(initial_lease(management.as_ref())),
        accepts_tenant_names: names_tenants(operator),
        classes: RefCell::new(Rc::new(policy.classes)),
        max_deadline: Cell::new(policy.max_deadline),
        longest_deadline: Cell::new(policy.max_deadline),
        ..new_shared(&config, dispatcher, log)
    });
    let snapshot_store =
        snapshot.map(|opened| start_snapshot_store(opened, key_quarantine, &shared));
    let executor = shared.executor.clone();
    let prepared = Prepared {
        path: path.into(),
        running_config: RunningConfig::new(config.reloadable()),
        config,
        management,
        cells,
        gateway,
        messages,
        snapshot_store,
        level,
        shared,
    };
    block_on(executor.run(prepared.run()))
}

/// A gateway whose actors are running.
struct Serving {
    listener: Async<TcpListener>,
    limiter: Rc<ConnectionLimiter>,
    snapshot_store: Option<SnapshotStore>,
    leave_fleet: Option<AgentHandle>,
    shared: Rc<Shared>,
}

impl Prepared {
    /// Starts the actors, accepts clients until the shutdown, then runs the phases of the shutdown.
    async fn run(self) -> Result<(), StartError> {
        let serving = self.start()?;
        serving.run().await;
        Ok(())
    }

    fn start(self) -> Result<Serving, StartError> {
        // Must precede binding the listener: a signal to a gateway that accepts connections must not kill it.
        let signals = signals::register().map_err(StartError::Signals)?;
        let address = self.config.listen;
        let listener =
            Acceptor::bind(address).map_err(|source| StartError::Listen { address, source })?;
        let shared = self.shared;
        let config = self.config;
        let view = state_publisher(self.management.as_ref(), &config);
        let dispatcher = Dispatcher::new(self.gateway, shared.clone(), view, self.cells);
        start_dispatcher(dispatcher, config.endpoints, self.messages, &shared)?;
        let channels = start_management(self.management, &config.name, self.level, &shared)?;
        let discovery = Discovery {
            local_address: address.ip(),
            name_service: config.name_service,
            name_index: config.name_index,
            serial: config.endpoint_serial,
            dispatcher: shared.dispatcher.clone(),
            log: shared.log.clone(),
            shared: shared.clone(),
            snapshot_store: self.snapshot_store.clone(),
        };
        let updates = start_discovery(discovery, &shared);
        let limiter = start_limiter(config.endpoint_serial, config.descriptors, &shared);
        let handler = SignalHandler {
            signals,
            config_path: self.path,
            discovery: updates,
            source: settings_source(&channels),
            reload_keys: channels.reload_keys,
            running_config: self.running_config,
            limiter: limiter.clone(),
            shared: shared.clone(),
        };
        shared.executor.spawn(handler.run()).detach();
        info!(shared.log, "serving"; "address" => address);
        Ok(Serving {
            listener,
            limiter,
            snapshot_store: self.snapshot_store,
            leave_fleet: channels.leave_fleet,
            shared,
        })
    }
}

impl Serving {
    async fn run(self) {
        let (limiter, shared) = (&self.limiter, &self.shared);
        let deadline = accept_clients(self.listener, limiter, shared).await;
        shutdown::drain(limiter, shared, deadline).await;
        if let Some(store) = self.snapshot_store {
            shutdown::write_snapshot(store, shared, deadline).await;
        }
        if let Some(leave) = self.leave_fleet {
            shutdown::leave_fleet(leave, &shared.log).await;
        }
    }
}

/// Accepts clients until the first two phases of the shutdown are complete. Returns the deadline for draining
/// connections.
async fn accept_clients(
    listener: Async<TcpListener>,
    limiter: &Rc<ConnectionLimiter>,
    shared: &Rc<Shared>,
) -> Millis {
    let acceptor = Acceptor::new(listener, limiter.clone(), shared.clone());
    let accept = async { match acceptor.run().await {} };
    let deadline = or(accept, shutdown::wait_for_late_clients(limiter, shared)).await;
    acceptor.finish();
    deadline
}
