//! What of the revisions is persisted.

use crate::revision::RevisionSummary;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// One record of the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record<D> {
    /// All that is known: what the configuration file said, what runs, and the revisions remembered.
    Whole(PersistedState<D>),
    /// A revision runs.
    Set {
        /// Which one.
        #[serde(rename = "line")]
        revision: RevisionSummary,
        /// Its settings.
        document: D,
    },
    /// It was confirmed.
    Confirmed {
        /// The revision's.
        number: u64,
    },
    /// It was rolled back.
    #[serde(rename = "taken-back")]
    RolledBack {
        /// The revision's.
        number: u64,
    },
}

/// All that a start needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedState<D> {
    /// The settings of the configuration file, when this was written.
    #[serde(rename = "told")]
    pub configured: D,
    /// The settings that run.
    pub running: D,
    /// The number of the revision that runs, 0 for the configuration file.
    pub number: u64,
    /// The number of the next revision.
    pub next: u64,
    /// The revisions remembered, oldest first.
    #[serde(rename = "lines")]
    pub revisions: VecDeque<RevisionSummary>,
}

impl<D: Clone> PersistedState<D> {
    /// The configuration file runs, and there was no revision yet.
    pub fn configured(configured: D) -> Self {
        PersistedState {
            running: configured.clone(),
            configured,
            number: 0,
            next: 1,
            revisions: VecDeque::new(),
        }
    }
}
