//! Revisions under commits, confirmations, time-outs, writes that fail, crashes and restarts in every order
//! (model checked), and the plain cases by hand.

use ironstair_config_change::journal::{Kept, Record};
use ironstair_config_change::revisions::{Action, Command, Input, Ledger, Refusal, RevisionState};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

/// Long enough for a trial, a second change and a restart between any two of them.
const ASKS: usize = 4;
const CRASHES: usize = 2;
const TICKS: usize = 3;

#[derive(Clone, Debug, PartialEq)]
struct World {
    ledger: Option<Ledger<u8>>,
    disk: Vec<Record<u8>>,
    /// Not on the disk yet: the record that is waited for, and those that nothing waits for.
    writing: Option<Record<u8>>,
    notes: Vec<Record<u8>>,
    ask: Option<Command<u8>>,
    /// What the decision module runs.
    applied: u8,
    /// What callers were told is for good; and what may be, since a crash met its write.
    firm: u8,
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
    /// With what was being written on the disk, or not.
    Crash(bool),
    Start,
}

struct Days;

fn asked(what: &str, document: u8) -> Command<u8> {
    let id = || "c".to_string();
    let set = |commit| Command::Set {
        who: "op".into(),
        what: what.into(),
        document,
        commit,
    };
    match what {
        "set" => set(None),
        "try" => set(Some((id(), 1.0))),
        "confirm" => Command::Confirm { id: id() },
        "cancel" => Command::Cancel { id: id() },
        _ => Command::Extend {
            id: id(),
            span: 2.0,
        },
    }
}

impl World {
    fn now(&self) -> f64 {
        (TICKS - self.left.2) as f64
    }

    fn hand(&mut self, input: Input<u8>) {
        let now = self.now();
        let Some(ledger) = self.ledger.as_mut() else {
            return;
        };
        if let Input::Command(ask) = &input {
            self.ask = Some(ask.clone());
        }
        for action in ledger.on(now, input) {
            match action {
                Action::Write(record) => self.writing = Some(record),
                Action::Note(record) => self.notes.push(record),
                Action::Apply { document, .. } => self.applied = document,
                Action::Answer(how) => {
                    let tried = ledger.trial().is_some();
                    match (self.ask.take(), how) {
                        (Some(Command::Set { .. }), Ok(_)) if tried => {}
                        (Some(Command::Set { document, .. }), Ok(_)) => self.firm = document,
                        (Some(Command::Confirm { .. }), Ok(_)) => self.firm = *ledger.running(),
                        (None, _) => self.broken = Some("an answer to nobody"),
                        _ => {}
                    }
                }
            }
        }
        if ledger.trial().is_none() && *ledger.running() != self.firm {
            self.broken = Some("what runs was never confirmed");
        }
    }
}

impl Model for Days {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            ledger: Some(Ledger::new(Kept::told(0), true)),
            disk: vec![Record::Whole(Kept::told(0))],
            writing: None,
            notes: Vec::new(),
            ask: None,
            applied: 0,
            firm: 0,
            maybe: None,
            left: (ASKS, CRASHES, TICKS),
            broken: None,
        }]
    }

    fn actions(&self, w: &World, steps: &mut Vec<Step>) {
        if w.ledger.is_none() {
            return steps.push(Step::Start);
        }
        if w.left.0 > 0 && w.writing.is_none() {
            steps.extend(["set", "try", "confirm", "cancel", "extend"].map(Step::Command));
        }
        if w.left.2 > 0 {
            steps.push(Step::Tick);
        }
        // The disk takes one after the other.
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
            Step::Command(what) => {
                w.left.0 -= 1;
                let document = (ASKS - w.left.0) as u8;
                w.hand(Input::Command(asked(what, document)));
            }
            Step::Tick => {
                w.left.2 -= 1;
                w.hand(Input::Due);
            }
            Step::Noted(kept) => {
                let note = w.notes.remove(0);
                w.disk.extend(kept.then_some(note));
            }
            Step::Wrote(kept) => {
                let record = w.writing.take()?;
                w.disk.extend(kept.then_some(record));
                w.hand(Input::Written(if kept {
                    Ok(())
                } else {
                    Err("full".into())
                }));
            }
            Step::Crash(kept) => {
                w.left.1 -= 1;
                let tried = w.ledger.take()?.trial().is_some();
                if let Some(record) = w.writing.take().filter(|_| kept && w.notes.is_empty()) {
                    w.maybe = match &record {
                        Record::Set { line, document } if line.state == RevisionState::Running => {
                            Some(*document)
                        }
                        Record::Confirmed { .. } if tried => Some(was.applied),
                        _ => None,
                    };
                    w.disk.push(record);
                }
                (w.notes, w.ask) = (Vec::new(), None);
            }
            Step::Start => {
                let (kept, _) = Kept::open(w.disk.clone(), 0);
                let ledger = Ledger::new(kept, true);
                w.applied = *ledger.running();
                if w.applied != w.firm && w.maybe != Some(w.applied) {
                    w.broken = Some("a start runs what was never for good");
                }
                (w.firm, w.maybe) = (w.applied, None);
                w.ledger = Some(ledger);
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "one revision runs, and it is the ledger's",
                |_, w: &World| w.ledger.as_ref().is_none_or(|l| *l.running() == w.applied),
            ),
            Property::always("at most one line runs or waits", |_, w: &World| {
                let open = |s: &RevisionState| {
                    matches!(s, RevisionState::Running | RevisionState::Unconfirmed)
                };
                let lines = |l: &Ledger<u8>| l.lines().iter().filter(|l| open(&l.state)).count();
                w.ledger.as_ref().is_none_or(|l| lines(l) <= 1)
            }),
            Property::always(
                "unconfirmed ones never survive, confirmed ones are never lost",
                |_, w: &World| w.broken.is_none(),
            ),
            Property::always("no trial outlives its time", |_, w: &World| {
                let late = |l: &Ledger<u8>| l.trial().is_some_and(|t| t.1 <= w.now());
                w.writing.is_some() || w.ledger.as_ref().is_none_or(|l| !late(l))
            }),
            Property::sometimes("a trial is confirmed after a restart", |_, w: &World| {
                w.left.1 < CRASHES
                    && w.firm > 0
                    && w.disk.iter().any(|r| matches!(r, Record::Confirmed { .. }))
            }),
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
fn a_trial_is_taken_back_at_its_time_and_a_second_change_meanwhile_is_refused() {
    let mut l = Ledger::new(Kept::told(0), false);
    assert_eq!(
        answers(l.on(10.0, Input::Command(asked("try", 7)))),
        [Ok(1)]
    );
    assert_eq!((l.due(), *l.running()), (Some(11.0), 7));
    let refused = Refusal::Unconfirmed {
        number: 1,
        id: "c".into(),
    };
    assert_eq!(
        answers(l.on(10.1, Input::Command(asked("set", 8)))),
        [Err(refused)]
    );
    assert_eq!(
        answers(l.on(10.2, Input::Command(asked("extend", 0)))),
        [Ok(1)]
    );
    assert_eq!((l.on(11.0, Input::Due), l.due()), (vec![], Some(12.2)));
    assert_eq!(
        l.on(12.2, Input::Due),
        [Action::Apply {
            number: 0,
            document: 0
        }]
    );
    assert_eq!(
        (l.number(), l.lines()[0].state),
        (0, RevisionState::RolledBack)
    );
    let none = Refusal::NoSuchCommit { id: "c".into() };
    assert_eq!(
        answers(l.on(12.3, Input::Command(asked("confirm", 0)))),
        [Err(none)],
        "too late"
    );
}

#[test]
fn a_confirmation_that_is_being_written_at_its_time_counts_and_a_lost_one_does_not() {
    for kept in [true, false] {
        let mut l = Ledger::new(Kept::told(0), true);
        l.on(0.0, Input::Command(asked("try", 7)));
        l.on(0.5, Input::Written(Ok(())));
        assert_eq!(answers(l.on(1.4, Input::Command(asked("confirm", 0)))), []);
        assert_eq!((l.on(1.6, Input::Due), l.due()), (vec![], None));
        let how = if kept {
            Ok(())
        } else {
            Err("full".to_string())
        };
        let then = l.on(1.7, Input::Written(how));
        assert_eq!(
            (*l.running(), l.trial()),
            (if kept { 7 } else { 0 }, None),
            "{then:?}"
        );
    }
}
