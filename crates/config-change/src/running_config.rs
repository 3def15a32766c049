//! The running configuration file, and its replacement by another one.
//!
//! Requests, charges and pacing refer to the index of their class, and engines to those of their zone and machine type.
//! An index is therefore never reused: a class that the new file does not contain, or contains with other threads,
//! order or repetition, is taken out of service and keeps its index. A later file that contains it unchanged
//! puts it back into service.

use crate::document::{Document, NameIndex, Violation};
use crate::origin::Origin;
use crate::registry::{ClassRegistry, ClassSlot, MAX_CLASSES};
use ironstair::{MachineType, Millis, PolicyConfig};

/// The content of one configuration file.
#[derive(Clone, Debug)]
pub struct ConfigFile {
    /// The policy config. Its indices refer to the names in this file.
    pub policy_config: PolicyConfig,
    /// The names of the classes, in the order of the policy config.
    pub class_names: Vec<String>,
    /// The hard limits of the classes in ms, in the order of the policy config.
    pub hard_limits: Vec<Millis>,
    /// The names of zones and machine types in the file.
    pub name_index: NameIndex,
}

/// Why a new file is rejected. The running config is unchanged then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReloadError {
    /// A class refers to a zone or machine type by an index that the file does not have.
    #[error(
        "settings: class {class}: {field}: index {index} is out of range, the file lists {count}"
    )]
    UnknownIndex {
        /// The name of the class.
        class: String,
        /// The field of the class.
        field: &'static str,
        /// The index.
        index: u16,
        /// The number of names that the file lists.
        count: usize,
    },
    /// The file's settings violate rules.
    #[error("{}", join(.0))]
    Violations(Vec<Violation>),
    /// The process has had too many classes since its start.
    #[error("settings: classes: more than {MAX_CLASSES} different ones since the start: restart the gateway")]
    TooManyClasses,
}

fn join(violations: &[Violation]) -> String {
    let sentences: Vec<String> = violations.iter().map(Violation::to_string).collect();
    sentences.join("; ")
}

/// The running file, with the indices that all earlier files have assigned.
#[derive(Clone)]
pub struct RunningConfig {
    origin: Origin,
    registry: ClassRegistry,
}

impl RunningConfig {
    /// The first file, whose order defines the indices.
    pub fn new(file: ConfigFile) -> RunningConfig {
        let document = Document::configured(
            &file.policy_config,
            &file.class_names,
            &file.hard_limits,
            &file.name_index,
        );
        RunningConfig {
            registry: ClassRegistry::from_document(&document),
            origin: Origin {
                policy_config: file.policy_config,
                document,
                name_index: file.name_index,
            },
        }
    }

    /// The running config after a replacement by this file; `None` if the file has the same settings as the last one.
    ///
    /// # Errors
    /// Fails if the file is invalid; the error names the field.
    pub fn reload(&self, file: ConfigFile) -> Result<Option<RunningConfig>, ReloadError> {
        let before = &self.origin;
        let name_index = NameIndex {
            zones: union(&before.name_index.zones, &file.name_index.zones),
            machine_types: union(
                &before.name_index.machine_types,
                &file.name_index.machine_types,
            ),
        };
        let policy_config = self.translate(&file, &name_index)?;
        let document = Document::configured(
            &policy_config,
            &file.class_names,
            &file.hard_limits,
            &name_index,
        );
        // This comes before the checks: a file that changes only the endpoint list must not be rejected by a rule that
        // is not checked at the start.
        if policy_config == before.policy_config && document == before.document {
            return Ok(None);
        }
        let violations = document.violations(&name_index);
        if !violations.is_empty() {
            return Err(ReloadError::Violations(violations));
        }
        let registry = self.extended_registry(&document)?;
        let origin = Origin {
            policy_config,
            document,
            name_index,
        };
        Ok(Some(RunningConfig { origin, registry }))
    }

    /// The policy config of the file, with its own indices replaced by the assigned ones.
    fn translate(
        &self,
        file: &ConfigFile,
        name_index: &NameIndex,
    ) -> Result<PolicyConfig, ReloadError> {
        let mut config = file.policy_config.clone();
        for (policy, class) in config.classes.iter_mut().zip(&file.class_names) {
            let unknown_index = |field: &'static str, count: usize| {
                move |index: u16| ReloadError::UnknownIndex {
                    class: class.clone(),
                    field,
                    index,
                    count,
                }
            };
            let zones = &file.name_index.zones;
            translate_indices(&mut policy.zones, &name_index.zones, zones)
                .map_err(unknown_index("dcs_allowed", zones.len()))?;
            let machine_types = &file.name_index.machine_types;
            translate_indices(
                &mut policy.machine_types,
                &name_index.machine_types,
                machine_types,
            )
            .map_err(unknown_index("machine_types_allowed", machine_types.len()))?;
        }
        config.machine_types = self.machine_types(file, name_index);
        if !config.classes.iter().any(|class| class.preserves_key_order) {
            // Open requests of a class out of service keep their order, which needs the quarantine of their keys.
            config.key_quarantine = self.origin.policy_config.key_quarantine;
        }
        Ok(config)
    }

    /// The machine types by their assigned indices. One that the file does not list keeps its earlier values.
    fn machine_types(&self, file: &ConfigFile, name_index: &NameIndex) -> Vec<MachineType> {
        let unknown = MachineType {
            cores: 1.0,
            memory_mb: 0.0,
        };
        let machine_type = |(index, name): (usize, &String)| match NameIndex::index(
            &file.name_index.machine_types,
            name,
        ) {
            Some(file_index) => file.policy_config.machine_types[file_index as usize],
            None => {
                let before = self.origin.policy_config.machine_types.get(index);
                before.copied().unwrap_or(unknown)
            }
        };
        name_index
            .machine_types
            .iter()
            .enumerate()
            .map(machine_type)
            .collect()
    }

    fn extended_registry(&self, document: &Document) -> Result<ClassRegistry, ReloadError> {
        let mut registry = self.registry.clone();
        for slot in document.classes.iter().map(ClassSlot::from_class) {
            if !registry.0.contains(&slot) {
                registry.0.push(slot);
            }
        }
        if registry.0.len() > MAX_CLASSES {
            return Err(ReloadError::TooManyClasses);
        }
        Ok(registry)
    }

    /// The policy config, with the assigned indices.
    pub fn policy_config(&self) -> PolicyConfig {
        self.origin
            .policy_config(&self.origin.document, &self.registry)
    }

    /// All classes by index, including those out of service; the policy config states which these are.
    pub fn registry(&self) -> &ClassRegistry {
        &self.registry
    }

    /// The settings document of the classes in service.
    pub fn document(&self) -> &Document {
        &self.origin.document
    }

    /// The names of zones and machine types by index.
    pub fn name_index(&self) -> &NameIndex {
        &self.origin.name_index
    }
}

/// Replaces indices into `names` by indices into `known`. The error is an index that `names` does not have.
fn translate_indices(
    indices: &mut Option<Vec<u16>>,
    known: &[String],
    names: &[String],
) -> Result<(), u16> {
    for index in indices.iter_mut().flatten() {
        let name = names.get(*index as usize).ok_or(*index)?;
        *index = NameIndex::index(known, name).unwrap_or(u16::MAX);
    }
    Ok(())
}

/// The known names in their order, followed by the new ones.
fn union(known: &[String], names: &[String]) -> Vec<String> {
    let mut all = known.to_vec();
    for name in names {
        if NameIndex::index(&all, name).is_none() {
            all.push(name.clone());
        }
    }
    all
}
