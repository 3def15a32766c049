//! Resolves path patterns against the schema.

use super::{Node, Schema, ValidationError};
use crate::path::{Path, Pattern, StepPattern};
use std::sync::Arc;

impl Schema {
    /// The pattern with the key name of every list in it filled in.
    ///
    /// # Errors
    /// Fails if no path of the schema can match the pattern.
    pub fn resolve(&self, pattern: &Pattern) -> Result<Pattern, ValidationError> {
        let mut resolved = pattern.clone();
        let mut nodes = vec![&self.root];
        let mut walked = Pattern::default();
        for step in &mut resolved.0 {
            walked.0.push(step.clone());
            nodes = match step {
                StepPattern::AnySteps => nodes.iter().flat_map(|node| node.descendants()).collect(),
                StepPattern::Step {
                    name,
                    key,
                    key_name,
                } => {
                    let matching = matching_children(&nodes, name.as_ref(), &walked)?;
                    let default_key = key_of_list(&matching, key_name.as_ref(), &walked)?;
                    if name.is_some() && key.is_none() && key_name.is_none() {
                        *key_name = default_key;
                    }
                    matching
                }
            };
        }
        Ok(resolved)
    }

    /// The single path that the pattern denotes. If its last step is a list, the key of that step may be missing.
    ///
    /// # Errors
    /// Fails if the pattern contains wildcards, lacks the key of another list, or can match no path.
    pub fn resolve_single(&self, pattern: &Pattern) -> Result<Path, ValidationError> {
        let resolved = self.resolve(pattern)?;
        let stem = resolved.stem();
        let step_count = resolved.0.len();
        if stem.0.len() == step_count {
            return Ok(stem);
        }
        match resolved.0.last() {
            Some(StepPattern::Step {
                name: Some(name),
                key: None,
                ..
            }) if stem.0.len() + 1 == step_count => Ok(stem.child(name, None)),
            _ => Err(ValidationError::new(
                pattern,
                "the path of a change must denote a single node, without wildcards and with the key of each list entry",
            )),
        }
    }
}

fn matching_children<'a>(
    parents: &[&'a Node],
    name: Option<&Arc<str>>,
    walked: &Pattern,
) -> Result<Vec<&'a Node>, ValidationError> {
    let matching: Vec<&Node> = parents
        .iter()
        .flat_map(|parent| &parent.children)
        .filter(|child| name.is_none_or(|name| *name == child.name))
        .collect();
    if matching.is_empty() {
        let reason = unknown_child(parents, name.is_some());
        return Err(ValidationError::new(walked, reason));
    }
    Ok(matching)
}

/// The name of the key of the first list among the nodes. Fails if the pattern names a key that none of them has.
fn key_of_list(
    nodes: &[&Node],
    key_name: Option<&Arc<str>>,
    walked: &Pattern,
) -> Result<Option<Arc<str>>, ValidationError> {
    let keys: Vec<&Arc<str>> = nodes.iter().filter_map(|node| node.key()).collect();
    match (key_name, keys.first()) {
        (Some(named), Some(key)) if !keys.contains(&named) => Err(ValidationError::new(
            walked,
            format!("the key of the list is {key}, not {named}"),
        )),
        (Some(_), None) => Err(ValidationError::new(
            walked,
            "the node is not a list and has no key",
        )),
        (_, key) => Ok(key.map(|key| (*key).clone())),
    }
}

fn unknown_child(parents: &[&Node], is_named: bool) -> String {
    let names: Vec<&str> = parents
        .iter()
        .flat_map(|parent| &parent.children)
        .map(|child| &*child.name)
        .collect();
    if is_named && !names.is_empty() {
        format!("unknown node, expected one of {}", names.join(", "))
    } else {
        "unknown node, its parent has no children".to_owned()
    }
}
