//! Functions that start the actors of the gateway's thread, and the management thread.

use crate::config::GatewayConfig;
use crate::connection_limiter::ConnectionLimiter;
use crate::discovery::{Discovery, DiscoveryUpdate};
use crate::dispatcher::{Dispatcher, StatePublisher};
use crate::error::StartError;
use crate::log::LevelHandle;
use crate::management;
use crate::signals::SettingsSource;
use async_channel::{Receiver, Sender};
use ironstair_fleet_agent::handle::AgentHandle;
use ironstair_runtime::{DiscoveredEndpoint, DispatcherMessage, Shared};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Half of the file descriptors are for client connections.
const DESCRIPTORS_PER_CLIENT_CONNECTION: usize = 2;

/// The gateway thread's channels to the management thread; all `None` without management.
#[derive(Default)]
pub(super) struct ManagementChannels {
    pub(super) reload_keys: Option<management::KeyReloadSender>,
    pub(super) leave_fleet: Option<AgentHandle>,
}

/// Queues the endpoint list of the configuration as the dispatcher's first message, and starts the dispatcher.
pub(super) fn start_dispatcher(
    dispatcher: Dispatcher,
    endpoints: BTreeMap<String, DiscoveredEndpoint>,
    messages: Receiver<DispatcherMessage>,
    shared: &Shared,
) -> Result<(), StartError> {
    let list = DispatcherMessage::Endpoints(endpoints);
    let queued = shared.dispatcher.try_send(list);
    queued.map_err(|_| StartError::DispatcherQueue)?;
    shared.executor.spawn(dispatcher.run(messages)).detach();
    Ok(())
}

/// Where the dispatcher publishes its state; `None` without management.
pub(super) fn state_publisher(
    management: Option<&management::PreparedManagement>,
    config: &GatewayConfig,
) -> Option<StatePublisher> {
    let shared_names = |names: &[String]| names.iter().map(|name| name.as_str().into()).collect();
    management.map(|management| StatePublisher {
        watch: management.state_watch.clone(),
        zones: shared_names(&config.name_index.zones),
        machine_types: shared_names(&config.name_index.machine_types),
    })
}

pub(super) fn start_management(
    management: Option<management::PreparedManagement>,
    name: &str,
    level: LevelHandle,
    shared: &Rc<Shared>,
) -> Result<ManagementChannels, StartError> {
    let Some(management) = management else {
        return Ok(ManagementChannels::default());
    };
    let running = management.start(name, shared.clock, shared.log.clone(), level)?;
    let forwarding = management::forward_commands(running.commands, shared.dispatcher.clone());
    shared.executor.spawn(forwarding).detach();
    Ok(ManagementChannels {
        reload_keys: Some(running.reload_keys),
        leave_fleet: running.leave_fleet,
    })
}

/// The source of the settings in effect, which is the configuration file only without management.
pub(super) fn settings_source(channels: &ManagementChannels) -> SettingsSource {
    match (&channels.reload_keys, &channels.leave_fleet) {
        (None, _) => SettingsSource::File,
        (Some(_), None) => SettingsSource::Management,
        (Some(_), Some(_)) => SettingsSource::Fleet,
    }
}

pub(super) fn start_discovery(discovery: Discovery, shared: &Shared) -> Sender<DiscoveryUpdate> {
    let (updates, received) = async_channel::bounded(1);
    shared.executor.spawn(discovery.run(received)).detach();
    updates
}

pub(super) fn start_limiter(
    serial: u32,
    descriptors: usize,
    shared: &Shared,
) -> Rc<ConnectionLimiter> {
    let max_connections = descriptors / DESCRIPTORS_PER_CLIENT_CONNECTION;
    shared.metrics.endpoint_list_serial.set(serial);
    shared
        .metrics
        .max_client_connections
        .set(max_connections as u32);
    ConnectionLimiter::new(max_connections, shared.metrics.client_connections.clone())
}
