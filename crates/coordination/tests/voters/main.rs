//! Model checking of three voters and two further gateways: leaders elected by a quorum, records that are committed or
//! lost with their leader, an isolated leader that continues, a voter that loses its disk, and paused gateways.
//! Agreement is modelled by the guarantees of the Raft library: one vote for each term, the newer log wins, and what a
//! quorum has is not lost; messages between voters arrive or are lost. The seeded runs of `crates/raft-replica` test
//! that the library keeps these guarantees.

#[path = "../support/mod.rs"]
mod support;

mod model;
mod start;
mod world;

use model::{Move, RemovedGuard, VoterModel};
use stateright::{Checker, HasDiscoveries, Model, Property};
use world::Budget;

const NO_FAULTS: Budget = Budget {
    ticks: 0,
    elections: 0,
    disk_losses: 0,
    pauses: 0,
    commands: 1,
    kills: 0,
    duplicates: 0,
};

fn explore(budget: Budget, initial_steps: usize, tick: f64) -> impl Checker<VoterModel> {
    VoterModel {
        budget,
        removed: RemovedGuard::Nothing,
        initial_steps,
        initial_moves: Vec::new(),
        tick,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join()
}

/// The cases, of which all states are explored: the name, whether the case runs only with `ORDERS=all`, the budget, the
/// numbers of initial steps of a change, and the duration of a tick.
const CASES: [(&str, bool, Budget, &[usize], f64); 9] = [
    (
        "policy change",
        false,
        Budget {
            ticks: 2,
            ..NO_FAULTS
        },
        &[0, 1, 2, 3],
        1.0,
    ),
    (
        "leader loss",
        false,
        Budget {
            elections: 1,
            ..NO_FAULTS
        },
        &[1, 2, 3],
        1.0,
    ),
    (
        "disk loss",
        false,
        Budget {
            disk_losses: 1,
            ..NO_FAULTS
        },
        &[1, 2, 3],
        1.0,
    ),
    (
        "leader loss and disk loss",
        false,
        Budget {
            elections: 1,
            disk_losses: 1,
            ..NO_FAULTS
        },
        &[2, 3],
        1.0,
    ),
    (
        "gateway restart",
        false,
        Budget {
            ticks: 1,
            kills: 1,
            ..NO_FAULTS
        },
        &[2, 3],
        1.0,
    ),
    (
        "duplicate heartbeat and leader loss",
        false,
        Budget {
            ticks: 1,
            duplicates: 1,
            elections: 1,
            ..NO_FAULTS
        },
        &[2],
        1.0,
    ),
    (
        "two operators",
        false,
        Budget {
            ticks: 1,
            commands: 2,
            ..NO_FAULTS
        },
        &[0, 2],
        1.0,
    ),
    (
        "gateway paused until its lease expires",
        false,
        Budget {
            ticks: 2,
            pauses: 1,
            ..NO_FAULTS
        },
        &[1, 2],
        2.0,
    ),
    (
        "two leader losses and disk loss",
        true,
        Budget {
            ticks: 1,
            elections: 2,
            disk_losses: 1,
            ..NO_FAULTS
        },
        &[1, 2],
        1.0,
    ),
];

#[test]
fn no_decided_policy_is_lost_with_three_voters_and_two_further_gateways() {
    let runs_larger_cases = std::env::var_os("ORDERS").is_some();
    for (name, is_larger, budget, step_counts, tick) in CASES {
        if is_larger && !runs_larger_cases {
            continue;
        }
        let started = std::time::Instant::now();
        let mut states = 0;
        for initial_steps in step_counts {
            let checked = explore(budget, *initial_steps, tick);
            let model = VoterModel {
                budget,
                removed: RemovedGuard::Nothing,
                initial_steps: *initial_steps,
                initial_moves: Vec::new(),
                tick,
            };
            let is_always = |property: &&Property<VoterModel>| {
                property.expectation == stateright::Expectation::Always
            };
            for property in model.properties().iter().filter(is_always) {
                checked.assert_no_discovery(property.name);
            }
            states += checked.unique_state_count();
        }
        println!("{name}: {states} states, {:?}", started.elapsed());
        assert!(states >= 60, "{name}: {states}");
    }
    let checked = explore(
        Budget {
            ticks: 2,
            ..NO_FAULTS
        },
        2,
        1.0,
    );
    checked.assert_any_discovery("a change is decided and applied by all");
}

#[test]
fn a_property_fails_without_each_guard_of_the_voters() {
    // One gateway still sends heartbeats to an earlier leader, and the new leader waits only for leases from before its
    // own term.
    let two_leaders = [
        Move::Elect(1, 2),
        Move::Replicate(1, 2),
        Move::Tick,
        Move::Heartbeat(0, 0, 1),
        Move::Deliver(0),
        Move::Tick,
    ];
    let leader_and_disk = Budget {
        elections: 1,
        disk_losses: 1,
        ..NO_FAULTS
    };
    let leader = Budget {
        ticks: 2,
        elections: 1,
        ..NO_FAULTS
    };
    for (removed, budget, initial_steps, initial_moves, property) in [
        (
            RemovedGuard::NewVoterId,
            leader_and_disk,
            3,
            vec![],
            "a decided policy is never lost",
        ),
        (
            RemovedGuard::QuorumConfirmation,
            NO_FAULTS,
            1,
            two_leaders.to_vec(),
            "no two policies decide at once",
        ),
        (
            RemovedGuard::CommittedState,
            leader,
            2,
            vec![],
            "applied policies were decided",
        ),
    ] {
        let tick = if initial_moves.is_empty() { 1.0 } else { 2.0 };
        let checker = VoterModel {
            budget,
            removed,
            initial_steps,
            initial_moves,
            tick,
        }
        .checker()
        .threads(4);
        let checked = checker
            .finish_when(HasDiscoveries::AllOf([property].into()))
            .spawn_bfs()
            .join();
        assert!(checked.discovery(property).is_some(), "{removed:?}");
    }
}
