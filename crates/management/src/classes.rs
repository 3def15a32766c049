//! The parts of a settings document that the dispatcher needs in addition to the policy config.

use ironstair::{Millis, PolicyConfig};
use ironstair_cells::CellDirectory;
use ironstair_config_change::{ClassRegistry, Document};
use ironstair_runtime::fnv1a_64;
use ironstair_runtime::state_watch::ClassSummary;

/// Lower bound of the longest hard limit, in ms.
const MIN_LONGEST_HARD_LIMIT: Millis = 1.0;

/// The directory of a document's cells. `None` without cells; the cells of an accepted document are always valid.
pub(crate) fn cell_directory(document: &Document) -> Option<CellDirectory> {
    let cells = document.cells.as_ref()?;
    cells.cell_directory(fnv1a_64).ok()
}

/// The classes by index, and the longest hard limit in ms.
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
    let longest = document
        .classes
        .iter()
        .map(|class| class.hard_limit as Millis)
        .fold(MIN_LONGEST_HARD_LIMIT, Millis::max);
    (classes.collect(), longest)
}
