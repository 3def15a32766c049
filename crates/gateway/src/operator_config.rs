//! The operator's file: optional features of one gateway, each off if its section is missing. Decoded once, at start.

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

/// How many subscriptions may be configured as the most; the schema of the file says the same.
const MIN_STREAMS: usize = 1;
const MAX_STREAMS: usize = 10_000;

/// The sections of the operator's file.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Operator")]
pub(crate) struct OperatorConfig {
    /// Serves settings and state over gNMI.
    pub(crate) management: Option<Management>,
    /// Confines tenants to a part of the engines.
    pub(crate) cells: Option<Cells>,
    /// Shares one policy with the other gateways of a fleet. Needs the section `management`, without a state folder.
    pub(crate) fleet: Option<Fleet>,
    /// Keeps the endpoint list for the next process of this gateway.
    pub(crate) recovery: Option<Recovery>,
}

/// A folder for the endpoint list, and for a note whether the process ended without open requests. With this section,
/// a start that does not find this note quarantines the ordering keys: attempts of the last process may still run.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Recovery {
    /// The folder; no other gateway may use it.
    pub(crate) state: PathBuf,
}

/// This gateway's part in a fleet. Its name there is that of its configuration file.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Fleet {
    /// The fleet's name. Messages of gateways of another fleet are ignored.
    pub(crate) name: String,
    /// Address and port for the other gateways. Must be on a closed network: peers are not authenticated.
    pub(crate) listen: SocketAddr,
    /// The 3 or 5 voters, which replicate the fleet's log, with the address of each.
    #[serde(rename = "keepers")]
    pub(crate) voters: BTreeMap<String, SocketAddr>,
    /// How long, in ms, a gateway may apply the fleet's policy after it last heard from the leader.
    #[serde(default = "default_lease_ms")]
    #[schemars(range(min = 1000, max = 60000))]
    pub(crate) lease_ms: u32,
    /// What this gateway does once its lease has expired.
    #[serde(default)]
    pub(crate) cut_off: CutOff,
    /// Among how many gateways the allowance of an engine in slow start is divided. Must be the same at all gateways.
    #[serde(default)]
    pub(crate) count: Count,
    /// A voter's folder for the log. Only voters have one.
    pub(crate) state: Option<PathBuf>,
}

/// What a gateway does once its lease has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CutOff {
    /// Rejects new and waiting requests until it hears from the leader again.
    #[default]
    Strict,
    /// Goes on with its last policy. The fleet changes no policy without this gateway.
    Steady,
}

/// Among how many gateways a shared allowance is divided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Count {
    /// The number of gateways in the policy.
    #[default]
    #[serde(rename = "told")]
    Configured,
    /// The members that hold a lease. The number grows at once and shrinks slowly.
    Members,
}

fn default_lease_ms() -> u32 {
    3000
}

/// Converts the section `fleet` for the gateway of that name, and checks it.
///
/// # Errors
/// A field can't be used; the error names it.
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

/// Cells of engines and tenants. Must be the same at all gateways of a fleet.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Cells {
    /// The cells' names, 64 at most, each with its share of the engines and tenants that are not pinned.
    pub(crate) names: BTreeMap<String, f64>,
    /// How many cells a tenant has. More than 1 is shuffle sharding.
    #[serde(default = "default_shard")]
    pub(crate) shard: u8,
    /// Whether the field `tenant` of a call names the tenant. Otherwise the tenant is the statement's table group.
    #[serde(default)]
    pub(crate) named_by_clients: bool,
    /// Engines pinned to a cell.
    #[serde(default)]
    pub(crate) engines: BTreeMap<String, String>,
    /// Tenants pinned to cells.
    #[serde(default)]
    pub(crate) tenants: BTreeMap<String, Vec<String>>,
    /// What happens to a tenant's requests while its cells have no ready engine.
    #[serde(default, rename = "without")]
    pub(crate) no_ready_engine: NoReadyEngine,
}

/// What happens to the requests of a tenant whose cells have no ready engine.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Without")]
pub(crate) enum NoReadyEngine {
    /// They are rejected at once, with the advice to retry after this many ms.
    #[serde(rename = "turn_back")]
    Reject(u32),
    /// This share of them may use other cells.
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

/// Converts the section `cells` to settings.
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

/// Builds the cell directory of the section `cells`.
///
/// # Errors
/// A share, a name, a pin or the shard can't be used; the error names the field.
pub(crate) fn cell_directory(section: &Cells) -> Result<CellDirectory, OperatorFieldError> {
    let is_share = |share: f64| share.is_finite() && share >= 0.0;
    let mut shares = section.names.iter();
    if let Some((cell, _)) = shares.find(|(_, share)| !is_share(**share)) {
        return Err(OperatorFieldError::CellShare { cell: cell.clone() });
    }
    if matches!(section.no_ready_engine, NoReadyEngine::Lend(share) if !(0.0..=1.0).contains(&share))
    {
        return Err(OperatorFieldError::LentShare);
    }
    let directory = cell_settings(section).cell_directory(fnv1a_64);
    directory.map_err(OperatorFieldError::Cells)
}

/// Where settings and state are served, and to whom.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Management {
    /// Address and port for gNMI. Must be a loopback address if TLS is off.
    pub(crate) listen: SocketAddr,
    /// A folder for the revisions of the settings. Without it they are lost at the end of the process.
    pub(crate) state: Option<PathBuf>,
    /// The most subscriptions that may be open at once.
    #[serde(default = "default_streams")]
    #[schemars(range(min = 1, max = 10000))]
    pub(crate) streams: usize,
    /// TLS and roles. Without this section every user of the machine may read and change settings.
    pub(crate) tls: Option<Tls>,
}

/// Keys, read again when their files change and at SIGHUP, and roles by the names in clients' certificates.
#[derive(Clone, Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(crate) struct Tls {
    /// The gateway's certificate with the chain to its authority (PEM).
    pub(crate) certificate: PathBuf,
    /// The key of the gateway's certificate (PEM).
    pub(crate) key: PathBuf,
    /// The certificate of the authority for clients' certificates (PEM).
    pub(crate) clients: PathBuf,
    /// Names that may read and change settings. A * at the end matches any rest of the name.
    #[serde(default)]
    pub(crate) change: Vec<String>,
    /// Names that may read.
    #[serde(default)]
    pub(crate) read: Vec<String>,
}

fn default_streams() -> usize {
    64
}

/// Reads the operator's file.
///
/// # Errors
/// It can't be read, or [`decode`] refuses it.
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

/// Decodes the JSON and checks the sections, alone and against each other.
///
/// # Errors
/// It is no JSON, or a field is unknown, missing or out of range; the error names the field.
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

/// The JSON Schema of the operator's file.
pub(crate) fn schema() -> String {
    let schema = schemars::schema_for!(OperatorConfig);
    serde_json::to_string_pretty(&schema).unwrap_or_default()
}

#[cfg(test)]
mod tests;
