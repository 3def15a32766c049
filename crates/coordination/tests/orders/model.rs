//! The moves of the model and its properties.

use crate::support::{self, proposal, Gateway, TestPolicy, LEASE, UNREADABLE};
use crate::world::{ChangeModel, Move, RemovedGuard, World};
use ironstair_coordination::fleet::Step;
use ironstair_coordination::leader::Command;
use ironstair_coordination::member::Input;
use ironstair_coordination::{Fleet, Leader, Record};
use stateright::{Model, Property};

impl ChangeModel {
    fn deliver(&self, world: &mut World, index: usize, is_duplicate: bool) -> Option<()> {
        world.remaining.duplicates -= is_duplicate as u8;
        let gateway = world.gateways[index].as_mut()?;
        let mut response = gateway.response.clone()?;
        gateway.response = gateway.response.take().filter(|_| is_duplicate);
        if self.removed == RemovedGuard::LeaseFromSending {
            response.sent = world.now;
        }
        world.handle_input(index, Input::Answered(response));
        Some(())
    }

    fn write_record(&self, world: &mut World) {
        let record = world.leader.next_record(world.now, &world.fleet);
        world.record_in_flight =
            match (record, self.removed) {
                (None, RemovedGuard::WaitForAllMembers) => world
                    .fleet
                    .change_at(Step::Binding)
                    .map(|change| Record::Decided {
                        number: change.number,
                    }),
                (record, _) => record,
            };
        // The commit is a move of its own only if a leader may be lost before it.
        if world.remaining.leader_losses == 0 {
            world.commit();
        }
    }

    fn lose_leader(&self, world: &mut World, is_record_kept: bool) {
        world.remaining.leader_losses -= 1;
        if is_record_kept {
            world.commit();
        }
        world.record_in_flight = None;
        let since = if self.removed == RemovedGuard::GracePeriod {
            -9.0
        } else {
            world.now
        };
        world.leader = Leader::new(since, LEASE);
    }
}

fn send_heartbeat(world: &mut World, index: usize, is_duplicate: bool) -> Option<()> {
    world.remaining.duplicates -= is_duplicate as u8;
    let gateway = world.gateways[index].as_mut()?;
    let heartbeat = if is_duplicate {
        gateway.heartbeat.clone()
    } else {
        gateway.next_heartbeat(world.now, index)
    };
    gateway.response = Some(world.leader.heartbeat(world.now, &world.fleet, &heartbeat?));
    Some(())
}

fn propose(world: &mut World) -> Option<()> {
    world.remaining.commands -= 1;
    let number = if world.remaining.commands == 0 {
        1
    } else {
        UNREADABLE
    };
    world.fleet.running.as_ref()?;
    let command = Command::Change(proposal(number, world.fleet.policy_index));
    // A refused command changes nothing.
    let _ = world.leader.submit(&world.fleet, command);
    Some(())
}

fn cancel(world: &mut World) {
    world.remaining.cancels -= 1;
    let command = Command::Cancel {
        id: None,
        author: "op".into(),
    };
    // A refused command changes nothing.
    let _ = world.leader.submit(&world.fleet, command);
}

impl Model for ChangeModel {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        let mut fleet = Fleet::default();
        fleet.apply(Record::Bootstrapped {
            generation: 1,
            document: TestPolicy(0, 0),
            revision: None,
        });
        let mut world = World {
            now: 0.0,
            policy_changed_at: 0.0,
            fleet,
            leader: Leader::new(-9.0, LEASE),
            record_in_flight: None,
            gateways: (0..self.gateways)
                .map(|index| Some(Gateway::new(index, index as u64 + 1)))
                .collect(),
            processes_started: self.gateways as u64,
            decided: vec![0],
            refused: Vec::new(),
            remaining: self.budget,
        };
        // All runs begin with gateways that have joined and applied the first policy.
        for _ in 0..4 {
            for index in 0..self.gateways {
                for step in [Move::Heartbeat(index, false), Move::Deliver(index, false)] {
                    world = self.next_state(&world, step).unwrap_or(world);
                }
            }
            world.record_in_flight = world.leader.next_record(world.now, &world.fleet);
            world.commit();
        }
        assert_eq!(world.deciding(self.removed).count(), self.gateways);
        vec![world]
    }

    fn actions(&self, world: &World, moves: &mut Vec<Move>) {
        if world.remaining.ticks > 0 {
            moves.push(Move::Tick);
        }
        for (index, slot) in world.gateways.iter().enumerate() {
            let Some(gateway) = slot else {
                moves.push(Move::Start(index));
                continue;
            };
            if world.remaining.pauses > 0 || gateway.is_paused {
                moves.push(Move::TogglePause(index));
            }
            if gateway.is_paused {
                continue;
            }
            moves.extend(
                gateway
                    .is_heartbeat_due(world.now)
                    .then_some(Move::Heartbeat(index, false)),
            );
            moves.extend(
                gateway
                    .response
                    .is_some()
                    .then_some(Move::Deliver(index, false)),
            );
            if world.remaining.duplicates > 0 {
                moves.extend(
                    gateway
                        .heartbeat
                        .is_some()
                        .then_some(Move::Heartbeat(index, true)),
                );
                moves.extend(
                    gateway
                        .response
                        .is_some()
                        .then_some(Move::Deliver(index, true)),
                );
            }
            moves.extend((world.remaining.crashes > 0).then_some(Move::Crash(index)));
        }
        match world.record_in_flight {
            Some(_) => moves.push(Move::Commit),
            None => moves.push(Move::WriteRecord),
        }
        if world.remaining.leader_losses > 0 {
            moves.push(Move::LoseLeader(false));
            moves.extend(
                world
                    .record_in_flight
                    .is_some()
                    .then_some(Move::LoseLeader(true)),
            );
        }
        moves.extend((world.remaining.commands > 0).then_some(Move::Propose));
        moves.extend((world.remaining.cancels > 0).then_some(Move::Cancel));
    }

    fn next_state(&self, previous: &World, step: Move) -> Option<World> {
        let mut world = previous.clone();
        match step {
            Move::Tick => {
                world.remaining.ticks -= 1;
                world.now += 1.0;
                let now = world.now;
                world
                    .gateways
                    .iter_mut()
                    .flatten()
                    .for_each(|gateway| gateway.expire_timer(now));
            }
            Move::Heartbeat(index, is_duplicate) => {
                send_heartbeat(&mut world, index, is_duplicate)?;
            }
            Move::Deliver(index, is_duplicate) => self.deliver(&mut world, index, is_duplicate)?,
            Move::WriteRecord => self.write_record(&mut world),
            Move::Commit => world.commit(),
            Move::LoseLeader(is_record_kept) => self.lose_leader(&mut world, is_record_kept),
            Move::Crash(index) => {
                world.remaining.crashes -= 1;
                world.gateways[index] = None;
            }
            Move::Start(index) => {
                world.processes_started += 1;
                world.gateways[index] = Some(Gateway::new(index, world.processes_started));
            }
            Move::TogglePause(index) => {
                let gateway = world.gateways[index].as_mut()?;
                world.remaining.pauses -= !gateway.is_paused as u8;
                gateway.is_paused = !gateway.is_paused;
            }
            Move::Propose => propose(&mut world)?,
            Move::Cancel => cancel(&mut world),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "no two policies decide at once",
                |model: &ChangeModel, world: &World| {
                    support::at_most_one_policy_decides(world.deciding(model.removed))
                },
            ),
            Property::always(
                "all deciding gateways apply the current policy within a lease",
                |model: &ChangeModel, world: &World| {
                    let is_outdated = |gateway: &Gateway| {
                        gateway.member.applied_state().applied_index < world.fleet.policy_index
                    };
                    world.now < world.policy_changed_at + LEASE
                        || !world.deciding(model.removed).any(is_outdated)
                },
            ),
            Property::always("applied policies were decided", |_, world: &World| {
                support::applied_policies_were_decided(
                    world.gateways.iter().flatten(),
                    &world.decided,
                    &world.refused,
                )
            }),
            Property::always(
                "no gateway decides without a policy",
                |model: &ChangeModel, world: &World| {
                    support::all_have_a_policy(world.deciding(model.removed))
                },
            ),
            Property::sometimes(
                "a change is decided and applied everywhere",
                |model: &ChangeModel, world: &World| {
                    world
                        .deciding(model.removed)
                        .filter(|gateway| gateway.applied_policy == TestPolicy(1, 1))
                        .count()
                        == model.gateways
                },
            ),
            Property::sometimes(
                "a change that can't be read is refused",
                |_, world: &World| !world.refused.is_empty(),
            ),
        ]
    }
}
