//! The tree of settings and state as readers receive it.

use ironstair::Millis;
use ironstair_data_tree::LeafMap;

/// Settings and state at one moment.
#[derive(Clone, Debug)]
pub struct Tree {
    /// Unix time in ms.
    pub at: Millis,
    /// The leaves by path.
    pub leaves: LeafMap,
}
