//! Checks the revision tracker: a model checker explores every order of changes, confirmations, timeouts, failed
//! writes, crashes and restarts within bounds, and single tests cover typical sequences.

use ironstair_config_change::{
    Action, Command, Confirmation, Input, PersistedState, Record, Refusal, RevisionState,
    RevisionTracker, WriteError,
};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

/// Bounds of the model: the numbers of commands, crashes and time steps. They allow for an unconfirmed change, a second
/// change, and a restart between any two events.
const COMMANDS: usize = 4;
const CRASHES: usize = 2;
const TIME_STEPS: usize = 3;

#[derive(Clone, Debug, PartialEq)]
struct State {
    tracker: Option<RevisionTracker<u8>>,
    disk: Vec<Record<u8>>,
    /// The record that is being written and whose result the tracker waits for.
    pending_write: Option<Record<u8>>,
    /// Records that are not on the disk yet, whose results the tracker does not wait for.
    unacknowledged: Vec<Record<u8>>,
    /// The command that is not answered yet.
    command: Option<Command<u8>>,
    /// The settings that the dispatcher has applied.
    applied: u8,
    /// The settings that a caller knows to be permanent.
    permanent: u8,
    /// Settings that may be permanent: a crash interrupted the answer after their record was written.
    maybe_permanent: Option<u8>,
    commands_left: usize,
    crashes_left: usize,
    time_steps_left: usize,
    /// A violation that was found.
    violation: Option<&'static str>,
}

impl Eq for State {}

impl Hash for State {
    fn hash<H: Hasher>(&self, to: &mut H) {
        format!("{self:?}").hash(to);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Command(&'static str),
    AdvanceTime,
    /// The pending write ends; the flag states whether it succeeded.
    FinishWrite(bool),
    /// An unacknowledged write ends; the flag states whether it succeeded.
    FinishUnacknowledged(bool),
    /// A crash; the flag states whether the write in progress reached the disk.
    Crash(bool),
    Start,
}

struct RevisionModel;

fn command(summary: &str, document: u8) -> Command<u8> {
    let id = || "c".to_owned();
    let set = |confirmation| Command::Set {
        author: "op".into(),
        summary: summary.into(),
        document,
        confirmation,
    };
    match summary {
        "set" => set(None),
        "set-unconfirmed" => set(Some(Confirmation {
            id: id(),
            within: 1.0,
        })),
        "confirm" => Command::Confirm { id: id() },
        "cancel" => Command::Cancel { id: id() },
        _ => Command::Extend {
            id: id(),
            within: 2.0,
        },
    }
}

impl State {
    fn now(&self) -> f64 {
        (TIME_STEPS - self.time_steps_left) as f64
    }

    /// Whether the condition holds, which it does while no process is running.
    fn tracker_satisfies(&self, condition: impl Fn(&RevisionTracker<u8>) -> bool) -> bool {
        self.tracker.as_ref().is_none_or(condition)
    }

    fn handle(&mut self, input: Input<u8>) {
        let now = self.now();
        let Some(tracker) = self.tracker.as_mut() else {
            return;
        };
        if let Input::Command(command) = &input {
            self.command = Some(command.clone());
        }
        for action in tracker.handle(now, input) {
            match action {
                Action::Write(record) => self.pending_write = Some(record),
                Action::WriteUnacknowledged(record) => self.unacknowledged.push(record),
                Action::Apply { document, .. } => self.applied = document,
                Action::Answer(answer) => {
                    let is_unconfirmed = tracker.pending_confirmation().is_some();
                    match (self.command.take(), answer) {
                        (Some(Command::Set { .. }), Ok(_)) if is_unconfirmed => {}
                        (Some(Command::Set { document, .. }), Ok(_)) => {
                            self.permanent = document;
                        }
                        (Some(Command::Confirm { .. }), Ok(_)) => {
                            self.permanent = *tracker.running();
                        }
                        (None, _) => self.violation = Some("an answer without a command"),
                        _ => {}
                    }
                }
            }
        }
        if tracker.pending_confirmation().is_none() && *tracker.running() != self.permanent {
            self.violation = Some("the running settings were never confirmed");
        }
    }
}

impl Model for RevisionModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            tracker: Some(RevisionTracker::new(PersistedState::configured(0), true)),
            disk: vec![Record::Snapshot(PersistedState::configured(0))],
            pending_write: None,
            unacknowledged: Vec::new(),
            command: None,
            applied: 0,
            permanent: 0,
            maybe_permanent: None,
            commands_left: COMMANDS,
            crashes_left: CRASHES,
            time_steps_left: TIME_STEPS,
            violation: None,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.tracker.is_none() {
            return steps.push(Step::Start);
        }
        if state.commands_left > 0 && state.pending_write.is_none() {
            steps.extend(
                ["set", "set-unconfirmed", "confirm", "cancel", "extend"].map(Step::Command),
            );
        }
        if state.time_steps_left > 0 {
            steps.push(Step::AdvanceTime);
        }
        // The disk completes writes one after the other.
        if !state.unacknowledged.is_empty() {
            steps.extend([true, false].map(Step::FinishUnacknowledged));
        } else if state.pending_write.is_some() {
            steps.extend([true, false].map(Step::FinishWrite));
        }
        if state.crashes_left > 0 {
            steps.extend([true, false].map(Step::Crash));
        }
    }

    fn next_state(&self, before: &State, step: Step) -> Option<State> {
        let mut state = before.clone();
        match step {
            Step::Command(summary) => {
                state.commands_left -= 1;
                let document = (COMMANDS - state.commands_left) as u8;
                state.handle(Input::Command(command(summary, document)));
            }
            Step::AdvanceTime => {
                state.time_steps_left -= 1;
                state.handle(Input::Due);
            }
            Step::FinishUnacknowledged(persisted) => {
                let record = state.unacknowledged.remove(0);
                state.disk.extend(persisted.then_some(record));
            }
            Step::FinishWrite(persisted) => {
                let record = state.pending_write.take()?;
                state.disk.extend(persisted.then_some(record));
                state.handle(Input::Written(if persisted {
                    Ok(())
                } else {
                    Err(WriteError("full".into()))
                }));
            }
            Step::Crash(persisted) => {
                state.crashes_left -= 1;
                let was_unconfirmed = state.tracker.take()?.pending_confirmation().is_some();
                if let Some(record) = state
                    .pending_write
                    .take()
                    .filter(|_| persisted && state.unacknowledged.is_empty())
                {
                    state.maybe_permanent = match &record {
                        Record::Set { revision, document }
                            if revision.state == RevisionState::Running =>
                        {
                            Some(*document)
                        }
                        Record::Confirmed { .. } if was_unconfirmed => Some(before.applied),
                        _ => None,
                    };
                    state.disk.push(record);
                }
                (state.unacknowledged, state.command) = (Vec::new(), None);
            }
            Step::Start => {
                let (persisted, _) = PersistedState::replay(state.disk.clone(), 0);
                let tracker = RevisionTracker::new(persisted, true);
                state.applied = *tracker.running();
                if state.applied != state.permanent && state.maybe_permanent != Some(state.applied)
                {
                    state.violation = Some("a start restores settings that were never permanent");
                }
                (state.permanent, state.maybe_permanent) = (state.applied, None);
                state.tracker = Some(tracker);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "the dispatcher runs the settings that the tracker states",
                |_, state: &State| {
                    state.tracker_satisfies(|tracker| *tracker.running() == state.applied)
                },
            ),
            Property::always(
                "at most one revision is running or unconfirmed",
                |_, state: &State| {
                    let is_current = |revision_state: &RevisionState| {
                        matches!(
                            revision_state,
                            RevisionState::Running | RevisionState::Unconfirmed
                        )
                    };
                    let current_count = |tracker: &RevisionTracker<u8>| {
                        tracker
                            .revisions()
                            .iter()
                            .filter(|revision| is_current(&revision.state))
                            .count()
                    };
                    state.tracker_satisfies(|tracker| current_count(tracker) <= 1)
                },
            ),
            Property::always(
                "no unconfirmed revision survives a restart, and no confirmed one is lost",
                |_, state: &State| state.violation.is_none(),
            ),
            Property::always(
                "no unconfirmed change is running after its deadline",
                |_, state: &State| {
                    let is_overdue = |tracker: &RevisionTracker<u8>| {
                        tracker
                            .pending_confirmation()
                            .is_some_and(|(_, deadline)| deadline <= state.now())
                    };
                    state.pending_write.is_some()
                        || state.tracker_satisfies(|tracker| !is_overdue(tracker))
                },
            ),
            Property::sometimes(
                "an unconfirmed change is confirmed after a restart",
                |_, state: &State| {
                    state.crashes_left < CRASHES
                        && state.permanent > 0
                        && state
                            .disk
                            .iter()
                            .any(|record| matches!(record, Record::Confirmed { .. }))
                },
            ),
        ]
    }
}

#[test]
fn only_permanent_settings_survive_in_every_order_of_commits_crashes_and_failed_writes() {
    let checker = RevisionModel.checker().threads(4).spawn_bfs().join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 10_000,
        "{}",
        checker.unique_state_count()
    );
}

fn answers(actions: Vec<Action<u8>>) -> Vec<Result<u64, Refusal>> {
    actions
        .into_iter()
        .filter_map(|action| {
            if let Action::Answer(answer) = action {
                Some(answer)
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn unconfirmed_change_is_rolled_back_at_its_deadline_and_a_second_change_before_that_is_refused() {
    let mut tracker = RevisionTracker::new(PersistedState::configured(0), false);
    assert_eq!(
        answers(tracker.handle(10.0, Input::Command(command("set-unconfirmed", 7)))),
        [Ok(1)]
    );
    assert_eq!((tracker.due(), *tracker.running()), (Some(11.0), 7));
    let refusal = Refusal::Unconfirmed {
        number: 1,
        id: "c".into(),
    };
    assert_eq!(
        answers(tracker.handle(10.1, Input::Command(command("set", 8)))),
        [Err(refusal)]
    );
    assert_eq!(
        answers(tracker.handle(10.2, Input::Command(command("extend", 0)))),
        [Ok(1)]
    );
    assert_eq!(
        (tracker.handle(11.0, Input::Due), tracker.due()),
        (vec![], Some(12.2))
    );
    assert_eq!(
        tracker.handle(12.2, Input::Due),
        [Action::Apply {
            number: 0,
            document: 0
        }]
    );
    assert_eq!(
        (tracker.running_number(), tracker.revisions()[0].state),
        (0, RevisionState::RolledBack)
    );
    let no_such_commit = Refusal::NoSuchCommit { id: "c".into() };
    assert_eq!(
        answers(tracker.handle(12.3, Input::Command(command("confirm", 0)))),
        [Err(no_such_commit)],
        "too late"
    );
}

#[test]
fn confirmation_that_is_being_written_at_the_deadline_counts_unless_its_write_fails() {
    for persisted in [true, false] {
        let mut tracker = RevisionTracker::new(PersistedState::configured(0), true);
        tracker.handle(0.0, Input::Command(command("set-unconfirmed", 7)));
        tracker.handle(0.5, Input::Written(Ok(())));
        assert_eq!(
            answers(tracker.handle(1.4, Input::Command(command("confirm", 0)))),
            []
        );
        assert_eq!(
            (tracker.handle(1.6, Input::Due), tracker.due()),
            (vec![], None)
        );
        let result = if persisted {
            Ok(())
        } else {
            Err(WriteError("full".to_owned()))
        };
        let actions = tracker.handle(1.7, Input::Written(result));
        assert_eq!(
            (*tracker.running(), tracker.pending_confirmation()),
            (if persisted { 7 } else { 0 }, None),
            "{actions:?}"
        );
    }
}
