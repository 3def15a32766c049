//! The rules for a document that the types and ranges of the settings tree cannot express. A reason that corresponds to
//! a `must` statement repeats its `error-message` in the YANG module.

use super::{class_path, Class, DeduplicationScope, Document, NameIndex, RepeatSafety};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Why a document, or a change of it, is not valid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{path}: {reason}")]
pub struct Violation {
    /// The node in the settings tree.
    pub path: String,
    /// A clause that states the reason.
    #[serde(rename = "why")]
    pub reason: String,
}

pub(crate) fn violation(path: impl Into<String>, reason: impl Into<String>) -> Violation {
    Violation {
        path: path.into(),
        reason: reason.into(),
    }
}

impl Document {
    /// All violations of the `must` statements of the YANG module, and all names of zones and machine types that are
    /// not configured.
    pub fn violations(&self, name_index: &NameIndex) -> Vec<Violation> {
        let mut violations = Vec::new();
        if self.classes.is_empty() {
            violations.push(violation("/settings/band", "at least one band is required"));
        }
        let mut names = BTreeSet::new();
        for class in &self.classes {
            if !names.insert(&class.name) {
                let path = class_path(&class.name, "name");
                let reason = format!("another band has the name {:?}", class.name);
                violations.push(violation(path, reason));
            }
            violations.extend(class.violations());
            violations.extend(class.unknown_names(name_index));
        }
        // This only checks names and counts, so any hash function will do.
        violations.extend(
            self.cells
                .iter()
                .filter_map(|cells| cells.cell_directory(|name| name.len() as u64).err()),
        );
        violations
    }
}

impl Class {
    fn violations(&self) -> Vec<Violation> {
        let is_tagged = self.repeat_safety == RepeatSafety::Tagged;
        let rules = [
            (
                self.hard_limit < self.base_objective,
                "hard-limit",
                "the hard limit is shorter than the expected time",
            ),
            (
                !is_tagged && self.dedup_scope != DeduplicationScope::All,
                "within",
                "within is for tagged bands",
            ),
            (
                !is_tagged && self.dedup_window.is_some(),
                "window",
                "window is for tagged bands",
            ),
            (
                is_tagged && self.dedup_window.is_none(),
                "window",
                "a tagged band needs its window",
            ),
        ];
        rules
            .into_iter()
            .filter(|(is_violated, _, _)| *is_violated)
            .map(|(_, field, reason)| violation(class_path(&self.name, field), reason))
            .collect()
    }

    fn unknown_names(&self, name_index: &NameIndex) -> Vec<Violation> {
        let zones = unknown_of(&self.zones, &name_index.zones).map(|name| ("zone", name));
        let kinds =
            unknown_of(&self.machine_types, &name_index.machine_types).map(|name| ("kind", name));
        zones
            .chain(kinds)
            .map(|(field, name)| {
                let reason = format!("{name} is not among those configured at start");
                violation(class_path(&self.name, field), reason)
            })
            .collect()
    }
}

fn unknown_of<'a>(names: &'a [String], known: &'a [String]) -> impl Iterator<Item = &'a String> {
    names
        .iter()
        .filter(|name| NameIndex::index(known, name).is_none())
}
