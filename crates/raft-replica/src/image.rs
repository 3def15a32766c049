//! The content of a replica's disk, and one write to it.

use protobuf::Message;
use raft::prelude::{HardState, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The content of a replica's disk. The parts are encoded by the library.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    /// The voter id that belongs to this disk.
    pub id: u64,
    /// The encoded hard state (term, vote and commit index); empty if there is none.
    pub hard_state: Vec<u8>,
    /// The encoded snapshot of the state up to some index; empty if there is none.
    pub snapshot: Vec<u8>,
    /// The encoded entries after the snapshot, by index.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

/// One write to a disk, which must be applied completely or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Save {
    /// The new hard state, if it changes.
    #[serde(rename = "hard")]
    pub hard_state: Option<Vec<u8>>,
    /// A new snapshot and the last index that it covers; it replaces the entries up to that index.
    #[serde(rename = "whole")]
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// The first index, and the entries from it on; they replace all entries from that index on.
    pub entries: Option<(u64, Vec<Vec<u8>>)>,
}

impl Image {
    /// A disk without a log, under a voter id that the caller has drawn at random.
    pub fn blank(id: u64) -> Image {
        Image {
            id,
            ..Image::default()
        }
    }

    /// The disk of a cluster's only voter, with a snapshot of the encoded state.
    pub(crate) fn bootstrap(id: u64, state: Vec<u8>) -> Image {
        let mut snapshot = Snapshot::default();
        snapshot.set_data(state.into());
        let metadata = snapshot.mut_metadata();
        metadata.index = 1;
        metadata.term = 1;
        metadata.mut_conf_state().set_voters(vec![id]);
        let hard_state = HardState {
            term: 1,
            commit: 1,
            ..HardState::default()
        };
        Image {
            id,
            hard_state: encode(&hard_state),
            snapshot: encode(&snapshot),
            entries: BTreeMap::new(),
        }
    }

    /// The write that turns a blank disk into this image.
    pub fn to_save(&self) -> Save {
        let first_index = self.entries.keys().next().copied();
        Save {
            hard_state: Some(self.hard_state.clone()),
            snapshot: Some((0, self.snapshot.clone())),
            entries: first_index.map(|index| (index, self.entries.values().cloned().collect())),
        }
    }

    /// Applies a write to the image.
    pub fn apply(&mut self, save: Save) {
        if let Some(hard_state) = save.hard_state {
            self.hard_state = hard_state;
        }
        if let Some((last_index, snapshot)) = save.snapshot {
            self.snapshot = snapshot;
            self.entries.retain(|index, _| *index > last_index);
        }
        if let Some((first_index, entries)) = save.entries {
            self.entries.retain(|index, _| *index < first_index);
            self.entries.extend((first_index..).zip(entries));
        }
    }
}

/// The message's bytes. Encoding to memory fails only if a required field is missing; the library's messages have no
/// required fields.
pub(crate) fn encode(message: &dyn Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}
