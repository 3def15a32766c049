//! How revisions outlive the process: records, their bytes, and what a start makes of them. The file itself is
//! the host's.
//!
//! A record is its length (4 bytes, little end first), the CRC-32C of those 4 bytes and of what follows, and JSON.
//! A journal begins with a [`Record::Whole`].

use crate::revisions::{RevisionState, REMEMBERED};
use ironstair::Ms;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The longest record; a length beyond it is no length.
pub const RECORD_MOST: usize = 4 << 20;
const HEAD: usize = 8;

/// One revision as it is shown and remembered, without its document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RevisionSummary {
    pub number: u64,
    pub who: String,
    /// Unix time in ms.
    pub when: Ms,
    pub what: String,
    #[serde(rename = "standing")]
    pub state: RevisionState,
    pub commit: Option<String>,
    pub until: Option<Ms>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record<D> {
    /// All that is known: what the configuration file said, what runs, and the revisions remembered.
    Whole(Kept<D>),
    Set {
        line: RevisionSummary,
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
pub struct Kept<D> {
    /// The settings of the configuration file, when this was written.
    pub told: D,
    pub running: D,
    /// The number of the revision that runs, 0 for what was told, and of the next.
    pub number: u64,
    pub next: u64,
    pub lines: VecDeque<RevisionSummary>,
}

/// What a start found worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// Nothing was kept: what is told runs.
    Nothing,
    /// The told file is as it was: the last confirmed revision runs.
    Revision(u64),
    /// The told file has changed since: it runs, and the revisions are history.
    Reconfigured,
    /// A revision waited to be confirmed: it is rolled back.
    RolledBack(u64),
}

impl<D: Clone + PartialEq> Kept<D> {
    pub fn told(told: D) -> Self {
        Kept {
            running: told.clone(),
            told,
            number: 0,
            next: 1,
            lines: VecDeque::new(),
        }
    }

    /// What a journal's records come to, beside what the configuration file says now.
    pub fn open(records: Vec<Record<D>>, told: D) -> (Kept<D>, Found) {
        let mut kept: Option<Kept<D>> = None;
        let mut trial: Option<(u64, (u64, D))> = None;
        for record in records {
            match (record, &mut kept) {
                (Record::Whole(whole), _) => (kept, trial) = (Some(whole), None),
                (Record::Set { line, document }, Some(kept)) => {
                    // Nothing is set upon a trial: that one was rolled back, and the record of it was lost.
                    if let Some((_, before)) = trial.take() {
                        kept.take_back(before);
                    }
                    let number = line.number;
                    let unconfirmed = line.state == RevisionState::Unconfirmed;
                    kept.mark(RevisionState::Replaced);
                    kept.lines.push_back(line);
                    if kept.lines.len() > REMEMBERED {
                        kept.lines.pop_front();
                    }
                    let before = std::mem::replace(&mut kept.running, document);
                    let before = (std::mem::replace(&mut kept.number, number), before);
                    kept.next = number + 1;
                    trial = unconfirmed.then_some((number, before));
                }
                (Record::Confirmed { number }, Some(kept)) => {
                    if trial.take_if(|t| t.0 == number).is_some() {
                        kept.mark(RevisionState::Running);
                    }
                }
                (Record::RolledBack { number }, Some(kept)) => {
                    if let Some((_, before)) = trial.take_if(|t| t.0 == number) {
                        kept.take_back(before);
                    }
                }
                // Nothing can be made of a revision upon nothing.
                (_, None) => {}
            }
        }
        let Some(mut kept) = kept else {
            return (Kept::told(told), Found::Nothing);
        };
        let mut found = Found::Revision(kept.number);
        if let Some((number, before)) = trial {
            kept.take_back(before);
            found = Found::RolledBack(number);
        }
        if kept.told != told {
            kept.mark(RevisionState::Replaced);
            (kept.told, kept.running, kept.number) = (told.clone(), told, 0);
            found = Found::Reconfigured;
        }
        (kept, found)
    }

    /// Gives the revision that runs another state.
    fn mark(&mut self, state: RevisionState) {
        let number = self.number;
        self.lines
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
    if body.len() > RECORD_MOST {
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
            Err(why) => return (records, at, Some(why)),
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
    if length as usize > RECORD_MOST {
        return Err("no length");
    }
    let body = bytes.get(HEAD..HEAD + length as usize).ok_or("torn")?;
    if crc32c::crc32c_append(crc32c::crc32c(&bytes[..4]), body) != sum {
        return Err("checksum differs");
    }
    let record = serde_json::from_slice(body).map_err(|_| "no record")?;
    Ok((record, HEAD + length as usize))
}
