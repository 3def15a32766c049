//! Conversion between the settings of the tree and a settings document, and the check that the settings are complete.

use crate::encoding::object;
use crate::leaves::{below, LeafMap};
use crate::path::{Path, Step};
use crate::schema::{Node, NodeKind, Schema, ValidationError};
use crate::value::Value;
use ironstair_config_change::Document;
use serde_json::Value as Json;
use std::collections::BTreeSet;

impl Schema {
    /// An error for each mandatory setting that is missing, and for each list with too few or too many entries.
    pub fn completeness_errors(&self, leaves: &LeafMap) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        for node in self.root.children.iter().filter(|node| node.config) {
            let path = Path::root().child(&node.name, None);
            check_complete(node, &path, leaves, &mut errors);
        }
        errors
    }

    /// The settings as a document.
    ///
    /// # Errors
    /// Fails with all errors of [`Schema::completeness_errors`], or with the error of the conversion.
    pub fn document(&self, leaves: &LeafMap) -> Result<Document, Vec<ValidationError>> {
        let missing = self.completeness_errors(leaves);
        if !missing.is_empty() {
            return Err(missing);
        }
        let settings = settings_path();
        let relative: Vec<(&[Step], &Value)> = leaves
            .iter()
            .filter(|(path, _)| path.starts_with(&settings))
            .map(|(path, value)| (&path.0[1..], value))
            .collect();
        serde_json::from_value(Json::Object(object(&relative)))
            .map_err(|error| vec![ValidationError::new(&settings, error.to_string())])
    }

    /// The leaves of a document, including the defaults.
    ///
    /// # Errors
    /// Fails if the document contains a value that the schema does not allow.
    pub fn settings(&self, document: &Document) -> Result<LeafMap, ValidationError> {
        let path = settings_path();
        let json = serde_json::to_value(document)
            .map_err(|error| ValidationError::new(&path, error.to_string()))?;
        self.leaves(&path, &json)
    }
}

fn settings_path() -> Path {
    Path::root().child(&"settings".into(), None)
}

fn check_complete(node: &Node, path: &Path, leaves: &LeafMap, errors: &mut Vec<ValidationError>) {
    match &node.kind {
        NodeKind::Leaf(_) | NodeKind::LeafList(_) => {
            if node.mandatory && !leaves.contains_key(path) {
                errors.push(ValidationError::new(
                    path,
                    "the mandatory setting is missing",
                ));
            }
        }
        NodeKind::Container => {
            if !node.presence || below(leaves, path.clone()).next().is_some() {
                check_children(node, path, leaves, errors);
            }
        }
        NodeKind::List { .. } => check_list(node, path, leaves, errors),
    }
}

fn check_children(node: &Node, path: &Path, leaves: &LeafMap, errors: &mut Vec<ValidationError>) {
    for child in &node.children {
        check_complete(child, &path.child(&child.name, None), leaves, errors);
    }
}

fn check_list(node: &Node, path: &Path, leaves: &LeafMap, errors: &mut Vec<ValidationError>) {
    let entries = entries_of(path, leaves);
    let (least, most) = (node.min_elements, node.max_elements);
    let count = entries.len();
    if count < least || count > most {
        errors.push(ValidationError::new(
            path,
            format!("the list has {count} entries, {least} to {most} are allowed"),
        ));
    }
    for entry in &entries {
        check_children(node, entry, leaves, errors);
    }
}

/// The paths of the entries of the list at the path.
fn entries_of(list: &Path, leaves: &LeafMap) -> BTreeSet<Path> {
    let depth = list.0.len();
    let Some(last) = list.0.last() else {
        return BTreeSet::new();
    };
    below(leaves, list.prefix(depth - 1))
        .map(|(leaf, _)| leaf)
        .filter(|leaf| leaf.0.len() > depth && leaf.0[depth - 1].name == last.name)
        .map(|leaf| leaf.prefix(depth))
        .collect()
}
