//! Which settings run: revisions, confirmed commits and what survives a restart, as a state machine.
//!
//! One input at a time is handed to [`RevisionTracker::on`], which goes through `RULES` in order after each until none
//! fires. What it asks for is carried out in its order: a record is on the disk before its revision is applied or
//! its caller answered, but for a change that is rolled back, which waits for no disk.

use crate::journal::{PersistedState, Record, RevisionSummary};
use ironstair::Ms;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Revisions that are remembered.
pub const MAX_REVISIONS: usize = 32;

/// How long a change waits to be confirmed where its client does not say, and the least and most that may be said:
/// less is over before a person has looked, more is forgotten.
const CONFIRM_WITHIN: Ms = 600_000.0;
const CONFIRM_LEAST: Ms = 1000.0;
const CONFIRM_MOST: Ms = 86_400_000.0;

/// The time in ms within which a change is to be confirmed, from what its client asks for.
///
/// # Errors
/// It is out of bounds, as a sentence's end.
pub fn confirm_within(command: Option<Ms>) -> Result<Ms, String> {
    let span = command.unwrap_or(CONFIRM_WITHIN);
    if (CONFIRM_LEAST..=CONFIRM_MOST).contains(&span) {
        return Ok(span);
    }
    Err(format!(
        "is outside {} s to {} s",
        CONFIRM_LEAST / 1000.0,
        CONFIRM_MOST / 1000.0
    ))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RevisionState {
    Running,
    Unconfirmed,
    Replaced,
    #[serde(rename = "taken-back")]
    RolledBack,
}

/// What somebody asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<D> {
    /// Other settings, at once; to be confirmed under that id within that time, or for good.
    Set {
        author: String,
        summary: String,
        document: D,
        commit: Option<(String, Ms)>,
    },
    Confirm {
        id: String,
    },
    Cancel {
        id: String,
    },
    /// The unconfirmed one has from now on so long.
    Extend {
        id: String,
        span: Ms,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Input<D> {
    /// One at a time: the next once this is answered.
    Command(Command<D>),
    /// How the write asked for ended.
    Written(Result<(), String>),
    /// Time has gone on.
    Due,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// One waits to be confirmed; only that, a cancel or another time is heard.
    Unconfirmed { number: u64, id: String },
    /// Nothing waits to be confirmed under that id.
    NoSuchCommit { id: String },
    /// The disk did not take it; nothing has changed.
    NotPersisted { reason: String },
    /// An ask was not answered yet.
    Busy,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action<D> {
    /// Appended to the journal and brought to the disk; then `Written`.
    Write(Record<D>),
    /// As `Write`, but nothing waits for it, and no `Written` follows.
    Note(Record<D>),
    /// These settings run from now on.
    Apply {
        number: u64,
        document: D,
    },
    Answer(Result<u64, Refusal>),
}

#[derive(Clone, Debug, PartialEq)]
struct PendingConfirmation<D> {
    id: String,
    until: Ms,
    /// What ran before, and under which number.
    before: (u64, D),
}

#[derive(Clone, Debug, PartialEq)]
enum Write<D> {
    Set {
        revision: RevisionSummary,
        document: D,
        commit: Option<(String, Ms)>,
    },
    Confirm,
}

/// The revisions of one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisionTracker<D> {
    running: D,
    number: u64,
    next: u64,
    revisions: VecDeque<RevisionSummary>,
    pending_confirmation: Option<PendingConfirmation<D>>,
    durable: bool,
    now: Ms,
    command: Option<Command<D>>,
    writing: Option<Write<D>>,
    written: Option<Result<(), String>>,
}

type Rule<D> = fn(&mut RevisionTracker<D>, &mut Vec<Action<D>>) -> bool;

impl<D: Clone + PartialEq> RevisionTracker<D> {
    /// What an ask comes to, in order: a write that has ended, the time that has run out, then what is asked.
    const RULES: [Rule<D>; 8] = [
        Self::answer_what_was_not_kept,
        Self::run_what_was_kept,
        Self::take_back_the_overdue,
        Self::refuse_a_second,
        Self::refuse_an_unknown_commit,
        Self::set,
        Self::confirm,
        Self::cancel_or_extend,
    ];

    /// `durable`: whether there is a disk to write to. `persisted` is what a journal says, see [`PersistedState::open`].
    pub fn new(persisted: PersistedState<D>, durable: bool) -> Self {
        RevisionTracker {
            running: persisted.running,
            number: persisted.number,
            next: persisted.next,
            revisions: persisted.revisions,
            pending_confirmation: None,
            durable,
            now: 0.0,
            command: None,
            writing: None,
            written: None,
        }
    }

    pub fn running(&self) -> &D {
        &self.running
    }

    pub fn revisions(&self) -> &VecDeque<RevisionSummary> {
        &self.revisions
    }

    /// The number of the revision that runs, 0 for what was told at start.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The number of the next revision.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// What would run after a restart now, its number, and the revisions as they would stand then.
    pub fn after_restart(&self) -> (u64, D, VecDeque<RevisionSummary>) {
        let Some(pending_confirmation) = &self.pending_confirmation else {
            return (self.number, self.running.clone(), self.revisions.clone());
        };
        let mut after = self.clone();
        let (number, running) = pending_confirmation.before.clone();
        after.mark(RevisionState::RolledBack);
        after.number = number;
        after.mark(RevisionState::Running);
        (number, running, after.revisions)
    }

    /// What waits to be confirmed: its id, and until when.
    pub fn pending_confirmation(&self) -> Option<(&str, Ms)> {
        self.pending_confirmation
            .as_ref()
            .map(|t| (t.id.as_str(), t.until))
    }

    /// When `Due` is wanted next.
    pub fn due(&self) -> Option<Ms> {
        self.pending_confirmation
            .as_ref()
            .filter(|_| self.writing.is_none())
            .map(|t| t.until)
    }

    pub fn on(&mut self, now: Ms, input: Input<D>) -> Vec<Action<D>> {
        let mut actions = Vec::new();
        self.now = now;
        match input {
            Input::Command(_) if self.command.is_some() || self.writing.is_some() => {
                actions.push(Action::Answer(Err(Refusal::Busy)));
            }
            Input::Command(command) => self.command = Some(command),
            Input::Written(how) => self.written = self.writing.is_some().then_some(how),
            Input::Due => {}
        }
        while Self::RULES.iter().any(|rule| rule(self, &mut actions)) {}
        actions
    }

    /// Gives the revision that runs another state.
    fn mark(&mut self, state: RevisionState) {
        if let Some(l) = self.revisions.iter_mut().find(|l| l.number == self.number) {
            (l.state, l.until) = (state, None);
        }
    }

    fn record(&mut self, write: Write<D>, record: Record<D>, actions: &mut Vec<Action<D>>) {
        self.writing = Some(write);
        match self.durable {
            true => actions.push(Action::Write(record)),
            false => self.written = Some(Ok(())),
        }
    }

    fn answer_what_was_not_kept(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let Some(reason) = self.written.take_if(|w| w.is_err()).and_then(Result::err) else {
            return false;
        };
        self.writing = None;
        actions.push(Action::Answer(Err(Refusal::NotPersisted { reason })));
        true
    }

    fn run_what_was_kept(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let Some(Ok(())) = self.written.take() else {
            return false;
        };
        match self.writing.take() {
            Some(Write::Set {
                revision,
                document,
                commit,
            }) => {
                self.mark(RevisionState::Replaced);
                let number = revision.number;
                // The time runs from here, where the settings begin to: a slow disk does not eat it up.
                let until = commit.as_ref().map(|c| self.now + c.1);
                self.revisions
                    .push_back(RevisionSummary { until, ..revision });
                if self.revisions.len() > MAX_REVISIONS {
                    self.revisions.pop_front();
                }
                let before = std::mem::replace(&mut self.running, document.clone());
                let before = (std::mem::replace(&mut self.number, number), before);
                self.next = number + 1;
                self.pending_confirmation = commit.map(|(id, span)| PendingConfirmation {
                    id,
                    until: self.now + span,
                    before,
                });
                actions.push(Action::Apply { number, document });
                actions.push(Action::Answer(Ok(number)));
            }
            Some(Write::Confirm) => {
                self.pending_confirmation = None;
                self.mark(RevisionState::Running);
                actions.push(Action::Answer(Ok(self.number)));
            }
            None => {}
        }
        true
    }

    // A confirmation that came in time and is being written counts.
    fn take_back_the_overdue(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let overdue = self.writing.is_none()
            && self
                .pending_confirmation
                .as_ref()
                .is_some_and(|t| t.until <= self.now);
        overdue && self.take_back(actions)
    }

    fn take_back(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let Some(pending_confirmation) = self.pending_confirmation.take() else {
            return false;
        };
        let number = self.number;
        self.mark(RevisionState::RolledBack);
        (self.number, self.running) = pending_confirmation.before;
        self.mark(RevisionState::Running);
        actions.push(Action::Apply {
            number: self.number,
            document: self.running.clone(),
        });
        if self.durable {
            actions.push(Action::Note(Record::RolledBack { number }));
        }
        true
    }

    fn refuse_a_second(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let Some(pending_confirmation) = &self.pending_confirmation else {
            return false;
        };
        if self
            .command
            .take_if(|a| matches!(a, Command::Set { .. }))
            .is_none()
        {
            return false;
        }
        let refusal = Refusal::Unconfirmed {
            number: self.number,
            id: pending_confirmation.id.clone(),
        };
        actions.push(Action::Answer(Err(refusal)));
        true
    }

    fn refuse_an_unknown_commit(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let known = |id: &String| {
            self.pending_confirmation
                .as_ref()
                .is_some_and(|t| t.id == *id)
        };
        let unknown =
            match &self.command {
                Some(
                    Command::Confirm { id } | Command::Cancel { id } | Command::Extend { id, .. },
                ) if !known(id) => id.clone(),
                _ => return false,
            };
        self.command = None;
        actions.push(Action::Answer(Err(Refusal::NoSuchCommit { id: unknown })));
        true
    }

    fn set(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        let Some(Command::Set {
            author,
            summary,
            document,
            commit,
        }) = self.command.take_if(|a| matches!(a, Command::Set { .. }))
        else {
            return false;
        };
        let revision = RevisionSummary {
            number: self.next,
            author,
            created_at: self.now,
            summary,
            state: if commit.is_some() {
                RevisionState::Unconfirmed
            } else {
                RevisionState::Running
            },
            commit: commit.as_ref().map(|c| c.0.clone()),
            until: None,
        };
        let record = Record::Set {
            revision: revision.clone(),
            document: document.clone(),
        };
        self.record(
            Write::Set {
                revision,
                document,
                commit,
            },
            record,
            actions,
        );
        true
    }

    fn confirm(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        if self
            .command
            .take_if(|a| matches!(a, Command::Confirm { .. }))
            .is_none()
        {
            return false;
        }
        let record = Record::Confirmed {
            number: self.number,
        };
        self.record(Write::Confirm, record, actions);
        true
    }

    fn cancel_or_extend(&mut self, actions: &mut Vec<Action<D>>) -> bool {
        match self.command.take() {
            Some(Command::Extend { span, .. }) => {
                let (until, number) = (self.now + span, self.number);
                self.pending_confirmation
                    .iter_mut()
                    .for_each(|t| t.until = until);
                self.revisions
                    .iter_mut()
                    .filter(|l| l.number == number)
                    .for_each(|l| l.until = Some(until));
                actions.push(Action::Answer(Ok(number)));
            }
            Some(Command::Cancel { .. }) => {
                self.take_back(actions);
                actions.push(Action::Answer(Ok(self.number)));
            }
            _ => return false,
        }
        true
    }
}
