//! The settings document: the part of a gateway's policy config that may be read and set. Its JSON is that of the YANG
//! module (RFC 7951), so that neither has to be mapped to the other.

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
    /// It may be repeated under its token: engines recognize the repeat within a window.
    Tagged,
    /// It may run once.
    OnceOnly,
}

/// Among which engines a repeat is recognized by its token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// Every engine recognizes it.
    #[default]
    All,
    /// Engines of the same zone do.
    Zone,
    /// Engines of the same deduplication domain do.
    MarkGroup,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Level {
    /// What ended.
    Error,
    /// What an operator may have to act on.
    Warning,
    /// Changes of state.
    #[default]
    Info,
    /// Everything.
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
    /// Unique among the classes.
    pub name: String,
    /// Latency objective, ms.
    pub expected: u32,
    /// How far the latency objective may stretch under load.
    #[serde(default)]
    pub expected_stretch: Decimal<3>,
    /// Deadline of a request, ms after it came in.
    pub hard_limit: u32,
    /// Priority weight: what a request is worth that meets its objective.
    #[serde(rename = "payoff")]
    pub value: Decimal<6>,
    /// Threads that a request takes at its engine.
    #[serde(default = "one")]
    pub threads: u16,
    /// Whether it may run more than once.
    pub repeat: RepeatSafety,
    /// Among which engines a repeat is recognized.
    #[serde(default)]
    pub within: DeduplicationScope,
    /// For how long a repeat is recognized, ms; only where requests carry a token.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window: Option<u32>,
    /// Whether requests of the same key run in the order they came in.
    #[serde(default)]
    pub in_order: bool,
    /// Zones whose engines may run it; none for any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone: Vec<String>,
    /// Kinds of machine that may run it; none for any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub kind: Vec<String>,
}

fn one() -> u16 {
    1
}

/// How many retries a gateway may make within any span: `spare`, and `share` of the requests taken.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RetryBudget {
    /// Retries whatever the number of requests.
    pub spare: u32,
    /// Retries a request.
    pub share: Decimal<4>,
    /// The span that is counted over, ms.
    pub span: u32,
}

/// How engines that have just started are spared, and when one counts as overloaded.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct SlowStart {
    /// Share of its capacity that an engine has at its start.
    pub from: Decimal<4>,
    /// Until it has its whole capacity, ms.
    #[serde(rename = "warm-after")]
    pub slow_start_duration: u32,
    /// Times its capacity that overload an engine, all gateways together.
    pub multiple: Decimal<3>,
    /// The span over which overload is counted, ms.
    pub span: u32,
}

/// What is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Log {
    /// The least severe level that is logged.
    #[serde(default)]
    pub level: Level,
}

/// All settings that may change in service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Document {
    /// The classes of requests in service.
    #[serde(rename = "band")]
    pub class: Vec<Class>,
    /// How many gateways share the engines.
    pub gateways: u32,
    /// The most attempts of one request.
    #[serde(rename = "forwards-most")]
    pub max_attempts: u8,
    /// The longest retry-after that a rejected request is told, ms; 0: none is told.
    #[serde(default, rename = "advice")]
    pub max_retry_after: u32,
    /// The bound of retries; none: unbounded.
    #[serde(default, rename = "ration", skip_serializing_if = "Option::is_none")]
    pub retry_budget: Option<RetryBudget>,
    /// How engines that have just started are spared.
    #[serde(rename = "cold")]
    pub slow_start: SlowStart,
    /// Tenants confined to a part of the engines; none: no tenant is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cells: Option<Cells>,
    /// What is logged.
    #[serde(default)]
    pub log: Log,
}

/// The names of zones and kinds of machine, by the index that the policy knows them under.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    /// Zones by index.
    pub zones: Vec<String>,
    /// Kinds of machine by index.
    pub kinds: Vec<String>,
}

impl NameIndex {
    /// The index of a zone's name; `u16::MAX`, which no rule allows, for one that is not configured.
    pub fn zone(&self, name: &str) -> u16 {
        Self::index(&self.zones, name).unwrap_or(u16::MAX)
    }

    /// The index of a kind's name, likewise.
    pub fn kind(&self, name: &str) -> u16 {
        Self::index(&self.kinds, name).unwrap_or(u16::MAX)
    }

    pub(crate) fn index(names: &[String], name: &str) -> Option<u16> {
        names
            .iter()
            .position(|n| n.eq_ignore_ascii_case(name))
            .and_then(|i| u16::try_from(i).ok())
    }
}

/// The path of a class's field in the tree.
pub(crate) fn class_path(name: &str, field: &str) -> String {
    format!("/settings/band[name={name}]/{field}")
}
