//! Model checking of revisions under every order of changes, confirmations, timeouts, failed writes, crashes and
//! restarts, and the plain cases by hand.

use ironstair_config_change::{
    Action, Command, Confirmation, Input, PersistedState, Record, Refusal, RevisionState,
    RevisionTracker, WriteError,
};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

/// Limits of the model, large enough for an unconfirmed change, a second change and a restart between any two of them.
const ASKS: usize = 4;
const CRASHES: usize = 2;
const TICKS: usize = 3;

#[derive(Clone, Debug, PartialEq)]
struct World {
    tracker: Option<RevisionTracker<u8>>,
    disk: Vec<Record<u8>>,
    /// Records that are not on the disk yet: the one that the tracker waits for, and the notes.
    writing: Option<Record<u8>>,
    notes: Vec<Record<u8>>,
    command: Option<Command<u8>>,
    /// The settings that the dispatcher has applied.
    applied: u8,
    /// The settings that a caller knows to be permanent, and those that may be, since a crash interrupted their write.
    after_restart: u8,
    maybe: Option<u8>,
    left: (usize, usize, usize),
    broken: Option<&'static str>,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, to: &mut H) {
        format!("{self:?}").hash(to);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Command(&'static str),
    Tick,
    Wrote(bool),
    Noted(bool),
    /// A crash; the flag states whether the write in progress reached the disk.
    Crash(bool),
    Start,
}

struct Days;

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
        "try" => set(Some(Confirmation {
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

impl World {
    fn now(&self) -> f64 {
        (TICKS - self.left.2) as f64
    }

    fn hand(&mut self, input: Input<u8>) {
        let now = self.now();
        let Some(tracker) = self.tracker.as_mut() else {
            return;
        };
        if let Input::Command(command) = &input {
            self.command = Some(command.clone());
        }
        for action in tracker.handle(now, input) {
            match action {
                Action::Write(record) => self.writing = Some(record),
                Action::WriteUnacknowledged(record) => self.notes.push(record),
                Action::Apply { document, .. } => self.applied = document,
                Action::Answer(how) => {
                    let tried = tracker.pending_confirmation().is_some();
                    match (self.command.take(), how) {
                        (Some(Command::Set { .. }), Ok(_)) if tried => {}
                        (Some(Command::Set { document, .. }), Ok(_)) => {
                            self.after_restart = document;
                        }
                        (Some(Command::Confirm { .. }), Ok(_)) => {
                            self.after_restart = *tracker.running();
                        }
                        (None, _) => self.broken = Some("an answer to nobody"),
                        _ => {}
                    }
                }
            }
        }
        if tracker.pending_confirmation().is_none() && *tracker.running() != self.after_restart {
            self.broken = Some("what runs was never confirmed");
        }
    }
}

impl Model for Days {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            tracker: Some(RevisionTracker::new(PersistedState::configured(0), true)),
            disk: vec![Record::Snapshot(PersistedState::configured(0))],
            writing: None,
            notes: Vec::new(),
            command: None,
            applied: 0,
            after_restart: 0,
            maybe: None,
            left: (ASKS, CRASHES, TICKS),
            broken: None,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        if w.tracker.is_none() {
            return steps.push(Step::Start);
        }
        if w.left.0 > 0 && w.writing.is_none() {
            steps.extend(["set", "try", "confirm", "cancel", "extend"].map(Step::Command));
        }
        if w.left.2 > 0 {
            steps.push(Step::Tick);
        }
        // The disk completes writes one after the other.
        if !w.notes.is_empty() {
            steps.extend([true, false].map(Step::Noted));
        } else if w.writing.is_some() {
            steps.extend([true, false].map(Step::Wrote));
        }
        if w.left.1 > 0 {
            steps.extend([true, false].map(Step::Crash));
        }
    }

    fn next_state(&self, was: &World, step: Step) -> Option<World> {
        let mut w = was.clone();
        match step {
            Step::Command(summary) => {
                w.left.0 -= 1;
                let document = (ASKS - w.left.0) as u8;
                w.hand(Input::Command(command(summary, document)));
            }
            Step::Tick => {
                w.left.2 -= 1;
                w.hand(Input::Due);
            }
            Step::Noted(persisted) => {
                let note = w.notes.remove(0);
                w.disk.extend(persisted.then_some(note));
            }
            Step::Wrote(persisted) => {
                let record = w.writing.take()?;
                w.disk.extend(persisted.then_some(record));
                w.hand(Input::Written(if persisted {
                    Ok(())
                } else {
                    Err(WriteError("full".into()))
                }));
            }
            Step::Crash(persisted) => {
                w.left.1 -= 1;
                let tried = w.tracker.take()?.pending_confirmation().is_some();
                if let Some(record) = w.writing.take().filter(|_| persisted && w.notes.is_empty()) {
                    w.maybe = match &record {
                        Record::Set { revision, document }
                            if revision.state == RevisionState::Running =>
                        {
                            Some(*document)
                        }
                        Record::Confirmed { .. } if tried => Some(was.applied),
                        _ => None,
                    };
                    w.disk.push(record);
                }
                (w.notes, w.command) = (Vec::new(), None);
            }
            Step::Start => {
                let (persisted, _) = PersistedState::replay(w.disk.clone(), 0);
                let tracker = RevisionTracker::new(persisted, true);
                w.applied = *tracker.running();
                if w.applied != w.after_restart && w.maybe != Some(w.applied) {
                    w.broken = Some("a start runs what was never for good");
                }
                (w.after_restart, w.maybe) = (w.applied, None);
                w.tracker = Some(tracker);
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "one revision runs, and it is the tracker's",
                |_, w: &World| w.tracker.as_ref().is_none_or(|l| *l.running() == w.applied),
            ),
            Property::always("at most one line runs or waits", |_, w: &World| {
                let open = |s: &RevisionState| {
                    matches!(s, RevisionState::Running | RevisionState::Unconfirmed)
                };
                let revisions = |l: &RevisionTracker<u8>| {
                    l.revisions().iter().filter(|l| open(&l.state)).count()
                };
                w.tracker.as_ref().is_none_or(|l| revisions(l) <= 1)
            }),
            Property::always(
                "unconfirmed ones never survive, confirmed ones are never lost",
                |_, w: &World| w.broken.is_none(),
            ),
            Property::always("no unconfirmed change outlives its time", |_, w: &World| {
                let late = |l: &RevisionTracker<u8>| {
                    l.pending_confirmation().is_some_and(|t| t.1 <= w.now())
                };
                w.writing.is_some() || w.tracker.as_ref().is_none_or(|l| !late(l))
            }),
            Property::sometimes(
                "an unconfirmed change is confirmed after a restart",
                |_, w: &World| {
                    w.left.1 < CRASHES
                        && w.after_restart > 0
                        && w.disk.iter().any(|r| matches!(r, Record::Confirmed { .. }))
                },
            ),
        ]
    }
}

#[test]
fn in_every_order_of_commits_crashes_and_lost_writes_only_what_is_for_good_outlives_the_process() {
    let checked = Days.checker().threads(4).spawn_bfs().join();
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 10_000,
        "{}",
        checked.unique_state_count()
    );
}

fn answers(actions: Vec<Action<u8>>) -> Vec<Result<u64, Refusal>> {
    actions
        .into_iter()
        .filter_map(|a| {
            if let Action::Answer(how) = a {
                Some(how)
            } else {
                None
            }
        })
        .collect()
}

#[test]
fn an_unconfirmed_change_is_rolled_back_at_its_time_and_a_second_one_meanwhile_is_refused() {
    let mut tracker = RevisionTracker::new(PersistedState::configured(0), false);
    assert_eq!(
        answers(tracker.handle(10.0, Input::Command(command("try", 7)))),
        [Ok(1)]
    );
    assert_eq!((tracker.due(), *tracker.running()), (Some(11.0), 7));
    let refused = Refusal::Unconfirmed {
        number: 1,
        id: "c".into(),
    };
    assert_eq!(
        answers(tracker.handle(10.1, Input::Command(command("set", 8)))),
        [Err(refused)]
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
    let none = Refusal::NoSuchCommit { id: "c".into() };
    assert_eq!(
        answers(tracker.handle(12.3, Input::Command(command("confirm", 0)))),
        [Err(none)],
        "too late"
    );
}

#[test]
fn a_confirmation_that_is_being_written_at_its_time_counts_and_a_lost_one_does_not() {
    for persisted in [true, false] {
        let mut tracker = RevisionTracker::new(PersistedState::configured(0), true);
        tracker.handle(0.0, Input::Command(command("try", 7)));
        tracker.handle(0.5, Input::Written(Ok(())));
        assert_eq!(
            answers(tracker.handle(1.4, Input::Command(command("confirm", 0)))),
            []
        );
        assert_eq!(
            (tracker.handle(1.6, Input::Due), tracker.due()),
            (vec![], None)
        );
        let how = if persisted {
            Ok(())
        } else {
            Err(WriteError("full".to_owned()))
        };
        let then = tracker.handle(1.7, Input::Written(how));
        assert_eq!(
            (*tracker.running(), tracker.pending_confirmation()),
            (if persisted { 7 } else { 0 }, None),
            "{then:?}"
        );
    }
}
