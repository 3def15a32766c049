//! The replicated state. Voters that have applied the same records have the same state.

use crate::record::{ChangeProposal, Record, RevisionState, RevisionSummary, Session};
use crate::Policy;
use ironstair::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of revisions in the state. The oldest is removed first.
pub const MAX_REVISIONS: usize = 32;

/// The step of a change in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Members validate it.
    Staged,
    /// Members apply its intersection with the running policy.
    Binding,
}

/// The change in progress.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change<D> {
    /// Its revision number.
    pub number: u64,
    /// The proposed policy.
    pub document: D,
    /// Its step.
    pub step: Step,
    /// The id by which it must be confirmed and the time in ms within which; `None` if it needs no confirmation.
    pub commit: Option<(String, Millis)>,
    /// Whether it restores the policy before an unconfirmed revision; such a change can't be rejected.
    #[serde(rename = "back")]
    pub is_rollback: bool,
}

/// The confirmation that the running revision is waiting for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingConfirmation<D> {
    /// The id to confirm it by.
    pub id: String,
    /// The revision is rolled back if it is not confirmed within this many ms.
    #[serde(rename = "span")]
    pub confirm_within: Millis,
    /// The number and policy of the revision before it.
    #[serde(rename = "before")]
    pub previous: (u64, D),
}

/// The replicated state of a cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet<D> {
    /// The cluster generation, 0 before the bootstrap.
    #[serde(rename = "history")]
    pub generation: u64,
    /// The number and policy of the running revision; `None` before the bootstrap.
    pub running: Option<(u64, D)>,
    /// The index of the policy that members must apply. It increases whenever that policy changes.
    #[serde(rename = "mark")]
    pub policy_index: u64,
    /// The change in progress.
    pub change: Option<Change<D>>,
    /// Set while the running revision is pending confirmation.
    #[serde(rename = "trial")]
    pub pending_confirmation: Option<PendingConfirmation<D>>,
    /// The members by name.
    pub members: BTreeMap<String, Session>,
    /// The latest revisions, oldest first.
    #[serde(rename = "lines")]
    pub revisions: VecDeque<RevisionSummary>,
    /// The number of the next revision.
    #[serde(rename = "next")]
    pub next_number: u64,
}

impl<D> Default for Fleet<D> {
    fn default() -> Self {
        Fleet {
            generation: 0,
            running: None,
            policy_index: 0,
            change: None,
            pending_confirmation: None,
            members: BTreeMap::new(),
            revisions: VecDeque::new(),
            next_number: 1,
        }
    }
}

impl<D> Fleet<D> {
    /// The number of the running revision, 0 before the bootstrap.
    pub fn running_number(&self) -> u64 {
        self.running.as_ref().map_or(0, |(number, _)| *number)
    }

    /// The change in progress, if it is at that step.
    pub fn change_at(&self, step: Step) -> Option<&Change<D>> {
        self.change.as_ref().filter(|change| change.step == step)
    }

    /// The revision of that number, if the state still contains it.
    pub fn revision(&self, number: u64) -> Option<&RevisionSummary> {
        self.revisions
            .iter()
            .find(|revision| revision.number == number)
    }
}

impl<D: Policy> Fleet<D> {
    /// The number of the running revision and the policy that every member must apply now. `None` before the bootstrap,
    /// and if this version can't compute the intersection of the running policy and the change; a leader of this
    /// version then sends no policy.
    pub fn effective_policy(&self) -> Option<(u64, D)> {
        let (number, running) = self.running.as_ref()?;
        let policy = match self.change_at(Step::Binding) {
            Some(change) => running.intersection(&change.document)?,
            None => running.clone(),
        };
        Some((*number, policy))
    }

    /// Applies the next record. Returns whether it had an effect.
    pub fn apply(&mut self, record: Record<D>) -> bool {
        match record {
            Record::Bootstrapped {
                generation,
                document,
                revision,
            } => self.bootstrap(generation, document, revision),
            Record::Members { joined, left } => self.update_members(joined, left),
            Record::Staged(proposal) => self.stage(proposal),
            Record::Refused { number, by, reason } => self.refuse(number, by, reason),
            Record::Binding { number } => self.bind(number),
            Record::Decided { number } => self.decide(number),
            Record::Confirmed { number } => self.confirm(number),
            Record::RolledBack { number } => self.roll_back(number),
        }
    }

    fn has_change(&self, number: u64, step: Step) -> bool {
        self.change_at(step)
            .is_some_and(|change| change.number == number)
    }

    fn set_state(&mut self, number: u64, state: RevisionState) {
        self.revisions
            .iter_mut()
            .filter(|revision| revision.number == number)
            .for_each(|revision| revision.state = state);
    }

    fn bootstrap(
        &mut self,
        generation: u64,
        document: D,
        revision: Option<RevisionSummary>,
    ) -> bool {
        if self.generation != 0 || generation == 0 {
            return false;
        }
        self.generation = generation;
        self.running = Some((0, document));
        self.policy_index = 1;
        self.revisions.extend(revision);
        true
    }

    fn update_members(&mut self, joined: Vec<(String, Session)>, left: Vec<(String, u64)>) -> bool {
        let previous = self.members.clone();
        for (name, start) in left {
            if self
                .members
                .get(&name)
                .is_some_and(|session| session.start == start)
            {
                self.members.remove(&name);
            }
        }
        self.members.extend(joined);
        self.members != previous
    }

    fn stage(&mut self, proposal: ChangeProposal<D>) -> bool {
        if self.running.is_none()
            || self.policy_index != proposal.base_revision
            || self.change.is_some()
            || self.pending_confirmation.is_some()
        {
            return false;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.revisions.push_back(RevisionSummary {
            number,
            token: proposal.token,
            author: proposal.author,
            created_at: proposal.created_at,
            summary: proposal.summary,
            state: RevisionState::Staged,
            commit: proposal.commit.as_ref().map(|(id, _)| id.clone()),
            refused: None,
        });
        if self.revisions.len() > MAX_REVISIONS {
            self.revisions.pop_front();
        }
        self.change = Some(Change {
            number,
            document: proposal.document,
            step: Step::Staged,
            commit: proposal.commit,
            is_rollback: false,
        });
        true
    }

    fn refuse(&mut self, number: u64, by: String, reason: String) -> bool {
        let refused = self
            .change
            .take_if(|change| change.number == number && !change.is_rollback);
        let Some(change) = refused else {
            return false;
        };
        if change.step == Step::Binding {
            // Members that have applied the intersection must return to the running policy, which needs a new index.
            self.policy_index += 1;
        }
        self.set_state(number, RevisionState::Refused);
        if let Some(revision) = self
            .revisions
            .iter_mut()
            .find(|revision| revision.number == number)
        {
            revision.refused = Some((by, reason));
        }
        true
    }

    fn bind(&mut self, number: u64) -> bool {
        if !self.has_change(number, Step::Staged) {
            return false;
        }
        if let Some(change) = &mut self.change {
            change.step = Step::Binding;
        }
        self.policy_index += 1;
        self.set_state(number, RevisionState::Binding);
        true
    }

    fn decide(&mut self, number: u64) -> bool {
        if !self.has_change(number, Step::Binding) {
            return false;
        }
        let Some(change) = self.change.take() else {
            return false;
        };
        let previous = self.running.replace((change.number, change.document));
        self.policy_index += 1;
        if let Some((replaced, _)) = previous.as_ref().filter(|_| !change.is_rollback) {
            self.set_state(*replaced, RevisionState::Replaced);
        }
        let state = match change.commit {
            Some(_) => RevisionState::Unconfirmed,
            None => RevisionState::Running,
        };
        self.pending_confirmation =
            previous
                .zip(change.commit)
                .map(|(previous, (id, confirm_within))| PendingConfirmation {
                    id,
                    confirm_within,
                    previous,
                });
        self.set_state(number, state);
        true
    }

    fn is_unconfirmed(&self, number: u64) -> bool {
        self.pending_confirmation.is_some()
            && self
                .running
                .as_ref()
                .is_some_and(|(running, _)| *running == number)
    }

    fn confirm(&mut self, number: u64) -> bool {
        if !self.is_unconfirmed(number) {
            return false;
        }
        self.pending_confirmation = None;
        self.set_state(number, RevisionState::Running);
        true
    }

    fn roll_back(&mut self, number: u64) -> bool {
        if !self.is_unconfirmed(number) {
            return false;
        }
        let Some(pending) = self.pending_confirmation.take() else {
            return false;
        };
        let (previous_number, document) = pending.previous;
        self.change = Some(Change {
            number: previous_number,
            document,
            step: Step::Binding,
            commit: None,
            is_rollback: true,
        });
        self.policy_index += 1;
        self.set_state(number, RevisionState::RolledBack);
        true
    }
}
