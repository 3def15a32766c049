//! Three voters and two further gateways in one model: leaders chosen by a quorum, records that a quorum has or that
//! are lost with their leader, a leader that was cut off and goes on, a voter without its disk, gateways that are
//! stopped. Agreement is played as the library promises it (a vote for each term, the longer log wins, what a quorum
//! has stays); messages among voters come or don't. That the library keeps this is the seeded days' part.

mod played;

use ironstair_coordination::leader::Command;
use ironstair_coordination::member::Input;
use ironstair_coordination::{Fleet, Leader, Record};
use played::{proposal, Gate, Pol, LEASE};
use stateright::{Checker, HasDiscoveries, Model, Property};

const VOTERS: usize = 3;
const GATES: usize = 2;

/// What a voter's log is made of.
#[derive(Clone, Debug, PartialEq)]
enum Entry {
    /// A leader's first: what stands before it is known to it once a quorum has it.
    Sits,
    Record(Record<Pol>),
    /// A voter votes under this number from here on.
    Votes(usize, u8),
}

#[derive(Clone, Debug, PartialEq)]
struct Session {
    term: u8,
    leader: Leader<Pol>,
    fleet: Fleet<Pol>,
    /// Entries that a quorum has.
    known: usize,
}

#[derive(Clone, Debug, PartialEq)]
struct Voter {
    number: u8,
    /// The latest term that it voted in or heard of.
    term: u8,
    /// None where its disk is lost.
    log: Option<Vec<(u8, Entry)>>,
    /// Entries of it that it knows a quorum to have: who votes is read from those.
    known: usize,
    sits: Option<Session>,
}

#[derive(Clone, Debug, PartialEq)]
struct World {
    now: f64,
    voters: Vec<Voter>,
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
    /// One is chosen, by the vote of another; a leader that is chosen anew was killed and started.
    Elect(usize, usize),
    /// The leader's log comes to another.
    Copy(usize, usize),
    Write(usize),
    /// The disk is lost; a voter in its place under the next number.
    Lose(usize),
    /// The leader lets one in that has its whole log.
    LetIn(usize, usize),
    /// A gateway's heartbeat comes to a leader, which another voter confirms; the answer is under way.
    Talk(usize, usize, usize),
    /// The same heartbeat once more, maybe at another leader.
    TalkAgain(usize, usize, usize),
    /// A gateway is killed and started anew where it was.
    Restart(usize),
    Hear(usize),
    Pause(usize),
    Command(usize),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Out {
    Nothing,
    /// A voter that lost its disk votes under the number it had.
    Number,
    /// No quorum confirms the leader before it grants.
    Confirm,
    /// A leader grants by what it knew before it sat.
    Known,
}

struct Days {
    budget: Budget,
    out: Out,
    /// So many steps of a change are made before the days begin, with the first two voters alone.
    made: usize,
    /// And then this.
    then: Vec<Move>,
    /// How far a tick goes.
    tick: f64,
}

played::hashed_as_shown!(World);

/// Who votes by a log: one more vote than this voter's is a quorum of three.
fn voters(log: &[(u8, Entry)], upto: usize) -> [u8; VOTERS] {
    let mut all = [0, 1, 2];
    for (_, entry) in &log[..upto] {
        if let Entry::Votes(voter, number) = entry {
            all[*voter] = *number;
        }
    }
    all
}

fn begun() -> Fleet<Pol> {
    let mut fleet = Fleet::default();
    fleet.apply(Record::Bootstrapped {
        generation: 1,
        document: Pol(0, 0),
        revision: None,
    });
    fleet
}

impl World {
    /// Whether two are one, by the voters' numbers that the first knows.
    fn are_a_quorum(&self, k: usize, j: usize) -> bool {
        let (Some(log), Some(_)) = (&self.voters[k].log, &self.voters[j].log) else {
            return false;
        };
        let all = voters(log, self.voters[k].known);
        k != j && [k, j].iter().all(|i| all[*i] == self.voters[*i].number)
    }

    /// What a quorum has by now: entries of the leader's own term, and all before them.
    fn learn(&mut self, k: usize) {
        let own = self.voters[k].clone();
        let (Some(log), Some(mut seat)) = (own.log, own.sits) else {
            return;
        };
        let has = |j: usize, upto: usize, all: &[u8; VOTERS]| {
            let other = &self.voters[j];
            let same = other
                .log
                .as_ref()
                .is_some_and(|l| l.len() >= upto && l[..upto] == log[..upto]);
            same && other.number == all[j]
        };
        for upto in (seat.known + 1..=log.len()).rev() {
            // A change of the voters needs both their quorums.
            let (before, after) = (voters(&log, seat.known), voters(&log, upto));
            let quorum = |all| (0..VOTERS).filter(|j| has(*j, upto, all)).count() >= 2;
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
                seat.leader.record_settled();
            }
            seat.known = upto;
            break;
        }
        self.voters[k].known = self.voters[k].known.max(seat.known);
        self.voters[k].sits = Some(seat);
    }

    fn push(&mut self, k: usize, entry: Entry) {
        let term = self.voters[k].term;
        self.voters[k]
            .log
            .iter_mut()
            .for_each(|l| l.push((term, entry.clone())));
    }

    fn deciding(&self) -> impl Iterator<Item = &Gate> {
        self.gates.iter().filter(|g| g.decides(self.now, false))
    }

    /// A leader that has read all that its own log holds.
    fn sits(&self, k: usize) -> Option<&Session> {
        let log = self.voters[k].log.as_ref()?;
        self.voters[k]
            .sits
            .as_ref()
            .filter(|s| s.known == log.len())
    }
}

impl Model for Days {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let voter = |number| Voter {
            number,
            term: 0,
            log: Some(Vec::new()),
            known: 0,
            sits: None,
        };
        let mut w = World {
            now: 0.0,
            voters: (0..VOTERS as u8).map(voter).collect(),
            gates: (0..GATES).map(|i| Gate::new(i, i as u64 + 1)).collect(),
            decided: vec![0],
            refused: Vec::new(),
            numbers: VOTERS as u8,
            left: Budget {
                elections: 1,
                ..self.budget
            },
        };
        // One leader, all gateways in: what comes before is the same for each.
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
        let seat = w.voters[0].sits.as_ref().expect("a chair");
        let fleet = seat.fleet.clone();
        w.voters
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
        w.voters.iter_mut().for_each(|k| {
            k.log
                .iter_mut()
                .for_each(|l| l.insert(0, (0, base.clone())))
        });
        w.voters.iter_mut().for_each(|k| k.known = 2);
        w.voters[0].sits.iter_mut().for_each(|s| s.known = 2);
        let heartbeats = (0..GATES).flat_map(|g| {
            [
                Move::Talk(g, 0, 1),
                Move::Hear(g),
                Move::Talk(g, 0, 1),
                Move::Hear(g),
            ]
        });
        let step: Vec<Move> = [Move::Tick]
            .into_iter()
            .chain(heartbeats)
            .chain([Move::Write(0), Move::Copy(0, 1)])
            .collect();
        let first = [Move::Command(0), Move::Write(0), Move::Copy(0, 1)];
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
        for k in 0..VOTERS {
            for j in (0..VOTERS).filter(|j| *j != k) {
                if w.left.elections > 0 {
                    moves.push(Move::Elect(k, j));
                }
                if w.voters[k].sits.is_some() {
                    moves.push(Move::Copy(k, j));
                    moves.push(Move::LetIn(k, j));
                    let due = |g: &usize| !w.gates[*g].paused && w.gates[*g].is_leader_ready(w.now);
                    moves.extend((0..GATES).filter(due).map(|g| Move::Talk(g, k, j)));
                    let again =
                        (0..GATES).filter(|g| w.left.twice > 0 && w.gates[*g].heartbeat.is_some());
                    moves.extend(again.map(|g| Move::TalkAgain(g, k, j)));
                }
            }
            if w.voters[k].sits.is_some() {
                moves.push(Move::Write(k));
                moves.extend((w.left.asks > 0).then_some(Move::Command(k)));
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
                let term = w.voters[k].term + 1;
                let log = w.voters[k].log.clone()?;
                let newest = |l: &[(u8, Entry)]| (l.last().map_or(0, |e| e.0), l.len());
                let voter = &w.voters[j];
                let longer = newest(voter.log.as_ref()?) > newest(&log);
                if !w.are_a_quorum(k, j) || voter.term >= term || longer {
                    return None;
                }
                (w.voters[k].term, w.voters[j].term, w.voters[j].sits) = (term, term, None);
                let (leader, fleet) = (Leader::new(w.now, LEASE), begun());
                w.voters[k].sits = Some(Session {
                    term,
                    leader,
                    fleet,
                    known: 0,
                });
                if self.out == Out::Known {
                    // As if all that lies in its log were known to be in a quorum's.
                    let seat = w.voters[k].sits.as_mut()?;
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
                let term = w.voters[k].sits.as_ref()?.term;
                if w.voters[j].term > term {
                    // It hears of a later leader.
                    (w.voters[k].term, w.voters[k].sits) = (w.voters[j].term, None);
                } else {
                    let log = w.voters[k].log.clone();
                    (w.voters[j].term, w.voters[j].log, w.voters[j].sits) = (term, log, None);
                    w.voters[j].known = w.voters[k].known;
                    w.learn(k);
                }
            }
            Move::Write(k) => {
                w.sits(k)?;
                let (now, seat) = (w.now, w.voters[k].sits.as_mut()?);
                let record = seat.leader.next_record(now, &seat.fleet)?;
                w.push(k, Entry::Record(record));
            }
            Move::Lose(k) => {
                w.left.disks -= 1;
                // One at a time, as the pages say.
                if w.voters.iter().any(|k| k.log.is_none()) {
                    return None;
                }
                let number = if self.out == Out::Number {
                    w.voters[k].number
                } else {
                    w.numbers
                };
                w.numbers += 1;
                let log = (self.out == Out::Number)
                    .then(|| w.voters[k].log.as_ref().map(|l| l[..2].to_vec()));
                w.voters[k] = Voter {
                    number,
                    term: 0,
                    log: log.flatten(),
                    known: 0,
                    sits: None,
                };
            }
            Move::LetIn(k, j) => {
                w.sits(k)?;
                let own = w.voters[k].log.as_ref()?;
                let (number, all) = (w.voters[j].number, voters(own, own.len()));
                if all[j] == number || w.voters[j].log.as_ref() != Some(own) {
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
                let (term, confirms) = (w.voters[k].sits.as_ref()?.term, &w.voters[j]);
                if asked && (!w.are_a_quorum(k, j) || confirms.term > term) {
                    return None;
                }
                w.sits(k)?;
                if asked && w.voters[j].term < term {
                    (w.voters[j].term, w.voters[j].sits) = (term, None);
                }
                let now = w.now;
                let heartbeat = match step {
                    Move::TalkAgain(..) => {
                        w.left.twice -= 1;
                        w.gates[g].heartbeat.clone()?
                    }
                    _ => w.gates[g].sends(now, g)?,
                };
                let seat = w.voters[k].sits.as_mut()?;
                w.gates[g].answer = Some(seat.leader.heartbeat(now, &seat.fleet, &heartbeat));
            }
            Move::Hear(g) => {
                let (now, answer) = (w.now, w.gates[g].answer.take()?);
                w.gates[g].hand(now, g, Input::Answered(answer));
            }
            Move::Pause(g) => {
                w.left.pauses -= !w.gates[g].paused as u8;
                w.gates[g].paused = !w.gates[g].paused;
            }
            Move::Command(k) => {
                w.left.asks -= 1;
                let to = 1 + w.left.asks;
                w.sits(k)?;
                let seat = w.voters[k].sits.as_mut()?;
                let base_revision = seat.fleet.policy_index;
                seat.leader
                    .submit(&seat.fleet, Command::Change(proposal(to, base_revision)))
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
            // A leader that may grant knows of all that was ever decided.
            Property::always("a decided one is never lost", |_, w: &World| {
                let last = w.decided.last().copied().unwrap_or(0);
                let knows = |s: &Session| s.fleet.running.as_ref().is_some_and(|r| r.1 .0 >= last);
                let confirmed = |k: usize| {
                    let term = w.voters[k].term;
                    (0..VOTERS).any(|j| w.are_a_quorum(k, j) && w.voters[j].term <= term)
                };
                (0..VOTERS)
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
fn with_three_voters_and_two_further_gateways_nothing_decided_is_lost() {
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
fn every_guard_of_the_voters_that_is_taken_out_breaks_a_promise() {
    // An earlier leader is asked by one gateway still, and the new one waits for leases of its own time alone.
    let two_leaders = [
        Move::Elect(1, 2),
        Move::Copy(1, 2),
        Move::Tick,
        Move::Talk(0, 0, 1),
        Move::Hear(0),
        Move::Tick,
    ];
    let leader_and_disk = Budget {
        elections: 1,
        disks: 1,
        ..QUIET
    };
    let leader = Budget {
        ticks: 2,
        elections: 1,
        ..QUIET
    };
    for (out, budget, made, then, promise) in [
        (
            Out::Number,
            leader_and_disk,
            3,
            vec![],
            "a decided one is never lost",
        ),
        (Out::Confirm, QUIET, 1, two_leaders.to_vec(), "apart"),
        (Out::Known, leader, 2, vec![], "all or none"),
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
