//! How revisions outlive the process: records, their bytes, and what a start makes of them. The file itself is
//! the host's.
//!
//! A record is its length (4 bytes, little end first), the CRC-32C of those 4 bytes and of what follows, and JSON.
//! A journal begins with a [`Record::Whole`].

use crate::revisions::{RevisionState, MAX_REVISIONS};
use ironstair::Ms;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The longest record; a length beyond it is no length.
pub const MAX_RECORD_BYTES: usize = 4 << 20;
const HEAD: usize = 8;

/// One revision as it is shown and remembered, without its document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionSummary {
    pub number: u64,
    #[serde(rename = "who")]
    pub author: String,
    /// Unix time in ms.
    #[serde(rename = "when")]
    pub created_at: Ms,
    #[serde(rename = "what")]
    pub summary: String,
    #[serde(rename = "standing")]
    pub state: RevisionState,
    pub commit: Option<String>,
    pub until: Option<Ms>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record<D> {
    /// All that is known: what the configuration file said, what runs, and the revisions remembered.
    Whole(PersistedState<D>),
    Set {
        #[serde(rename = "line")]
        revision: RevisionSummary,
        document: D,
    },
    Confirmed {
        number: u64,
    },
    #[serde(rename = "taken-back")]
    RolledBack {
        number: u64,
    },
}

/// What a start goes by.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedState<D> {
    /// The settings of the configuration file, when this was written.
    #[serde(rename = "told")]
    pub configured: D,
    pub running: D,
    /// The number of the revision that runs, 0 for what was told, and of the next.
    pub number: u64,
    pub next: u64,
    #[serde(rename = "lines")]
    pub revisions: VecDeque<RevisionSummary>,
}

/// What a start found worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// Nothing was kept: what is told runs.
    Nothing,
    /// The told file is as it was: the last confirmed revision runs.
    Revision(u64),
    /// The told file has changed since: it runs, and the revisions are history.
    Reconfigured,
    /// A revision waited to be confirmed: it is rolled back.
    RolledBack(u64),
}

impl<D: Clone + PartialEq> PersistedState<D> {
    pub fn configured(configured: D) -> Self {
        PersistedState {
            running: configured.clone(),
            configured,
            number: 0,
            next: 1,
            revisions: VecDeque::new(),
        }
    }

    /// What a journal's records come to, beside what the configuration file says now.
    pub fn open(records: Vec<Record<D>>, configured: D) -> (PersistedState<D>, StartOutcome) {
        let mut persisted: Option<PersistedState<D>> = None;
        let mut pending_confirmation: Option<(u64, (u64, D))> = None;
        for record in records {
            match (record, &mut persisted) {
                (Record::Whole(whole), _) => {
                    (persisted, pending_confirmation) = (Some(whole), None)
                }
                (Record::Set { revision, document }, Some(persisted)) => {
                    // Nothing is set upon a trial: that one was rolled back, and the record of it was lost.
                    if let Some((_, before)) = pending_confirmation.take() {
                        persisted.take_back(before);
                    }
                    let number = revision.number;
                    let unconfirmed = revision.state == RevisionState::Unconfirmed;
                    persisted.mark(RevisionState::Replaced);
                    persisted.revisions.push_back(revision);
                    if persisted.revisions.len() > MAX_REVISIONS {
                        persisted.revisions.pop_front();
                    }
                    let before = std::mem::replace(&mut persisted.running, document);
                    let before = (std::mem::replace(&mut persisted.number, number), before);
                    persisted.next = number + 1;
                    pending_confirmation = unconfirmed.then_some((number, before));
                }
                (Record::Confirmed { number }, Some(persisted)) => {
                    if pending_confirmation.take_if(|t| t.0 == number).is_some() {
                        persisted.mark(RevisionState::Running);
                    }
                }
                (Record::RolledBack { number }, Some(persisted)) => {
                    if let Some((_, before)) = pending_confirmation.take_if(|t| t.0 == number) {
                        persisted.take_back(before);
                    }
                }
                // Nothing can be made of a revision upon nothing.
                (_, None) => {}
            }
        }
        let Some(mut persisted) = persisted else {
            return (
                PersistedState::configured(configured),
                StartOutcome::Nothing,
            );
        };
        let mut found = StartOutcome::Revision(persisted.number);
        if let Some((number, before)) = pending_confirmation {
            persisted.take_back(before);
            found = StartOutcome::RolledBack(number);
        }
        if persisted.configured != configured {
            persisted.mark(RevisionState::Replaced);
            (persisted.configured, persisted.running, persisted.number) =
                (configured.clone(), configured, 0);
            found = StartOutcome::Reconfigured;
        }
        (persisted, found)
    }

    /// Gives the revision that runs another state.
    fn mark(&mut self, state: RevisionState) {
        let number = self.number;
        self.revisions
            .iter_mut()
            .filter(|l| l.number == number)
            .for_each(|l| l.state = state);
    }

    fn take_back(&mut self, before: (u64, D)) {
        self.mark(RevisionState::RolledBack);
        (self.number, self.running) = before;
        self.mark(RevisionState::Running);
    }
}

/// A record's bytes.
pub fn encode<D: Serialize>(record: &Record<D>) -> Result<Vec<u8>, String> {
    let body = serde_json::to_vec(record).map_err(|e| e.to_string())?;
    if body.len() > MAX_RECORD_BYTES {
        return Err(format!("a record of {} bytes is too long", body.len()));
    }
    let length = (body.len() as u32).to_le_bytes();
    let sum = crc32c::crc32c_append(crc32c::crc32c(&length), &body).to_le_bytes();
    Ok([&length[..], &sum, &body].concat())
}

/// The whole records at the front, how many bytes those are, and why what is behind them is none.
pub fn decode<D: DeserializeOwned>(bytes: &[u8]) -> (Vec<Record<D>>, usize, Option<&'static str>) {
    let (mut records, mut at) = (Vec::new(), 0);
    loop {
        let rest = &bytes[at..];
        if rest.is_empty() {
            return (records, at, None);
        }
        match one(rest) {
            Ok((record, n)) => {
                records.push(record);
                at += n;
            }
            Err(reason) => return (records, at, Some(reason)),
        }
    }
}

fn one<D: DeserializeOwned>(bytes: &[u8]) -> Result<(Record<D>, usize), &'static str> {
    let word = |at: usize| {
        bytes
            .get(at..at + 4)
            .and_then(|b| b.try_into().ok())
            .map(u32::from_le_bytes)
    };
    let (length, sum) = word(0).zip(word(4)).ok_or("torn")?;
    if length as usize > MAX_RECORD_BYTES {
        return Err("no length");
    }
    let body = bytes.get(HEAD..HEAD + length as usize).ok_or("torn")?;
    if crc32c::crc32c_append(crc32c::crc32c(&bytes[..4]), body) != sum {
        return Err("checksum differs");
    }
    let record = serde_json::from_slice(body).map_err(|_| "no record")?;
    Ok((record, HEAD + length as usize))
}
