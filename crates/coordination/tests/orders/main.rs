//! A change of policy in every order of heartbeats, answers, steps of the log, crashes, lost leaders and late, doubled
//! or lost messages: the sentences of `docs/design/fleet.md` as properties (model checked). The log itself is the
//! agreement library's: here it takes one record after the other, and a leader whose term is over grants nothing.

#[path = "../support/mod.rs"]
mod support;

mod cases;
mod model;
mod world;

use cases::{CASES, LARGER, QUIET};
use stateright::{Checker, HasDiscoveries, Model};
use world::{Budget, ChangeModel, RemovedGuard};

fn model(gates: usize, budget: Budget, removed: RemovedGuard) -> ChangeModel {
    ChangeModel {
        gates,
        budget,
        removed,
    }
}

#[test]
fn in_every_order_a_change_holds_everywhere_or_nowhere() {
    let larger = LARGER
        .into_iter()
        .filter(|_| std::env::var_os("ORDERS").is_some());
    for (what, gates, budget, states) in CASES.into_iter().chain(larger) {
        let begun = std::time::Instant::now();
        let checked = model(gates, budget, RemovedGuard::Nothing)
            .checker()
            .threads(4)
            .spawn_bfs()
            .join();
        for property in model(gates, budget, RemovedGuard::Nothing).properties() {
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
    for (removed, budget, promise) in [
        (
            RemovedGuard::Grace,
            Budget {
                leaders: 1,
                commands: 1,
                ..QUIET
            },
            "apart",
        ),
        (
            RemovedGuard::Sent,
            Budget {
                commands: 1,
                ticks: 5,
                ..QUIET
            },
            "apart",
        ),
        (
            RemovedGuard::Unheard,
            Budget {
                commands: 1,
                ..QUIET
            },
            "apart",
        ),
        (
            RemovedGuard::Timer,
            Budget {
                pauses: 1,
                commands: 1,
                ticks: 5,
                ..QUIET
            },
            "apart",
        ),
    ] {
        let model = model(2, budget, removed).checker().threads(4);
        let found = model
            .finish_when(HasDiscoveries::AllOf([promise].into()))
            .spawn_bfs()
            .join();
        assert!(found.discovery(promise).is_some(), "{removed:?}");
    }
}
