//! Model checking of the shares under every order of heartbeats, kills, starts and leader losses: the shares in use
//! never exceed the whole (`docs/design/recovery.md`, promise 2). There are three gateways and a policy for two.

mod support;

use ironstair_coordination::member::Input;
use ironstair_coordination::{Fleet, Leader, Record};
use stateright::{Checker, HasDiscoveries, Model, Property};
use support::{Gateway, TestPolicy, LEASE};

const GATEWAY_COUNT: usize = 3;

#[derive(Clone, Debug, PartialEq)]
struct World {
    now: f64,
    fleet: Fleet<TestPolicy>,
    leader: Leader<TestPolicy>,
    gateways: Vec<Option<Gateway>>,
    processes_started: u64,
    remaining: Budget,
}

/// How often each move may still happen.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Budget {
    ticks: u8,
    kills: u8,
    leader_losses: u8,
}

support::hash_by_debug_text!(World);

#[derive(Clone, Debug, PartialEq)]
enum Move {
    Tick,
    /// A gateway's heartbeat arrives at the leader, which responds.
    Heartbeat(usize),
    /// A gateway receives the response.
    Deliver(usize),
    Kill(usize),
    Start(usize),
    /// The leader is lost, and the next one knows only the log.
    LoseLeader,
}

/// The guard that is removed, to verify that the property fails without it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RemovedGuard {
    Nothing,
    /// Without it, a new gateway uses its share at once.
    WaitForShare,
    /// Without it, a new leader grants shares while leases of the earlier one may be valid.
    GracePeriod,
}

struct ShareModel {
    budget: Budget,
    removed: RemovedGuard,
}

impl World {
    /// The leader writes its records, and the log applies them.
    fn write_records(&mut self) {
        while let Some(record) = self.leader.next_record(self.now, &self.fleet) {
            self.fleet.apply(record);
            self.leader.record_settled();
        }
    }

    /// The shares that gateways with a lease use, as fractions of the whole.
    fn shares_in_use(&self) -> impl Iterator<Item = f64> + '_ {
        let leased = self
            .gateways
            .iter()
            .flatten()
            .filter(|gateway| gateway.member.has_lease(self.now));
        leased
            .map(|gateway| gateway.member.share())
            .filter(|share| share.is_granted)
            .map(|share| 1.0 / share.gateway_count)
    }
}

impl Model for ShareModel {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let mut fleet = Fleet::default();
        fleet.apply(Record::Bootstrapped {
            generation: 1,
            document: TestPolicy(0, 0),
            revision: None,
        });
        let leader = Leader::new(-9.0, LEASE);
        let remaining = Budget {
            ticks: 9,
            ..self.budget
        };
        let mut world = World {
            now: 0.0,
            fleet,
            leader,
            gateways: vec![None; GATEWAY_COUNT],
            processes_started: 0,
            remaining,
        };
        // Two gateways have joined and have their shares; the third may join at any time.
        let heartbeats = [
            Move::Heartbeat(0),
            Move::Deliver(0),
            Move::Heartbeat(1),
            Move::Deliver(1),
        ];
        let round = [&heartbeats[..], &heartbeats[..], &[Move::Tick]].concat();
        let rounds = (0..6).flat_map(|_| round.clone());
        for step in [Move::Start(0), Move::Start(1)]
            .into_iter()
            .chain(rounds)
            .chain(heartbeats)
        {
            world = self.next_state(&world, step).unwrap_or(world);
        }
        assert_eq!(world.shares_in_use().sum::<f64>(), 1.0);
        world.remaining = self.budget;
        vec![world]
    }

    fn actions(&self, world: &World, moves: &mut Vec<Move>) {
        moves.extend((world.remaining.ticks > 0).then_some(Move::Tick));
        moves.extend((world.remaining.leader_losses > 0).then_some(Move::LoseLeader));
        for (index, slot) in world.gateways.iter().enumerate() {
            let Some(gateway) = slot else {
                moves.push(Move::Start(index));
                continue;
            };
            moves.extend(
                gateway
                    .is_heartbeat_due(world.now)
                    .then_some(Move::Heartbeat(index)),
            );
            moves.extend(gateway.response.is_some().then_some(Move::Deliver(index)));
            moves.extend((world.remaining.kills > 0).then_some(Move::Kill(index)));
        }
    }

    fn next_state(&self, previous: &World, step: Move) -> Option<World> {
        let mut world = previous.clone();
        match step {
            Move::Tick => {
                (world.now, world.remaining.ticks) = (world.now + 1.5, world.remaining.ticks - 1);
                world.write_records();
            }
            Move::Heartbeat(index) => {
                let gateway = world.gateways[index].as_mut()?;
                let heartbeat = gateway.next_heartbeat(world.now, index)?;
                let mut response = world.leader.heartbeat(world.now, &world.fleet, &heartbeat);
                if self.removed == RemovedGuard::WaitForShare {
                    response
                        .share
                        .iter_mut()
                        .for_each(|share| share.is_granted = true);
                }
                gateway.response = Some(response);
                world.write_records();
            }
            Move::Deliver(index) => {
                let gateway = world.gateways[index].as_mut()?;
                let response = gateway.response.take()?;
                gateway.handle(world.now, index, Input::Answered(response));
            }
            Move::Kill(index) => {
                (world.gateways[index], world.remaining.kills) = (None, world.remaining.kills - 1);
            }
            Move::Start(index) => {
                world.processes_started += 1;
                world.gateways[index] = Some(Gateway::new(index, world.processes_started));
            }
            Move::LoseLeader => {
                world.remaining.leader_losses -= 1;
                let since = if self.removed == RemovedGuard::GracePeriod {
                    -9.0
                } else {
                    world.now
                };
                world.leader = Leader::new(since, LEASE);
            }
        }
        Some(world).filter(|world| world != previous)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "shares in use do not exceed the whole",
                |_, world: &World| world.shares_in_use().sum::<f64>() <= 1.0 + 1e-9,
            ),
            Property::sometimes("the third gateway has its share", |_, world: &World| {
                world.shares_in_use().count() == GATEWAY_COUNT
            }),
        ]
    }
}

#[test]
fn shares_in_use_never_exceed_the_whole_in_any_order_of_events() {
    let no_faults = Budget {
        ticks: 3,
        kills: 0,
        leader_losses: 0,
    };
    let killed = |ticks| Budget {
        ticks,
        kills: 1,
        ..no_faults
    };
    // The larger run: `ORDERS=all`.
    let larger = std::env::var_os("ORDERS").map(|_| (killed(2), 100_000));
    let usual = [
        (no_faults, 1_000),
        (killed(1), 1_000),
        (
            Budget {
                ticks: 2,
                leader_losses: 1,
                ..no_faults
            },
            1_000,
        ),
    ];
    for (budget, min_states) in usual.into_iter().chain(larger) {
        let checked = ShareModel {
            budget,
            removed: RemovedGuard::Nothing,
        }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join();
        checked.assert_no_discovery("shares in use do not exceed the whole");
        println!("{budget:?}: {} states", checked.unique_state_count());
        assert!(
            checked.unique_state_count() >= min_states,
            "{budget:?}: {}",
            checked.unique_state_count()
        );
        assert!(
            budget != no_faults
                || checked
                    .discovery("the third gateway has its share")
                    .is_some()
        );
    }
}

#[test]
fn shares_exceed_the_whole_without_each_guard() {
    for (removed, leader_losses) in [
        (RemovedGuard::WaitForShare, 0),
        (RemovedGuard::GracePeriod, 1),
    ] {
        let budget = Budget {
            ticks: 3,
            kills: 0,
            leader_losses,
        };
        let checker = ShareModel { budget, removed }.checker().threads(4);
        let failure = HasDiscoveries::AllOf(["shares in use do not exceed the whole"].into());
        let checked = checker.finish_when(failure).spawn_bfs().join();
        assert!(
            checked
                .discovery("shares in use do not exceed the whole")
                .is_some(),
            "{removed:?}"
        );
    }
}
