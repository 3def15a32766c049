//! Determines the state at a start from the records of a journal.

use crate::record::{PersistedState, Record};
use crate::revision::{find_mut, push_bounded, Numbered, RevisionState, RevisionSummary};

/// The result of reading the journal at a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The journal is empty: the configuration file runs.
    EmptyJournal,
    /// The configuration file has not changed: the revision of this number, the last permanent one, runs.
    Revision(u64),
    /// The configuration file has changed: it runs, and the revisions are kept as history.
    Reconfigured,
    /// The revision of this number was unconfirmed and is rolled back.
    RolledBack(u64),
}

impl<D: Clone + PartialEq> PersistedState<D> {
    /// Replays the records of a journal and rolls an unconfirmed revision back. `configured` are the current settings
    /// of the configuration file.
    pub fn replay(records: Vec<Record<D>>, configured: D) -> (PersistedState<D>, StartOutcome) {
        let mut replay: Option<Replay<D>> = None;
        for record in records {
            match (record, &mut replay) {
                (Record::Snapshot(state), _) => {
                    let unconfirmed = None;
                    replay = Some(Replay { state, unconfirmed });
                }
                (Record::Set { revision, document }, Some(replay)) => {
                    replay.set(revision, document);
                }
                (Record::Confirmed { number }, Some(replay)) => replay.confirm(number),
                (Record::RolledBack { number }, Some(replay)) => replay.roll_back(number),
                // Without a snapshot before them, records can't be applied.
                (_, None) => {}
            }
        }
        match replay {
            None => (
                PersistedState::configured(configured),
                StartOutcome::EmptyJournal,
            ),
            Some(replay) => replay.finish(configured),
        }
    }

    fn set_state(&mut self, state: RevisionState) {
        if let Some(revision) = find_mut(&mut self.revisions, self.running_number) {
            revision.state = state;
        }
    }

    fn roll_back(&mut self, before: Numbered<D>) {
        self.set_state(RevisionState::RolledBack);
        self.running_number = before.number;
        self.running = before.document;
        self.set_state(RevisionState::Running);
    }
}

/// An unconfirmed revision, and the revision before it.
struct Unconfirmed<D> {
    number: u64,
    before: Numbered<D>,
}

struct Replay<D> {
    state: PersistedState<D>,
    unconfirmed: Option<Unconfirmed<D>>,
}

impl<D: Clone + PartialEq> Replay<D> {
    fn confirm(&mut self, number: u64) {
        if self
            .unconfirmed
            .take_if(|unconfirmed| unconfirmed.number == number)
            .is_some()
        {
            self.state.set_state(RevisionState::Running);
        }
    }

    fn roll_back(&mut self, number: u64) {
        if let Some(unconfirmed) = self
            .unconfirmed
            .take_if(|unconfirmed| unconfirmed.number == number)
        {
            self.state.roll_back(unconfirmed.before);
        }
    }

    fn set(&mut self, revision: RevisionSummary, document: D) {
        // The tracker accepts no change while a revision is unconfirmed, so that revision has been rolled back and the
        // record of the rollback was lost.
        if let Some(unconfirmed) = self.unconfirmed.take() {
            self.state.roll_back(unconfirmed.before);
        }
        let number = revision.number;
        let is_unconfirmed = revision.state == RevisionState::Unconfirmed;
        self.state.set_state(RevisionState::Replaced);
        push_bounded(&mut self.state.revisions, revision);
        let before = Numbered {
            number: std::mem::replace(&mut self.state.running_number, number),
            document: std::mem::replace(&mut self.state.running, document),
        };
        self.state.next_number = number + 1;
        self.unconfirmed = is_unconfirmed.then_some(Unconfirmed { number, before });
    }

    fn finish(self, configured: D) -> (PersistedState<D>, StartOutcome) {
        let mut state = self.state;
        let mut outcome = StartOutcome::Revision(state.running_number);
        if let Some(unconfirmed) = self.unconfirmed {
            state.roll_back(unconfirmed.before);
            outcome = StartOutcome::RolledBack(unconfirmed.number);
        }
        if state.configured != configured {
            state.set_state(RevisionState::Replaced);
            state.configured = configured.clone();
            state.running = configured;
            state.running_number = 0;
            outcome = StartOutcome::Reconfigured;
        }
        (state, outcome)
    }
}
