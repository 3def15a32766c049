//! The revisions of one gateway as a state machine: which settings are running, which must be confirmed, and which
//! survive a restart.
//!
//! [`RevisionTracker::handle`] takes one input at a time: it applies the rules in `RULES` in order until none applies.
//! The caller carries out the returned actions in order. A record is on the disk before its revision is applied and the
//! command is answered. A rollback is the exception: it does not wait for the disk.

use crate::command::{Action, Command, Confirmation, Input, Refusal, WriteError};
use crate::record::{PersistedState, Record};
use crate::revision::{find_mut, push_bounded, Numbered, RevisionState, RevisionSummary};
use ironstair::Millis;
use std::collections::VecDeque;

/// The confirmation that the running revision needs.
#[derive(Clone, Debug, PartialEq)]
struct PendingConfirmation<D> {
    id: String,
    deadline: Millis,
    /// The revision to return to if it is not confirmed.
    before: Numbered<D>,
}

/// The write in progress.
#[derive(Clone, Debug, PartialEq)]
enum PendingWrite<D> {
    Set {
        revision: RevisionSummary,
        document: D,
        confirmation: Option<Confirmation>,
    },
    Confirm,
}

/// The revisions of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionTracker<D> {
    running: D,
    running_number: u64,
    next_number: u64,
    revisions: VecDeque<RevisionSummary>,
    pending_confirmation: Option<PendingConfirmation<D>>,
    is_durable: bool,
    now: Millis,
    command: Option<Command<D>>,
    pending_write: Option<PendingWrite<D>>,
    write_result: Option<Result<(), WriteError>>,
}

type Rule<D> = fn(&mut RevisionTracker<D>, &mut Vec<Action<D>>) -> bool;

impl<D: Clone + PartialEq> RevisionTracker<D> {
    /// The rules in the order of their precedence: the result of a write, then an expired deadline, then the command.
    const RULES: [Rule<D>; 8] = [
        Self::reject_failed_write,
        Self::complete_write,
        Self::roll_back_if_overdue,
        Self::refuse_second_change,
        Self::refuse_unknown_commit,
        Self::set,
        Self::confirm,
        Self::cancel_or_extend,
    ];

    /// Creates the tracker. `is_durable` states whether there is a disk to write to. `persisted` is the state from the
    /// journal, see [`PersistedState::replay`].
    pub fn new(persisted: PersistedState<D>, is_durable: bool) -> Self {
        RevisionTracker {
            running: persisted.running,
            running_number: persisted.running_number,
            next_number: persisted.next_number,
            revisions: persisted.revisions,
            pending_confirmation: None,
            is_durable,
            now: 0.0,
            command: None,
            pending_write: None,
            write_result: None,
        }
    }

    /// The running settings.
    pub fn running(&self) -> &D {
        &self.running
    }

    /// The latest revisions, oldest first.
    pub fn revisions(&self) -> &VecDeque<RevisionSummary> {
        &self.revisions
    }

    /// The number of the running revision, 0 for the configuration file.
    pub fn running_number(&self) -> u64 {
        self.running_number
    }

    /// The state that a restart now would result in: an unconfirmed revision is rolled back. `configured` are the
    /// settings of the configuration file.
    pub fn after_restart(&self, configured: D) -> PersistedState<D> {
        let mut after = self.clone();
        if let Some(pending) = after.pending_confirmation.take() {
            after.return_to(pending.before);
        }
        PersistedState {
            configured,
            running: after.running,
            running_number: after.running_number,
            next_number: after.next_number,
            revisions: after.revisions,
        }
    }

    /// The id of the unconfirmed revision and the deadline of its confirmation (Unix time in ms).
    pub fn pending_confirmation(&self) -> Option<(&str, Millis)> {
        let pending = self.pending_confirmation.as_ref()?;
        Some((&pending.id, pending.deadline))
    }

    /// The time at which the caller has to pass [`Input::Due`], if any; Unix time in ms.
    pub fn due(&self) -> Option<Millis> {
        if self.pending_write.is_some() {
            return None;
        }
        self.pending_confirmation
            .as_ref()
            .map(|pending| pending.deadline)
    }

    /// Handles one input at `now` (Unix time in ms). Returns the actions to carry out, in order.
    pub fn handle(&mut self, now: Millis, input: Input<D>) -> Vec<Action<D>> {
        let mut actions = Vec::new();
        self.now = now;
        match input {
            Input::Command(_) if self.command.is_some() || self.pending_write.is_some() => {
                actions.push(Action::Answer(Err(Refusal::Busy)));
            }
            Input::Command(command) => self.command = Some(command),
            Input::Written(result) => {
                self.write_result = self.pending_write.is_some().then_some(result);
            }
            Input::Due => {}
        }
        while Self::RULES.iter().any(|rule| rule(self, &mut actions)) {}
        actions
    }

    /// Sets the state of the running revision.
    fn set_state(&mut self, state: RevisionState) {
        if let Some(revision) = find_mut(&mut self.revisions, self.running_number) {
            revision.state = state;
            revision.confirm_by = None;
        }
    }

    fn return_to(&mut self, before: Numbered<D>) {
        self.set_state(RevisionState::RolledBack);
        self.running_number = before.number;
        self.running = before.document;
        self.set_state(RevisionState::Running);
    }

    fn write(&mut self, write: PendingWrite<D>, record: Record<D>, actions: &mut Vec<Action<D>>) {
        self.pending_write = Some(write);
        if self.is_durable {
            actions.push(Action::Write(record));
        } else {
            self.write_result = Some(Ok(()));
        }
    }

    fn reject_failed_write(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let failed = self.write_result.take_if(|result| result.is_err());
        let Some(Err(reason)) = failed else {
            return false;
        };
        self.pending_write = None;
        actions.push(Action::Answer(Err(Refusal::NotPersisted { reason })));
        true
    }

    fn complete_write(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let Some(Ok(())) = self.write_result.take() else {
            return false;
        };
        match self.pending_write.take() {
            Some(PendingWrite::Set {
                revision,
                document,
                confirmation,
            }) => self.start_revision(revision, document, confirmation, actions),
            Some(PendingWrite::Confirm) => {
                self.pending_confirmation = None;
                self.set_state(RevisionState::Running);
                actions.push(Action::Answer(Ok(self.running_number)));
            }
            None => {}
        }
        true
    }

    fn start_revision(
        &mut self,
        mut revision: RevisionSummary,
        document: D,
        confirmation: Option<Confirmation>,
        actions: &mut Vec<Action<D>>,
    ) {
        self.set_state(RevisionState::Replaced);
        let number = revision.number;
        // The time to confirm starts when the settings take effect, so that a slow disk does not shorten it.
        revision.confirm_by = confirmation
            .as_ref()
            .map(|confirmation| self.now + confirmation.within);
        push_bounded(&mut self.revisions, revision);
        let before = Numbered {
            number: std::mem::replace(&mut self.running_number, number),
            document: std::mem::replace(&mut self.running, document.clone()),
        };
        self.next_number = number + 1;
        self.pending_confirmation = confirmation.map(|confirmation| PendingConfirmation {
            id: confirmation.id,
            deadline: self.now + confirmation.within,
            before,
        });
        actions.push(Action::Apply { number, document });
        actions.push(Action::Answer(Ok(number)));
    }

    // While a record is being written, `due` returns no time: a confirmation that arrived before the deadline counts
    // even if its record is on the disk only after it.
    fn roll_back_if_overdue(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let is_overdue = self.due().is_some_and(|deadline| deadline <= self.now);
        is_overdue && self.roll_back(actions)
    }

    fn roll_back(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let Some(pending) = self.pending_confirmation.take() else {
            return false;
        };
        let number = self.running_number;
        self.return_to(pending.before);
        actions.push(Action::Apply {
            number: self.running_number,
            document: self.running.clone(),
        });
        if self.is_durable {
            actions.push(Action::WriteUnacknowledged(Record::RolledBack { number }));
        }
        true
    }

    fn refuse_second_change(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let Some(pending) = &self.pending_confirmation else {
            return false;
        };
        let second = self
            .command
            .take_if(|command| matches!(command, Command::Set { .. }));
        if second.is_none() {
            return false;
        }
        let refusal = Refusal::Unconfirmed {
            number: self.running_number,
            id: pending.id.clone(),
        };
        actions.push(Action::Answer(Err(refusal)));
        true
    }

    fn refuse_unknown_commit(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let Some(Command::Confirm { id } | Command::Cancel { id } | Command::Extend { id, .. }) =
            &self.command
        else {
            return false;
        };
        let pending = self.pending_confirmation.as_ref();
        if pending.is_some_and(|pending| pending.id == *id) {
            return false;
        }
        let id = id.clone();
        self.command = None;
        actions.push(Action::Answer(Err(Refusal::NoSuchCommit { id })));
        true
    }

    fn set(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let Some(Command::Set {
            author,
            summary,
            document,
            confirmation,
        }) = self
            .command
            .take_if(|command| matches!(command, Command::Set { .. }))
        else {
            return false;
        };
        let revision = RevisionSummary {
            number: self.next_number,
            author,
            created_at: self.now,
            summary,
            state: if confirmation.is_some() {
                RevisionState::Unconfirmed
            } else {
                RevisionState::Running
            },
            commit_id: confirmation
                .as_ref()
                .map(|confirmation| confirmation.id.clone()),
            confirm_by: None,
        };
        let record = Record::Set {
            revision: revision.clone(),
            document: document.clone(),
        };
        let write = PendingWrite::Set {
            revision,
            document,
            confirmation,
        };
        self.write(write, record, actions);
        true
    }

    fn confirm(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let confirm = |command: &mut Command<D>| matches!(command, Command::Confirm { .. });
        if self.command.take_if(confirm).is_none() {
            return false;
        }
        let number = self.running_number;
        self.write(PendingWrite::Confirm, Record::Confirmed { number }, actions);
        true
    }

    fn cancel_or_extend(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        match self.command.take() {
            Some(Command::Extend { within, .. }) => {
                let deadline = self.now + within;
                if let Some(pending) = &mut self.pending_confirmation {
                    pending.deadline = deadline;
                }
                if let Some(revision) = find_mut(&mut self.revisions, self.running_number) {
                    revision.confirm_by = Some(deadline);
                }
                actions.push(Action::Answer(Ok(self.running_number)));
            }
            Some(Command::Cancel { .. }) => {
                self.roll_back(actions);
                actions.push(Action::Answer(Ok(self.running_number)));
            }
            _ => return false,
        }
        true
    }
}
