//! A tree as a persistent map from paths to leaves, and queries of it by pattern.

use crate::path::{Path, Pattern};
use crate::value::Value;

/// Leaves in the order of their paths, so that all leaves below a path are adjacent. Copies share the entries that they
/// have in common.
pub type LeafMap = imbl::OrdMap<Path, Value>;

/// The leaves that the pattern covers, in order. The pattern must be resolved by the schema.
pub fn select<'a>(
    leaves: &'a LeafMap,
    pattern: &'a Pattern,
) -> impl Iterator<Item = (&'a Path, &'a Value)> {
    below(leaves, pattern.stem()).filter(|(path, _)| pattern.covers(path))
}

/// The leaves at the path and below it, in order.
pub(crate) fn below(leaves: &LeafMap, path: Path) -> impl Iterator<Item = (&Path, &Value)> {
    leaves
        .range(path.clone()..)
        .take_while(move |(leaf, _)| leaf.starts_with(&path))
}

/// Removes the leaves at the path and below it.
pub(crate) fn remove_below(leaves: &mut LeafMap, path: &Path) {
    let paths: Vec<Path> = below(leaves, path.clone())
        .map(|(leaf, _)| leaf.clone())
        .collect();
    for path in &paths {
        leaves.remove(path);
    }
}

/// The paths of the nodes that the pattern matches and that have leaves; for a list, one path per entry. A pattern with
/// `...` yields the paths of the leaves. The pattern must be resolved by the schema.
pub fn nodes(leaves: &LeafMap, pattern: &Pattern) -> Vec<Path> {
    let covered = select(leaves, pattern).map(|(path, _)| path);
    if pattern.has_any_steps() {
        return covered.cloned().collect();
    }
    let mut nodes: Vec<Path> = Vec::new();
    for path in covered {
        if !nodes.last().is_some_and(|node| path.starts_with(node)) {
            nodes.push(path.prefix(pattern.0.len()));
        }
    }
    nodes
}
