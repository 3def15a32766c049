//! What the dispatcher needs of a settings document in addition to the policy config.

use ironstair::{Millis, PolicyConfig};
use ironstair_cells::CellDirectory;
use ironstair_config_change::{ClassRegistry, Document};
use ironstair_runtime::fnv1a_64;
use ironstair_runtime::state_watch::ClassSummary;

/// The longest deadline if no class has a longer hard limit, in ms.
const MIN_MAX_DEADLINE: Millis = 1.0;

/// The directory of a document's cells, `None` if it has none. The cells of an accepted document are always valid.
pub(crate) fn cell_directory(document: &Document) -> Option<CellDirectory> {
    let cells = document.cells.as_ref()?;
    cells.cell_directory(fnv1a_64).ok()
}

/// The classes by index, and the longest hard limit of the classes in service, in ms.
pub fn classes(
    registry: &ClassRegistry,
    document: &Document,
    policy_config: &PolicyConfig,
) -> (Vec<ClassSummary>, Millis) {
    let classes = registry
        .0
        .iter()
        .zip(&policy_config.classes)
        .map(|(slot, policy)| ClassSummary {
            name: slot.name.clone(),
            base_objective: policy.base_objective,
            in_service: !policy.out_of_service,
        });
    let max_deadline = document
        .classes
        .iter()
        .map(|class| class.hard_limit as Millis)
        .fold(MIN_MAX_DEADLINE, Millis::max);
    (classes.collect(), max_deadline)
}
