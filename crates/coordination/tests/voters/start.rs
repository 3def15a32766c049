//! The initial state of a run: there is one leader, all gateways have joined, and the initial steps of a change and the
//! initial moves of the run have been made.

use crate::model::{Move, VoterModel};
use crate::world::{Budget, Entry, World, GATEWAY_COUNT};
use ironstair_coordination::Record;
use stateright::Model;

impl VoterModel {
    pub(crate) fn initial_state(&self) -> World {
        let mut world = self.state_with_all_members();
        world.remaining = self.budget;
        replace_logs(&mut world);
        world.remaining = Budget {
            ticks: 9,
            commands: 1,
            ..self.budget
        };
        world.remaining.elections += 1;
        world = self.make_moves(world, self.initial_sequence());
        world.remaining = Budget {
            commands: self.budget.commands - (self.initial_steps > 0) as u8,
            ..self.budget
        };
        world
    }

    fn make_moves(&self, mut world: World, moves: Vec<Move>) -> World {
        for step in moves {
            world = self.next_state(&world, step).unwrap_or(world);
        }
        world
    }

    /// The state from which all runs continue: a leader, and all gateways as members with a lease.
    fn state_with_all_members(&self) -> World {
        let mut world = World::blank(Budget {
            elections: 1,
            ..self.budget
        });
        let elect = vec![
            Move::Elect(0, 1),
            Move::Replicate(0, 1),
            Move::Replicate(0, 2),
        ];
        let heartbeats = (0..GATEWAY_COUNT)
            .flat_map(|gateway| [Move::Heartbeat(gateway, 0, 1), Move::Deliver(gateway)]);
        let write = [
            Move::WriteRecord(0),
            Move::Replicate(0, 1),
            Move::Replicate(0, 2),
        ];
        let round: Vec<Move> = heartbeats.chain(write).collect();
        // The leader was elected long before the run, so that no lease of an earlier one is valid.
        world.now = -9.0;
        world = self.make_moves(world, elect);
        world.now = 0.0;
        world = self.make_moves(world, (0..4).flat_map(|_| round.clone()).collect());
        assert!(world
            .gateways
            .iter()
            .all(|gateway| gateway.decides(world.now, false)));
        world
    }

    /// The initial steps of a change, followed by the initial moves.
    fn initial_sequence(&self) -> Vec<Move> {
        let heartbeats = (0..GATEWAY_COUNT).flat_map(|gateway| {
            [
                Move::Heartbeat(gateway, 0, 1),
                Move::Deliver(gateway),
                Move::Heartbeat(gateway, 0, 1),
                Move::Deliver(gateway),
            ]
        });
        let step: Vec<Move> = [Move::Tick]
            .into_iter()
            .chain(heartbeats)
            .chain([Move::WriteRecord(0), Move::Replicate(0, 1)])
            .collect();
        let first_step = [
            Move::Propose(0),
            Move::WriteRecord(0),
            Move::Replicate(0, 1),
        ];
        let further_steps = (1..self.initial_steps).flat_map(|_| step.clone());
        first_step
            .into_iter()
            .filter(|_| self.initial_steps > 0)
            .chain(further_steps)
            .chain(self.initial_moves.clone())
            .collect()
    }
}

/// Replaces the log of every voter by one of two entries, the first of which admits all members at once.
fn replace_logs(world: &mut World) {
    let leader_term = world.voters[0].leader_term.as_mut().expect("a leader");
    leader_term.committed = 2;
    let members = leader_term.fleet.members.iter();
    let joined = members
        .map(|(name, session)| (name.clone(), session.clone()))
        .collect();
    let members_entry = Entry::Record(Record::Members {
        joined,
        left: Vec::new(),
    });
    for voter in &mut world.voters {
        voter.log = Some(vec![(0, members_entry.clone()), (1, Entry::TermStart)]);
        voter.committed = 2;
    }
}
