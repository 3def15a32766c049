//! Three keepers and two further gateways in one model: chairs chosen by a quorum, records that a quorum has or that
//! are lost with their chair, a chair that was cut off and goes on, a keeper without its disk, gateways that are
//! stopped. Agreement is played as the library promises it (a vote for each term, the longer log wins, what a quorum
//! has stays); messages among keepers come or don't. That the library keeps this is the seeded days' part.

mod played;

use ironstair_coordination::chair::Ask;
use ironstair_coordination::member::Input;
use ironstair_coordination::{Chair, Fleet, Record};
use played::{wish, Gate, Pol, LEASE};
use stateright::{Checker, HasDiscoveries, Model, Property};

const KEEPERS: usize = 3;
const GATES: usize = 2;

/// What a keeper's log is made of.
#[derive(Clone, Debug, PartialEq)]
enum Entry {
    /// A chair's first: what stands before it is known to it once a quorum has it.
    Sits,
    Record(Record<Pol>),
    /// A keeper votes under this number from here on.
    Votes(usize, u8),
}

#[derive(Clone, Debug, PartialEq)]
struct Seat {
    term: u8,
    chair: Chair<Pol>,
    fleet: Fleet<Pol>,
    /// Entries that a quorum has.
    known: usize,
}

#[derive(Clone, Debug, PartialEq)]
struct Keeper {
    number: u8,
    /// The latest term that it voted in or heard of.
    term: u8,
    /// None where its disk is lost.
    log: Option<Vec<(u8, Entry)>>,
    /// Entries of it that it knows a quorum to have: who votes is read from those.
    known: usize,
    sits: Option<Seat>,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    now: f64,
    keepers: Vec<Keeper>,
    gates: Vec<Gate>,
    /// As of what a quorum ever had: nothing of it may be lost.
    decided: Vec<u8>,
    refused: Vec<u8>,
    numbers: u8,
    left: Budget,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Budget {
    ticks: u8,
    elections: u8,
    disks: u8,
    pauses: u8,
    asks: u8,
    kills: u8,
    twice: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Move {
    Tick,
    /// One is chosen, by the vote of another; a chair that is chosen anew was killed and started.
    Elect(usize, usize),
    /// The chair's log comes to another.
    Copy(usize, usize),
    Write(usize),
    /// The disk is lost; a keeper in its place under the next number.
    Lose(usize),
    /// The chair lets one in that has its whole log.
    LetIn(usize, usize),
    /// A gateway's beat comes to a chair, which another keeper confirms; the answer is under way.
    Talk(usize, usize, usize),
    /// The same beat once more, maybe at another chair.
    TalkAgain(usize, usize, usize),
    /// A gateway is killed and started anew where it was.
    Restart(usize),
    Hear(usize),
    Pause(usize),
    Ask(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Out {
    Nothing,
    /// A keeper that lost its disk votes under the number it had.
    Number,
    /// No quorum confirms the chair before it grants.
    Confirm,
    /// A chair grants by what it knew before it sat.
    Known,
}

struct Days {
    budget: Budget,
    out: Out,
    /// So many steps of a change are made before the days begin, with the first two keepers alone.
    made: usize,
    /// And then this.
    then: Vec<Move>,
    /// How far a tick goes.
    tick: f64,
}

played::hashed_as_shown!(World);

/// Who votes by a log: one more vote than this keeper's is a quorum of three.
fn voters(log: &[(u8, Entry)], upto: usize) -> [u8; KEEPERS] {
    let mut all = [0, 1, 2];
    for (_, entry) in &log[..upto] {
        if let Entry::Votes(keeper, number) = entry {
            all[*keeper] = *number;
        }
    }
    all
}

fn begun() -> Fleet<Pol> {
    let mut fleet = Fleet::default();
    fleet.apply(Record::Begun {
        history: 1,
        document: Pol(0, 0),
        line: None,
    });
    fleet
}

impl World {
    /// Whether two are one, by the voters' numbers that the first knows.
    fn are_a_quorum(&self, k: usize, j: usize) -> bool {
        let (Some(log), Some(_)) = (&self.keepers[k].log, &self.keepers[j].log) else {
            return false;
        };
        let all = voters(log, self.keepers[k].known);
        k != j && [k, j].iter().all(|i| all[*i] == self.keepers[*i].number)
    }

    /// What a quorum has by now: entries of the chair's own term, and all before them.
    fn learn(&mut self, k: usize) {
        let own = self.keepers[k].clone();
        let (Some(log), Some(mut seat)) = (own.log, own.sits) else {
            return;
        };
        let has = |j: usize, upto: usize, all: &[u8; KEEPERS]| {
            let other = &self.keepers[j];
            let same = other
                .log
                .as_ref()
                .is_some_and(|l| l.len() >= upto && l[..upto] == log[..upto]);
            same && other.number == all[j]
        };
        for upto in (seat.known + 1..=log.len()).rev() {
            // A change of the voters needs both their quorums.
            let (before, after) = (voters(&log, seat.known), voters(&log, upto));
            let quorum = |all| (0..KEEPERS).filter(|j| has(*j, upto, all)).count() >= 2;
            if log[upto - 1].0 != seat.term || !quorum(&before) || !quorum(&after) {
                continue;
            }
            for (_, entry) in &log[seat.known..upto] {
                let Entry::Record(record) = entry else {
                    continue;
                };
                let change = seat.fleet.change.clone();
                let refused = matches!(record, Record::Refused { .. });
                if seat.fleet.apply(record.clone()) && refused {
                    self.refused.extend(change.map(|c| c.document.1));
                }
                self.decided
                    .extend(seat.fleet.running.iter().map(|r| r.1 .0));
                self.decided.sort();
                self.decided.dedup();
                seat.chair.applied();
            }
            seat.known = upto;
            break;
        }
        self.keepers[k].known = self.keepers[k].known.max(seat.known);
        self.keepers[k].sits = Some(seat);
    }

    fn push(&mut self, k: usize, entry: Entry) {
        let term = self.keepers[k].term;
        self.keepers[k]
            .log
            .iter_mut()
            .for_each(|l| l.push((term, entry.clone())));
    }

    fn deciding(&self) -> impl Iterator<Item = &Gate> {
        self.gates.iter().filter(|g| g.decides(self.now, false))
    }

    /// A chair that has read all that its own log holds.
    fn sits(&self, k: usize) -> Option<&Seat> {
        let log = self.keepers[k].log.as_ref()?;
        self.keepers[k]
            .sits
            .as_ref()
            .filter(|s| s.known == log.len())
    }
}

impl Model for Days {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let keeper = |number| Keeper {
            number,
            term: 0,
            log: Some(Vec::new()),
            known: 0,
            sits: None,
        };
        let mut w = World {
            now: 0.0,
            keepers: (0..KEEPERS as u8).map(keeper).collect(),
            gates: (0..GATES).map(|i| Gate::new(i, i as u64 + 1)).collect(),
            decided: vec![0],
            refused: Vec::new(),
            numbers: KEEPERS as u8,
            left: Budget {
                elections: 1,
                ..self.budget
            },
        };
        // One chair, all gateways in: what comes before is the same for each.
        let first = [Move::Elect(0, 1), Move::Copy(0, 1), Move::Copy(0, 2)];
        let talk = (0..GATES).flat_map(|g| [Move::Talk(g, 0, 1), Move::Hear(g)]);
        let write = [Move::Write(0), Move::Copy(0, 1), Move::Copy(0, 2)];
        let round: Vec<Move> = talk.chain(write).collect();
        // It sat down long ago: no lease of an earlier one is left.
        w.now = -9.0;
        for step in first {
            w = self.next_state(&w, step).unwrap_or(w);
        }
        w.now = 0.0;
        for step in (0..4).flat_map(|_| round.clone()) {
            w = self.next_state(&w, step).unwrap_or(w);
        }
        assert!(w.gates.iter().all(|g| g.decides(w.now, false)));
        // Its log is whole everywhere.
        let seat = w.keepers[0].sits.as_ref().expect("a chair");
        let fleet = seat.fleet.clone();
        w.keepers
            .iter_mut()
            .for_each(|k| k.log = Some(vec![(1, Entry::Sits)]));
        w.left = self.budget;
        let base = Entry::Record(Record::Members {
            joined: fleet
                .members
                .iter()
                .map(|(n, s)| (n.clone(), s.clone()))
                .collect(),
            left: Vec::new(),
        });
        w.keepers.iter_mut().for_each(|k| {
            k.log
                .iter_mut()
                .for_each(|l| l.insert(0, (0, base.clone())))
        });
        w.keepers.iter_mut().for_each(|k| k.known = 2);
        w.keepers[0].sits.iter_mut().for_each(|s| s.known = 2);
        let beats = (0..GATES).flat_map(|g| {
            [
                Move::Talk(g, 0, 1),
                Move::Hear(g),
                Move::Talk(g, 0, 1),
                Move::Hear(g),
            ]
        });
        let step: Vec<Move> = [Move::Tick]
            .into_iter()
            .chain(beats)
            .chain([Move::Write(0), Move::Copy(0, 1)])
            .collect();
        let first = [Move::Ask(0), Move::Write(0), Move::Copy(0, 1)];
        let made = (1..self.made).flat_map(|_| step.clone());
        w.left = Budget {
            ticks: 9,
            asks: 1,
            ..self.budget
        };
        w.left.elections += 1;
        for step in first
            .into_iter()
            .filter(|_| self.made > 0)
            .chain(made)
            .chain(self.then.clone())
        {
            w = self.next_state(&w, step).unwrap_or(w);
        }
        w.left = Budget {
            asks: self.budget.asks - (self.made > 0) as u8,
            ..self.budget
        };
        vec![w]
    }

    fn actions(&self, w: &World, moves: &mut Vec<Move>) {
        moves.extend((w.left.ticks > 0).then_some(Move::Tick));
        for k in 0..KEEPERS {
            for j in (0..KEEPERS).filter(|j| *j != k) {
                if w.left.elections > 0 {
                    moves.push(Move::Elect(k, j));
                }
                if w.keepers[k].sits.is_some() {
                    moves.push(Move::Copy(k, j));
                    moves.push(Move::LetIn(k, j));
                    let due = |g: &usize| !w.gates[*g].paused && w.gates[*g].has_a_beat(w.now);
                    moves.extend((0..GATES).filter(due).map(|g| Move::Talk(g, k, j)));
                    let again =
                        (0..GATES).filter(|g| w.left.twice > 0 && w.gates[*g].beat.is_some());
                    moves.extend(again.map(|g| Move::TalkAgain(g, k, j)));
                }
            }
            if w.keepers[k].sits.is_some() {
                moves.push(Move::Write(k));
                moves.extend((w.left.asks > 0).then_some(Move::Ask(k)));
            }
            moves.extend((w.left.disks > 0).then_some(Move::Lose(k)));
        }
        for (g, gate) in w.gates.iter().enumerate() {
            moves.extend((gate.answer.is_some() && !gate.paused).then_some(Move::Hear(g)));
            moves.extend((gate.paused || w.left.pauses > 0).then_some(Move::Pause(g)));
            moves.extend((w.left.kills > 0).then_some(Move::Restart(g)));
        }
    }

    fn next_state(&self, was: &World, step: Move) -> Option<World> {
        let mut w = was.clone();
        match step {
            Move::Tick => {
                w.left.ticks -= 1;
                w.now += self.tick;
                let now = w.now;
                w.gates.iter_mut().for_each(|g| g.tick(now));
            }
            Move::Elect(k, j) => {
                w.left.elections -= 1;
                let term = w.keepers[k].term + 1;
                let log = w.keepers[k].log.clone()?;
                let newest = |l: &[(u8, Entry)]| (l.last().map_or(0, |e| e.0), l.len());
                let voter = &w.keepers[j];
                let longer = newest(voter.log.as_ref()?) > newest(&log);
                if !w.are_a_quorum(k, j) || voter.term >= term || longer {
                    return None;
                }
                (w.keepers[k].term, w.keepers[j].term, w.keepers[j].sits) = (term, term, None);
                let (chair, fleet) = (Chair::new(w.now, LEASE), begun());
                w.keepers[k].sits = Some(Seat {
                    term,
                    chair,
                    fleet,
                    known: 0,
                });
                if self.out == Out::Known {
                    // As if all that lies in its log were known to be in a quorum's.
                    let seat = w.keepers[k].sits.as_mut()?;
                    for (_, entry) in &log {
                        if let Entry::Record(record) = entry {
                            seat.fleet.apply(record.clone());
                        }
                    }
                    seat.known = log.len();
                    return Some(w);
                }
                w.push(k, Entry::Sits);
            }
            Move::Copy(k, j) => {
                let term = w.keepers[k].sits.as_ref()?.term;
                if w.keepers[j].term > term {
                    // It hears of a later chair.
                    (w.keepers[k].term, w.keepers[k].sits) = (w.keepers[j].term, None);
                } else {
                    let log = w.keepers[k].log.clone();
                    (w.keepers[j].term, w.keepers[j].log, w.keepers[j].sits) = (term, log, None);
                    w.keepers[j].known = w.keepers[k].known;
                    w.learn(k);
                }
            }
            Move::Write(k) => {
                w.sits(k)?;
                let (now, seat) = (w.now, w.keepers[k].sits.as_mut()?);
                let record = seat.chair.next(now, &seat.fleet)?;
                w.push(k, Entry::Record(record));
            }
            Move::Lose(k) => {
                w.left.disks -= 1;
                // One at a time, as the pages say.
                if w.keepers.iter().any(|k| k.log.is_none()) {
                    return None;
                }
                let number = if self.out == Out::Number {
                    w.keepers[k].number
                } else {
                    w.numbers
                };
                w.numbers += 1;
                let log = (self.out == Out::Number)
                    .then(|| w.keepers[k].log.as_ref().map(|l| l[..2].to_vec()));
                w.keepers[k] = Keeper {
                    number,
                    term: 0,
                    log: log.flatten(),
                    known: 0,
                    sits: None,
                };
            }
            Move::LetIn(k, j) => {
                w.sits(k)?;
                let own = w.keepers[k].log.as_ref()?;
                let (number, all) = (w.keepers[j].number, voters(own, own.len()));
                if all[j] == number || w.keepers[j].log.as_ref() != Some(own) {
                    return None;
                }
                w.push(k, Entry::Votes(j, number));
            }
            Move::Restart(g) => {
                w.left.kills -= 1;
                w.gates[g] = Gate::new(g, (GATES + 1 + g) as u64);
            }
            Move::Talk(g, k, j) | Move::TalkAgain(g, k, j) => {
                let asked = self.out != Out::Confirm;
                let (term, confirms) = (w.keepers[k].sits.as_ref()?.term, &w.keepers[j]);
                if asked && (!w.are_a_quorum(k, j) || confirms.term > term) {
                    return None;
                }
                w.sits(k)?;
                if asked && w.keepers[j].term < term {
                    (w.keepers[j].term, w.keepers[j].sits) = (term, None);
                }
                let now = w.now;
                let beat = match step {
                    Move::TalkAgain(..) => {
                        w.left.twice -= 1;
                        w.gates[g].beat.clone()?
                    }
                    _ => w.gates[g].sends(now, g)?,
                };
                let seat = w.keepers[k].sits.as_mut()?;
                w.gates[g].answer = Some(seat.chair.beat(now, &seat.fleet, &beat));
            }
            Move::Hear(g) => {
                let (now, answer) = (w.now, w.gates[g].answer.take()?);
                w.gates[g].hand(now, g, Input::Answered(answer));
            }
            Move::Pause(g) => {
                w.left.pauses -= !w.gates[g].paused as u8;
                w.gates[g].paused = !w.gates[g].paused;
            }
            Move::Ask(k) => {
                w.left.asks -= 1;
                let to = 1 + w.left.asks;
                w.sits(k)?;
                let seat = w.keepers[k].sits.as_mut()?;
                let upon = seat.fleet.mark;
                seat.chair
                    .ask(&seat.fleet, Ask::Change(wish(to, upon)))
                    .ok()?;
            }
        }
        Some(w).filter(|w| w != was)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("apart", |_, w: &World| played::apart(w.deciding())),
            Property::always("all or none", |_, w: &World| {
                played::all_or_none(w.gates.iter(), &w.decided, &w.refused)
            }),
            Property::always("nothing before the policy is known", |_, w: &World| {
                played::knows(w.deciding())
            }),
            // A chair that may grant knows of all that was ever decided.
            Property::always("a decided one is never lost", |_, w: &World| {
                let last = w.decided.last().copied().unwrap_or(0);
                let knows = |s: &Seat| s.fleet.running.as_ref().is_some_and(|r| r.1 .0 >= last);
                let confirmed = |k: usize| {
                    let term = w.keepers[k].term;
                    (0..KEEPERS).any(|j| w.are_a_quorum(k, j) && w.keepers[j].term <= term)
                };
                (0..KEEPERS)
                    .filter(|k| confirmed(*k))
                    .all(|k| w.sits(k).is_none_or(knows))
            }),
            Property::sometimes("a change is decided and holds at all", |_, w: &World| {
                w.gates
                    .iter()
                    .all(|g| g.holding == Pol(1, 1) && g.decides(w.now, false))
            }),
        ]
    }
}

const QUIET: Budget = Budget {
    ticks: 0,
    elections: 0,
    disks: 0,
    pauses: 0,
    asks: 1,
    kills: 0,
    twice: 0,
};

fn played_to_the_end(budget: Budget, made: usize, tick: f64) -> impl Checker<Days> {
    Days {
        budget,
        out: Out::Nothing,
        made,
        then: Vec::new(),
        tick,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join()
}

/// What is played to its end, after how many steps of a change; the larger by `ORDERS=all`.
const CASES: [(&str, bool, Budget, &[usize], f64); 9] = [
    (
        "a change",
        false,
        Budget { ticks: 2, ..QUIET },
        &[0, 1, 2, 3],
        1.0,
    ),
    (
        "a chair lost",
        false,
        Budget {
            elections: 1,
            ..QUIET
        },
        &[1, 2, 3],
        1.0,
    ),
    (
        "a disk lost",
        false,
        Budget { disks: 1, ..QUIET },
        &[1, 2, 3],
        1.0,
    ),
    (
        "a chair and a disk lost",
        false,
        Budget {
            elections: 1,
            disks: 1,
            ..QUIET
        },
        &[2, 3],
        1.0,
    ),
    (
        "a gateway killed and started anew",
        false,
        Budget {
            ticks: 1,
            kills: 1,
            ..QUIET
        },
        &[2, 3],
        1.0,
    ),
    (
        "a beat twice, a chair lost",
        false,
        Budget {
            ticks: 1,
            twice: 1,
            elections: 1,
            ..QUIET
        },
        &[2],
        1.0,
    ),
    (
        "two operators",
        false,
        Budget {
            ticks: 1,
            asks: 2,
            ..QUIET
        },
        &[0, 2],
        1.0,
    ),
    (
        "a gateway stopped while its lease runs out",
        false,
        Budget {
            ticks: 2,
            pauses: 1,
            ..QUIET
        },
        &[1, 2],
        2.0,
    ),
    (
        "two chairs and a disk lost",
        true,
        Budget {
            ticks: 1,
            elections: 2,
            disks: 1,
            ..QUIET
        },
        &[1, 2],
        1.0,
    ),
];

#[test]
fn with_three_keepers_and_two_further_gateways_nothing_decided_is_lost() {
    let all = std::env::var_os("ORDERS").is_some();
    for (what, larger, budget, after, tick) in CASES {
        if larger && !all {
            continue;
        }
        let begun = std::time::Instant::now();
        let mut found = 0;
        for made in after {
            let checked = played_to_the_end(budget, *made, tick);
            let days = Days {
                budget,
                out: Out::Nothing,
                made: *made,
                then: Vec::new(),
                tick,
            };
            let always = |p: &&Property<Days>| p.expectation == stateright::Expectation::Always;
            for property in days.properties().iter().filter(always) {
                checked.assert_no_discovery(property.name);
            }
            found += checked.unique_state_count();
        }
        println!("{what}: {found} states, {:?}", begun.elapsed());
        assert!(found >= 60, "{what}: {found}");
    }
    let whole = played_to_the_end(Budget { ticks: 2, ..QUIET }, 2, 1.0);
    whole.assert_any_discovery("a change is decided and holds at all");
}

#[test]
fn every_guard_of_the_keepers_that_is_taken_out_breaks_a_promise() {
    // An earlier chair is asked by one gateway still, and the new one waits for leases of its own time alone.
    let two_chairs = [
        Move::Elect(1, 2),
        Move::Copy(1, 2),
        Move::Tick,
        Move::Talk(0, 0, 1),
        Move::Hear(0),
        Move::Tick,
    ];
    let chair_and_disk = Budget {
        elections: 1,
        disks: 1,
        ..QUIET
    };
    let chair = Budget {
        ticks: 2,
        elections: 1,
        ..QUIET
    };
    for (out, budget, made, then, promise) in [
        (
            Out::Number,
            chair_and_disk,
            3,
            vec![],
            "a decided one is never lost",
        ),
        (Out::Confirm, QUIET, 1, two_chairs.to_vec(), "apart"),
        (Out::Known, chair, 2, vec![], "all or none"),
    ] {
        let tick = if then.is_empty() { 1.0 } else { 2.0 };
        let days = Days {
            budget,
            out,
            made,
            then,
            tick,
        }
        .checker()
        .threads(4);
        let found = days
            .finish_when(HasDiscoveries::AllOf([promise].into()))
            .spawn_bfs()
            .join();
        assert!(found.discovery(promise).is_some(), "{out:?}");
    }
}
