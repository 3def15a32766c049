//! Detection of degraded cells, and supervision of releases that proceed cell by cell.

use ironstair_cells::cell_health::{degraded_cells, CellOutcomes};
use ironstair_cells::release::{ReleaseVerdict, ReleaseWatch};
use ironstair_cells::Cells;

/// 64 outcomes, of which the first `failures` are failures.
fn outcomes(failures: u32) -> CellOutcomes {
    let mut outcomes = CellOutcomes::default();
    (0..64).for_each(|n| outcomes.record(n >= failures));
    outcomes
}

#[test]
fn cell_is_degraded_only_if_the_other_cells_fail_much_less() {
    assert_eq!(
        degraded_cells(&[outcomes(40), outcomes(2), outcomes(0)]),
        Cells::single(0)
    );
    assert_eq!(
        degraded_cells(&[outcomes(32), outcomes(2)]),
        Cells::default(),
        "a cell with half of its outcomes failed is not degraded"
    );
    assert_eq!(
        degraded_cells(&[outcomes(40), outcomes(40), outcomes(38)]),
        Cells::default(),
        "if all cells worsen together none is degraded"
    );
}

#[test]
fn release_proceeds_after_the_watch_time_and_pauses_in_a_degraded_cell() {
    let none = Cells::default();
    let mut release = ReleaseWatch::Idle;
    assert_eq!(release.on_engine_restarted(0.0, 2), None);
    assert_eq!(release.on_timer(50.0, none, 60.0), None);
    assert_eq!(
        release.on_engine_restarted(55.0, 3),
        Some(ReleaseVerdict::TooEarly { cell: 3 })
    );
    assert_eq!(
        release.on_timer(60.0, none, 60.0),
        Some(ReleaseVerdict::Proceed { cell: 2 })
    );
    release.on_engine_restarted(61.0, 3);
    let watched = Cells::single(3);
    assert_eq!(
        release.on_timer(62.0, watched, 60.0),
        Some(ReleaseVerdict::Pause { cell: 3 })
    );
    assert_eq!(
        (release.paused(), release.on_timer(500.0, watched, 60.0)),
        (watched, None)
    );
    release.clear();
    assert_eq!(release.paused(), none);
}
