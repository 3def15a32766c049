//! The replicated state. Replicas that have applied the same entries have the same state.

use ironstair_coordination::Fleet;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The replicated state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(serialize = "D: Serialize", deserialize = "D: DeserializeOwned"))]
pub struct State<D> {
    /// The fleet's policy, members and changes.
    pub fleet: Fleet<D>,
    /// The ids of the replicas that vote, by name.
    pub voters: BTreeMap<String, u64>,
    /// The ids of the replicas that receive the log and do not vote yet, by name.
    pub joining: BTreeMap<String, u64>,
}

impl<D> State<D> {
    pub(crate) fn new(fleet: Fleet<D>) -> Self {
        State {
            fleet,
            voters: BTreeMap::new(),
            joining: BTreeMap::new(),
        }
    }

    pub(crate) fn apply_membership(&mut self, change: MembershipChange) {
        if change.votes {
            self.joining.remove(&change.name);
            self.voters.insert(change.name, change.id);
        } else {
            self.joining.insert(change.name, change.id);
        }
    }

    /// The name of the replica with that id, whether it votes or is joining.
    pub(crate) fn name_of(&self, id: u64) -> Option<&str> {
        self.voters
            .iter()
            .chain(&self.joining)
            .find(|(_, replica_id)| **replica_id == id)
            .map(|(name, _)| name.as_str())
    }
}

/// The addition of a joining replica or a voter to the state. It is the context of a configuration change of the
/// library.
#[derive(Serialize, Deserialize)]
pub(crate) struct MembershipChange {
    pub(crate) name: String,
    pub(crate) id: u64,
    /// Whether the replica becomes a voter; otherwise it only receives the log.
    pub(crate) votes: bool,
}
