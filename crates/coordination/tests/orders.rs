//! A change of policy in every order of heartbeats, answers, steps of the log, crashes, lost leaders and late, doubled
//! or lost messages: the sentences of `docs/design/fleet.md` as properties (model checked). The log itself is the
//! agreement library's: here it takes one record after the other, and a leader whose term is over grants nothing.

mod played;

use ironstair_coordination::fleet::Step as Stage;
use ironstair_coordination::leader::Command;
use ironstair_coordination::member::Input;
use ironstair_coordination::{Fleet, Leader, Record};
use played::{proposal, Gate, Pol, LEASE, UNREAD};
use stateright::{Checker, HasDiscoveries, Model, Property};

#[derive(Clone, Debug, PartialEq)]
struct World {
    now: f64,
    fleet: Fleet<Pol>,
    marked: f64,
    leader: Leader<Pol>,
    writing: Option<Record<Pol>>,
    gates: Vec<Option<Gate>>,
    starts: u64,
    decided: Vec<u8>,
    refused: Vec<u8>,
    left: Budget,
}

/// How often what may happen.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Budget {
    ticks: u8,
    leaders: u8,
    crashes: u8,
    asks: u8,
    cancels: u8,
    twice: u8,
    pauses: u8,
}

played::hashed_as_shown!(World);

#[derive(Clone, Debug, PartialEq)]
enum Move {
    Tick,
    /// A heartbeat comes to the leader, and its answer is under way: the new one, or once more the last.
    Talk(usize, bool),
    /// An answer comes and is carried out; it may come once more.
    Hear(usize, bool),
    Next,
    Commit,
    /// The leader is lost, what it wrote is in the log or not.
    Leader(bool),
    Crash(usize),
    Start(usize),
    Command,
    Cancel,
    /// A gateway is stopped, and goes on.
    Pause(usize),
}

/// What is taken out, so that the properties can be seen to fail.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Out {
    Nothing,
    /// A new leader counts no leases of an earlier one.
    Grace,
    /// A lease runs from when its answer came.
    Sent,
    /// A record is decided without those that were not heard.
    Unheard,
    /// Whether a lease still runs is a timer's word.
    Timer,
}

struct Days {
    gates: usize,
    budget: Budget,
    out: Out,
}

impl World {
    fn hand(&mut self, i: usize, input: Input<Pol>) {
        let now = self.now;
        self.gates[i]
            .iter_mut()
            .for_each(|g| g.hand(now, i, input.clone()));
    }

    fn commit(&mut self) {
        let Some(record) = self.writing.take() else {
            return;
        };
        let (policy_index, change) = (self.fleet.policy_index, self.fleet.change.clone());
        let refused = matches!(record, Record::Refused { .. });
        if self.fleet.apply(record) && refused {
            self.refused.extend(change.map(|c| c.document.1));
        }
        self.decided
            .extend(self.fleet.running.iter().map(|r| r.1 .0));
        self.decided.dedup();
        if self.fleet.policy_index != policy_index {
            self.marked = self.now;
        }
        self.leader.record_settled();
    }

    /// Those that may decide now.
    fn deciding(&self, out: Out) -> impl Iterator<Item = &Gate> {
        self.gates
            .iter()
            .flatten()
            .filter(move |g| g.decides(self.now, out == Out::Timer))
    }
}

impl Model for Days {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let mut fleet = Fleet::default();
        fleet.apply(Record::Bootstrapped {
            generation: 1,
            document: Pol(0, 0),
            revision: None,
        });
        let mut w = World {
            now: 0.0,
            marked: 0.0,
            fleet,
            leader: Leader::new(-9.0, LEASE),
            writing: None,
            gates: (0..self.gates)
                .map(|i| Some(Gate::new(i, i as u64 + 1)))
                .collect(),
            starts: self.gates as u64,
            decided: vec![0],
            refused: Vec::new(),
            left: self.budget,
        };
        // All are in and hold the first policy: what comes before is the same for each.
        for _ in 0..4 {
            for i in 0..self.gates {
                for step in [Move::Talk(i, false), Move::Hear(i, false)] {
                    w = self.next_state(&w, step).unwrap_or(w);
                }
            }
            w.writing = w.leader.next_record(w.now, &w.fleet);
            w.commit();
        }
        assert_eq!(w.deciding(self.out).count(), self.gates);
        vec![w]
    }

    fn actions(&self, w: &World, moves: &mut Vec<Move>) {
        if w.left.ticks > 0 {
            moves.push(Move::Tick);
        }
        for (i, gate) in w.gates.iter().enumerate() {
            let Some(g) = gate else {
                moves.push(Move::Start(i));
                continue;
            };
            if w.left.pauses > 0 || g.paused {
                moves.push(Move::Pause(i));
            }
            if g.paused {
                continue;
            }
            moves.extend(g.is_leader_ready(w.now).then_some(Move::Talk(i, false)));
            moves.extend(g.answer.is_some().then_some(Move::Hear(i, false)));
            if w.left.twice > 0 {
                moves.extend(g.heartbeat.is_some().then_some(Move::Talk(i, true)));
                moves.extend(g.answer.is_some().then_some(Move::Hear(i, true)));
            }
            moves.extend((w.left.crashes > 0).then_some(Move::Crash(i)));
        }
        match w.writing {
            Some(_) => moves.push(Move::Commit),
            None => moves.push(Move::Next),
        }
        if w.left.leaders > 0 {
            moves.push(Move::Leader(false));
            moves.extend(w.writing.is_some().then_some(Move::Leader(true)));
        }
        moves.extend((w.left.asks > 0).then_some(Move::Command));
        moves.extend((w.left.cancels > 0).then_some(Move::Cancel));
    }

    fn next_state(&self, was: &World, step: Move) -> Option<World> {
        let mut w = was.clone();
        match step {
            Move::Tick => {
                w.left.ticks -= 1;
                w.now += 1.0;
                let now = w.now;
                w.gates.iter_mut().flatten().for_each(|g| g.tick(now));
            }
            Move::Talk(i, again) => {
                w.left.twice -= again as u8;
                let gate = w.gates[i].as_mut()?;
                let heartbeat = if again {
                    gate.heartbeat.clone()
                } else {
                    gate.sends(w.now, i)
                };
                gate.answer = Some(w.leader.heartbeat(w.now, &w.fleet, &heartbeat?));
            }
            Move::Hear(i, again) => {
                w.left.twice -= again as u8;
                let gate = w.gates[i].as_mut()?;
                let mut answer = gate.answer.clone()?;
                gate.answer = gate.answer.take().filter(|_| again);
                if self.out == Out::Sent {
                    answer.sent = w.now;
                }
                w.hand(i, Input::Answered(answer));
            }
            Move::Next => {
                let record = w.leader.next_record(w.now, &w.fleet);
                w.writing = match (record, self.out) {
                    (None, Out::Unheard) => match &w.fleet.change {
                        Some(c) if c.step == Stage::Binding => {
                            Some(Record::Decided { number: c.number })
                        }
                        _ => None,
                    },
                    (record, _) => record,
                };
                // In between, a leader may be lost; else nothing can come.
                if w.left.leaders == 0 {
                    w.commit();
                }
            }
            Move::Commit => w.commit(),
            Move::Leader(kept) => {
                w.left.leaders -= 1;
                if kept {
                    w.commit();
                }
                w.writing = None;
                let since = if self.out == Out::Grace { -9.0 } else { w.now };
                w.leader = Leader::new(since, LEASE);
            }
            Move::Crash(i) => {
                w.left.crashes -= 1;
                w.gates[i] = None;
            }
            Move::Start(i) => {
                w.starts += 1;
                w.gates[i] = Some(Gate::new(i, w.starts));
            }
            Move::Pause(i) => {
                let gate = w.gates[i].as_mut()?;
                w.left.pauses -= !gate.paused as u8;
                gate.paused = !gate.paused;
            }
            Move::Command => {
                w.left.asks -= 1;
                let to = if w.left.asks == 0 { 1 } else { UNREAD };
                w.fleet.running.as_ref()?;
                let base_revision = w.fleet.policy_index;
                let _ = w
                    .leader
                    .submit(&w.fleet, Command::Change(proposal(to, base_revision)));
            }
            Move::Cancel => {
                w.left.cancels -= 1;
                let _ = w.leader.submit(
                    &w.fleet,
                    Command::Cancel {
                        id: None,
                        author: "op".into(),
                    },
                );
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("apart", |days: &Days, w: &World| {
                played::apart(w.deciding(days.out))
            }),
            Property::always("together", |days: &Days, w: &World| {
                let old = |g: &Gate| g.member.applied_state().applied_index < w.fleet.policy_index;
                w.now < w.marked + LEASE || !w.deciding(days.out).any(old)
            }),
            Property::always("all or none", |_, w: &World| {
                played::all_or_none(w.gates.iter().flatten(), &w.decided, &w.refused)
            }),
            Property::always(
                "nothing before the policy is known",
                |days: &Days, w: &World| played::knows(w.deciding(days.out)),
            ),
            Property::sometimes(
                "a change is decided and holds everywhere",
                |days: &Days, w: &World| {
                    w.deciding(days.out)
                        .filter(|g| g.holding == Pol(1, 1))
                        .count()
                        == days.gates
                },
            ),
            Property::sometimes("one that can't be read is refused", |_, w: &World| {
                !w.refused.is_empty()
            }),
        ]
    }
}

const QUIET: Budget = Budget {
    ticks: 4,
    leaders: 0,
    crashes: 0,
    asks: 2,
    cancels: 0,
    twice: 0,
    pauses: 0,
};

fn days(gates: usize, budget: Budget, out: Out) -> Days {
    Days { gates, budget, out }
}

/// The budgets that are played to their ends, and how many states that is at least.
const CASES: [(&str, usize, Budget, usize); 6] = [
    ("two changes", 2, Budget { ticks: 3, ..QUIET }, 10_000),
    (
        "chairs lost",
        2,
        Budget {
            ticks: 2,
            leaders: 1,
            asks: 1,
            ..QUIET
        },
        10_000,
    ),
    (
        "crashes",
        2,
        Budget {
            ticks: 2,
            crashes: 1,
            asks: 1,
            ..QUIET
        },
        40_000,
    ),
    (
        "doubled",
        2,
        Budget {
            ticks: 2,
            twice: 1,
            asks: 1,
            ..QUIET
        },
        5_000,
    ),
    (
        "taken back",
        2,
        Budget {
            ticks: 3,
            cancels: 1,
            asks: 1,
            ..QUIET
        },
        5_000,
    ),
    (
        "stopped and gone on",
        2,
        Budget {
            ticks: 3,
            pauses: 1,
            asks: 1,
            ..QUIET
        },
        50_000,
    ),
];

/// The larger ones, by `ORDERS=all cargo test -p ironstair-coordination --test orders`.
const LARGER: [(&str, usize, Budget, usize); 6] = [
    (
        "chairs lost, longer",
        2,
        Budget {
            ticks: 3,
            leaders: 1,
            asks: 1,
            ..QUIET
        },
        100_000,
    ),
    (
        "crashes, longer",
        2,
        Budget {
            ticks: 3,
            crashes: 1,
            asks: 1,
            ..QUIET
        },
        300_000,
    ),
    (
        "doubled, longer",
        2,
        Budget {
            ticks: 3,
            twice: 1,
            asks: 1,
            ..QUIET
        },
        100_000,
    ),
    (
        "doubled, taken back",
        2,
        Budget {
            ticks: 3,
            twice: 1,
            cancels: 1,
            asks: 1,
            ..QUIET
        },
        200_000,
    ),
    (
        "stopped, longer",
        2,
        Budget {
            pauses: 1,
            asks: 1,
            ..QUIET
        },
        100_000,
    ),
    (
        "three gateways",
        3,
        Budget {
            ticks: 3,
            asks: 1,
            ..QUIET
        },
        160_000,
    ),
];

#[test]
fn in_every_order_a_change_holds_everywhere_or_nowhere() {
    let larger = LARGER
        .into_iter()
        .filter(|_| std::env::var_os("ORDERS").is_some());
    for (what, gates, budget, states) in CASES.into_iter().chain(larger) {
        let begun = std::time::Instant::now();
        let checked = days(gates, budget, Out::Nothing)
            .checker()
            .threads(4)
            .spawn_bfs()
            .join();
        for property in days(gates, budget, Out::Nothing).properties() {
            if property.expectation == stateright::Expectation::Always {
                checked.assert_no_discovery(property.name);
            }
        }
        let found = checked.unique_state_count();
        println!("{what}: {found} states, {:?}", begun.elapsed());
        assert!(found >= states, "{what}: {found}");
    }
}

#[test]
fn every_guard_that_is_taken_out_breaks_a_promise() {
    for (out, budget, promise) in [
        (
            Out::Grace,
            Budget {
                leaders: 1,
                asks: 1,
                ..QUIET
            },
            "apart",
        ),
        (
            Out::Sent,
            Budget {
                asks: 1,
                ticks: 5,
                ..QUIET
            },
            "apart",
        ),
        (Out::Unheard, Budget { asks: 1, ..QUIET }, "apart"),
        (
            Out::Timer,
            Budget {
                pauses: 1,
                asks: 1,
                ticks: 5,
                ..QUIET
            },
            "apart",
        ),
    ] {
        let days = days(2, budget, out).checker().threads(4);
        let found = days
            .finish_when(HasDiscoveries::AllOf([promise].into()))
            .spawn_bfs()
            .join();
        assert!(found.discovery(promise).is_some(), "{out:?}");
    }
}
