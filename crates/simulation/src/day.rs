//! The scenario file (called a "day") in JSON. A scenario is checked completely before it is run.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The longest duration of a scenario or a fault, in seconds.
const MAX_SECONDS: f64 = 3600.0;
/// The smallest number of gateways in a fleet, because each of its voters is a gateway.
const MIN_FLEET_GATEWAYS: u32 = 3;

/// A fault scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Day")]
pub struct Scenario {
    /// Name of the scenario in tables and charts.
    pub name: String,
    /// Duration of the scenario in seconds of virtual time.
    #[serde(default = "default_seconds")]
    #[schemars(range(min = 5, max = 3600))]
    pub seconds: u32,
    /// Number of gateways.
    #[schemars(range(min = 1, max = 1000))]
    pub gateways: u32,
    /// Number of engines.
    #[schemars(range(min = 1, max = 200))]
    pub engines: u32,
    /// Requested work as a multiple of the capacity of all engines.
    #[schemars(range(min = 0.01, max = 3.0))]
    pub load: f64,
    /// How the gateways coordinate.
    #[serde(default)]
    pub fleet: FleetMode,
    /// Duration of a member's lease in milliseconds.
    #[serde(default = "default_lease_ms")]
    #[schemars(range(min = 1000, max = 60000))]
    pub lease_ms: u32,
    /// Whether a restarted process proves that its predecessor has ended, as the gateway program does.
    #[serde(rename = "proves_ends", default = "default_true")]
    pub proves_process_end: bool,
    /// Whether a member beyond the configured number of gateways waits for its share, as the gateway program does.
    #[serde(rename = "shares_wait", default = "default_true")]
    pub waits_for_share: bool,
    /// Share of the requests whose client ignores the advised wait and retries almost immediately.
    #[serde(rename = "ignore_advice", default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub ignore_advice_share: f64,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// How gateways coordinate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Fleet")]
pub enum FleetMode {
    /// Not at all: each gateway uses its own configuration.
    #[default]
    None,
    /// The fleet has one policy and leases. Limits are shared among the configured number of gateways.
    #[serde(rename = "told")]
    Fixed,
    /// The fleet has one policy and leases. Limits are shared among its current members.
    Members,
}

/// A fault and the time at which it occurs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault occurs, in seconds from the scenario's start.
    pub at_s: f64,
    /// The kind of fault and its parameters.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// The kind of a fault.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The processes of several gateways are killed at the same time.
    KillGateways {
        /// Share of the gateways, drawn at random.
        share: f64,
        /// Seconds until each gateway restarts.
        #[serde(rename = "back_s")]
        restart_after_s: f64,
        /// Whether voters among the drawn gateways are spared. Without a majority of its voters a fleet has no leader.
        #[serde(default)]
        #[serde(rename = "but_keepers")]
        except_voters: bool,
    },
    /// The processes of several gateways are paused at the same time. They handle everything when they resume.
    #[serde(rename = "stop_gateways")]
    PauseGateways {
        /// Share of the gateways, drawn at random.
        share: f64,
        /// Duration of the pause in seconds.
        #[serde(rename = "for_s")]
        duration_s: f64,
    },
    /// The processes of several engines are killed at the same time. They are cold when they restart.
    KillEngines {
        /// Share of the engines, drawn at random.
        share: f64,
        /// Seconds until each engine restarts.
        #[serde(rename = "back_s")]
        restart_after_s: f64,
    },
    /// The processes of all voters, which are the first three gateways, are killed at the same time.
    #[serde(rename = "kill_keepers")]
    KillVoters {
        /// Seconds until each voter restarts.
        #[serde(rename = "back_s")]
        restart_after_s: f64,
    },
    /// The name service is unavailable, so gateways discover no changes of the engines.
    #[serde(rename = "names_down")]
    NameServiceDown {
        /// Duration of the outage in seconds.
        #[serde(rename = "for_s")]
        duration_s: f64,
    },
}

/// Why a scenario cannot be run. Each message begins with the path of the field or file.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// A field is missing, unknown, or of the wrong type.
    #[error("{field}: {source}")]
    Field {
        /// The field's path, or `scenario` for the whole.
        field: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// Something follows the JSON value.
    #[error("scenario: {0}")]
    TrailingCharacters(serde_json::Error),
    /// A number is outside its range.
    #[error("{field}: {value} is outside {min} to {max}")]
    OutOfRange {
        /// The field's path.
        field: String,
        /// Its value.
        value: f64,
        /// The smallest number allowed.
        min: f64,
        /// The largest number allowed.
        max: f64,
    },
    /// A fleet has fewer gateways than voters.
    #[error("fleet: requires at least {MIN_FLEET_GATEWAYS} gateways, found {gateways}")]
    TooFewGateways {
        /// The number of gateways.
        gateways: u32,
    },
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The scenario in the file is invalid.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// The error in it.
        source: Box<ScenarioError>,
    },
}

fn default_seconds() -> u32 {
    60
}

fn default_lease_ms() -> u32 {
    3000
}

fn default_true() -> bool {
    true
}

/// A number in a fault that must be between 0 and a maximum.
struct BoundedField {
    name: &'static str,
    value: f64,
    max: f64,
}

impl BoundedField {
    fn share(value: f64) -> BoundedField {
        let name = "share";
        let max = 1.0;
        BoundedField { name, value, max }
    }

    fn seconds(name: &'static str, value: f64) -> BoundedField {
        let max = MAX_SECONDS;
        BoundedField { name, value, max }
    }
}

impl FaultKind {
    fn bounded_fields(&self) -> Vec<BoundedField> {
        match *self {
            FaultKind::KillGateways {
                share,
                restart_after_s,
                ..
            }
            | FaultKind::KillEngines {
                share,
                restart_after_s,
            } => vec![
                BoundedField::share(share),
                BoundedField::seconds("back_s", restart_after_s),
            ],
            FaultKind::PauseGateways { share, duration_s } => vec![
                BoundedField::share(share),
                BoundedField::seconds("for_s", duration_s),
            ],
            FaultKind::KillVoters { restart_after_s } => {
                vec![BoundedField::seconds("back_s", restart_after_s)]
            }
            FaultKind::NameServiceDown { duration_s } => {
                vec![BoundedField::seconds("for_s", duration_s)]
            }
        }
    }
}

fn check_range(field: &str, value: f64, min: f64, max: f64) -> Result<(), ScenarioError> {
    if value.is_finite() && (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ScenarioError::OutOfRange {
        field: field.to_owned(),
        value,
        min,
        max,
    })
}

impl Scenario {
    /// Parses and checks a scenario.
    ///
    /// # Errors
    /// The JSON is malformed, or a field is missing, unknown or invalid. The error names the first such field.
    pub fn decode(json: &[u8]) -> Result<Scenario, ScenarioError> {
        let mut reader = serde_json::Deserializer::from_slice(json);
        let scenario: Scenario =
            serde_path_to_error::deserialize(&mut reader).map_err(|error| {
                let field = match error.path().to_string().as_str() {
                    "." => "scenario".to_owned(),
                    path => path.to_owned(),
                };
                let source = error.into_inner();
                ScenarioError::Field { field, source }
            })?;
        reader.end().map_err(ScenarioError::TrailingCharacters)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Reads, parses and checks a scenario's file.
    ///
    /// # Errors
    /// The file cannot be read, or its scenario is invalid.
    pub fn read(path: &Path) -> Result<Scenario, ScenarioError> {
        let bytes = std::fs::read(path).map_err(|source| ScenarioError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Scenario::decode(&bytes).map_err(|error| ScenarioError::InFile {
            path: path.to_path_buf(),
            source: Box::new(error),
        })
    }

    fn check(&self) -> Result<(), ScenarioError> {
        check_range("seconds", self.seconds as f64, 5.0, MAX_SECONDS)?;
        check_range("gateways", self.gateways as f64, 1.0, 1000.0)?;
        check_range("engines", self.engines as f64, 1.0, 200.0)?;
        check_range("load", self.load, 0.01, 3.0)?;
        check_range("lease_ms", self.lease_ms as f64, 1000.0, 60_000.0)?;
        check_range("ignore_advice", self.ignore_advice_share, 0.0, 1.0)?;
        if self.fleet != FleetMode::None && self.gateways < MIN_FLEET_GATEWAYS {
            let gateways = self.gateways;
            return Err(ScenarioError::TooFewGateways { gateways });
        }
        for (index, fault) in self.faults.iter().enumerate() {
            let at_s_path = format!("faults[{index}].at_s");
            check_range(&at_s_path, fault.at_s, 0.0, self.seconds as f64)?;
            for field in fault.kind.bounded_fields() {
                let path = format!("faults[{index}].what.{}", field.name);
                check_range(&path, field.value, 0.0, field.max)?;
            }
        }
        Ok(())
    }

    /// The JSON Schema of the scenario file.
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Scenario)).unwrap_or_default()
    }
}
