//! Writes the tree as JSON (RFC 7951), and reads it.

use crate::leaves::{below, LeafMap};
use crate::path::{Path, Step};
use crate::schema::{Node, NodeKind, Schema, ValidationError, MODULE_NAME};
use crate::value::Value;
use serde_json::{Map, Value as Json};
use std::collections::BTreeSet;
use std::sync::Arc;

impl Schema {
    /// The JSON of the node at the path, from the leaves at it and below it. The names of the node's own members have
    /// the prefix of the YANG module.
    pub fn json<'a>(
        &self,
        path: &Path,
        leaves: impl Iterator<Item = (&'a Path, &'a Value)>,
    ) -> Json {
        let mut relative: Vec<(&[Step], &Value)> = leaves
            .map(|(leaf, value)| (&leaf.0[path.0.len()..], value))
            .collect();
        if let [([], value)] = relative[..] {
            return value.json();
        }
        relative.sort_by(|left, right| left.0.cmp(right.0));
        let with_prefix = |(name, value)| (format!("{MODULE_NAME}:{name}"), value);
        let members = object(&relative).into_iter();
        Json::Object(members.map(with_prefix).collect())
    }

    /// The leaves in the JSON of the node at the path.
    ///
    /// # Errors
    /// Fails if a member is unknown, a value is not of its type, or an entry has no key or a key other than that in its
    /// path.
    pub fn leaves(&self, path: &Path, json: &Json) -> Result<LeafMap, ValidationError> {
        let node = self
            .node_at(path)
            .ok_or_else(|| ValidationError::new(path, "unknown node"))?;
        let mut leaves = LeafMap::new();
        let is_entry = path.0.last().is_some_and(|step| step.key.is_some());
        match (&node.kind, json) {
            (NodeKind::List { key }, Json::Object(_)) if is_entry => {
                read_entry(node, key, path, json, &mut leaves)?;
            }
            (NodeKind::List { .. }, _) if is_entry => {
                return Err(ValidationError::new(
                    path,
                    "a list entry must be a JSON object",
                ));
            }
            _ => read_node(node, path, json, &mut leaves)?,
        }
        Ok(leaves)
    }
}

impl Node {
    /// The key leaf of a list.
    pub(crate) fn key_leaf(&self, key: &str, path: &Path) -> Result<&Node, ValidationError> {
        self.child(key)
            .ok_or_else(|| ValidationError::new(path, format!("the list has no key leaf {key}")))
    }
}

/// The members of an object, from leaves relative to it that are sorted by their steps.
pub(crate) fn object(leaves: &[(&[Step], &Value)]) -> Map<String, Json> {
    let mut members = Map::new();
    let is_same_member =
        |left: &(&[Step], &Value), right: &(&[Step], &Value)| left.0.first() == right.0.first();
    for group in leaves.chunk_by(is_same_member) {
        let Some(step) = group[0].0.first() else {
            continue;
        };
        let below: Vec<(&[Step], &Value)> = group
            .iter()
            .map(|(steps, value)| (&steps[1..], *value))
            .collect();
        let json = match below[..] {
            [([], value)] => value.json(),
            _ => Json::Object(object(&below)),
        };
        insert_member(&mut members, step, json);
    }
    members
}

/// Inserts a member; an entry of a list is appended to the list's array.
fn insert_member(members: &mut Map<String, Json>, step: &Step, json: Json) {
    let name = step.name.to_string();
    if step.key.is_none() {
        members.insert(name, json);
        return;
    }
    let entries = members
        .entry(name)
        .or_insert_with(|| Json::Array(Vec::new()));
    if let Json::Array(entries) = entries {
        entries.push(json);
    }
}

fn read_node(
    node: &Node,
    path: &Path,
    json: &Json,
    leaves: &mut LeafMap,
) -> Result<(), ValidationError> {
    match (&node.kind, json) {
        (NodeKind::Container, _) => read_members(node, path, json, leaves),
        (NodeKind::List { key }, Json::Array(entries)) => {
            read_list(node, key, path, entries, leaves)
        }
        (NodeKind::List { .. }, _) => Err(ValidationError::new(
            path,
            "a list must be a JSON array of entries",
        )),
        (NodeKind::Leaf(_) | NodeKind::LeafList(_), _) => {
            let value = node.value(path, json)?;
            // RFC 7950 does not distinguish an empty leaf-list from an absent one.
            if value != Value::List(Vec::new()) {
                leaves.insert(path.clone(), value);
            }
            Ok(())
        }
    }
}

/// Reads the members of a container or of a list entry.
fn read_members(
    node: &Node,
    path: &Path,
    json: &Json,
    leaves: &mut LeafMap,
) -> Result<(), ValidationError> {
    let Json::Object(members) = json else {
        return Err(ValidationError::new(
            path,
            "a container or list entry must be a JSON object",
        ));
    };
    for (name, value) in members {
        let name = without_module(path, name)?;
        let Some(child) = node.child(name) else {
            return Err(unknown_member(node, path, name));
        };
        read_node(child, &path.child(&child.name, None), value, leaves)?;
    }
    // The tree holds leaves only and can't represent an empty container: the change would be accepted without effect.
    if node.presence && below(leaves, path.clone()).next().is_none() {
        return Err(ValidationError::new(
            path,
            "the container is empty, it must contain at least one leaf",
        ));
    }
    Ok(())
}

fn unknown_member(node: &Node, path: &Path, name: &str) -> ValidationError {
    let names: Vec<&str> = node.children.iter().map(|child| &*child.name).collect();
    ValidationError::new(
        path,
        format!(
            "unknown member {name}, expected one of {}",
            names.join(", ")
        ),
    )
}

/// The name of a member without its prefix. Fails if the prefix is not that of the gateway's YANG module.
fn without_module<'a>(path: &Path, name: &'a str) -> Result<&'a str, ValidationError> {
    match name.split_once(':') {
        Some((MODULE_NAME, name)) => Ok(name),
        Some((other, _)) => Err(ValidationError::new(
            path,
            format!("unknown module {other}, expected {MODULE_NAME}"),
        )),
        None => Ok(name),
    }
}

fn read_list(
    node: &Node,
    key: &Arc<str>,
    path: &Path,
    entries: &[Json],
    leaves: &mut LeafMap,
) -> Result<(), ValidationError> {
    let mut keys = BTreeSet::new();
    for json in entries {
        let key_json = json
            .get(&**key)
            .or_else(|| json.get(format!("{MODULE_NAME}:{key}")))
            .ok_or_else(|| ValidationError::new(path, format!("an entry has no key leaf {key}")))?;
        let key_value = node.key_leaf(key, path)?.value(path, key_json)?.to_string();
        let entry = with_key(path, &key_value);
        if !keys.insert(key_value) {
            return Err(ValidationError::new(
                &entry,
                "the entry occurs more than once",
            ));
        }
        read_entry(node, key, &entry, json, leaves)?;
    }
    Ok(())
}

/// The path with a key in its last step.
fn with_key(list: &Path, key: &str) -> Path {
    let mut steps = list.0.to_vec();
    if let Some(last) = steps.last_mut() {
        last.key = Some(key.into());
    }
    Path(steps.into())
}

/// Reads one entry of a list. If the entry contains its key leaf, this must agree with the key in the path.
fn read_entry(
    node: &Node,
    key: &Arc<str>,
    path: &Path,
    json: &Json,
    leaves: &mut LeafMap,
) -> Result<(), ValidationError> {
    read_members(node, path, json, leaves)?;
    let path_key = path.0.last().and_then(|step| step.key.clone());
    let path_key = path_key.unwrap_or_else(|| "".into());
    let key_path = path.child(key, None);
    if let Some(stated) = leaves.get(&key_path) {
        if stated.to_string() != *path_key {
            return Err(ValidationError::new(
                path,
                format!("the entry has the {key} {stated}, expected {path_key} as in its path"),
            ));
        }
    }
    let key_leaf = node.key_leaf(key, path)?;
    let value = key_leaf.value(path, &Json::String(path_key.to_string()))?;
    leaves.insert(key_path, value);
    Ok(())
}
