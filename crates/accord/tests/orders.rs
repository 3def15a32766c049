//! A change of policy in every order of beats, answers, steps of the log, crashes, lost chairs and late, doubled
//! or lost messages: the sentences of `docs/design/fleet.md` as properties (model checked). The log itself is the
//! agreement library's: here it takes one record after the other, and a chair whose term is over grants nothing.

use ironstair_accord::chair::Ask;
use ironstair_accord::fleet::Step as Stage;
use ironstair_accord::member::{Action, Input};
use ironstair_accord::record::Wish;
use ironstair_accord::{Answer, Beat, Chair, Fleet, Member, Policy, Record};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const LEASE: f64 = 3.0;
/// Member 1 is of an older version: it can't read this policy.
const UNREAD: u8 = 2;

/// A policy by its number, or the stricter of two.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Pol(u8, u8);

impl Policy for Pol {
    fn stricter(&self, other: &Self) -> Option<Self> {
        Some(Pol(self.0.min(other.0), self.1.max(other.1)))
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Gate {
    member: Member,
    holding: Pol,
    beat: Option<Beat>,
    answer: Option<Answer<Pol>>,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    now: f64,
    fleet: Fleet<Pol>,
    marked: f64,
    chair: Chair<Pol>,
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
    chairs: u8,
    crashes: u8,
    asks: u8,
    cancels: u8,
    twice: u8,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, to: &mut H) {
        format!("{self:?}").hash(to);
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Move {
    Tick,
    /// A beat comes to the chair, and its answer is under way: the new one, or once more the last.
    Talk(usize, bool),
    /// An answer comes and is carried out; it may come once more.
    Hear(usize, bool),
    Next,
    Commit,
    /// The chair is lost, what it wrote is in the log or not.
    Chair(bool),
    Crash(usize),
    Start(usize),
    Ask,
    Cancel,
}

/// What is taken out, so that the properties can be seen to fail.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Out {
    Nothing,
    /// A new chair counts no leases of an earlier one.
    Grace,
    /// A lease runs from when its answer came.
    Sent,
    /// A record is decided without those that were not heard.
    Unheard,
}

struct Days {
    gates: usize,
    budget: Budget,
    out: Out,
}

fn unread(gate: usize, policy: Pol) -> bool {
    gate == 1 && policy.0.max(policy.1) == UNREAD
}

impl World {
    fn hand(&mut self, i: usize, input: Input<Pol>) {
        let now = self.now;
        let Some(gate) = self.gates[i].as_mut() else { return };
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for action in gate.member.on(now, input) {
                match action {
                    Action::Beat(beat) => gate.beat = Some(beat),
                    Action::Apply { mark, document, .. } if unread(i, document) => {
                        inputs.push(Input::Unable { mark, why: "a newer version".into() });
                    }
                    Action::Apply { mark, document, .. } => {
                        gate.holding = document;
                        inputs.push(Input::Applied { mark });
                    }
                    Action::Examine { number, document } => {
                        let how = match unread(i, document) {
                            true => Err("a newer version".to_string()),
                            false => Ok(()),
                        };
                        inputs.push(Input::Examined { number, how });
                    }
                    Action::Hold(_) | Action::Say(_) => {}
                }
            }
        }
    }

    fn commit(&mut self) {
        let Some(record) = self.writing.take() else { return };
        let (mark, change) = (self.fleet.mark, self.fleet.change.clone());
        let refused = matches!(record, Record::Refused { .. });
        if self.fleet.apply(record) && refused {
            self.refused.extend(change.map(|c| c.document.1));
        }
        self.decided.extend(self.fleet.running.iter().map(|r| r.1 .0));
        self.decided.dedup();
        if self.fleet.mark != mark {
            self.marked = self.now;
        }
        self.chair.applied();
    }

    /// What those that may decide now decide by.
    fn deciding(&self) -> impl Iterator<Item = &Gate> {
        self.gates.iter().flatten().filter(|g| g.member.holds(self.now))
    }
}

impl Model for Days {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let mut fleet = Fleet::default();
        fleet.apply(Record::Begun { history: 1, document: Pol(0, 0) });
        let gate = |i: usize| Gate {
            member: Member::new(["a", "b", "c"][i], i as u64 + 1, false, LEASE),
            holding: Pol(9, 9),
            beat: None,
            answer: None,
        };
        let mut w = World {
            now: 0.0,
            marked: 0.0,
            fleet,
            chair: Chair::new(-9.0, LEASE),
            writing: None,
            gates: (0..self.gates).map(|i| Some(gate(i))).collect(),
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
            w.writing = w.chair.next(w.now, &w.fleet);
            w.commit();
        }
        assert_eq!(w.deciding().count(), self.gates);
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
            moves.extend((g.member.due() <= w.now).then_some(Move::Talk(i, false)));
            moves.extend(g.answer.is_some().then_some(Move::Hear(i, false)));
            if w.left.twice > 0 {
                moves.extend(g.beat.is_some().then_some(Move::Talk(i, true)));
                moves.extend(g.answer.is_some().then_some(Move::Hear(i, true)));
            }
            moves.extend((w.left.crashes > 0).then_some(Move::Crash(i)));
        }
        match w.writing {
            Some(_) => moves.push(Move::Commit),
            None => moves.push(Move::Next),
        }
        if w.left.chairs > 0 {
            moves.push(Move::Chair(false));
            moves.extend(w.writing.is_some().then_some(Move::Chair(true)));
        }
        moves.extend((w.left.asks > 0).then_some(Move::Ask));
        moves.extend((w.left.cancels > 0).then_some(Move::Cancel));
    }

    fn next_state(&self, was: &World, step: Move) -> Option<World> {
        let mut w = was.clone();
        match step {
            Move::Tick => {
                w.left.ticks -= 1;
                w.now += 1.0;
            }
            Move::Talk(i, again) => {
                w.left.twice -= again as u8;
                if !again {
                    w.hand(i, Input::Due);
                }
                let gate = w.gates[i].as_mut()?;
                gate.answer = Some(w.chair.beat(w.now, &w.fleet, gate.beat.as_ref()?));
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
                let record = w.chair.next(w.now, &w.fleet);
                w.writing = match (record, self.out) {
                    (None, Out::Unheard) => match &w.fleet.change {
                        Some(c) if c.step == Stage::Binding => Some(Record::Decided { number: c.number }),
                        _ => None,
                    },
                    (record, _) => record,
                };
                // In between, a chair may be lost; else nothing can come.
                if w.left.chairs == 0 {
                    w.commit();
                }
            }
            Move::Commit => w.commit(),
            Move::Chair(kept) => {
                w.left.chairs -= 1;
                if kept {
                    w.commit();
                }
                w.writing = None;
                let since = if self.out == Out::Grace { -9.0 } else { w.now };
                w.chair = Chair::new(since, LEASE);
            }
            Move::Crash(i) => {
                w.left.crashes -= 1;
                w.gates[i] = None;
            }
            Move::Start(i) => {
                w.starts += 1;
                let member = Member::new(["a", "b", "c"][i], w.starts, false, LEASE);
                w.gates[i] = Some(Gate { member, holding: Pol(9, 9), beat: None, answer: None });
            }
            Move::Ask => {
                w.left.asks -= 1;
                let to = if w.left.asks == 0 { 1 } else { UNREAD };
                w.fleet.running.as_ref()?;
                let upon = w.fleet.mark;
                let _ = w.chair.ask(&w.fleet, Ask::Change(wish(to, upon)));
            }
            Move::Cancel => {
                w.left.cancels -= 1;
                let _ = w.chair.ask(&w.fleet, Ask::Cancel { id: None, who: "op".into() });
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("apart", |_, w: &World| {
                let alone = |p: Pol| (p.0 == p.1).then_some(p.0);
                let mut by: Vec<u8> = w.deciding().filter_map(|g| alone(g.holding)).collect();
                by.dedup();
                by.len() <= 1
            }),
            Property::always("together", |_, w: &World| {
                let old = |g: &Gate| g.member.held().1 < w.fleet.mark;
                w.now < w.marked + LEASE || !w.deciding().any(old)
            }),
            Property::always("all or none", |_, w: &World| {
                let held = w.gates.iter().flatten().map(|g| g.holding).filter(|p| p.0 == p.1 && p.0 != 9);
                let held: Vec<Pol> = held.collect();
                held.iter().all(|p| w.decided.contains(&p.0) && !w.refused.contains(&p.0))
            }),
            Property::always("nothing before the policy is known", |_, w: &World| {
                w.deciding().all(|g| g.holding != Pol(9, 9))
            }),
            Property::sometimes("a change is decided and holds everywhere", |days, w: &World| {
                w.deciding().filter(|g| g.holding == Pol(1, 1)).count() == days.gates
            }),
            Property::sometimes("one that can't be read is refused", |_, w: &World| !w.refused.is_empty()),
        ]
    }
}

fn wish(to: u8, upon: u64) -> Wish<Pol> {
    let (who, what) = ("op".to_string(), "set".to_string());
    Wish { token: to as u64, who, when: 0.0, what, upon, document: Pol(to, to), commit: None }
}

const QUIET: Budget = Budget { ticks: 4, chairs: 0, crashes: 0, asks: 2, cancels: 0, twice: 0 };

fn days(gates: usize, budget: Budget, out: Out) -> Days {
    Days { gates, budget, out }
}

/// The budgets that are played to their ends, and how many states that is at least.
const CASES: [(&str, usize, Budget, usize); 5] = [
    ("two changes", 2, QUIET, 13_000),
    ("chairs lost", 2, Budget { chairs: 1, asks: 1, ..QUIET }, 50_000),
    ("crashes", 2, Budget { crashes: 1, asks: 1, ..QUIET }, 40_000),
    ("doubled", 2, Budget { twice: 1, asks: 1, ..QUIET }, 20_000),
    ("taken back", 2, Budget { cancels: 1, asks: 1, ..QUIET }, 5_000),
];

/// The larger ones, by `ORDERS=all cargo test -p ironstair-accord --test orders`.
const LARGER: [(&str, usize, Budget, usize); 2] = [
    ("doubled, taken back", 2, Budget { twice: 1, cancels: 1, asks: 1, ..QUIET }, 200_000),
    ("three gateways", 3, Budget { asks: 1, ticks: 4, ..QUIET }, 160_000),
];

#[test]
fn in_every_order_a_change_holds_everywhere_or_nowhere() {
    let larger = LARGER.into_iter().filter(|_| std::env::var_os("ORDERS").is_some());
    for (what, gates, budget, states) in CASES.into_iter().chain(larger) {
        let begun = std::time::Instant::now();
        let checked = days(gates, budget, Out::Nothing).checker().threads(4).spawn_bfs().join();
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
        (Out::Grace, Budget { chairs: 1, asks: 1, ..QUIET }, "apart"),
        (Out::Sent, Budget { asks: 1, ticks: 5, ..QUIET }, "apart"),
        (Out::Unheard, Budget { asks: 1, ..QUIET }, "apart"),
    ] {
        let found = days(2, budget, out).checker().threads(4).spawn_bfs().join();
        assert!(found.discovery(promise).is_some(), "{out:?}");
    }
}
