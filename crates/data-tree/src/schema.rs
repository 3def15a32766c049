//! The schema: the nodes of the tree, their types, and the check of values against them.

mod from_yang;
mod resolve;

use crate::path::Path;
use crate::value::{LeafType, Value};
use serde_json::Value as Json;
use std::fmt;
use std::sync::Arc;

pub use from_yang::{SchemaError, StatementFault};

/// The name of the YANG module, which prefixes the names of its top-level nodes in JSON.
pub const MODULE_NAME: &str = "ironstair-gateway";

/// The kind of a node, with its type or key.
#[derive(Clone, Debug)]
pub enum NodeKind {
    /// A container.
    Container,
    /// A list.
    List {
        /// The name of the key leaf.
        key: Arc<str>,
    },
    /// A leaf.
    Leaf(LeafType),
    /// A leaf-list.
    LeafList(LeafType),
}

/// A node of the schema.
#[derive(Clone, Debug)]
pub struct Node {
    /// The name, without the prefix of the YANG module.
    pub name: Arc<str>,
    /// The kind of the node, with its type or key.
    pub kind: NodeKind,
    /// Whether the node is a setting; otherwise it is state.
    pub config: bool,
    /// Whether a leaf must be present if its parent is.
    pub mandatory: bool,
    /// Whether the presence of a container has a meaning; other containers always exist.
    pub presence: bool,
    /// The minimum number of entries of a list.
    pub min_elements: usize,
    /// The maximum number of entries of a list.
    pub max_elements: usize,
    /// The unit of a leaf's value.
    pub units: Option<String>,
    /// The name of the type in the leaf's `type` statement: a typedef of the YANG module or a built-in type.
    pub typedef: Option<String>,
    /// The nodes directly below, in the order of the YANG module.
    pub children: Vec<Node>,
}

/// A value or path that the schema does not allow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// The path of the value, as text.
    pub path: String,
    /// Why the value or path is not allowed, in one sentence.
    pub reason: String,
}

impl ValidationError {
    pub(crate) fn new(path: &impl ToString, reason: impl Into<String>) -> Self {
        ValidationError {
            path: path.to_string(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for ValidationError {}

/// The nodes of the YANG module.
#[derive(Clone, Debug)]
pub struct Schema {
    /// A container for the top-level nodes.
    pub root: Node,
    /// The date of the latest revision of the YANG module.
    pub revision: String,
    /// The XML namespace of the YANG module.
    pub namespace: String,
}

impl Schema {
    /// The node at the path.
    pub fn node_at(&self, path: &Path) -> Option<&Node> {
        path.0
            .iter()
            .try_fold(&self.root, |node, step| node.child(&step.name))
    }
}

impl Node {
    /// The child node of that name.
    pub fn child(&self, name: &str) -> Option<&Node> {
        self.children.iter().find(|child| *child.name == *name)
    }

    /// The name of the key leaf, if the node is a list.
    pub fn key(&self) -> Option<&Arc<str>> {
        match &self.kind {
            NodeKind::List { key } => Some(key),
            _ => None,
        }
    }

    /// Whether the node is a leaf or a leaf-list.
    pub fn is_leaf(&self) -> bool {
        matches!(self.kind, NodeKind::Leaf(_) | NodeKind::LeafList(_))
    }

    /// The node and every node below it.
    fn descendants(&self) -> Vec<&Node> {
        let mut nodes = vec![self];
        for child in &self.children {
            nodes.extend(child.descendants());
        }
        nodes
    }

    /// The value of the leaf at `path` that the JSON (RFC 7951) encodes. Numbers are accepted as text as well.
    ///
    /// # Errors
    /// Fails if the JSON is not of the leaf's type, or the node is neither a leaf nor a leaf-list.
    pub fn value(&self, path: &Path, json: &Json) -> Result<Value, ValidationError> {
        let checked = |leaf_type: &LeafType, json: &Json| {
            leaf_type
                .value(json)
                .map_err(|error| ValidationError::new(path, error.to_string()))
        };
        match (&self.kind, json) {
            (NodeKind::Leaf(leaf_type), _) => checked(leaf_type, json),
            (NodeKind::LeafList(leaf_type), Json::Array(elements)) => {
                let values: Vec<Value> = elements
                    .iter()
                    .map(|element| checked(leaf_type, element))
                    .collect::<Result<_, _>>()?;
                check_unique(path, &values)?;
                Ok(Value::List(values))
            }
            (NodeKind::LeafList(_), _) => Err(ValidationError::new(
                path,
                "the value of a leaf-list must be a JSON array",
            )),
            _ => Err(ValidationError::new(path, "the node is not a leaf")),
        }
    }
}

fn check_unique(path: &Path, values: &[Value]) -> Result<(), ValidationError> {
    for (index, value) in values.iter().enumerate() {
        if values[..index].contains(value) {
            return Err(ValidationError::new(
                path,
                format!("{value} occurs more than once"),
            ));
        }
    }
    Ok(())
}
