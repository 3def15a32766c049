//! Assignments: alike everywhere, changed as little as can be, even enough; and cells in trouble.

use ironstair_cells::assign::{Wrong, CELLS_MOST};
use ironstair_cells::trouble::{worse, Choice, Goes, Lent, Record, Release, Word};
use ironstair_cells::{Assignment, Cells};
use std::collections::BTreeMap;

fn cells(n: usize, shard: usize) -> Assignment {
    let cells: Vec<(String, f64)> = (0..n).map(|c| (format!("c{c}"), 1.0)).collect();
    Assignment::new(1, &cells, shard).unwrap()
}

#[test]
fn an_engine_that_comes_or_goes_changes_no_other_and_gateways_that_lag_agree() {
    let a = cells(8, 1);
    let everywhere: BTreeMap<u64, Cells> = (0..400).map(|e| (e, a.engine(e))).collect();
    // A gateway that knows only half of them, and in another order, says the same of each.
    assert!((0..400)
        .rev()
        .step_by(2)
        .all(|e| a.engine(e) == everywhere[&e]));
    // A cell more takes its own share and moves nothing between the others: the optimum is a ninth.
    let more = cells(9, 1);
    let moved: Vec<u64> = (0..4000)
        .filter(|&e| a.engine(e) != more.engine(e))
        .collect();
    assert!(moved.iter().all(|&e| more.engine(e) == Cells::one(8)));
    assert!(
        (350..=540).contains(&moved.len()),
        "{} of 4000, the optimum is 444",
        moved.len()
    );
}

#[test]
fn cells_get_their_share_by_weight() {
    let weights: Vec<(String, f64)> = [("a", 1.0), ("b", 3.0), ("none", 0.0)]
        .map(|c| (c.0.into(), c.1))
        .into();
    let a = Assignment::new(1, &weights, 1).unwrap();
    let b = (0..8000).filter(|&e| a.engine(e) == Cells::one(1)).count();
    assert!((5800..=6200).contains(&b), "{b} of 8000, 6000 wanted");
    assert!((0..8000).all(|e| a.engine(e) != Cells::one(2)));
}

#[test]
fn shuffle_sharding_lets_few_tenants_share_all_their_cells() {
    let a = cells(16, 3);
    let all: Vec<Cells> = (0..1000).map(|t| a.tenant(t)).collect();
    assert!(all.iter().all(|c| c.count() == 3));
    let pairs = (0..1000).flat_map(|i| (0..i).map(move |j| (i, j)));
    let (mut same, mut apart, mut n) = (0, 0, 0);
    for (i, j) in pairs {
        n += 1;
        same += (all[i] == all[j]) as u32;
        apart += !all[i].meets(all[j]) as u32;
    }
    // 1 in 560 shares all three, and 286 in 560 none.
    assert!(
        (0.7..1.4).contains(&(same as f64 * 560.0 / n as f64)),
        "{same} of {n}"
    );
    assert!(
        (0.45..0.58).contains(&(apart as f64 / n as f64)),
        "{apart} of {n}"
    );
}

#[test]
fn pins_hold_and_a_revision_that_is_kept_stays_as_it_was() {
    let first = cells(4, 1);
    let pinned = first
        .pin_engine(7, Some("c2"))
        .unwrap()
        .pin_tenant(9, Some(&["c0", "c3"]))
        .unwrap();
    assert_eq!((pinned.number, pinned.engine(7)), (3, Cells::one(2)));
    assert_eq!(pinned.tenant(9), Cells::one(0).with(Cells::one(3)));
    let free = pinned
        .pin_tenant(9, None)
        .unwrap()
        .pin_engine(7, None)
        .unwrap();
    assert_eq!(
        (free.tenant(9), free.engine(7)),
        (first.tenant(9), first.engine(7))
    );
    assert_eq!(
        pinned.tenant(9).iter().collect::<Vec<_>>(),
        [0, 3],
        "the older revision is as it was"
    );
    let name = |c: &str| (c.to_string(), 1.0);
    let many: Vec<(String, f64)> = (0..=CELLS_MOST).map(|n| name(&n.to_string())).collect();
    for (made, why) in [
        (Assignment::new(1, &[], 1), Wrong::NoCell),
        (Assignment::new(1, &many, 1), Wrong::TooManyCells(65)),
        (
            Assignment::new(1, &[name("a"), name("a")], 1),
            Wrong::TwiceNamed("a".into()),
        ),
        (Assignment::new(1, &[name("a")], 2), Wrong::Shard(2)),
        (
            first.pin_engine(1, Some("x")),
            Wrong::NoSuchCell("x".into()),
        ),
        (first.pin_tenant(1, Some(&[])), Wrong::Shard(0)),
    ] {
        assert_eq!(made.unwrap_err(), why);
    }
}

#[test]
fn a_tenant_without_a_ready_engine_is_lent_places_within_its_share_or_turned_back() {
    let (own, rest) = (Cells::one(0), Cells::one(1).with(Cells::one(2)));
    let all = own.with(rest);
    let mut lent = Lent::default();
    let lend = Choice::Lend { share: 0.25 };
    assert_eq!(lent.goes(0.0, own, all, all, lend), Goes::To(own));
    let went = (0..400)
        .filter(|n| lent.goes(*n as f64, own, rest, all, lend) == Goes::To(rest))
        .count();
    assert!(
        (90..=101).contains(&went),
        "{went} of 400, a quarter at most"
    );
    assert_eq!(
        lent.goes(400.0, own, Cells::default(), all, lend),
        Goes::Rejected { retry_after: 0.0 }
    );
    let back = Choice::Reject { retry_after: 500.0 };
    assert_eq!(
        lent.goes(400.0, own, rest, all, back),
        Goes::Rejected { retry_after: 500.0 }
    );
}

fn record(bad: u32) -> Record {
    let mut r = Record::default();
    (0..64).for_each(|n| r.note(n >= bad));
    r
}

#[test]
fn a_cell_is_worse_only_beside_better_ones() {
    assert_eq!(worse(&[record(40), record(2), record(0)]), Cells::one(0));
    assert_eq!(
        worse(&[record(32), record(2)]),
        Cells::default(),
        "half is not more than half"
    );
    assert_eq!(
        worse(&[record(40), record(40), record(38)]),
        Cells::default(),
        "all alike is no cell's fault"
    );
}

#[test]
fn a_faulty_release_halts_in_its_first_cell_and_a_good_one_goes_on() {
    let mut r = Release::None;
    assert_eq!(r.started(0.0, 2), None);
    assert_eq!(r.due(50.0, Cells::default(), 60.0), None);
    assert_eq!(r.started(55.0, 3), Some(Word::TooEarly { cell: 3 }));
    assert_eq!(
        r.due(60.0, Cells::default(), 60.0),
        Some(Word::Good { cell: 2 })
    );
    r.started(61.0, 3);
    assert_eq!(
        r.due(62.0, Cells::one(3), 60.0),
        Some(Word::Halt { cell: 3 })
    );
    assert_eq!(
        (r.halted(), r.due(500.0, Cells::one(3), 60.0)),
        (Cells::one(3), None)
    );
    r.cleared();
    assert_eq!(r.halted(), Cells::default());
}
