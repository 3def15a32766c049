//! Model checking of the shares under every order of heartbeats, ends, starts and lost leaders: the shares in use never
//! exceed the whole (`docs/design/recovery.md`, promise 2). There are three gateways and a policy for two.

mod support;

use ironstair_coordination::member::Input;
use ironstair_coordination::{Fleet, Leader, Record};
use stateright::{Checker, HasDiscoveries, Model, Property};
use support::{Gate, Pol, LEASE};

const GATES: usize = 3;

#[derive(Clone, Debug, PartialEq)]
struct World {
    now: f64,
    fleet: Fleet<Pol>,
    leader: Leader<Pol>,
    gates: Vec<Option<Gate>>,
    starts: u64,
    left: Budget,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Budget {
    ticks: u8,
    ends: u8,
    leaders: u8,
}

support::hashed_as_shown!(World);

#[derive(Clone, Debug, PartialEq)]
enum Move {
    Tick,
    Talk(usize),
    Hear(usize),
    Kill(usize),
    Start(usize),
    Leader,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Out {
    Nothing,
    /// A new gateway takes its share at once.
    Waits,
    /// A new leader grants shares while leases of the earlier one may be valid.
    Grace,
}

struct Days {
    budget: Budget,
    out: Out,
}

impl World {
    /// The leader writes its records, and the log applies them.
    fn look(&mut self) {
        while let Some(record) = self.leader.next_record(self.now, &self.fleet) {
            self.fleet.apply(record);
            self.leader.record_settled();
        }
    }

    fn takes_share(&self) -> impl Iterator<Item = f64> + '_ {
        let decides = self
            .gates
            .iter()
            .flatten()
            .filter(|g| g.member.has_lease(self.now));
        decides
            .map(|g| g.member.share())
            .filter(|s| s.is_granted)
            .map(|s| 1.0 / s.gateway_count)
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
        let leader = Leader::new(-9.0, LEASE);
        let left = Budget {
            ticks: 9,
            ..self.budget
        };
        let mut w = World {
            now: 0.0,
            fleet,
            leader,
            gates: vec![None; GATES],
            starts: 0,
            left,
        };
        // Two gateways have joined and have their shares; the third joins at any time.
        let talk = [Move::Talk(0), Move::Hear(0), Move::Talk(1), Move::Hear(1)];
        let round = [&talk[..], &talk[..], &[Move::Tick]].concat();
        let rounds = (0..6).flat_map(|_| round.clone());
        for step in [Move::Start(0), Move::Start(1)]
            .into_iter()
            .chain(rounds)
            .chain(talk)
        {
            w = self.next_state(&w, step).unwrap_or(w);
        }
        assert_eq!(w.takes_share().sum::<f64>(), 1.0);
        w.left = self.budget;
        vec![w]
    }

    fn actions(&self, w: &World, moves: &mut Vec<Move>) {
        moves.extend((w.left.ticks > 0).then_some(Move::Tick));
        moves.extend((w.left.leaders > 0).then_some(Move::Leader));
        for (i, gate) in w.gates.iter().enumerate() {
            let Some(g) = gate else {
                moves.push(Move::Start(i));
                continue;
            };
            moves.extend(g.is_heartbeat_due(w.now).then_some(Move::Talk(i)));
            moves.extend(g.answer.is_some().then_some(Move::Hear(i)));
            moves.extend((w.left.ends > 0).then_some(Move::Kill(i)));
        }
    }

    fn next_state(&self, was: &World, step: Move) -> Option<World> {
        let mut w = was.clone();
        match step {
            Move::Tick => {
                (w.now, w.left.ticks) = (w.now + 1.5, w.left.ticks - 1);
                w.look();
            }
            Move::Talk(i) => {
                let gate = w.gates[i].as_mut()?;
                let heartbeat = gate.sends(w.now, i)?;
                let mut answer = w.leader.heartbeat(w.now, &w.fleet, &heartbeat);
                if self.out == Out::Waits {
                    answer.share.iter_mut().for_each(|s| s.is_granted = true);
                }
                gate.answer = Some(answer);
                w.look();
            }
            Move::Hear(i) => {
                let gate = w.gates[i].as_mut()?;
                let answer = gate.answer.take()?;
                gate.hand(w.now, i, Input::Answered(answer));
            }
            Move::Kill(i) => (w.gates[i], w.left.ends) = (None, w.left.ends - 1),
            Move::Start(i) => {
                w.starts += 1;
                w.gates[i] = Some(Gate::new(i, w.starts));
            }
            Move::Leader => {
                w.left.leaders -= 1;
                let since = if self.out == Out::Grace { -9.0 } else { w.now };
                w.leader = Leader::new(since, LEASE);
            }
        }
        Some(w).filter(|w| w != was)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no more than the whole", |_, w: &World| {
                w.takes_share().sum::<f64>() <= 1.0 + 1e-9
            }),
            Property::sometimes("the third has its share", |_, w: &World| {
                w.takes_share().count() == GATES
            }),
        ]
    }
}

#[test]
fn in_every_order_the_shares_come_to_no_more_than_the_whole() {
    let quiet = Budget {
        ticks: 3,
        ends: 0,
        leaders: 0,
    };
    let killed = |ticks| Budget {
        ticks,
        ends: 1,
        ..quiet
    };
    // The larger one by `ORDERS=all`.
    let larger = std::env::var_os("ORDERS").map(|_| (killed(2), 100_000));
    let usual = [
        (quiet, 1_000),
        (killed(1), 1_000),
        (
            Budget {
                ticks: 2,
                leaders: 1,
                ..quiet
            },
            1_000,
        ),
    ];
    for (budget, states) in usual.into_iter().chain(larger) {
        let found = Days {
            budget,
            out: Out::Nothing,
        }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
        found.assert_no_discovery("no more than the whole");
        println!("{budget:?}: {} states", found.unique_state_count());
        assert!(
            found.unique_state_count() >= states,
            "{budget:?}: {}",
            found.unique_state_count()
        );
        assert!(budget != quiet || found.discovery("the third has its share").is_some());
    }
}

#[test]
fn a_share_taken_at_once_and_a_leader_that_knows_no_earlier_leases_break_it() {
    for (out, leaders) in [(Out::Waits, 0), (Out::Grace, 1)] {
        let budget = Budget {
            ticks: 3,
            ends: 0,
            leaders,
        };
        let days = Days { budget, out }.checker().threads(4);
        let failure = HasDiscoveries::AllOf(["no more than the whole"].into());
        let found = days.finish_when(failure).spawn_bfs().join();
        assert!(
            found.discovery("no more than the whole").is_some(),
            "{out:?}"
        );
    }
}
