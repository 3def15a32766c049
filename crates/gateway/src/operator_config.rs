//! The operator file: optional features of one gateway, each of which is off if its section is missing. The file is
//! decoded once, at start.

mod error;

pub(crate) use error::{OperatorError, OperatorFieldError};

use ironstair_cells::CellDirectory;
use ironstair_config_change::{Cell, Decimal, EnginePin, TenantPin};
use ironstair_fleet_agent::config::ConfigError;
use ironstair_fleet_agent::FleetConfig;
use ironstair_runtime::fnv1a_64;
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The range of `management.streams`, which the `schemars` attribute of that field repeats.
const MIN_STREAMS: usize = 1;
const MAX_STREAMS: usize = 10_000;

/// The sections of the operator file.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Operator")]
pub(crate) struct OperatorConfig {
    /// Serves settings and state over gNMI.
    pub(crate) management: Option<Management>,
    /// Confines each tenant to some of the engines.
    pub(crate) cells: Option<Cells>,
    /// Shares one policy with the other gateways of a fleet. Requires the section `management`, without its field
    /// `state`.
    pub(crate) fleet: Option<Fleet>,
    /// Saves the endpoint list for the next process of this gateway.
    pub(crate) recovery: Option<Recovery>,
}

/// A folder for the endpoint list and a marker that the process ended without open requests. With this section, a
/// process that does not find the marker at start quarantines the ordering keys: attempts of the previous process may
/// still run.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Recovery {
    /// The folder, which no other gateway may use.
    pub(crate) state: PathBuf,
}

/// Membership in a fleet, under the gateway's name from its configuration file.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    /// The fleet's name. Messages of gateways of another fleet are ignored.
    pub(crate) name: String,
    /// Address and port on which this gateway accepts the other gateways. Must be on a closed network: peers are not
    /// authenticated.
    pub(crate) listen: SocketAddr,
    /// The names and addresses of the 3 or 5 voters, which replicate the fleet's log.
    #[serde(rename = "keepers")]
    pub(crate) voters: BTreeMap<String, SocketAddr>,
    /// How long, in ms, a gateway may apply the fleet's policy after its last contact with the leader (1000 to 60000).
    #[serde(default = "default_lease_ms")]
    #[schemars(range(min = 1000, max = 60000))]
    pub(crate) lease_ms: u32,
    /// What this gateway does once its lease has expired.
    #[serde(default)]
    pub(crate) cut_off: CutOff,
    /// How to count the gateways among which the allowance of an engine in slow start is divided. Must be the same at
    /// all gateways.
    #[serde(default)]
    pub(crate) count: Count,
    /// The folder for the fleet's log. Required for a voter, not allowed for other gateways.
    pub(crate) state: Option<PathBuf>,
}

/// What a gateway does once its lease has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CutOff {
    /// Rejects new and waiting requests until it hears from the leader again.
    #[default]
    Strict,
    /// Continues with its last policy. The fleet does not change the policy while this gateway is out of contact.
    Steady,
}

/// How to count the gateways among which a shared allowance is divided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Count {
    /// Use the number of gateways in the policy.
    #[default]
    #[serde(rename = "told")]
    Configured,
    /// Count the members that hold a lease. The count grows at once and shrinks slowly.
    Members,
}

fn default_lease_ms() -> u32 {
    3000
}

/// Converts the section `fleet` for the gateway `name`, and validates it.
///
/// # Errors
/// A field is invalid; the error names it.
pub(crate) fn fleet_config(fleet: &Fleet, name: &str) -> Result<FleetConfig, ConfigError> {
    let config = FleetConfig {
        fleet: fleet.name.clone(),
        name: name.to_owned(),
        listen: fleet.listen,
        voters: fleet.voters.clone(),
        lease: fleet.lease_ms as f64,
        steady: fleet.cut_off == CutOff::Steady,
        counts_members: fleet.count == Count::Members,
        log_folder: fleet.state.clone(),
    };
    config.validated()
}

/// The cells that engines and tenants belong to. Must be the same at all gateways of a fleet.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Cells {
    /// The names of the cells, at most 64, each with its share of the engines and tenants that are not pinned.
    pub(crate) names: BTreeMap<String, f64>,
    /// The number of cells of each tenant. Values above 1 enable shuffle sharding.
    #[serde(default = "default_shard")]
    pub(crate) shard: u8,
    /// Whether clients name the tenant in the field `tenant` of a call. If not, the tenant is the statement's table
    /// group.
    #[serde(default)]
    pub(crate) named_by_clients: bool,
    /// The cell of each pinned engine, by the engine's name.
    #[serde(default)]
    pub(crate) engines: BTreeMap<String, String>,
    /// The cells of each pinned tenant, by the tenant's name.
    #[serde(default)]
    pub(crate) tenants: BTreeMap<String, Vec<String>>,
    /// What happens to a tenant's requests while none of its cells has a ready engine.
    #[serde(default, rename = "without")]
    pub(crate) no_ready_engine: NoReadyEngine,
}

/// What happens to a tenant's requests while none of its cells has a ready engine.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Without")]
pub(crate) enum NoReadyEngine {
    /// Reject them at once, with the advice to retry after this many ms.
    #[serde(rename = "turn_back")]
    Reject(u32),
    /// Let this share of them, from 0 to 1, use other cells.
    Lend(f64),
}

impl Default for NoReadyEngine {
    fn default() -> Self {
        NoReadyEngine::Reject(0)
    }
}

fn default_shard() -> u8 {
    1
}

/// Converts the section `cells` to the settings that management serves.
pub(crate) fn cell_settings(section: &Cells) -> ironstair_config_change::Cells {
    let (retry_after, lend) = match section.no_ready_engine {
        NoReadyEngine::Reject(ms) => (Some(ms), None),
        NoReadyEngine::Lend(share) => (None, Some(Decimal::of(share))),
    };
    let cells = section.names.iter().map(|(name, share)| Cell {
        name: name.clone(),
        weight: Decimal::of(*share),
    });
    let engines = section.engines.iter().map(|(name, cell)| EnginePin {
        name: name.clone(),
        cell: cell.clone(),
    });
    let tenants = section.tenants.iter().map(|(name, cells)| TenantPin {
        name: name.clone(),
        cell: cells.clone(),
    });
    ironstair_config_change::Cells {
        shard: section.shard,
        cell: cells.collect(),
        engine: engines.collect(),
        tenant: tenants.collect(),
        retry_after,
        lend,
    }
}

/// Builds the cell directory from the section `cells`.
///
/// # Errors
/// A share, a name, a pin or the shard is invalid; the error names the field.
pub(crate) fn cell_directory(section: &Cells) -> Result<CellDirectory, OperatorFieldError> {
    let is_valid_share = |share: f64| share.is_finite() && share >= 0.0;
    let mut shares = section.names.iter();
    if let Some((cell, share)) = shares.find(|(_, share)| !is_valid_share(**share)) {
        return Err(OperatorFieldError::CellShare {
            cell: cell.clone(),
            share: *share,
        });
    }
    match section.no_ready_engine {
        NoReadyEngine::Lend(share) if !(0.0..=1.0).contains(&share) => {
            return Err(OperatorFieldError::LentShare(share));
        }
        _ => {}
    }
    let directory = cell_settings(section).cell_directory(fnv1a_64);
    directory.map_err(OperatorFieldError::Cells)
}

/// The address at which settings and state are served over gNMI, and the clients that may use it.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Management {
    /// Address and port for gNMI. Must be a loopback address unless TLS is configured.
    pub(crate) listen: SocketAddr,
    /// The folder for the revisions of the settings. Without it, revisions are lost when the process ends.
    pub(crate) state: Option<PathBuf>,
    /// The maximum number of open subscriptions (1 to 10000).
    #[serde(default = "default_streams")]
    #[schemars(range(min = 1, max = 10000))]
    pub(crate) streams: usize,
    /// TLS and roles. Without this section, every user of the machine may read and change settings.
    pub(crate) tls: Option<Tls>,
}

/// TLS keys, which are reloaded when their files change and at SIGHUP, and the roles of clients by the names in their
/// certificates.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tls {
    /// The file with the gateway's certificate and the chain to its authority (PEM).
    pub(crate) certificate: PathBuf,
    /// The file with the private key of the gateway's certificate (PEM).
    pub(crate) key: PathBuf,
    /// The file with the certificate of the authority that signs clients' certificates (PEM).
    pub(crate) clients: PathBuf,
    /// Names of clients that may read and change settings. A `*` at the end matches any suffix.
    #[serde(default)]
    pub(crate) change: Vec<String>,
    /// Names of clients that may read. A `*` at the end matches any suffix.
    #[serde(default)]
    pub(crate) read: Vec<String>,
}

fn default_streams() -> usize {
    64
}

/// Reads and decodes the operator file.
///
/// # Errors
/// The file cannot be read, or [`decode`] fails.
pub(crate) fn read(path: &Path) -> Result<OperatorConfig, OperatorError> {
    let text = std::fs::read(path).map_err(|source| OperatorError::Read {
        path: path.to_path_buf(),
        source,
    })?;
    decode(&text).map_err(|source| OperatorError::Invalid {
        path: path.to_path_buf(),
        source: Box::new(source),
    })
}

/// Decodes the JSON text of the file and validates its sections, each alone and together.
///
/// # Errors
/// The text is not valid JSON, or a field is unknown, missing or out of range; the error names the field.
pub(crate) fn decode(json: &[u8]) -> Result<OperatorConfig, OperatorFieldError> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let operator: OperatorConfig = serde_path_to_error::deserialize(&mut reader)?;
    reader.end().map_err(OperatorFieldError::TrailingText)?;
    if let Some(cells) = &operator.cells {
        cell_directory(cells)?;
    }
    check_fleet(&operator)?;
    if let Some(management) = &operator.management {
        check_management(management)?;
    }
    Ok(operator)
}

fn check_fleet(operator: &OperatorConfig) -> Result<(), OperatorFieldError> {
    match (&operator.fleet, &operator.management) {
        (Some(_), None) => Err(OperatorFieldError::FleetWithoutManagement),
        (Some(_), Some(management)) if management.state.is_some() => {
            Err(OperatorFieldError::StateInFleet)
        }
        _ => Ok(()),
    }
}

fn check_management(management: &Management) -> Result<(), OperatorFieldError> {
    let listen = management.listen;
    match &management.tls {
        None if !listen.ip().is_loopback() => {
            return Err(OperatorFieldError::ListenWithoutTls(listen));
        }
        Some(tls) if tls.change.is_empty() && tls.read.is_empty() => {
            return Err(OperatorFieldError::NoRoles);
        }
        _ => {}
    }
    if !(MIN_STREAMS..=MAX_STREAMS).contains(&management.streams) {
        return Err(OperatorFieldError::Streams(management.streams));
    }
    Ok(())
}

/// The JSON Schema of the operator file.
pub(crate) fn schema() -> String {
    let schema = schemars::schema_for!(OperatorConfig);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

#[cfg(test)]
mod tests;

#[cfg(test)]
#[path = "operator_config_pinned_tests.rs"]
mod pinned_tests;
