//! What of the log, the vote and the whole state a voter holds in memory, and what of it is still to be saved.

use protobuf::Message as _;
use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a disk holds of a voter, as bytes: the library's own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Image {
    /// The voter's number that belongs to this disk.
    pub id: u64,
    pub hard: Vec<u8>,
    pub whole: Vec<u8>,
    pub entries: BTreeMap<u64, Vec<u8>>,
}

/// One step of a disk, all of it or none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Save {
    pub hard: Option<Vec<u8>>,
    /// The whole state up to an index: entries up to there are not wanted any more.
    pub whole: Option<(u64, Vec<u8>)>,
    /// All entries from this index on are these.
    pub entries: Option<(u64, Vec<Vec<u8>>)>,
}

impl Image {
    /// Without a history, under a number drawn anew.
    pub fn blank(id: u64) -> Image {
        Image {
            id,
            ..Image::default()
        }
    }

    pub(crate) fn first(id: u64, data: Vec<u8>) -> Image {
        let mut whole = Snapshot::default();
        whole.set_data(data.into());
        let meta = whole.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.mut_conf_state().set_voters(vec![id]);
        let mut hard = HardState::default();
        (hard.term, hard.commit) = (1, 1);
        let bytes = |m: &dyn protobuf::Message| m.write_to_bytes().unwrap_or_default();
        Image {
            id,
            hard: bytes(&hard),
            whole: bytes(&whole),
            entries: BTreeMap::new(),
        }
    }

    /// The one step that leads to this image.
    pub fn step(&self) -> Save {
        let first = self.entries.keys().next().copied();
        Save {
            hard: Some(self.hard.clone()),
            whole: Some((0, self.whole.clone())),
            entries: first.map(|first| (first, self.entries.values().cloned().collect())),
        }
    }

    /// What the disk holds after a step.
    pub fn take(&mut self, save: Save) {
        if let Some(hard) = save.hard {
            self.hard = hard;
        }
        if let Some((index, whole)) = save.whole {
            self.whole = whole;
            self.entries.retain(|i, _| *i > index);
        }
        if let Some((first, entries)) = save.entries {
            self.entries.retain(|i, _| *i < first);
            self.entries.extend((first..).zip(entries));
        }
    }
}

#[derive(Default)]
pub struct Store {
    hard: HardState,
    conf: ConfState,
    whole: Snapshot,
    entries: Vec<Entry>,
    /// What the disk lacks: vote, whole state, entries from an index on.
    dirty: (bool, bool, Option<u64>),
}

impl Store {
    pub fn of(image: &Image) -> Result<Store, String> {
        let fault = |what: &str| format!("{what} of the fleet's log can't be read");
        let hard = HardState::parse_from_bytes(&image.hard).map_err(|_| fault("the vote"))?;
        let whole =
            Snapshot::parse_from_bytes(&image.whole).map_err(|_| fault("the whole state"))?;
        let entries = image.entries.values().map(|e| Entry::parse_from_bytes(e));
        let entries = entries
            .collect::<Result<Vec<_>, _>>()
            .map_err(|_| fault("an entry"))?;
        let first = whole.get_metadata().index + 1;
        if entries.iter().zip(first..).any(|(e, i)| e.index != i) {
            return Err(fault("an entry in its place"));
        }
        let conf = whole.get_metadata().get_conf_state().clone();
        Ok(Store {
            hard,
            conf,
            whole,
            entries,
            dirty: Default::default(),
        })
    }

    pub fn whole(&self) -> &[u8] {
        self.whole.get_data()
    }

    /// Up to where the whole state stands for the log.
    pub fn cut(&self) -> u64 {
        self.whole.get_metadata().index
    }

    pub fn set_conf(&mut self, conf: ConfState) {
        self.conf = conf;
    }

    /// The whole state of another voter, in place of all.
    pub fn replace(&mut self, whole: Snapshot) {
        self.conf = whole.get_metadata().get_conf_state().clone();
        self.entries.clear();
        self.hard.commit = self.hard.commit.max(whole.get_metadata().index);
        self.whole = whole;
        (self.dirty.1, self.dirty.2) = (true, Some(self.cut() + 1));
    }

    pub fn append(&mut self, entries: Vec<Entry>, hard: Option<HardState>) {
        if let Some(first) = entries.first().map(|e| e.index) {
            self.entries.truncate((first - self.cut() - 1) as usize);
            self.entries.extend(entries);
            self.dirty.2 = Some(self.dirty.2.map_or(first, |d| d.min(first)));
        }
        if let Some(hard) = hard {
            (self.hard, self.dirty.0) = (hard, true);
        }
    }

    /// The whole state up to there, in place of the records that led to it.
    pub fn cut_at(&mut self, index: u64, conf: ConfState, data: Vec<u8>) {
        let Ok(term) = self.term(index) else { return };
        self.entries.drain(..(index - self.cut()) as usize);
        let meta = self.whole.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(conf);
        self.whole.set_data(data.into());
        self.dirty.1 = true;
        self.dirty.2 = self.dirty.2.map(|d| d.max(index + 1));
    }

    /// What the disk lacks, once.
    pub fn unsaved(&mut self) -> Option<Save> {
        let (hard, whole, first) = std::mem::take(&mut self.dirty);
        let bytes = |m: &dyn protobuf::Message| m.write_to_bytes().unwrap_or_default();
        let save = Save {
            hard: hard.then(|| bytes(&self.hard)),
            whole: whole.then(|| (self.cut(), bytes(&self.whole))),
            entries: first.map(|first| {
                let new = self.entries.iter().filter(|e| e.index >= first);
                (first, new.map(|e| bytes(e)).collect())
            }),
        };
        (save != Save::default()).then_some(save)
    }
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.conf.clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.cut() {
            return Err(StorageError::Compacted.into());
        }
        let at = |i: u64| (i - self.cut() - 1) as usize;
        let found = self
            .entries
            .get(at(low)..at(high))
            .ok_or(StorageError::Unavailable)?;
        let mut found = found.to_vec();
        raft::util::limit_size(&mut found, most.into());
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.cut() {
            return Ok(self.whole.get_metadata().term);
        }
        if index < self.cut() {
            return Err(StorageError::Compacted.into());
        }
        let found = self.entries.get((index - self.cut() - 1) as usize);
        Ok(found.ok_or(StorageError::Unavailable)?.term)
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.cut() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.cut() + self.entries.len() as u64)
    }

    fn snapshot(&self, _: u64, _: u64) -> raft::Result<Snapshot> {
        Ok(self.whole.clone())
    }
}
