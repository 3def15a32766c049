//! What is played, as JSON: checked whole before anything is.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Day {
    pub name: String,
    /// How long it lasts.
    #[serde(default = "seconds")]
    #[schemars(range(min = 5, max = 3600))]
    pub seconds: u32,
    #[schemars(range(min = 1, max = 1000))]
    pub gateways: u32,
    #[schemars(range(min = 1, max = 200))]
    pub engines: u32,
    /// Of what all engines can do, the share that is asked for.
    #[schemars(range(min = 0.01, max = 3.0))]
    pub load: f64,
    /// What the gateways know of each other.
    #[serde(default)]
    pub fleet: Fleet,
    #[serde(default = "lease")]
    #[schemars(range(min = 1000, max = 60000))]
    pub lease_ms: u32,
    /// Whether a process that comes back proves that the last one of its name has ended, as the built one does.
    #[serde(default = "yes")]
    pub proves_ends: bool,
    /// Whether who comes beyond the count waits for its share, as the built one does.
    #[serde(default = "yes")]
    pub shares_wait: bool,
    /// Of the clients, those that come back at once whatever they are advised.
    #[serde(default)]
    #[schemars(range(min = 0.0, max = 1.0))]
    pub ignore_advice: f64,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fleet {
    /// Nothing: each goes by what it was told.
    #[default]
    None,
    /// One policy, leases; shares as many as were told.
    #[serde(rename = "told")]
    Fixed,
    /// The same, and shares among the members that there are.
    Members,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub at_s: f64,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// That share of them, in one moment; each back after so long.
    KillGateways {
        share: f64,
        back_s: f64,
        /// Those among them that keep the fleet's log are spared: with most of those gone, a fleet decides nothing.
        #[serde(default)]
        #[serde(rename = "but_keepers")]
        except_voters: bool,
    },
    /// Stopped, and gone on: what came meanwhile is found then.
    StopGateways { share: f64, for_s: f64 },
    /// That share of the engines; back cold.
    KillEngines { share: f64, back_s: f64 },
    /// The first three gateways keep the fleet's log.
    #[serde(rename = "kill_keepers")]
    KillVoters { back_s: f64 },
    /// No list of engines comes.
    NamesDown { for_s: f64 },
}

fn seconds() -> u32 {
    60
}

fn yes() -> bool {
    true
}

fn lease() -> u32 {
    3000
}

impl What {
    fn figures(&self) -> [(&'static str, f64, f64); 2] {
        match *self {
            What::KillGateways { share, back_s, .. } | What::KillEngines { share, back_s } => {
                [("share", share, 1.0), ("back_s", back_s, 3600.0)]
            }
            What::StopGateways { share, for_s } => {
                [("share", share, 1.0), ("for_s", for_s, 3600.0)]
            }
            What::KillVoters { back_s } => [("back_s", back_s, 3600.0); 2],
            What::NamesDown { for_s } => [("for_s", for_s, 3600.0); 2],
        }
    }
}

impl Day {
    /// # Errors
    /// One sentence that names the field.
    pub fn decode(json: &[u8]) -> Result<Day, String> {
        let mut reader = serde_json::Deserializer::from_slice(json);
        let day: Day = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            let at = e.path().to_string();
            let at = if at == "." { "the day".into() } else { at };
            format!("{at}: {}", e.into_inner())
        })?;
        reader.end().map_err(|e| e.to_string())?;
        day.checked()
    }

    /// # Errors
    /// It can't be read, or a field can't be; one sentence with the path.
    pub fn read(path: &Path) -> Result<Day, String> {
        let fault = |e: String| format!("{}: {e}", path.display());
        let bytes = std::fs::read(path).map_err(|e| fault(e.to_string()))?;
        Day::decode(&bytes).map_err(fault)
    }

    fn checked(self) -> Result<Day, String> {
        let within = |field: String, is: f64, least: f64, most: f64| {
            let fits = is.is_finite() && (least..=most).contains(&is);
            fits.then_some(())
                .ok_or(format!("{field}: {is} is outside {least} to {most}"))
        };
        within("seconds".into(), self.seconds as f64, 5.0, 3600.0)?;
        within("gateways".into(), self.gateways as f64, 1.0, 1000.0)?;
        within("engines".into(), self.engines as f64, 1.0, 200.0)?;
        within("load".into(), self.load, 0.01, 3.0)?;
        within("lease_ms".into(), self.lease_ms as f64, 1000.0, 60_000.0)?;
        within("ignore_advice".into(), self.ignore_advice, 0.0, 1.0)?;
        if self.fleet != Fleet::None && self.gateways < 3 {
            return Err(format!("fleet: it needs 3 gateways, not {}", self.gateways));
        }
        for (i, f) in self.faults.iter().enumerate() {
            within(
                format!("faults[{i}].at_s"),
                f.at_s,
                0.0,
                self.seconds as f64,
            )?;
            for (field, is, most) in f.what.figures() {
                within(format!("faults[{i}].what.{field}"), is, 0.0, most)?;
            }
        }
        Ok(self)
    }

    /// The file's JSON Schema.
    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Day)).unwrap_or_default()
    }
}
