//! What becomes of the settings that run when the file behind them is replaced: one step, there and back.
//!
//! Requests, charges and paces hold on to the index of their class, engines to those of their zone and kind.
//! So whatever had an index keeps it: a class that the file no longer names, or names with other threads, order
//! or repeats, is closed rather than forgotten, and is opened again under its index when a file brings it back.

use crate::document::{Document, NameIndex};
use crate::plan::{ClassRegistry, ClassSlot, Origin, MAX_CLASSES};
use ironstair::{Kind, Ms, PolicyConfig};

/// What one file says, decoded.
#[derive(Clone, Debug)]
pub struct ConfigFile {
    pub policy_config: PolicyConfig,
    /// The classes' names and hard limits, in ms, in their order.
    pub names: Vec<String>,
    pub limits: Vec<Ms>,
    pub name_index: NameIndex,
}

/// The file that runs, under the indices that all files before it gave.
#[derive(Clone)]
pub struct RunningConfig {
    origin: Origin,
    registry: ClassRegistry,
}

impl RunningConfig {
    /// The first file's order is that of the indices.
    pub fn new(file: ConfigFile) -> RunningConfig {
        let ConfigFile {
            policy_config,
            names,
            limits,
            name_index,
        } = file;
        let document = Document::configured(&policy_config, &names, &limits, &name_index);
        let registry = ClassRegistry::of(&document);
        RunningConfig {
            origin: Origin {
                policy_config,
                document,
                name_index,
            },
            registry,
        }
    }

    /// What runs once this file is taken over; none where it says the same as the last.
    ///
    /// # Errors
    /// The sentence names the field; nothing has changed then.
    pub fn reload(&self, file: ConfigFile) -> Result<Option<RunningConfig>, String> {
        let was = &self.origin;
        let zones = united(&was.name_index.zones, &file.name_index.zones);
        let kinds = united(&was.name_index.kinds, &file.name_index.kinds);
        let name_index = NameIndex { zones, kinds };
        let place = |known: &[String], names: &[String], i: u16| {
            let name = names
                .get(i as usize)
                .ok_or_else(|| format!("index {i} is past the {} told", names.len()));
            name.map(|n| NameIndex::index(known, n).unwrap_or(u16::MAX))
        };
        let mut policy_config = file.policy_config;
        for (terms, name) in policy_config.classes.iter_mut().zip(&file.names) {
            for (field, at, known, names) in [
                (
                    "dcs_allowed",
                    &mut terms.zones,
                    &name_index.zones,
                    &file.name_index.zones,
                ),
                (
                    "machine_types_allowed",
                    &mut terms.kinds,
                    &name_index.kinds,
                    &file.name_index.kinds,
                ),
            ] {
                let moved = at
                    .iter()
                    .flatten()
                    .map(|&i| place(known, names, i))
                    .collect::<Result<_, _>>();
                let moved =
                    moved.map_err(|reason| format!("settings: class {name}: {field}: {reason}"))?;
                *at = at.is_some().then_some(moved);
            }
        }
        let configured = |name: &String| {
            NameIndex::index(&file.name_index.kinds, name).map(|i| policy_config.kinds[i as usize])
        };
        let persisted = |i: usize| {
            was.policy_config.kinds.get(i).copied().unwrap_or(Kind {
                cores: 1.0,
                memory_mb: 0.0,
            })
        };
        let all = name_index.kinds.iter().enumerate();
        policy_config.kinds = all
            .map(|(i, name)| configured(name).unwrap_or_else(|| persisted(i)))
            .collect();
        if !policy_config.classes.iter().any(|b| b.in_order) {
            // Those still open in a class that is closed keep their order, and its rest after doubt.
            policy_config.key_quarantine = was.policy_config.key_quarantine;
        }
        let document = Document::configured(&policy_config, &file.names, &file.limits, &name_index);
        // Before the checks: a file that only moves the list does what it did at the start.
        if policy_config == was.policy_config && document == was.document {
            return Ok(None);
        }
        let violations: Vec<String> = document
            .violations(&name_index)
            .iter()
            .map(|f| f.to_string())
            .collect();
        if !violations.is_empty() {
            return Err(violations.join("; "));
        }
        let mut registry = self.registry.clone();
        for slot in document.class.iter().map(ClassSlot::of) {
            if !registry.0.contains(&slot) {
                registry.0.push(slot);
            }
        }
        if registry.0.len() > MAX_CLASSES {
            return Err(format!(
                "settings: classes: more than {MAX_CLASSES} since the start: it takes a restart"
            ));
        }
        let origin = Origin {
            policy_config,
            document,
            name_index,
        };
        Ok(Some(RunningConfig { origin, registry }))
    }

    /// For the decisions, by the indices kept.
    pub fn policy_config(&self) -> PolicyConfig {
        self.origin
            .policy_config(&self.origin.document, &self.registry)
    }

    /// All classes by index; which are in service, the policy config says.
    pub fn registry(&self) -> &ClassRegistry {
        &self.registry
    }

    /// What the file says of those in service.
    pub fn document(&self) -> &Document {
        &self.origin.document
    }

    /// The names of zones and kinds by index.
    pub fn name_index(&self) -> &NameIndex {
        &self.origin.name_index
    }
}

/// What was known in its order, then what is new.
fn united(known: &[String], names: &[String]) -> Vec<String> {
    let mut all = known.to_vec();
    for name in names {
        if NameIndex::index(&all, name).is_none() {
            all.push(name.clone());
        }
    }
    all
}
