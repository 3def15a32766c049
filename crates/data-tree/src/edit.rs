//! Changes of the settings.

use crate::leaves::{select, LeafMap};
use crate::path::{Path, Pattern, StepPattern};
use crate::schema::{NodeKind, Schema, ValidationError};
use serde_json::Value as Json;
use std::sync::Arc;

/// One operation of a change to the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Edit {
    /// Removes the nodes that the pattern matches.
    Delete(Pattern),
    /// Sets the node to the value, and removes all of its leaves that the value does not contain.
    Replace(Pattern, Json),
    /// Sets the leaves that the value contains, and keeps the other leaves of the node.
    Update(Pattern, Json),
}

impl Schema {
    /// The settings after a change: all deletions are applied first, then all replacements, then all updates.
    ///
    /// # Errors
    /// Fails if a path is unknown or not a setting, or a value is not of its type. Whether the settings are complete is
    /// checked by [`Schema::document`].
    pub fn edit(&self, running: &LeafMap, edits: &[Edit]) -> Result<LeafMap, ValidationError> {
        let mut leaves = running.clone();
        for edit in edits {
            if let Edit::Delete(pattern) = edit {
                self.delete(&mut leaves, pattern)?;
            }
        }
        for edit in edits {
            if let Edit::Replace(pattern, json) = edit {
                leaves = self.replace(leaves, pattern, json)?;
            }
        }
        for edit in edits {
            if let Edit::Update(pattern, json) = edit {
                leaves = self.update(leaves, pattern, json)?;
            }
        }
        self.with_entry_keys(&leaves)
    }

    fn delete(&self, leaves: &mut LeafMap, pattern: &Pattern) -> Result<(), ValidationError> {
        let pattern = self.resolve(pattern)?;
        check_is_setting(&pattern)?;
        check_is_not_key(&pattern)?;
        remove_selected(leaves, &pattern);
        Ok(())
    }

    fn replace(
        &self,
        mut leaves: LeafMap,
        pattern: &Pattern,
        json: &Json,
    ) -> Result<LeafMap, ValidationError> {
        let path = self.resolve_single(pattern)?;
        check_is_setting(&Pattern::of(&path))?;
        let replacement = self.leaves(&path, json)?;
        let replaced = self.resolve(&Pattern::of(&path))?;
        remove_selected(&mut leaves, &replaced);
        Ok(replacement.union(leaves))
    }

    fn update(
        &self,
        leaves: LeafMap,
        pattern: &Pattern,
        json: &Json,
    ) -> Result<LeafMap, ValidationError> {
        let path = self.resolve_single(pattern)?;
        check_is_setting(&Pattern::of(&path))?;
        Ok(self.leaves(&path, json)?.union(leaves))
    }

    /// The leaves, completed by the key leaf of every list entry: an edit that creates an entry by setting one of its
    /// leaves does not contain the key leaf.
    fn with_entry_keys(&self, leaves: &LeafMap) -> Result<LeafMap, ValidationError> {
        let mut with_keys = leaves.clone();
        for path in leaves.keys() {
            self.insert_entry_keys(path, &mut with_keys)?;
        }
        Ok(with_keys)
    }

    /// Inserts the key leaves of the entries on the path.
    fn insert_entry_keys(&self, path: &Path, leaves: &mut LeafMap) -> Result<(), ValidationError> {
        let mut node = &self.root;
        for (index, step) in path.0.iter().enumerate() {
            node = node
                .child(&step.name)
                .ok_or_else(|| ValidationError::new(path, "unknown node"))?;
            if let (NodeKind::List { key }, Some(value)) = (&node.kind, &step.key) {
                let entry = path.prefix(index + 1);
                let key_leaf = node.key_leaf(key, &entry)?;
                let value = key_leaf.value(&entry, &Json::String(value.to_string()))?;
                leaves.insert(entry.child(key, None), value);
            }
        }
        Ok(())
    }
}

fn remove_selected(leaves: &mut LeafMap, pattern: &Pattern) {
    let paths: Vec<Path> = select(leaves, pattern)
        .map(|(path, _)| path.clone())
        .collect();
    for path in &paths {
        leaves.remove(path);
    }
}

/// The names of the steps; `None` for `*`. The wildcard `...` is left out.
fn step_names(pattern: &Pattern) -> Vec<Option<Arc<str>>> {
    let name = |step: &StepPattern| match step {
        StepPattern::Step { name, .. } => Some(name.clone()),
        StepPattern::AnySteps => None,
    };
    pattern.0.iter().filter_map(name).collect()
}

fn check_is_setting(pattern: &Pattern) -> Result<(), ValidationError> {
    let names = step_names(pattern);
    let first = names.first();
    if first.is_some_and(|name| name.as_deref() != Some("settings")) {
        return Err(ValidationError::new(
            pattern,
            "only paths below /settings can be changed",
        ));
    }
    Ok(())
}

/// Rejects deletion of a key leaf alone: the entry would remain without its key.
fn check_is_not_key(pattern: &Pattern) -> Result<(), ValidationError> {
    let names = step_names(pattern);
    if let [_, Some(list), Some(leaf)] = names.as_slice() {
        if **list == *"band" && **leaf == *"name" {
            return Err(ValidationError::new(
                pattern,
                "the key of an entry can only be deleted with the entry",
            ));
        }
    }
    Ok(())
}
