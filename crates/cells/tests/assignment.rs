//! Assignments: equal at every gateway, stable under changes, and balanced by weight.

use ironstair_cells::{Assignment, AssignmentError, CellWeight, Cells, MAX_CELLS};
use std::collections::BTreeMap;

fn cell(name: &str, weight: f64) -> CellWeight {
    CellWeight {
        name: name.to_owned(),
        weight,
    }
}

fn equal_cells(count: usize, shard_size: usize) -> Assignment {
    let cells: Vec<CellWeight> = (0..count).map(|n| cell(&format!("c{n}"), 1.0)).collect();
    Assignment::new(1, &cells, shard_size).unwrap()
}

#[test]
fn lagging_gateways_agree_and_an_added_cell_only_attracts_engines() {
    let assignment = equal_cells(8, 1);
    let expected: BTreeMap<u64, Cells> = (0..400)
        .map(|engine| (engine, assignment.engine_cells(engine)))
        .collect();
    // A gateway that knows only half of the engines, in another order, assigns each of them to the same cell.
    let mut known = (0..400).rev().step_by(2);
    assert!(known.all(|engine| assignment.engine_cells(engine) == expected[&engine]));
    // A ninth cell attracts its share, ideally a ninth of the engines, and moves none between the other cells.
    let with_ninth_cell = equal_cells(9, 1);
    let moved: Vec<u64> = (0..4000)
        .filter(|&engine| assignment.engine_cells(engine) != with_ninth_cell.engine_cells(engine))
        .collect();
    assert!(moved
        .iter()
        .all(|&engine| with_ninth_cell.engine_cells(engine) == Cells::single(8)));
    assert!(
        (350..=540).contains(&moved.len()),
        "{} of 4000 engines moved, expected about 444",
        moved.len()
    );
}

#[test]
fn cells_receive_engines_in_proportion_to_their_weight() {
    let cells = [cell("a", 1.0), cell("b", 3.0), cell("none", 0.0)];
    let assignment = Assignment::new(1, &cells, 1).unwrap();
    let engines_of_b = (0..8000)
        .filter(|&engine| assignment.engine_cells(engine) == Cells::single(1))
        .count();
    assert!(
        (5800..=6200).contains(&engines_of_b),
        "{engines_of_b} of 8000, expected about 6000"
    );
    assert!((0..8000).all(|engine| assignment.engine_cells(engine) != Cells::single(2)));
}

#[test]
fn shuffle_sharding_gives_few_tenant_pairs_the_same_cells() {
    let assignment = equal_cells(16, 3);
    let tenants: Vec<Cells> = (0..1000)
        .map(|tenant| assignment.tenant_cells(tenant))
        .collect();
    assert!(tenants.iter().all(|cells| cells.count() == 3));
    let pairs = (0..1000).flat_map(|first| (0..first).map(move |second| (first, second)));
    let (mut same, mut disjoint, mut total) = (0, 0, 0);
    for (first, second) in pairs {
        total += 1;
        same += u32::from(tenants[first] == tenants[second]);
        disjoint += u32::from(!tenants[first].intersects(tenants[second]));
    }
    // There are 560 ways to choose 3 of 16 cells, 286 of which avoid the cells of a given tenant: 1 in 560 pairs shares
    // all cells, and 286 in 560 pairs share none.
    let same_ratio = f64::from(same) * 560.0 / f64::from(total);
    assert!(
        (0.7..1.4).contains(&same_ratio),
        "{same} of {total} pairs share all cells"
    );
    let disjoint_share = f64::from(disjoint) / f64::from(total);
    assert!(
        (0.45..0.58).contains(&disjoint_share),
        "{disjoint} of {total} pairs share no cell"
    );
}

#[test]
fn pins_apply_and_leave_earlier_revisions_unchanged() {
    let first = equal_cells(4, 1);
    let pinned = first
        .pin_engine(7, Some("c2"))
        .and_then(|pinned| pinned.pin_tenant(9, Some(&["c0", "c3"])))
        .unwrap();
    assert_eq!(
        (pinned.number, pinned.engine_cells(7)),
        (3, Cells::single(2))
    );
    assert_eq!(
        pinned.tenant_cells(9),
        Cells::single(0).union(Cells::single(3))
    );
    let unpinned = pinned
        .pin_tenant(9, None)
        .and_then(|pinned| pinned.pin_engine(7, None))
        .unwrap();
    assert_eq!(
        (unpinned.tenant_cells(9), unpinned.engine_cells(7)),
        (first.tenant_cells(9), first.engine_cells(7))
    );
    assert_eq!(
        pinned.tenant_cells(9).iter().collect::<Vec<_>>(),
        [0, 3],
        "the earlier revision is unchanged"
    );
}

#[test]
fn invalid_assignments_are_refused_with_their_reason() {
    let valid = equal_cells(4, 1);
    let too_many: Vec<CellWeight> = (0..=MAX_CELLS).map(|n| cell(&n.to_string(), 1.0)).collect();
    for (refused, reason) in [
        (Assignment::new(1, &[], 1), AssignmentError::NoCell),
        (
            Assignment::new(1, &too_many, 1),
            AssignmentError::TooManyCells(65),
        ),
        (
            Assignment::new(1, &[cell("a", 1.0), cell("a", 1.0)], 1),
            AssignmentError::DuplicateName("a".into()),
        ),
        (
            Assignment::new(1, &[cell("a", 1.0)], 2),
            AssignmentError::ShardSize(2),
        ),
        (
            valid.pin_engine(1, Some("x")),
            AssignmentError::UnknownCell("x".into()),
        ),
        (
            valid.pin_tenant(1, Some(&[])),
            AssignmentError::ShardSize(0),
        ),
    ] {
        assert_eq!(refused.unwrap_err(), reason);
    }
}
