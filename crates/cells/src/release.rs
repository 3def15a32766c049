//! Supervises the rollout of an engine release, which proceeds cell by cell.

use crate::cells::Cells;
use ironstair::Millis;

/// The progress of a release.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseWatch {
    /// No release is in progress.
    Idle,
    /// Engines of one cell have restarted, and the cell is being watched for degradation.
    Watching {
        /// The watched cell.
        cell: usize,
        /// When the first of its engines restarted.
        since: Millis,
    },
    /// The watched cell degraded; the release must not proceed to another cell.
    Paused {
        /// The cell that degraded.
        cell: usize,
    },
}

/// A result of the supervision, for the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseVerdict {
    /// The release may proceed to the next cell.
    Proceed {
        /// The cell that was watched.
        cell: usize,
    },
    /// The watched cell degraded, so the release must stop.
    Pause {
        /// The cell that degraded.
        cell: usize,
    },
    /// An engine of another cell restarted before the watch of the first cell was over.
    TooEarly {
        /// The other cell.
        cell: usize,
    },
}

impl ReleaseWatch {
    /// Records that an engine of the cell restarted, which begins a watch if no release is in progress.
    pub fn on_engine_restarted(&mut self, now: Millis, cell: usize) -> Option<ReleaseVerdict> {
        match *self {
            ReleaseWatch::Idle => *self = ReleaseWatch::Watching { cell, since: now },
            ReleaseWatch::Watching { cell: watched, .. } if watched != cell => {
                return Some(ReleaseVerdict::TooEarly { cell });
            }
            ReleaseWatch::Watching { .. } | ReleaseWatch::Paused { .. } => {}
        }
        None
    }

    /// Decides whether the watch ends. `degraded` are the cells that
    /// [`degraded_cells`](crate::cell_health::degraded_cells) reports, `watch_time` is how long a cell is watched.
    pub fn on_timer(
        &mut self,
        now: Millis,
        degraded: Cells,
        watch_time: Millis,
    ) -> Option<ReleaseVerdict> {
        let ReleaseWatch::Watching { cell, since } = *self else {
            return None;
        };
        if degraded.intersects(Cells::single(cell)) {
            *self = ReleaseWatch::Paused { cell };
            return Some(ReleaseVerdict::Pause { cell });
        }
        if now - since < watch_time {
            return None;
        }
        *self = ReleaseWatch::Idle;
        Some(ReleaseVerdict::Proceed { cell })
    }

    /// Ends the watch or the pause. Called when an operator has examined the release.
    pub fn clear(&mut self) {
        *self = ReleaseWatch::Idle;
    }

    /// The cell in which the release is paused, or the empty set.
    pub fn paused(&self) -> Cells {
        match self {
            ReleaseWatch::Paused { cell } => Cells::single(*cell),
            ReleaseWatch::Idle | ReleaseWatch::Watching { .. } => Cells::default(),
        }
    }
}
