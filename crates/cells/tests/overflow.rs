//! Placement of requests whose tenant's cells have no ready engine.

use ironstair_cells::overflow::{CellAvailability, OverflowBudget};
use ironstair_cells::{Cells, NoCapacityPolicy, Placement};

#[test]
fn tenant_without_ready_engine_overflows_within_its_share_or_is_rejected() {
    let own = Cells::single(0);
    let others = Cells::single(1).union(Cells::single(2));
    let all = own.union(others);
    let available = |ready: Cells| CellAvailability { ready, all };
    let mut budget = OverflowBudget::default();
    let overflow = NoCapacityPolicy::Overflow { share: 0.25 };
    assert_eq!(
        budget.place(0.0, own, available(all), overflow),
        Placement::Cells(own)
    );
    let overflowed = (0..400)
        .filter(|&n| {
            budget.place(f64::from(n), own, available(others), overflow) == Placement::Cells(others)
        })
        .count();
    assert!(
        (90..=101).contains(&overflowed),
        "{overflowed} of 400 overflowed, allowed is a quarter"
    );
    assert_eq!(
        budget.place(400.0, own, available(Cells::default()), overflow),
        Placement::Rejected { retry_after: 0.0 }
    );
    let reject = NoCapacityPolicy::Reject { retry_after: 500.0 };
    assert_eq!(
        budget.place(400.0, own, available(others), reject),
        Placement::Rejected { retry_after: 500.0 }
    );
}
