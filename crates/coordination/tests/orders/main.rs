//! Model checking of a policy change under every order of heartbeats, responses, steps of the log, crashes, leader
//! losses and late, duplicate or lost messages. The properties are the guarantees of `docs/design/fleet.md`. The log
//! itself is the Raft library's: in this model it commits one record after the other, and a leader whose term is over
//! grants no lease.

#[path = "../support/mod.rs"]
mod support;

mod cases;
mod model;
mod world;

use cases::{CASES, LARGER, NO_FAULTS};
use stateright::{Checker, HasDiscoveries, Model};
use world::{Budget, ChangeModel, RemovedGuard};

fn model(gateways: usize, budget: Budget, removed: RemovedGuard) -> ChangeModel {
    ChangeModel {
        gateways,
        budget,
        removed,
    }
}

#[test]
fn change_applies_everywhere_or_nowhere_in_every_order_of_events() {
    let larger = LARGER
        .into_iter()
        .filter(|_| std::env::var_os("ORDERS").is_some());
    for (name, gateways, budget, min_states) in CASES.into_iter().chain(larger) {
        let started = std::time::Instant::now();
        let checked = model(gateways, budget, RemovedGuard::Nothing)
            .checker()
            .threads(4)
            .spawn_bfs()
            .join();
        for property in model(gateways, budget, RemovedGuard::Nothing).properties() {
            if property.expectation == stateright::Expectation::Always {
                checked.assert_no_discovery(property.name);
            }
        }
        let states = checked.unique_state_count();
        println!("{name}: {states} states, {:?}", started.elapsed());
        assert!(states >= min_states, "{name}: {states}");
    }
}

#[test]
fn a_property_fails_without_each_guard() {
    for (removed, budget, property) in [
        (
            RemovedGuard::GracePeriod,
            Budget {
                leader_losses: 1,
                commands: 1,
                ..NO_FAULTS
            },
            "no two policies decide at once",
        ),
        (
            RemovedGuard::LeaseFromSending,
            Budget {
                commands: 1,
                ticks: 5,
                ..NO_FAULTS
            },
            "no two policies decide at once",
        ),
        (
            RemovedGuard::WaitForAllMembers,
            Budget {
                commands: 1,
                ..NO_FAULTS
            },
            "no two policies decide at once",
        ),
        (
            RemovedGuard::LeaseByClock,
            Budget {
                pauses: 1,
                commands: 1,
                ticks: 5,
                ..NO_FAULTS
            },
            "no two policies decide at once",
        ),
    ] {
        let model = model(2, budget, removed).checker().threads(4);
        let checked = model
            .finish_when(HasDiscoveries::AllOf([property].into()))
            .spawn_bfs()
            .join();
        assert!(checked.discovery(property).is_some(), "{removed:?}");
    }
}
