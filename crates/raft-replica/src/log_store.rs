//! The library's storage of a replica's log: hard state, snapshot and entries in memory, and which of them are not on the
//! disk yet.

use crate::error::ReplicaError;
use crate::image::{encode, Image, Save};
use protobuf::Message;
use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};

/// The parts of the log that are not on the disk yet.
#[derive(Default)]
struct Unsaved {
    hard_state: bool,
    snapshot: bool,
    /// All entries from this index on.
    entries_from: Option<u64>,
}

/// The log in memory.
#[derive(Default)]
pub(crate) struct LogStore {
    hard_state: HardState,
    conf_state: ConfState,
    snapshot: Snapshot,
    /// The entries after the snapshot, without a gap.
    entries: Vec<Entry>,
    unsaved: Unsaved,
}

impl LogStore {
    /// Decodes the log on the disk.
    pub(crate) fn from_image(image: &Image) -> Result<LogStore, ReplicaError> {
        let hard_state = HardState::parse_from_bytes(&image.hard_state)
            .map_err(ReplicaError::DecodeHardState)?;
        let snapshot =
            Snapshot::parse_from_bytes(&image.snapshot).map_err(ReplicaError::DecodeSnapshot)?;
        let entries = image
            .entries
            .iter()
            .map(|(&index, bytes)| {
                Entry::parse_from_bytes(bytes)
                    .map_err(|source| ReplicaError::DecodeEntry { index, source })
            })
            .collect::<Result<Vec<_>, _>>()?;
        let first_index = snapshot.get_metadata().index + 1;
        for (entry, expected) in entries.iter().zip(first_index..) {
            if entry.index != expected {
                return Err(ReplicaError::EntryOutOfPlace {
                    expected,
                    found: entry.index,
                });
            }
        }
        let conf_state = snapshot.get_metadata().get_conf_state().clone();
        Ok(LogStore {
            hard_state,
            conf_state,
            snapshot,
            entries,
            unsaved: Unsaved::default(),
        })
    }

    /// The encoded state in the snapshot; empty if there is none.
    pub(crate) fn snapshot_data(&self) -> &[u8] {
        self.snapshot.get_data()
    }

    /// The last index that the snapshot covers.
    pub(crate) fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    pub(crate) fn set_conf_state(&mut self, conf_state: ConfState) {
        self.conf_state = conf_state;
    }

    /// Replaces the whole log by another replica's snapshot.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let metadata = snapshot.get_metadata();
        self.conf_state = metadata.get_conf_state().clone();
        self.entries.clear();
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.snapshot = snapshot;
        self.unsaved.snapshot = true;
        self.unsaved.entries_from = Some(self.snapshot_index() + 1);
    }

    /// Appends entries, which replace all entries from the index of the first one on, and sets the hard state.
    pub(crate) fn append(&mut self, entries: Vec<Entry>, hard_state: Option<HardState>) {
        if let Some(first_index) = entries.first().map(|entry| entry.index) {
            self.entries.truncate(self.position(first_index));
            self.entries.extend(entries);
            let from = self.unsaved.entries_from;
            let from = from.map_or(first_index, |index| index.min(first_index));
            self.unsaved.entries_from = Some(from);
        }
        if let Some(hard_state) = hard_state {
            self.hard_state = hard_state;
            self.unsaved.hard_state = true;
        }
    }

    /// Replaces the entries up to that index by a snapshot; `state` is the encoded state after them.
    pub(crate) fn compact(&mut self, index: u64, conf_state: ConfState, state: Vec<u8>) {
        let Ok(term) = self.term(index) else { return };
        let covered_entries = (index - self.snapshot_index()) as usize;
        self.entries.drain(..covered_entries);
        let metadata = self.snapshot.mut_metadata();
        metadata.index = index;
        metadata.term = term;
        metadata.set_conf_state(conf_state);
        self.snapshot.set_data(state.into());
        self.unsaved.snapshot = true;
        self.unsaved.entries_from = self.unsaved.entries_from.map(|from| from.max(index + 1));
    }

    /// The write that brings the disk up to date, if it is not. The next call returns only later changes.
    pub(crate) fn take_unsaved(&mut self) -> Option<Save> {
        let unsaved = std::mem::take(&mut self.unsaved);
        let save = Save {
            hard_state: unsaved.hard_state.then(|| encode(&self.hard_state)),
            snapshot: unsaved
                .snapshot
                .then(|| (self.snapshot_index(), encode(&self.snapshot))),
            entries: unsaved.entries_from.map(|from| {
                let unsaved_entries = self.entries.iter().filter(|entry| entry.index >= from);
                (from, unsaved_entries.map(|entry| encode(entry)).collect())
            }),
        };
        (save != Save::default()).then_some(save)
    }

    /// The position in `entries` of the entry with that index, which must be after the snapshot.
    fn position(&self, index: u64) -> usize {
        (index - self.snapshot_index() - 1) as usize
    }
}

impl Storage for LogStore {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(
            self.hard_state.clone(),
            self.conf_state.clone(),
        ))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_bytes: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.snapshot_index() {
            return Err(StorageError::Compacted.into());
        }
        let range = self.position(low)..self.position(high);
        let entries = self.entries.get(range);
        let mut entries = entries.ok_or(StorageError::Unavailable)?.to_vec();
        raft::util::limit_size(&mut entries, max_bytes.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.snapshot_index() {
            return Err(StorageError::Compacted.into());
        }
        let entry = self.entries.get(self.position(index));
        Ok(entry.ok_or(StorageError::Unavailable)?.term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + self.entries.len() as u64)
    }

    fn snapshot(&self, _: u64, _: u64) -> raft::Result<Snapshot> {
        Ok(self.snapshot.clone())
    }
}
