//! The records of the revision journal.

use crate::revision::RevisionSummary;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// One record of the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record<D> {
    /// The whole state: the settings of the configuration file, the running ones, and the revisions.
    #[serde(rename = "whole")]
    Snapshot(PersistedState<D>),
    /// A new revision is running, permanently or until it is confirmed.
    Set {
        /// The revision.
        #[serde(rename = "line")]
        revision: RevisionSummary,
        /// Its settings.
        document: D,
    },
    /// The revision was confirmed.
    Confirmed {
        /// The number of the revision.
        number: u64,
    },
    /// The revision was rolled back.
    #[serde(rename = "taken-back")]
    RolledBack {
        /// The number of the revision.
        number: u64,
    },
}

/// The state of the revisions as a start restores it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedState<D> {
    /// The settings of the configuration file when this state was written.
    #[serde(rename = "told")]
    pub configured: D,
    /// The running settings.
    pub running: D,
    /// The number of the running revision, 0 for the configuration file.
    #[serde(rename = "number")]
    pub running_number: u64,
    /// The number of the next revision.
    #[serde(rename = "next")]
    pub next_number: u64,
    /// The latest revisions, oldest first.
    #[serde(rename = "lines")]
    pub revisions: VecDeque<RevisionSummary>,
}

impl<D: Clone> PersistedState<D> {
    /// The state of a gateway that runs the configuration file and has no revision yet.
    pub fn configured(configured: D) -> Self {
        PersistedState {
            running: configured.clone(),
            configured,
            running_number: 0,
            next_number: 1,
            revisions: VecDeque::new(),
        }
    }
}
