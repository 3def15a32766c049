//! Detects degraded cells by comparing the failure rates of their engines.

use crate::cells::Cells;

/// The number of most recent outcomes of a cell that are considered.
const OUTCOME_WINDOW: u32 = 64;

/// A cell is degraded only if more than half of its recent outcomes are failures.
const MIN_FAILURES: u32 = OUTCOME_WINDOW / 2 + 1;

/// A cell is degraded only if its failure rate is more than this multiple of the other cells' rate.
const MIN_RATE_RATIO: f64 = 2.0;

/// The recent outcomes of one cell's engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CellOutcomes {
    /// One bit for each outcome, set for a failure. The lowest bit is the latest outcome.
    failure_bits: u64,
    count: u32,
}

impl CellOutcomes {
    /// Records an outcome.
    pub fn record(&mut self, succeeded: bool) {
        self.failure_bits = self.failure_bits << 1 | u64::from(!succeeded);
        self.count = (self.count + 1).min(OUTCOME_WINDOW);
    }

    fn failure_count(&self) -> u32 {
        self.failure_bits.count_ones()
    }
}

/// The cells whose failure rate is far above that of the other cells together.
///
/// If all cells worsen together none is degraded: the cause is then not in one cell, and moving tenants would not help.
pub fn degraded_cells(outcomes: &[CellOutcomes]) -> Cells {
    let failures: u32 = outcomes.iter().map(CellOutcomes::failure_count).sum();
    let count: u32 = outcomes.iter().map(|cell| cell.count).sum();
    let is_degraded = |cell: &CellOutcomes| {
        let own_failures = cell.failure_count();
        let own_rate = failure_rate(own_failures, cell.count);
        let peer_rate = failure_rate(failures - own_failures, count - cell.count);
        own_failures >= MIN_FAILURES && own_rate > MIN_RATE_RATIO * peer_rate
    };
    let degraded = outcomes.iter().enumerate();
    degraded
        .filter(|(_, cell)| is_degraded(cell))
        .map(|(index, _)| Cells::single(index))
        .collect()
}

fn failure_rate(failures: u32, count: u32) -> f64 {
    f64::from(failures) / f64::from(count.max(1))
}
