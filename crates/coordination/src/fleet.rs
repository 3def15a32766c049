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
    #[serde(rename = "back")]
    pub is_rollback: bool,
}

/// What runs and waits to be confirmed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingConfirmation<D> {
    pub id: String,
    #[serde(rename = "span")]
    pub confirm_within: Ms,
    /// What ran before, and under which number.
    #[serde(rename = "before")]
    pub previous: (u64, D),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet<D> {
    /// Drawn when it began; 0 before.
    #[serde(rename = "history")]
    pub generation: u64,
    pub running: Option<(u64, D)>,
    /// Grows whenever what is to be held changes.
    #[serde(rename = "mark")]
    pub policy_index: u64,
    pub change: Option<Change<D>>,
    #[serde(rename = "trial")]
    pub pending_confirmation: Option<PendingConfirmation<D>>,
    pub members: BTreeMap<String, Session>,
    #[serde(rename = "lines")]
    pub revisions: VecDeque<RevisionSummary>,
    pub next: u64,
}

impl<D> Default for Fleet<D> {
    fn default() -> Self {
        let (revisions, members) = Default::default();
        Fleet {
            generation: 0,
            running: None,
            policy_index: 0,
            change: None,
            pending_confirmation: None,
            members,
            revisions,
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
            Some(change) => Some((*number, running.intersection(&change.document)?)),
            None => Some((*number, running.clone())),
        }
    }

    /// The change of that number at that step.
    fn at(&self, number: u64, step: Step) -> Option<&Change<D>> {
        self.change
            .as_ref()
            .filter(|c| c.number == number && c.step == step)
    }

    fn set_state(&mut self, number: u64, state: RevisionState) {
        self.revisions
            .iter_mut()
            .filter(|l| l.number == number)
            .for_each(|l| l.state = state);
    }

    /// Takes one more record; whether it had an effect.
    pub fn apply(&mut self, record: Record<D>) -> bool {
        match record {
            Record::Bootstrapped {
                generation,
                document,
                revision,
            } if self.generation == 0 && generation != 0 => {
                (self.generation, self.running, self.policy_index) =
                    (generation, Some((0, document)), 1);
                self.revisions.extend(revision);
            }
            Record::Members { joined, left } => return self.seat(joined, left),
            Record::Staged(proposal) => return self.stage(proposal),
            Record::Refused { number, by, reason } => {
                let Some(change) = self
                    .change
                    .take_if(|c| c.number == number && !c.is_rollback)
                else {
                    return false;
                };
                // What is held already is the stricter of both: who holds that goes back.
                self.policy_index += (change.step == Step::Binding) as u64;
                self.set_state(number, RevisionState::Refused);
                let line = self.revisions.iter_mut().find(|l| l.number == number);
                line.into_iter()
                    .for_each(|l| l.refused = Some((by.clone(), reason.clone())));
            }
            Record::Binding { number } if self.at(number, Step::Staged).is_some() => {
                self.change.iter_mut().for_each(|c| c.step = Step::Binding);
                self.policy_index += 1;
                self.set_state(number, RevisionState::Binding);
            }
            Record::Decided { number } if self.at(number, Step::Binding).is_some() => self.decide(),
            Record::Confirmed { number } if self.tried(number) => {
                self.pending_confirmation = None;
                self.set_state(number, RevisionState::Running);
            }
            Record::RolledBack { number } if self.tried(number) => {
                let Some(PendingConfirmation {
                    previous: (to, document),
                    ..
                }) = self.pending_confirmation.take()
                else {
                    return false;
                };
                self.change = Some(Change {
                    number: to,
                    document,
                    step: Step::Binding,
                    commit: None,
                    is_rollback: true,
                });
                self.policy_index += 1;
                self.set_state(number, RevisionState::RolledBack);
            }
            _ => return false,
        }
        true
    }

    fn tried(&self, number: u64) -> bool {
        self.pending_confirmation.is_some() && self.running.as_ref().is_some_and(|r| r.0 == number)
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
            || self.policy_index != proposal.base_revision
            || self.change.is_some()
            || self.pending_confirmation.is_some()
        {
            return false;
        }
        let (
            number,
            ChangeProposal {
                token,
                author,
                created_at,
                summary,
                document,
                commit,
                ..
            },
        ) = (self.next, proposal);
        self.next += 1;
        let id = commit.as_ref().map(|c| c.0.clone());
        let state = RevisionState::Staged;
        self.revisions.push_back(RevisionSummary {
            number,
            token,
            author,
            created_at,
            summary,
            state,
            commit: id,
            refused: None,
        });
        if self.revisions.len() > REMEMBERED {
            self.revisions.pop_front();
        }
        self.change = Some(Change {
            number,
            document,
            step: Step::Staged,
            commit,
            is_rollback: false,
        });
        true
    }

    fn decide(&mut self) {
        let Some(change) = self.change.take() else {
            return;
        };
        let was = self.running.replace((change.number, change.document));
        self.policy_index += 1;
        if let Some((number, _)) = was.as_ref().filter(|_| !change.is_rollback) {
            self.set_state(*number, RevisionState::Replaced);
        }
        let tried = change.commit.is_some();
        self.pending_confirmation =
            was.zip(change.commit)
                .map(|(previous, (id, confirm_within))| PendingConfirmation {
                    id,
                    confirm_within,
                    previous,
                });
        self.set_state(
            change.number,
            if tried {
                RevisionState::Unconfirmed
            } else {
                RevisionState::Running
            },
        );
    }
}
