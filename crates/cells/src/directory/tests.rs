use super::{CellDirectory, MAX_BUDGETS};
use crate::assignment::{Assignment, CellWeight};
use crate::cells::Cells;
use crate::overflow::{NoCapacityPolicy, Placement};

const TENANT: u64 = 7;
const OTHER_TENANT: u64 = 8;

fn assignment<const N: usize>(names: [&str; N]) -> Assignment {
    let cells = names.map(|name| CellWeight {
        name: name.to_owned(),
        weight: 1.0,
    });
    Assignment::new(1, &cells, 1).unwrap()
}

fn rejecting_directory(assignment: &Assignment) -> CellDirectory {
    let policy = NoCapacityPolicy::Reject { retry_after: 0.0 };
    CellDirectory::new(assignment.clone(), policy)
}

#[test]
fn migration_ends_with_the_last_attempt_in_the_old_cells() {
    let first = assignment(["a", "b", "c"])
        .pin_tenant(TENANT, Some(&["a"]))
        .unwrap();
    let second = first.pin_tenant(TENANT, Some(&["b"])).unwrap();
    let third = second.pin_tenant(TENANT, Some(&["c"])).unwrap();
    let [cell_a, cell_b, cell_c] = [0, 1, 2].map(Cells::single);

    let mut directory = rejecting_directory(&second);
    let attempts = [(TENANT, cell_a), (TENANT, cell_a), (OTHER_TENANT, cell_c)];
    directory.inherit_migrations(1.0, &rejecting_directory(&first), attempts.into_iter());
    assert_eq!(
        (
            directory.migration_count(),
            directory.on_attempt_ended(2.0, TENANT, cell_a)
        ),
        (1, false)
    );

    // A second migration starts before the first has ended. Attempts in either old cell delay its end, attempts in the
    // new cell do not.
    let mut next = rejecting_directory(&third);
    let attempts = [(TENANT, cell_a), (TENANT, cell_b), (TENANT, cell_c)];
    next.inherit_migrations(3.0, &directory, attempts.into_iter());
    assert_eq!(
        (
            next.on_attempt_ended(4.0, TENANT, cell_c),
            next.on_attempt_ended(4.0, TENANT, cell_a)
        ),
        (false, false)
    );
    assert!(next.on_attempt_ended(5.0, TENANT, cell_b) && next.migration_count() == 0);
    assert!(
        !next.on_attempt_ended(6.0, TENANT, cell_b),
        "the end is reported only once"
    );
}

#[test]
fn tenants_stay_in_their_cells_and_overflow_within_their_share() {
    let assignment = assignment(["a", "b"])
        .pin_engine(1, Some("a"))
        .and_then(|pinned| pinned.pin_engine(2, Some("b")))
        .and_then(|pinned| pinned.pin_tenant(TENANT, Some(&["a"])))
        .and_then(|pinned| pinned.pin_tenant(OTHER_TENANT, Some(&["b"])))
        .unwrap();
    let [cell_a, cell_b] = [0, 1].map(Cells::single);
    let policy = NoCapacityPolicy::Overflow { share: 0.5 };
    let mut directory = CellDirectory::new(assignment, policy);

    directory.update_endpoints([1, 2].into_iter());
    assert_eq!(
        (
            directory.place(0.0, TENANT),
            directory.place(0.0, OTHER_TENANT)
        ),
        (Placement::Cells(cell_a), Placement::Cells(cell_b))
    );
    assert_eq!(directory.names(cell_a.union(cell_b)), "a b");

    directory.update_endpoints([2].into_iter());
    let overflowed = (0..20)
        .filter(|_| directory.place(1.0, TENANT) == Placement::Cells(cell_b))
        .count();
    assert_eq!(
        (overflowed, directory.place(1.0, OTHER_TENANT)),
        (10, Placement::Cells(cell_b))
    );

    directory.update_endpoints([1, 2].into_iter());
    assert!(directory.budgets.is_empty());
    assert_eq!(directory.place(2.0, TENANT), Placement::Cells(cell_a));

    directory.update_endpoints([2].into_iter());
    for tenant in 0..3 * MAX_BUDGETS as u64 {
        directory.place(3.0, tenant);
    }
    assert!(directory.budgets.len() <= MAX_BUDGETS);
}
