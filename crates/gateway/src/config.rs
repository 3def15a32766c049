//! The gateway's configuration file, which is decoded at start and at each reload.

mod error;

pub(crate) use error::{ConfigError, DecodeError};

use ironstair::{EndpointState, Millis, PolicyConfig};
use ironstair_config_change::{ConfigFile, NameIndex};
use ironstair_runtime::DiscoveredEndpoint;
use ironstair_settings::{
    class_names, hard_limits, machine_type_names, policy_config, required_string, transport_config,
    zone_names, TransportConfig,
};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

/// Resource limits that apply if the file sets none: the smallest with which the gateway can serve.
const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_DESCRIPTORS: f64 = 1024.0;

/// Endpoints, keyed by name.
type EndpointList = BTreeMap<String, DiscoveredEndpoint>;

/// The contents of the gateway's configuration file.
pub(crate) struct GatewayConfig {
    /// The gateway's name.
    pub(crate) name: String,
    /// The address on which the gateway accepts clients.
    pub(crate) listen: SocketAddr,
    /// The address of the name service, from which discovery reads the endpoint list.
    pub(crate) name_service: SocketAddr,
    /// The seed of the policy's random draws.
    pub(crate) seed: u64,
    /// Memory that this process may use, in MB.
    pub(crate) memory_mb: f64,
    /// File descriptors that this process may have open.
    pub(crate) descriptors: usize,
    /// The policy's settings.
    pub(crate) policy_config: PolicyConfig,
    /// Settings of connections and open requests.
    pub(crate) transport_config: TransportConfig,
    /// The names of the classes, in index order.
    pub(crate) class_names: Vec<String>,
    /// The hard limits of the classes, in ms, in index order.
    pub(crate) hard_limits: Vec<Millis>,
    /// The names of zones and machine types, in index order.
    pub(crate) name_index: NameIndex,
    /// The endpoint list as of when the file was written.
    pub(crate) endpoints: EndpointList,
    /// The serial number of that list.
    pub(crate) endpoint_serial: u32,
}

impl GatewayConfig {
    /// The part of the file that a reload may change while the gateway serves.
    pub(crate) fn reloadable(&self) -> ConfigFile {
        ConfigFile {
            policy_config: self.policy_config.clone(),
            class_names: self.class_names.clone(),
            hard_limits: self.hard_limits.clone(),
            name_index: self.name_index.clone(),
        }
    }

    /// Translates the zones and machine types of the endpoint list to the indices of another name index. A name that is
    /// not in that index gets the index for unknown names.
    pub(crate) fn translate_endpoints(&mut self, index: &NameIndex) {
        let name_of =
            |names: &[String], nth: u16| names.get(nth as usize).cloned().unwrap_or_default();
        for endpoint in self.endpoints.values_mut() {
            endpoint.zone = index.zone(&name_of(&self.name_index.zones, endpoint.zone));
            let machine_type = name_of(&self.name_index.machine_types, endpoint.machine_type);
            endpoint.machine_type = index.machine_type(&machine_type);
        }
        self.name_index = index.clone();
    }
}

/// Reads and decodes the file.
///
/// # Errors
/// The file cannot be read, or [`decode`] fails.
pub(crate) fn read(path: &Path) -> Result<GatewayConfig, ConfigError> {
    let text = std::fs::read(path).map_err(|source| ConfigError::Read {
        path: path.to_path_buf(),
        source,
    })?;
    decode(&text).map_err(|source| ConfigError::Invalid {
        path: path.to_path_buf(),
        source: Box::new(source),
    })
}

/// Decodes the JSON text of the file.
///
/// # Errors
/// The text is not valid JSON, or a field is missing or invalid; the error names the field.
pub(crate) fn decode(json: &[u8]) -> Result<GatewayConfig, DecodeError> {
    let file: Value = serde_json::from_slice(json)?;
    let settings = &file["settings"];
    let seed = required_string(&file, "seed")?;
    let name_index = NameIndex {
        zones: zone_names(settings)?,
        machine_types: machine_type_names(settings)?,
    };
    let endpoints = endpoint_list(&file["known"], &name_index)?;
    let limits_of_process = &file["limits"];
    let max_memory = limits_of_process["memory_mb"].as_f64();
    let max_descriptors = limits_of_process["sockets"].as_f64();
    Ok(GatewayConfig {
        name: required_string(&file, "name")?.to_owned(),
        listen: address(&file, "listen")?,
        name_service: address(&file, "names")?,
        seed: parse_seed(seed)?,
        memory_mb: max_memory.unwrap_or(DEFAULT_MEMORY_MB),
        descriptors: max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS) as usize,
        policy_config: policy_config(settings).map_err(DecodeError::Settings)?,
        transport_config: transport_config(settings).map_err(DecodeError::Settings)?,
        class_names: class_names(settings).map_err(DecodeError::Settings)?,
        hard_limits: hard_limits(settings).map_err(DecodeError::Settings)?,
        name_index,
        endpoints,
        endpoint_serial: file["known"]["rev"].as_u64().unwrap_or(0) as u32,
    })
}

fn parse_seed(digits: &str) -> Result<u64, DecodeError> {
    u64::from_str_radix(digits, 16).map_err(|_| DecodeError::Seed(digits.to_owned()))
}

fn address(object: &Value, field: &'static str) -> Result<SocketAddr, DecodeError> {
    let address = required_string(object, field)?;
    address.parse().map_err(|_| DecodeError::Address {
        field,
        text: address.to_owned(),
    })
}

/// The endpoint list that results from the changes in the file, applied in order.
fn endpoint_list(known: &Value, index: &NameIndex) -> Result<EndpointList, DecodeError> {
    let mut endpoints = EndpointList::new();
    let notices = known["notices"].as_array();
    for notice in notices.into_iter().flatten() {
        apply_change(&mut endpoints, &notice["pool"], index)?;
    }
    Ok(endpoints)
}

/// Applies one change to the endpoint list.
fn apply_change(
    endpoints: &mut EndpointList,
    pool: &Value,
    index: &NameIndex,
) -> Result<(), DecodeError> {
    if pool["reset"].as_bool().unwrap_or(false) {
        endpoints.clear();
    }
    for instance in pool["instances"].as_array().into_iter().flatten() {
        // Names in DNS answers are in lower case, so that an endpoint has the same name in both sources.
        let name = required_string(instance, "instanceId")?.to_ascii_lowercase();
        let state = match required_string(instance, "lifecycle")? {
            "ready" => EndpointState::Ready,
            "draining" => EndpointState::Draining,
            _ => {
                endpoints.remove(&name);
                continue;
            }
        };
        endpoints.insert(name, endpoint(instance, state, index)?);
    }
    Ok(())
}

fn endpoint(
    instance: &Value,
    state: EndpointState,
    index: &NameIndex,
) -> Result<DiscoveredEndpoint, DecodeError> {
    let name_of = |field: &str| instance[field].as_str().unwrap_or_default();
    Ok(DiscoveredEndpoint {
        address: address(instance, "hostPort")?,
        zone: index.zone(name_of("zone")),
        machine_type: index.machine_type(name_of("machineType")),
        dedup_domain: instance["cell"].as_u64().unwrap_or(0) as u16,
        state,
        started_at: instance["startedAtMs"].as_f64().unwrap_or(0.0),
    })
}

#[cfg(test)]
mod tests;

#[cfg(test)]
#[path = "config_pinned_tests.rs"]
mod pinned_tests;
