//! Placement of requests whose tenant's cells have no ready engine: such a request is rejected or overflows to other
//! cells.

use crate::cells::Cells;
use ironstair::Millis;

/// The half-life of a tenant's counts: long compared with a burst, short compared with an outage.
const COUNT_HALF_LIFE: Millis = 10_000.0;

/// The configured treatment of requests whose tenant's cells have no ready engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NoCapacityPolicy {
    /// Requests are rejected immediately.
    Reject {
        /// How long clients should wait before they retry.
        retry_after: Millis,
    },
    /// A share of the tenant's requests is placed in other cells, the rest is rejected.
    Overflow {
        /// The share of requests that may be placed in other cells, from 0 to 1.
        share: f64,
    },
}

/// Where a request is placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// At engines of these cells.
    Cells(Cells),
    /// The request is rejected.
    Rejected {
        /// How long the client should wait before it retries; zero if no advice is given.
        retry_after: Millis,
    },
}

/// The cells, and which of them are available for placement.
#[derive(Clone, Copy, Debug)]
pub struct CellAvailability {
    /// Cells with a ready engine.
    pub ready: Cells,
    /// All cells.
    pub all: Cells,
}

/// Limits the share of a tenant's requests that overflow to other cells. Both counts decay exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OverflowBudget {
    requests: f64,
    overflowed: f64,
    updated_at: Millis,
}

impl OverflowBudget {
    /// Counts and places one request of the tenant whose cells are `own`. Without cells the tenant may use any engine.
    pub fn place(
        &mut self,
        now: Millis,
        own: Cells,
        available: CellAvailability,
        policy: NoCapacityPolicy,
    ) -> Placement {
        self.count_request(now);
        if own.is_empty() || own.intersects(available.ready) {
            return Placement::Cells(own);
        }
        let other_cells = available.all.difference(own);
        match policy {
            NoCapacityPolicy::Reject { retry_after } => Placement::Rejected { retry_after },
            NoCapacityPolicy::Overflow { share } => {
                let has_budget = self.overflowed + 1.0 <= share * self.requests;
                if !other_cells.intersects(available.ready) || !has_budget {
                    return Placement::Rejected { retry_after: 0.0 };
                }
                self.overflowed += 1.0;
                Placement::Cells(other_cells)
            }
        }
    }

    fn count_request(&mut self, now: Millis) {
        let elapsed = (now - self.updated_at).max(0.0);
        let decay = 0.5f64.powf(elapsed / COUNT_HALF_LIFE);
        self.requests = self.requests * decay + 1.0;
        self.overflowed *= decay;
        self.updated_at = now;
    }
}
