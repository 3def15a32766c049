//! The moves of the model and its properties.

use crate::support::{self, proposal, Gateway, TestPolicy, LEASE};
use crate::world::{
    bootstrapped, voter_ids, Budget, Entry, LeaderTerm, Voter, World, GATEWAY_COUNT, VOTERS,
};
use ironstair_coordination::leader::Command;
use ironstair_coordination::member::Input;
use ironstair_coordination::Leader;
use stateright::{Model, Property};

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Move {
    Tick,
    /// The first voter is elected by the vote of the second. A leader that is elected again was restarted.
    Elect(usize, usize),
    /// The second voter receives the log of the first, which is a leader.
    Replicate(usize, usize),
    /// A leader writes its next record.
    WriteRecord(usize),
    /// A voter loses its disk and starts blank under the next id.
    LoseDisk(usize),
    /// The first voter, a leader, admits the second, which has its whole log.
    Admit(usize, usize),
    /// A gateway's heartbeat arrives at a leader, another voter confirms the leadership, and the response is sent.
    Heartbeat(usize, usize, usize),
    /// The same heartbeat arrives again, possibly at another leader.
    DuplicateHeartbeat(usize, usize, usize),
    /// A gateway is killed and started again with the same exclusive resource.
    Restart(usize),
    /// A gateway receives the response.
    Deliver(usize),
    /// A gateway is paused, or continues.
    TogglePause(usize),
    /// An operator submits a change to a leader.
    Propose(usize),
}

/// The guard that is removed, to verify that a property fails without it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RemovedGuard {
    Nothing,
    /// Without it, a voter that lost its disk votes under its old id.
    NewVoterId,
    /// Without it, no quorum confirms a leader before it grants a lease.
    QuorumConfirmation,
    /// Without it, a leader acts on entries of earlier terms that it does not know to be committed.
    CommittedState,
}

pub(crate) struct VoterModel {
    pub budget: Budget,
    pub removed: RemovedGuard,
    /// The number of steps of a change that precede the run, made with the first two voters alone.
    pub initial_steps: usize,
    /// The moves after these steps, also before the run.
    pub initial_moves: Vec<Move>,
    /// The duration of a tick.
    pub tick: f64,
}

impl VoterModel {
    fn elect(&self, world: &mut World, candidate: usize, supporter: usize) -> Option<()> {
        world.remaining.elections -= 1;
        let term = world.voters[candidate].term + 1;
        let log = world.voters[candidate].log.clone()?;
        let position = |log: &[(u8, Entry)]| {
            (
                log.last().map_or(0, |(entry_term, _)| *entry_term),
                log.len(),
            )
        };
        let voter = &world.voters[supporter];
        let has_newer_log = position(voter.log.as_ref()?) > position(&log);
        if !world.are_quorum(candidate, supporter) || voter.term >= term || has_newer_log {
            return None;
        }
        world.voters[candidate].term = term;
        world.voters[supporter].term = term;
        world.voters[supporter].leader_term = None;
        let mut leader_term = LeaderTerm {
            term,
            leader: Leader::new(world.now, LEASE),
            fleet: bootstrapped(),
            committed: 0,
        };
        if self.removed == RemovedGuard::CommittedState {
            // The leader treats its whole log as committed.
            for (_, entry) in &log {
                if let Entry::Record(record) = entry {
                    leader_term.fleet.apply(record.clone());
                }
            }
            leader_term.committed = log.len();
            world.voters[candidate].leader_term = Some(leader_term);
        } else {
            world.voters[candidate].leader_term = Some(leader_term);
            world.append(candidate, Entry::TermStart);
        }
        Some(())
    }

    fn lose_disk(&self, world: &mut World, voter: usize) -> Option<()> {
        world.remaining.disk_losses -= 1;
        // A second disk must not be lost before the first voter is replaced: the design does not cover that.
        if world.voters.iter().any(|voter| voter.log.is_none()) {
            return None;
        }
        let keeps_id = self.removed == RemovedGuard::NewVoterId;
        let id = if keeps_id {
            world.voters[voter].id
        } else {
            world.next_voter_id
        };
        world.next_voter_id += 1;
        let log = world.voters[voter].log.as_ref().filter(|_| keeps_id);
        world.voters[voter] = Voter {
            id,
            term: 0,
            log: log.map(|log| log[..2].to_vec()),
            committed: 0,
            leader_term: None,
        };
        Some(())
    }

    /// A gateway's heartbeat arrives at a leader, and another voter confirms the leadership.
    fn handle_heartbeat(
        &self,
        world: &mut World,
        gateway: usize,
        leader: usize,
        confirming: usize,
        is_duplicate: bool,
    ) -> Option<()> {
        let is_confirmed = self.removed != RemovedGuard::QuorumConfirmation;
        let term = world.voters[leader].leader_term.as_ref()?.term;
        if is_confirmed
            && (!world.are_quorum(leader, confirming) || world.voters[confirming].term > term)
        {
            return None;
        }
        world.up_to_date_leader(leader)?;
        if is_confirmed && world.voters[confirming].term < term {
            world.voters[confirming].term = term;
            world.voters[confirming].leader_term = None;
        }
        let now = world.now;
        let heartbeat = if is_duplicate {
            world.remaining.duplicates -= 1;
            world.gateways[gateway].heartbeat.clone()?
        } else {
            world.gateways[gateway].next_heartbeat(now, gateway)?
        };
        let leader_term = world.voters[leader].leader_term.as_mut()?;
        let response = leader_term
            .leader
            .heartbeat(now, &leader_term.fleet, &heartbeat);
        world.gateways[gateway].response = Some(response);
        Some(())
    }
}

/// A voter receives the log of a leader.
fn replicate(world: &mut World, leader: usize, receiver: usize) -> Option<()> {
    let term = world.voters[leader].leader_term.as_ref()?.term;
    if world.voters[receiver].term > term {
        // The leader learns of a later term.
        world.voters[leader].term = world.voters[receiver].term;
        world.voters[leader].leader_term = None;
    } else {
        world.voters[receiver].term = term;
        world.voters[receiver].log = world.voters[leader].log.clone();
        world.voters[receiver].leader_term = None;
        world.voters[receiver].committed = world.voters[leader].committed;
        world.advance_committed(leader);
    }
    Some(())
}

fn write_record(world: &mut World, leader: usize) -> Option<()> {
    world.up_to_date_leader(leader)?;
    let now = world.now;
    let leader_term = world.voters[leader].leader_term.as_mut()?;
    let record = leader_term.leader.next_record(now, &leader_term.fleet)?;
    world.append(leader, Entry::Record(record));
    Some(())
}

fn admit(world: &mut World, leader: usize, voter: usize) -> Option<()> {
    world.up_to_date_leader(leader)?;
    let log = world.voters[leader].log.as_ref()?;
    let id = world.voters[voter].id;
    let ids = voter_ids(log, log.len());
    if ids[voter] == id || world.voters[voter].log.as_ref() != Some(log) {
        return None;
    }
    world.append(leader, Entry::VoterId(voter, id));
    Some(())
}

fn propose(world: &mut World, leader: usize) -> Option<()> {
    world.remaining.commands -= 1;
    let number = 1 + world.remaining.commands;
    world.up_to_date_leader(leader)?;
    let leader_term = world.voters[leader].leader_term.as_mut()?;
    let base_revision = leader_term.fleet.policy_index;
    let command = Command::Change(proposal(number, base_revision));
    leader_term.leader.submit(&leader_term.fleet, command).ok()
}

/// Whether every leader that may grant leases knows the policy that was decided last.
fn confirmed_leaders_know_last_decided(world: &World) -> bool {
    let last = world.decided.last().copied().unwrap_or(0);
    let knows_last = |leader_term: &LeaderTerm| {
        let running = leader_term.fleet.running.as_ref();
        running.is_some_and(|(_, policy)| policy.0 >= last)
    };
    let can_be_confirmed = |leader: usize| {
        let term = world.voters[leader].term;
        (0..VOTERS).any(|voter| world.are_quorum(leader, voter) && world.voters[voter].term <= term)
    };
    (0..VOTERS)
        .filter(|leader| can_be_confirmed(*leader))
        .all(|leader| world.up_to_date_leader(leader).is_none_or(knows_last))
}

impl Model for VoterModel {
    type State = World;
    type Action = Move;

    fn init_states(&self) -> Vec<World> {
        vec![self.initial_state()]
    }

    fn actions(&self, world: &World, moves: &mut Vec<Move>) {
        moves.extend((world.remaining.ticks > 0).then_some(Move::Tick));
        for voter in 0..VOTERS {
            for other in (0..VOTERS).filter(|other| *other != voter) {
                if world.remaining.elections > 0 {
                    moves.push(Move::Elect(voter, other));
                }
                if world.voters[voter].leader_term.is_some() {
                    moves.push(Move::Replicate(voter, other));
                    moves.push(Move::Admit(voter, other));
                    let sends_heartbeat = |index: &usize| {
                        let gateway = &world.gateways[*index];
                        !gateway.is_paused && gateway.is_heartbeat_due(world.now)
                    };
                    let due = (0..GATEWAY_COUNT).filter(sends_heartbeat);
                    moves.extend(due.map(|gateway| Move::Heartbeat(gateway, voter, other)));
                    let repeatable = (0..GATEWAY_COUNT).filter(|index| {
                        world.remaining.duplicates > 0 && world.gateways[*index].heartbeat.is_some()
                    });
                    moves.extend(
                        repeatable.map(|gateway| Move::DuplicateHeartbeat(gateway, voter, other)),
                    );
                }
            }
            if world.voters[voter].leader_term.is_some() {
                moves.push(Move::WriteRecord(voter));
                moves.extend((world.remaining.commands > 0).then_some(Move::Propose(voter)));
            }
            moves.extend((world.remaining.disk_losses > 0).then_some(Move::LoseDisk(voter)));
        }
        for (index, gateway) in world.gateways.iter().enumerate() {
            let can_receive = gateway.response.is_some() && !gateway.is_paused;
            moves.extend(can_receive.then_some(Move::Deliver(index)));
            let can_toggle = gateway.is_paused || world.remaining.pauses > 0;
            moves.extend(can_toggle.then_some(Move::TogglePause(index)));
            moves.extend((world.remaining.kills > 0).then_some(Move::Restart(index)));
        }
    }

    fn next_state(&self, previous: &World, step: Move) -> Option<World> {
        let mut world = previous.clone();
        match step {
            Move::Tick => {
                world.remaining.ticks -= 1;
                world.now += self.tick;
                let now = world.now;
                world
                    .gateways
                    .iter_mut()
                    .for_each(|gateway| gateway.expire_timer(now));
            }
            Move::Elect(candidate, supporter) => self.elect(&mut world, candidate, supporter)?,
            Move::Replicate(leader, receiver) => replicate(&mut world, leader, receiver)?,
            Move::WriteRecord(leader) => write_record(&mut world, leader)?,
            Move::LoseDisk(voter) => self.lose_disk(&mut world, voter)?,
            Move::Admit(leader, voter) => admit(&mut world, leader, voter)?,
            Move::Restart(index) => {
                world.remaining.kills -= 1;
                world.gateways[index] = Gateway::new(index, (GATEWAY_COUNT + 1 + index) as u64);
            }
            Move::Heartbeat(gateway, leader, confirming) => {
                self.handle_heartbeat(&mut world, gateway, leader, confirming, false)?;
            }
            Move::DuplicateHeartbeat(gateway, leader, confirming) => {
                self.handle_heartbeat(&mut world, gateway, leader, confirming, true)?;
            }
            Move::Deliver(index) => {
                let response = world.gateways[index].response.take()?;
                world.gateways[index].handle(world.now, index, Input::Answered(response));
            }
            Move::TogglePause(index) => {
                world.remaining.pauses -= !world.gateways[index].is_paused as u8;
                world.gateways[index].is_paused = !world.gateways[index].is_paused;
            }
            Move::Propose(leader) => propose(&mut world, leader)?,
        }
        Some(world).filter(|world| world != previous)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two policies decide at once", |_, world: &World| {
                support::at_most_one_policy_decides(world.deciding())
            }),
            Property::always("applied policies were decided", |_, world: &World| {
                support::applied_policies_were_decided(
                    world.gateways.iter(),
                    &world.decided,
                    &world.refused,
                )
            }),
            Property::always("no gateway decides without a policy", |_, world: &World| {
                support::all_have_a_policy(world.deciding())
            }),
            Property::always("a decided policy is never lost", |_, world: &World| {
                confirmed_leaders_know_last_decided(world)
            }),
            Property::sometimes(
                "a change is decided and applied by all",
                |_, world: &World| {
                    world.gateways.iter().all(|gateway| {
                        gateway.applied_policy == TestPolicy(1, 1)
                            && gateway.decides(world.now, false)
                    })
                },
            ),
        ]
    }
}
