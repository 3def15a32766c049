//! The settings document: the part of a gateway's policy config that clients may read and set. Its JSON is that of the
//! YANG module (RFC 7951), so that no mapping between them is needed.

mod cells;
mod convert;
mod validate;

pub use cells::{Cell, Cells, EnginePin, TenantPin};
pub use validate::Violation;

pub(crate) use validate::violation;

use crate::decimal::Decimal;
use serde::{Deserialize, Serialize};

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RepeatSafety {
    /// It may run any number of times.
    Repeatable,
    /// It may be repeated with the same token: engines recognize the repetition within a time window.
    Tagged,
    /// It may run only once.
    OnceOnly,
}

/// The engines among which a repetition is recognized by its token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All engines.
    #[default]
    All,
    /// Engines of the same zone.
    Zone,
    /// Engines of the same deduplication domain.
    #[serde(rename = "mark-group")]
    DedupDomain,
}

/// A level of the log. More severe levels come first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// An operation has failed.
    Error,
    /// An operator may have to act.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Details for debugging.
    Debug,
}

impl Level {
    /// The level's name in the settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Level::Error => "error",
            Level::Warning => "warning",
            Level::Info => "info",
            Level::Debug => "debug",
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Class {
    /// The name, unique among the classes.
    pub name: String,
    /// The latency objective in ms.
    #[serde(rename = "expected")]
    pub base_objective: u32,
    /// How far the latency objective may stretch under load.
    #[serde(default, rename = "expected-stretch")]
    pub objective_per_work: Decimal<3>,
    /// The deadline of a request, in ms after its arrival.
    pub hard_limit: u32,
    /// The priority weight: the value of a request that meets its objective.
    #[serde(rename = "payoff")]
    pub value: Decimal<6>,
    /// The threads that a request uses at its engine.
    #[serde(default = "default_threads")]
    pub threads: u16,
    /// Whether a request of the class may run more than once.
    #[serde(rename = "repeat")]
    pub repeat_safety: RepeatSafety,
    /// The engines among which a repetition is recognized.
    #[serde(default, rename = "within")]
    pub dedup_scope: DeduplicationScope,
    /// The time in ms for which a repetition is recognized; only for classes whose requests have a token.
    #[serde(default, rename = "window", skip_serializing_if = "Option::is_none")]
    pub dedup_window: Option<u32>,
    /// Whether requests of the same key run in the order of their arrival.
    #[serde(default, rename = "in-order")]
    pub preserves_key_order: bool,
    /// The zones whose engines may run it; any zone if empty.
    #[serde(default, rename = "zone", skip_serializing_if = "Vec::is_empty")]
    pub zones: Vec<String>,
    /// The machine types that may run it; any if empty.
    #[serde(default, rename = "kind", skip_serializing_if = "Vec::is_empty")]
    pub machine_types: Vec<String>,
}

fn default_threads() -> u16 {
    1
}

/// The retries that a gateway may make within any time window: `min_retries`, plus `retry_ratio` for each accepted
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RetryBudget {
    /// The retries allowed regardless of the number of requests.
    #[serde(rename = "spare")]
    pub min_retries: u32,
    /// The retries allowed in addition per accepted request.
    #[serde(rename = "share")]
    pub retry_ratio: Decimal<4>,
    /// The length of the window in ms.
    #[serde(rename = "span")]
    pub window: u32,
}

/// The slow start of engines, and when an engine counts as overloaded.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SlowStart {
    /// The share of its capacity that an engine is given when it starts.
    #[serde(rename = "from")]
    pub initial_share: Decimal<4>,
    /// The time in ms until it is given its full capacity.
    #[serde(rename = "warm-after")]
    pub slow_start_duration: u32,
    /// The multiple of its capacity at which an engine counts as overloaded, by the load of all gateways together.
    #[serde(rename = "multiple")]
    pub overload_factor: Decimal<3>,
    /// The window in ms over which overload is counted.
    #[serde(rename = "span")]
    pub overload_window: u32,
}

/// The settings of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Log {
    /// The least severe level that is logged.
    #[serde(default)]
    pub level: Level,
}

/// All settings that may change while the gateway runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    /// The classes of requests in service.
    #[serde(rename = "band")]
    pub classes: Vec<Class>,
    /// The number of gateways that share the engines.
    pub gateways: u32,
    /// The limit of attempts per request.
    #[serde(rename = "forwards-most")]
    pub max_attempts: u8,
    /// The longest retry-after of a rejection in ms; 0 if rejections have none.
    #[serde(default, rename = "advice")]
    pub max_retry_after: u32,
    /// The retry budget; `None` if retries are not limited.
    #[serde(default, rename = "ration", skip_serializing_if = "Option::is_none")]
    pub retry_budget: Option<RetryBudget>,
    /// The slow start of engines.
    #[serde(rename = "cold")]
    pub slow_start: SlowStart,
    /// The cells to which tenants are confined; `None` if tenants are not confined.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cells: Option<Cells>,
    /// The settings of the log.
    #[serde(default)]
    pub log: Log,
}

/// The names of zones and machine types, by the index that the policy uses.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Zones by index.
    pub zones: Vec<String>,
    /// Machine types by index.
    pub machine_types: Vec<String>,
}

impl NameIndex {
    /// The index of a zone; `u16::MAX`, which no rule allows, if the zone is not configured.
    pub fn zone(&self, name: &str) -> u16 {
        Self::index(&self.zones, name).unwrap_or(u16::MAX)
    }

    /// The index of a machine type; `u16::MAX`, which no rule allows, if it is not configured.
    pub fn machine_type(&self, name: &str) -> u16 {
        Self::index(&self.machine_types, name).unwrap_or(u16::MAX)
    }

    pub(crate) fn index(names: &[String], name: &str) -> Option<u16> {
        names
            .iter()
            .position(|known| known.eq_ignore_ascii_case(name))
            .and_then(|index| u16::try_from(index).ok())
    }
}

/// The path of a class's field in the tree.
pub(crate) fn class_path(name: &str, field: &str) -> String {
    format!("/settings/band[name={name}]/{field}")
}
