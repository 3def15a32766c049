//! Revisions of the settings.

use ironstair::Millis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The number of revisions that are kept; the oldest is removed first.
pub const MAX_REVISIONS: usize = 32;

/// The state of a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RevisionState {
    /// It is running and permanent.
    Running,
    /// It is running and unconfirmed.
    Unconfirmed,
    /// A later revision replaced it.
    Replaced,
    /// It was cancelled, or not confirmed in time; the revision before it is running.
    #[serde(rename = "taken-back")]
    RolledBack,
}

/// A revision without its document, as it is persisted and shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionSummary {
    /// The number, from 1 on; 0 stands for the configuration file.
    pub number: u64,
    /// The author of the change.
    #[serde(rename = "who")]
    pub author: String,
    /// The time of the change; Unix time in ms of the gateway's clock.
    #[serde(rename = "when")]
    pub created_at: Millis,
    /// A summary of the change.
    #[serde(rename = "what")]
    pub summary: String,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: RevisionState,
    /// The id by which the revision was, or must be, confirmed; `None` if it was permanent from the start.
    #[serde(rename = "commit")]
    pub commit_id: Option<String>,
    /// The deadline of the confirmation; Unix time in ms.
    #[serde(rename = "until")]
    pub confirm_by: Option<Millis>,
}

/// A document with the number of its revision.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Numbered<D> {
    pub number: u64,
    pub document: D,
}

/// Appends a revision, and removes the oldest one if there are too many.
pub(crate) fn push_bounded(revisions: &mut VecDeque<RevisionSummary>, revision: RevisionSummary) {
    revisions.push_back(revision);
    if revisions.len() > MAX_REVISIONS {
        revisions.pop_front();
    }
}

pub(crate) fn find_mut(
    revisions: &mut VecDeque<RevisionSummary>,
    number: u64,
) -> Option<&mut RevisionSummary> {
    revisions
        .iter_mut()
        .find(|revision| revision.number == number)
}
