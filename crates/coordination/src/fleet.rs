//! What the fleet's log says up to here: the same at every voter that has read as far.

use crate::record::{ChangeProposal, Record, RevisionState, RevisionSummary, Session};
use crate::Policy;
use ironstair::Ms;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Revisions that are remembered.
pub const REMEMBERED: usize = 32;

/// How far a change has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    Staged,
    Binding,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change<D> {
    pub number: u64,
    pub document: D,
    pub step: Step,
    pub commit: Option<(String, Ms)>,
    /// To what ran before: nobody can refuse it.
    pub back: bool,
}

/// What runs and waits to be confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingConfirmation<D> {
    pub id: String,
    pub span: Ms,
    /// What ran before, and under which number.
    pub before: (u64, D),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet<D> {
    /// Drawn when it began; 0 before.
    pub history: u64,
    pub running: Option<(u64, D)>,
    /// Grows whenever what is to be held changes.
    pub mark: u64,
    pub change: Option<Change<D>>,
    pub trial: Option<PendingConfirmation<D>>,
    pub members: BTreeMap<String, Session>,
    pub lines: VecDeque<RevisionSummary>,
    pub next: u64,
}

impl<D> Default for Fleet<D> {
    fn default() -> Self {
        let (lines, members) = Default::default();
        Fleet {
            history: 0,
            running: None,
            mark: 0,
            change: None,
            trial: None,
            members,
            lines,
            next: 1,
        }
    }
}

impl<D: Policy> Fleet<D> {
    /// What every member is to hold now, and its revision's number. None where this version can't read what is
    /// to come: a leader that can't tell what is safe beside both tells nobody anything.
    pub fn held(&self) -> Option<(u64, D)> {
        let (number, running) = self.running.as_ref()?;
        match self.change.as_ref().filter(|c| c.step == Step::Binding) {
            Some(change) => Some((*number, running.stricter(&change.document)?)),
            None => Some((*number, running.clone())),
        }
    }

    /// The change of that number at that step.
    fn at(&self, number: u64, step: Step) -> Option<&Change<D>> {
        self.change
            .as_ref()
            .filter(|c| c.number == number && c.step == step)
    }

    fn mark(&mut self, number: u64, state: RevisionState) {
        self.lines
            .iter_mut()
            .filter(|l| l.number == number)
            .for_each(|l| l.state = state);
    }

    /// Takes one more record; whether it had an effect.
    pub fn apply(&mut self, record: Record<D>) -> bool {
        match record {
            Record::Begun {
                history,
                document,
                line,
            } if self.history == 0 && history != 0 => {
                (self.history, self.running, self.mark) = (history, Some((0, document)), 1);
                self.lines.extend(line);
            }
            Record::Members { joined, left } => return self.seat(joined, left),
            Record::Staged(proposal) => return self.stage(proposal),
            Record::Refused { number, by, why } => {
                let Some(change) = self.change.take_if(|c| c.number == number && !c.back) else {
                    return false;
                };
                // What is held already is the stricter of both: who holds that goes back.
                self.mark += (change.step == Step::Binding) as u64;
                self.mark(number, RevisionState::Refused);
                let line = self.lines.iter_mut().find(|l| l.number == number);
                line.into_iter()
                    .for_each(|l| l.refused = Some((by.clone(), why.clone())));
            }
            Record::Binding { number } if self.at(number, Step::Staged).is_some() => {
                self.change.iter_mut().for_each(|c| c.step = Step::Binding);
                self.mark += 1;
                self.mark(number, RevisionState::Binding);
            }
            Record::Decided { number } if self.at(number, Step::Binding).is_some() => self.decide(),
            Record::Confirmed { number } if self.tried(number) => {
                self.trial = None;
                self.mark(number, RevisionState::Running);
            }
            Record::RolledBack { number } if self.tried(number) => {
                let Some(PendingConfirmation {
                    before: (to, document),
                    ..
                }) = self.trial.take()
                else {
                    return false;
                };
                self.change = Some(Change {
                    number: to,
                    document,
                    step: Step::Binding,
                    commit: None,
                    back: true,
                });
                self.mark += 1;
                self.mark(number, RevisionState::RolledBack);
            }
            _ => return false,
        }
        true
    }

    fn tried(&self, number: u64) -> bool {
        self.trial.is_some() && self.running.as_ref().is_some_and(|r| r.0 == number)
    }

    fn seat(&mut self, joined: Vec<(String, Session)>, left: Vec<(String, u64)>) -> bool {
        let was = self.members.clone();
        for (name, start) in left {
            if self.members.get(&name).is_some_and(|s| s.start == start) {
                self.members.remove(&name);
            }
        }
        self.members.extend(joined);
        self.members != was
    }

    fn stage(&mut self, proposal: ChangeProposal<D>) -> bool {
        if self.running.is_none()
            || self.mark != proposal.base_revision
            || self.change.is_some()
            || self.trial.is_some()
        {
            return false;
        }
        let (
            number,
            ChangeProposal {
                token,
                who,
                when,
                what,
                document,
                commit,
                ..
            },
        ) = (self.next, proposal);
        self.next += 1;
        let id = commit.as_ref().map(|c| c.0.clone());
        let state = RevisionState::Staged;
        self.lines.push_back(RevisionSummary {
            number,
            token,
            who,
            when,
            what,
            state,
            commit: id,
            refused: None,
        });
        if self.lines.len() > REMEMBERED {
            self.lines.pop_front();
        }
        self.change = Some(Change {
            number,
            document,
            step: Step::Staged,
            commit,
            back: false,
        });
        true
    }

    fn decide(&mut self) {
        let Some(change) = self.change.take() else {
            return;
        };
        let was = self.running.replace((change.number, change.document));
        self.mark += 1;
        if let Some((number, _)) = was.as_ref().filter(|_| !change.back) {
            self.mark(*number, RevisionState::Replaced);
        }
        let tried = change.commit.is_some();
        self.trial = was
            .zip(change.commit)
            .map(|(before, (id, span))| PendingConfirmation { id, span, before });
        self.mark(
            change.number,
            if tried {
                RevisionState::Unconfirmed
            } else {
                RevisionState::Running
            },
        );
    }
}
