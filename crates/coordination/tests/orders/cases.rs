//! The budgets of the runs of the model.

use crate::world::Budget;

pub(crate) const NO_FAULTS: Budget = Budget {
    ticks: 4,
    leader_losses: 0,
    crashes: 0,
    commands: 2,
    cancels: 0,
    duplicates: 0,
    pauses: 0,
};

/// The runs that explore all states: name, number of gateways, budget, and the minimum number of states.
pub(crate) const CASES: [(&str, usize, Budget, usize); 6] = [
    (
        "two changes",
        2,
        Budget {
            ticks: 3,
            ..NO_FAULTS
        },
        10_000,
    ),
    (
        "leader losses",
        2,
        Budget {
            ticks: 2,
            leader_losses: 1,
            commands: 1,
            ..NO_FAULTS
        },
        10_000,
    ),
    (
        "crashes",
        2,
        Budget {
            ticks: 2,
            crashes: 1,
            commands: 1,
            ..NO_FAULTS
        },
        40_000,
    ),
    (
        "duplicate messages",
        2,
        Budget {
            ticks: 2,
            duplicates: 1,
            commands: 1,
            ..NO_FAULTS
        },
        5_000,
    ),
    (
        "a cancellation",
        2,
        Budget {
            ticks: 3,
            cancels: 1,
            commands: 1,
            ..NO_FAULTS
        },
        5_000,
    ),
    (
        "pauses",
        2,
        Budget {
            ticks: 3,
            pauses: 1,
            commands: 1,
            ..NO_FAULTS
        },
        50_000,
    ),
];

/// The larger runs: `ORDERS=all cargo test -p ironstair-coordination --test orders`.
pub(crate) const LARGER: [(&str, usize, Budget, usize); 6] = [
    (
        "leader losses, longer",
        2,
        Budget {
            ticks: 3,
            leader_losses: 1,
            commands: 1,
            ..NO_FAULTS
        },
        100_000,
    ),
    (
        "crashes, longer",
        2,
        Budget {
            ticks: 3,
            crashes: 1,
            commands: 1,
            ..NO_FAULTS
        },
        300_000,
    ),
    (
        "duplicate messages, longer",
        2,
        Budget {
            ticks: 3,
            duplicates: 1,
            commands: 1,
            ..NO_FAULTS
        },
        100_000,
    ),
    (
        "duplicate messages and a cancellation",
        2,
        Budget {
            ticks: 3,
            duplicates: 1,
            cancels: 1,
            commands: 1,
            ..NO_FAULTS
        },
        200_000,
    ),
    (
        "pauses, longer",
        2,
        Budget {
            pauses: 1,
            commands: 1,
            ..NO_FAULTS
        },
        100_000,
    ),
    (
        "three gateways",
        3,
        Budget {
            ticks: 3,
            commands: 1,
            ..NO_FAULTS
        },
        160_000,
    ),
];
